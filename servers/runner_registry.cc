#include "servers/runner_registry.h"

#include <algorithm>
#include <utility>

namespace shallot {
namespace {

/// A runner that is missing from more than this many lists is removed.
constexpr uint64_t kMissesUntilForgotten = 3600;
/// Target utilization of a runner's concurrency in placement.
constexpr double kTargetUtilization = 0.7;
/// Assumes a concurrency of 8 and 2 s per call when there are no reports.
constexpr double kDefaultCallsPerReplica = kTargetUtilization * 8 / 2;

}  // namespace

RunnerRegistry::RunnerRegistry(const Clock* clock, InstanceId self)
    : clock_(clock), self_(std::move(self)) {}

void RunnerRegistry::OnList(const std::vector<InstanceRecord>& list) {
  const bool credible = std::any_of(list.begin(), list.end(), [this](const InstanceRecord& record) {
    return record.id == self_;
  });
  ++lists_;
  std::vector<InstanceRecord> sorted = list;
  std::sort(sorted.begin(), sorted.end(),
            [](const InstanceRecord& a, const InstanceRecord& b) { return a.id < b.id; });
  // While the first lists arrive, misses count up to the limits, so a plan may change even if the
  // lists do not differ.
  if (sorted != list_ || lists_ <= kListsUntilUnseenGone) last_changed_list_ = lists_;
  if (lists_ - last_changed_list_ <= kMissesUntilGone) ++changes_;
  list_ = std::move(sorted);
  if (credible) {
    for (auto& [id, known] : known_) ++known.misses;
  }
  routers_.clear();
  std::map<RunnerId, bool> listed;
  for (const InstanceRecord& record : list_) {
    if (record.role == PeerRole::kRouter) {
      routers_.push_back(record);
      continue;
    }
    // A replaced instance may be listed along with its successor; the live one is used.
    if (listed.contains(record.runner) && record.leaving) continue;
    listed[record.runner] = true;
    known_[record.runner] = {record, 0};
  }
  std::erase_if(known_,
                [](const auto& item) { return item.second.misses > kMissesUntilForgotten; });
}

void RunnerRegistry::OnReport(const RunnerId& runner, const Heartbeat& heartbeat) {
  Report& report = reports_[runner];
  const bool same = report.heartbeat.draining == heartbeat.draining &&
                    report.heartbeat.load.serving == heartbeat.load.serving &&
                    report.heartbeat.load.memory_capacity == heartbeat.load.memory_capacity;
  if (!same) ++changes_;
  report = {heartbeat, clock_->SteadyNow()};
}

void RunnerRegistry::OnActiveSlotReleased(const RunnerId& runner) {
  if (!released_slot_at_.contains(runner)) ++changes_;
  released_slot_at_[runner] = clock_->SteadyNow();
}

bool RunnerRegistry::IsGone(const RunnerId& runner) const {
  const auto it = known_.find(runner);
  if (it == known_.end()) return lists_ >= kListsUntilUnseenGone;
  return it->second.misses >= kMissesUntilGone;
}

PlannerRunner RunnerRegistry::Describe(const Known& known) const {
  PlannerRunner runner;
  runner.id = known.record.runner;
  runner.backend = known.record.backend;
  runner.failure_domain = known.record.failure_domain;
  if (known.misses > 0) runner.state = PlannerRunner::State::kMissing;
  if (known.record.leaving) runner.state = PlannerRunner::State::kLeaving;
  const SteadyTime now = clock_->SteadyNow();
  const auto released = released_slot_at_.find(runner.id);
  if (released != released_slot_at_.end() && now - released->second <= kMaxReportAge) {
    runner.state = PlannerRunner::State::kLeaving;
  }
  const auto it = reports_.find(runner.id);
  if (it == reports_.end()) return runner;
  const LoadSummary& load = it->second.heartbeat.load;
  runner.memory_capacity = load.memory_capacity;
  runner.loaded.insert(load.loaded.begin(), load.loaded.end());
  runner.cached_in_memory.insert(load.cached_in_memory.begin(), load.cached_in_memory.end());
  runner.cached_on_disk.insert(load.cached_on_disk.begin(), load.cached_on_disk.end());
  if (now - it->second.received > kMaxReportAge) return runner;
  runner.serving = load.serving;
  if (it->second.heartbeat.draining) runner.state = PlannerRunner::State::kLeaving;
  return runner;
}

std::vector<PlannerRunner> RunnerRegistry::Runners() const {
  std::vector<PlannerRunner> runners;
  for (const auto& [id, known] : known_) {
    if (known.misses < kMissesUntilGone) runners.push_back(Describe(known));
  }
  return runners;
}

PlannerRunner RunnerRegistry::MissingRunner(const RunnerId& runner, const BackendName& backend) {
  PlannerRunner missing;
  missing.id = runner;
  missing.backend = backend;
  missing.state = PlannerRunner::State::kMissing;
  return missing;
}

double RunnerRegistry::CallsPerReplica() const {
  double total = 0;
  uint64_t count = 0;
  for (const auto& [runner, report] : reports_) {
    const LoadSummary& load = report.heartbeat.load;
    if (load.concurrency == 0 || load.mean_service <= Millis(0)) continue;
    const double seconds = static_cast<double>(load.mean_service.count()) / 1000;
    total += kTargetUtilization * static_cast<double>(load.concurrency) / seconds;
    ++count;
  }
  return count == 0 ? kDefaultCallsPerReplica : total / static_cast<double>(count);
}

}  // namespace shallot
