#include "tests/fault_random_run.h"

#include <array>
#include <functional>
#include <map>

#include "core/random.h"
#include "tests/fault_matrix_cell.h"

namespace shallot::composed {
namespace {

constexpr Millis kFaultTime{60'000};
constexpr Millis kMeanCallGap{250};
constexpr Millis kMeanFaultGap{4000};
constexpr Millis kMeanChangeGap{10'000};
constexpr Millis kLeavingTime{6000};
/// Few enough that order keys repeat.
constexpr uint64_t kOrderKeys = 40;
constexpr std::array<const char*, 5> kEntries = {"m1", "m2", "m3", "a1", "a2"};

class RandomFaults {
 public:
  explicit RandomFaults(uint64_t seed) : random_(seed), fleet_(seed) {}

  RandomRun Run() {
    start_ = fleet_.clock.SteadyNow();
    const SteadyTime until = start_ + kFaultTime;
    ScheduleRepeated(kMeanCallGap, until, [this] { Submit(); });
    ScheduleRepeated(kMeanFaultGap, until, [this] { BeginFault(); });
    ScheduleRepeated(kMeanChangeGap, until, [this] { fleet_.Change(); });
    while (!scheduled_.empty() && fleet_.violations().empty()) {
      RunDue();
      fleet_.Step();
    }
    if (fleet_.violations().empty()) CheckRecovery(fleet_);
    return {fleet_.violations(), events_};
  }

 private:
  /// Schedules an action repeatedly until `until`, with exponentially distributed pauses of mean
  /// `gap`, also before the first.
  void ScheduleRepeated(Millis gap, SteadyTime until, const std::function<void()>& action) {
    const Millis pause(1 +
                       static_cast<int64_t>(random_.Exponential(static_cast<double>(gap.count()))));
    const SteadyTime at = fleet_.clock.SteadyNow() + pause;
    if (at >= until) return;
    scheduled_.emplace(at, [this, gap, until, action] {
      action();
      ScheduleRepeated(gap, until, action);
    });
  }
  void RunDue() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= fleet_.clock.SteadyNow()) {
      const std::function<void()> action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
    }
  }
  void Submit() {
    const size_t router = random_.Below(ComposedFleet::kRouters);
    if (random_.Below(4) == 0) {
      fleet_.SubmitOrder(router, "key-" + std::to_string(random_.Below(kOrderKeys)));
      return;
    }
    fleet_.SubmitModel(router, kEntries.at(random_.Below(kEntries.size())), random_.Below(2) == 0);
  }
  void BeginFault() {
    const CellTarget target{random_.Below(ComposedFleet::kRunners),
                            random_.Below(ComposedFleet::kRouters), false};
    const std::vector<Fault>& faults = SingleFaults();
    const uint64_t choice = random_.Below(faults.size() + 2);
    if (choice == faults.size()) return Leave(target);
    if (choice == faults.size() + 1) return Drain(target);
    const Fault& fault = faults[choice];
    LogEvent(fault.name, target);
    for (const FaultAction& action : fault.actions) {
      scheduled_.emplace(fleet_.clock.SteadyNow() + action.at,
                         [this, run = action.run, target] { run(fleet_, target); });
    }
  }
  void Leave(const CellTarget& target) {
    LogEvent("listed as leaving", target);
    fleet_.SetLeaving(target.runner, true);
    scheduled_.emplace(fleet_.clock.SteadyNow() + kLeavingTime,
                       [this, target] { fleet_.SetLeaving(target.runner, false); });
  }
  void Drain(const CellTarget& target) {
    LogEvent("drain", target);
    fleet_.DrainAgent(target.runner);
  }
  void LogEvent(const std::string& what, const CellTarget& target) {
    const auto at = std::chrono::floor<Millis>(fleet_.clock.SteadyNow() - start_);
    events_.push_back(std::to_string(at.count()) + " ms: " + what + " (runner " +
                      std::to_string(target.runner) + ", router " + std::to_string(target.router) +
                      ")");
  }

  Random random_;
  ComposedFleet fleet_;
  SteadyTime start_;
  std::multimap<SteadyTime, std::function<void()>> scheduled_;
  std::vector<std::string> events_;
};

}  // namespace

RandomRun RunRandomFaults(uint64_t seed) { return RandomFaults(seed).Run(); }

}  // namespace shallot::composed
