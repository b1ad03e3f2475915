#include "tests/soak/soak_schedule.h"

#include <fmt/format.h>

#include <array>
#include <functional>

namespace shallot::soak {
namespace {

using gateway::StoreTrouble;

constexpr Millis kMeanGap{700};
/// Shortest and longest fault.
constexpr uint64_t kShortestMs = 150;
constexpr uint64_t kLongestMs = 3'500;
/// Chance that an event is followed by more of the same kind, at once.
constexpr double kSeries = 0.15;
constexpr std::array<LinkFault, 7> kLinkFaults = {
    LinkFault::kDelay,       LinkFault::kCutToServer, LinkFault::kCutToClient, LinkFault::kDark,
    LinkFault::kSilenceOpen, LinkFault::kResetOpen,   LinkFault::kRefuse};

}  // namespace

Millis SoakSchedule::Time() {
  return Millis(kShortestMs + fleet_->random().Below(kLongestMs - kShortestMs));
}

void SoakSchedule::ScheduleNext() {
  const auto gap =
      static_cast<int64_t>(fleet_->random().Exponential(static_cast<double>(kMeanGap.count())));
  fleet_->loop()->After(Millis(gap), [this] {
    if (stopped_) return;
    do {
      Inject();
    } while (fleet_->random().Unit() < kSeries);
    ScheduleNext();
  });
}

void SoakSchedule::Inject() {
  SoakFleet& fleet = *fleet_;
  Random& random = fleet.random();
  const size_t gateway = random.Below(fleet.gateways());
  const size_t runner = random.Below(fleet.runners());
  const LinkFault link = kLinkFaults[random.Below(kLinkFaults.size())];
  const Millis time = Time();
  const auto with = [](auto StoreTrouble::*field, auto value) {
    StoreTrouble trouble;
    trouble.*field = value;
    return trouble;
  };
  const auto runner_with = [](auto RunnerTrouble::*field, auto value) {
    RunnerTrouble trouble;
    trouble.*field = value;
    return trouble;
  };
  using End = SoakFleet::LinkEnd;
  const std::array<std::function<void()>, 28> events = {
      [&] { fleet.StopGateway(gateway); },
      [&] { fleet.StopGateway(gateway); },
      [&] { fleet.KillGateway(gateway); },
      [&] { fleet.KillGateway(gateway); },
      [&] {
        for (size_t index = 0; index < fleet.gateways(); ++index) fleet.KillGateway(index);
      },
      [&] { fleet.PauseGateway(gateway, time); },
      [&] { fleet.PauseGateway(gateway, time); },
      [&] { fleet.ReloadGateway(gateway, false); },
      [&] { fleet.ReloadGateway(gateway, true); },
      [&] { fleet.FaultLink(End::kCallers, gateway, link, time); },
      [&] { fleet.FaultLink(End::kStore, gateway, link, time); },
      [&] { fleet.FaultLink(End::kStore, gateway, link, time); },
      [&] { fleet.FaultLink(End::kRunner, runner, link, time); },
      [&] { fleet.FaultLink(End::kRunner, runner, link, time); },
      [&] { fleet.TroubleStore(with(&StoreTrouble::silent, true), "silent", time, false); },
      [&] { fleet.TroubleStore(with(&StoreTrouble::busy, true), "busy", time, true); },
      [&] { fleet.TroubleStore(with(&StoreTrouble::delay, Millis(200)), "slow", time, false); },
      [&] {
        StoreTrouble trouble = with(&StoreTrouble::lost_answers, 0.4);
        trouble.late_writes = 0.3;
        trouble.late_by = Millis(random.Below(3'000));
        fleet.TroubleStore(trouble, "loses answers", time, false);
      },
      [&] { fleet.DropHistory(); },
      [&] { fleet.CrashRunner(runner, time, false); },
      [&] { fleet.CrashRunner(runner, Millis(100), true); },
      [&] { fleet.DrainRunner(runner); },
      [&] { fleet.ReuseAddress(runner); },
      [&] {
        RunnerTrouble trouble = runner_with(&RunnerTrouble::errors, 0.3);
        trouble.sheds = 0.2;
        trouble.lost_answers = 0.1;
        trouble.cut_answers = 0.1;
        fleet.TroubleRunner(runner, trouble, "fails calls", time);
      },
      [&] {
        RunnerTrouble trouble = runner_with(&RunnerTrouble::slow_factor, 20.0);
        trouble.late_orders = 0.5;
        fleet.TroubleRunner(runner, trouble, "is slow, orders are late", time);
      },
      [&] {
        fleet.TroubleRunner(runner, runner_with(&RunnerTrouble::silent, true), "silent", time);
      },
      [&] { fleet.WriteForeignEntry(); },
      [&] { fleet.ChangeConfig(); }};
  events[random.Below(events.size())]();
}

}  // namespace shallot::soak
