#include "tests/soak/soak_schedule.h"

#include <fmt/format.h>

#include <array>

namespace shallot::soak {
namespace {

using gateway::StoreFaults;
using LinkEnd = SoakFleet::LinkEnd;

/// Mean pauses between faults; each seed draws one.
constexpr std::array<int64_t, 4> kMeanGapsMs = {400, 800, 1'600, 3'000};
/// Some incidents play what excuses nothing; fewer faults beside them leave calm to judge.
constexpr int64_t kCalmGapFactor = 6;
/// Shares of the fault kinds that are used; each seed draws one.
constexpr std::array<double, 3> kKindShares = {0.15, 0.4, 1.0};
/// Range of a fault's duration.
constexpr uint64_t kShortestMs = 150;
constexpr uint64_t kLongestMs = 3'500;
/// Probability that an event is followed by another one at once.
constexpr double kSeriesProbability = 0.15;
/// Pause before an incident begins, and the share of the streams that are deadly calls.
constexpr Millis kIncidentDelay{5'000};
constexpr double kDeadlyShare = 0.15;
/// Pauses between two restores of the store.
constexpr uint64_t kShortestRestoreGapMs = 7'000;
constexpr uint64_t kRestoreGapSpreadMs = 4'000;
/// Pauses between two changes of the configuration that come one after the other.
constexpr uint64_t kShortestChangeGapMs = 500;
constexpr uint64_t kChangeGapSpreadMs = 1'000;
/// A gateway does not hear of the store for this long around a restore.
constexpr Millis kUnawareTime{3'500};
/// Pause between a change of the configuration and the restore that loses it.
constexpr Millis kChangePause{600};
/// Share of its calls that a runner turns away, for how long, and the pauses between two such
/// runners.
constexpr double kClosingShare = 0.3;
constexpr Millis kClosingTime{2'000};
constexpr uint64_t kShortestUnwillingGapMs = 5'000;
constexpr uint64_t kUnwillingGapSpreadMs = 4'000;
/// Pauses between two cuts of the waiting watches, and between two stops of several gateways.
constexpr uint64_t kShortestCutGapMs = 700;
constexpr uint64_t kCutGapSpreadMs = 1'800;
constexpr uint64_t kShortestStopGapMs = 8'000;
constexpr uint64_t kStopGapSpreadMs = 4'000;
/// Pauses between two faults of runner processes, and how long one is paused.
constexpr uint64_t kShortestProcessGapMs = 1'500;
constexpr uint64_t kProcessGapSpreadMs = 3'000;
/// A fraction of the calls that a runner gets in a calm run.
constexpr double kLimitCallsPerS = 3;
constexpr std::array<LinkFault, 7> kLinkFaults = {
    LinkFault::kDelay,       LinkFault::kCutToServer, LinkFault::kCutToClient, LinkFault::kDark,
    LinkFault::kSilenceOpen, LinkFault::kResetOpen,   LinkFault::kRefuse};

}  // namespace

SoakSchedule::SoakSchedule(SoakFleet* fleet) : fleet_(fleet) {
  AddGatewayEvents();
  AddStoreEvents();
  AddRunnerEvents();
  Random& random = fleet->random();
  mean_gap_ = Millis(kMeanGapsMs[random.Below(kMeanGapsMs.size())]);
  const Incident incident = fleet->options().incident;
  if (incident == Incident::kRealNetwork || incident == Incident::kRunnerProcesses) {
    mean_gap_ *= kCalmGapFactor;
  }
  const double share = kKindShares[random.Below(kKindShares.size())];
  std::vector<Event> chosen;
  for (const Event& event : events_) {
    if (event.planned || random.Unit() < share) chosen.push_back(event);
  }
  events_.swap(chosen);
}

Millis SoakSchedule::RandomDuration() {
  return Millis(kShortestMs + fleet_->random().Below(kLongestMs - kShortestMs));
}

size_t SoakSchedule::RandomGateway() { return fleet_->random().Below(fleet_->gateways()); }

size_t SoakSchedule::RandomRunner() { return fleet_->random().Below(fleet_->runners()); }

LinkFault SoakSchedule::RandomLinkFault() {
  return kLinkFaults[fleet_->random().Below(kLinkFaults.size())];
}

void SoakSchedule::Start() {
  std::string kinds;
  for (const Event& event : events_) kinds += fmt::format(" {},", event.name);
  fleet_->LogEvent(fmt::format("faults every {} ms on average:{}", mean_gap_.count(), kinds));
  ScheduleNext();
  ScheduleIncident();
}

void SoakSchedule::ScheduleIncident() {
  if (fleet_->options().incident == Incident::kNone) return;
  const Incident incident = fleet_->options().incident;
  if (incident == Incident::kRestoredStore || incident == Incident::kConfigBehind) {
    fleet_->CopyStore();
  }
  fleet_->loop()->After(kIncidentDelay, [this] {
    if (fleet_->options().incident == Incident::kRestoredStore) {
      RestoreAgain();
      return;
    }
    if (fleet_->options().incident == Incident::kConfigBehind) {
      ChangeConfigAgain();
      LoseStoreAgain();
      return;
    }
    if (fleet_->options().incident == Incident::kUnwillingRunners) {
      DisturbRunnersAgain();
      return;
    }
    if (fleet_->options().incident == Incident::kRealNetwork) {
      CutWatchesAgain();
      StopTogetherAgain();
      return;
    }
    if (fleet_->options().incident == Incident::kRunnerProcesses) {
      DisturbProcessesAgain();
      return;
    }
    if (fleet_->options().incident == Incident::kLimitedRunners) {
      fleet_->LimitRunners(kLimitCallsPerS);
      return;
    }
    fleet_->LogEvent("deadly calls begin");
    fleet_->SetDeadlyShare(kDeadlyShare);
  });
}

void SoakSchedule::RestoreAgain() {
  if (stopped_) return;
  // A gateway that hears nothing meanwhile, and changes on both sides of the restore.
  const size_t gateway = RandomGateway();
  if (fleet_->random().Below(2) == 0) {
    fleet_->PauseGateway(gateway, kUnawareTime);
  } else {
    fleet_->InjectLinkFault(LinkEnd::kStore, gateway, LinkFault::kDark, kUnawareTime);
  }
  fleet_->ChangeConfig();
  fleet_->loop()->After(kChangePause, [this] {
    if (!stopped_) fleet_->RestoreStore();
  });
  for (const Millis pause : {kUnawareTime - kChangePause, kUnawareTime}) {
    fleet_->loop()->After(pause, [this] {
      if (!stopped_) fleet_->ChangeConfig();
    });
  }
  const uint64_t gap = kShortestRestoreGapMs + fleet_->random().Below(kRestoreGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { RestoreAgain(); });
}

void SoakSchedule::ChangeConfigAgain() {
  if (stopped_) return;
  fleet_->ChangeConfig();
  const uint64_t gap = kShortestChangeGapMs + fleet_->random().Below(kChangeGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { ChangeConfigAgain(); });
}

void SoakSchedule::LoseStoreAgain() {
  if (stopped_) return;
  Random& random = fleet_->random();
  fleet_->InjectLinkFault(LinkEnd::kStore, RandomGateway(), RandomLinkFault(), RandomDuration());
  if (random.Below(3) == 0) fleet_->RestoreStore();
  if (random.Below(3) == 0) fleet_->KillGateway(RandomGateway());
  const uint64_t gap = kShortestRestoreGapMs + random.Below(kRestoreGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { LoseStoreAgain(); });
}

void SoakSchedule::DisturbRunnersAgain() {
  if (stopped_) return;
  Random& random = fleet_->random();
  RunnerFaults closes;
  closes.closings = kClosingShare;
  fleet_->InjectRunnerFaults(RandomRunner(), closes, "turns calls away", kClosingTime, true);
  if (random.Below(2) == 0) fleet_->DrainRunner(RandomRunner());
  // The list of runners does not tell of it then.
  if (random.Below(3) == 0) {
    StoreFaults silent;
    silent.silent = true;
    fleet_->InjectStoreFaults(silent, "silent", kClosingTime, false);
  }
  const uint64_t gap = kShortestUnwillingGapMs + random.Below(kUnwillingGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { DisturbRunnersAgain(); });
}

void SoakSchedule::CutWatchesAgain() {
  if (stopped_) return;
  Random& random = fleet_->random();
  fleet_->CutWatches();
  if (random.Below(4) == 0) fleet_->DrainRunner(RandomRunner(), true);
  const uint64_t gap = kShortestCutGapMs + random.Below(kCutGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { CutWatchesAgain(); });
}

void SoakSchedule::StopTogetherAgain() {
  if (stopped_) return;
  const size_t first = RandomGateway();
  for (size_t index = 0; index <= fleet_->gateways() / 2; ++index) {
    fleet_->StopGateway((first + index) % fleet_->gateways());
  }
  const uint64_t gap = kShortestStopGapMs + fleet_->random().Below(kStopGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { StopTogetherAgain(); });
}

void SoakSchedule::DisturbProcessesAgain() {
  if (stopped_) return;
  Random& random = fleet_->random();
  const size_t index = random.Below(fleet_->processes().size());
  if (random.Below(2) == 0) {
    fleet_->KillProcess(index);
  } else {
    fleet_->PauseProcess(index, RandomDuration());
  }
  const uint64_t gap = kShortestProcessGapMs + random.Below(kProcessGapSpreadMs);
  fleet_->loop()->After(Millis(gap), [this] { DisturbProcessesAgain(); });
}

void SoakSchedule::ScheduleNext() {
  const auto gap =
      static_cast<int64_t>(fleet_->random().Exponential(static_cast<double>(mean_gap_.count())));
  fleet_->loop()->After(Millis(gap), [this] {
    if (stopped_) return;
    do {
      events_[fleet_->random().Below(events_.size())].inject();
    } while (fleet_->random().Unit() < kSeriesProbability);
    ScheduleNext();
  });
}

void SoakSchedule::AddGatewayEvents() {
  events_.push_back({"stop", [this] { fleet_->StopGateway(RandomGateway()); }, true});
  events_.push_back({"rolling stop", [this] {
                       for (size_t index = 0; index < fleet_->gateways(); ++index) {
                         fleet_->loop()->After(Seconds(index), [this, index] {
                           if (!stopped_) fleet_->StopGateway(index);
                         });
                       }
                     }});
  events_.push_back({"kill", [this] { fleet_->KillGateway(RandomGateway()); }});
  events_.push_back({"kill all", [this] {
                       for (size_t index = 0; index < fleet_->gateways(); ++index) {
                         fleet_->KillGateway(index);
                       }
                     }});
  events_.push_back({"pause", [this] { fleet_->PauseGateway(RandomGateway(), RandomDuration()); }});
  events_.push_back({"reload", [this] { fleet_->ReloadGateway(RandomGateway(), false); }});
  events_.push_back({"broken settings", [this] { fleet_->ReloadGateway(RandomGateway(), true); }});
  events_.push_back({"caller link", [this] {
                       fleet_->InjectLinkFault(LinkEnd::kCallers, RandomGateway(),
                                               RandomLinkFault(), RandomDuration());
                     }});
  events_.push_back({"store link", [this] {
                       fleet_->InjectLinkFault(LinkEnd::kStore, RandomGateway(), RandomLinkFault(),
                                               RandomDuration());
                     }});
  events_.push_back({"configuration", [this] { fleet_->ChangeConfig(); }, true});
}

void SoakSchedule::AddStoreEvents() {
  const auto add_faults = [this](const char* name, const StoreFaults& faults, bool entries_expire) {
    events_.push_back({name, [this, name, faults, entries_expire] {
                         fleet_->InjectStoreFaults(faults, name, RandomDuration(), entries_expire);
                       }});
  };
  StoreFaults silent;
  silent.silent = true;
  add_faults("store silent", silent, false);
  StoreFaults busy;
  busy.busy = true;
  add_faults("store busy", busy, false);
  add_faults("store busy, entries lapse", busy, true);
  StoreFaults slow;
  slow.delay = Millis(200);
  add_faults("store slow", slow, false);
  StoreFaults loses;
  loses.lost_answers = 0.4;
  loses.late_writes = 0.3;
  loses.late_by = Millis(1'500);
  add_faults("store loses answers", loses, false);
  events_.push_back({"history dropped", [this] { fleet_->DropHistory(); }});
  events_.push_back({"foreign entry", [this] { fleet_->WriteInvalidEntry(); }});
}

void SoakSchedule::AddRunnerEvents() {
  const auto add_faults = [this](const char* name, const RunnerFaults& faults) {
    events_.push_back({name, [this, name, faults] {
                         fleet_->InjectRunnerFaults(RandomRunner(), faults, name, RandomDuration());
                       }});
  };
  RunnerFaults fails;
  fails.errors = 0.3;
  fails.rejections = 0.2;
  fails.lost_answers = 0.1;
  fails.cut_answers = 0.1;
  add_faults("runner fails calls", fails);
  RunnerFaults slow;
  slow.slow_factor = 20;
  add_faults("runner slow", slow);
  RunnerFaults late;
  late.late_orders = 0.5;
  add_faults("orders late", late);
  RunnerFaults silent;
  silent.silent = true;
  add_faults("runner silent", silent);
  events_.push_back({"runner link", [this] {
                       fleet_->InjectLinkFault(LinkEnd::kRunner, RandomRunner(), RandomLinkFault(),
                                               RandomDuration());
                     }});
  events_.push_back(
      {"runner crash", [this] { fleet_->CrashRunner(RandomRunner(), RandomDuration(), false); }});
  events_.push_back({"runner restart under its id",
                     [this] { fleet_->CrashRunner(RandomRunner(), Millis(kShortestMs), true); }});
  events_.push_back({"runner leaves", [this] { fleet_->DrainRunner(RandomRunner()); }, true});
  events_.push_back({"address reused", [this] { fleet_->ReuseAddress(RandomRunner()); }});
  events_.push_back({"address reused while a gateway hears nothing of it", [this] {
                       fleet_->InjectLinkFault(LinkEnd::kStore, RandomGateway(), LinkFault::kDark,
                                               Millis(kLongestMs));
                       fleet_->ReuseAddress(RandomRunner());
                     }});
}

}  // namespace shallot::soak
