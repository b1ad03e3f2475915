#include "servers/gateway/runner_picker.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {
namespace {

/// Score added for a failure rate of 1, in target latencies.
constexpr double kFailureCost = 3.0;
/// Predicted service time of a plain service's call, relative to its target latency.
constexpr double kPlainServiceShare = 0.25;
/// Score added to a runner that this call has already tried, so that it is a last resort.
constexpr double kTriedCostMs = 100'000;
/// Score added to a runner that is unreachable or whose circuit breaker is open.
constexpr double kUnavailableCostMs = 200'000;

}  // namespace

bool RunnerPicker::Pausing(const Query& query, const RunnerState& runner,
                           const RunnerHealth& health, SteadyTime now) const {
  const bool paused = query.engine != nullptr && health.ModelPaused(query.call->model.value(), now);
  const bool excluded = query.excluded != nullptr && query.excluded->contains(runner.entry.id);
  const bool full = health.in_flight >= runner.entry.slots;
  const bool no_room =
      memory_ != nullptr && query.engine != nullptr && !query.ignore_memory &&
      !memory_->HasRoom({runner.entry.id, runner.entry.born}, query.engine->kv_capacity_tokens,
                        query.call->MemoryTokens(), now);
  return paused || excluded || full || no_room;
}

double RunnerPicker::Score(const Query& query, const RunnerState& runner,
                           const RunnerHealth& health, SteadyTime now, PickedRunner* picked) const {
  double first_event_ms = 0;
  const bool report_fresh = health.ReportFresh(now);
  const double busy =
      std::max<double>(static_cast<double>(health.in_flight),
                       report_fresh ? static_cast<double>(health.reported_running) : 0.0);
  const double waiting = report_fresh ? static_cast<double>(health.reported_waiting) : 0.0;
  if (query.engine != nullptr) {
    picked->kept_tokens =
        prefixes_.KeptTokens(runner.entry.id, query.call->PrefixScope(), query.call->prompt);
    const double uncached = std::max(0.0, static_cast<double>(query.call->prompt_tokens) -
                                              static_cast<double>(picked->kept_tokens));
    first_event_ms =
        (uncached + health.TokensAhead(query.urgency, now)) / policy_->prefill_tokens_per_ms +
        (busy + waiting) * static_cast<double>(policy_->in_flight_cost.count());
  } else {
    const double slots = std::max<double>(1.0, static_cast<double>(runner.entry.slots));
    const double service_ms =
        kPlainServiceShare * static_cast<double>(query.target_latency.count());
    first_event_ms = service_ms * (1.0 + (busy + waiting) / slots);
  }
  picked->slowness = health.Slowness(query.urgency, now);
  first_event_ms *= picked->slowness;
  picked->predicted = Millis(static_cast<int64_t>(first_event_ms));
  double score = first_event_ms;
  score += static_cast<double>(picked->willingness.wait.count());
  score +=
      health.FailureRate(now) * kFailureCost * static_cast<double>(query.target_latency.count());
  if (runner.entry.domain != own_domain_) {
    score += static_cast<double>(policy_->cross_domain_cost.count());
  }
  if (query.tried != nullptr && query.tried->contains(runner.entry.id)) score += kTriedCostMs;
  if (!health.Available(now)) score += kUnavailableCostMs;
  return score;
}

std::optional<PickedRunner> RunnerPicker::Pick(const Query& query, SteadyTime now,
                                               PickError* problem) {
  std::optional<PickedRunner> best;
  double best_score = 0;
  *problem = PickError::kNoRunner;
  for (const auto& [id, runner] : view_->runners()) {
    if (runner.entry.backend != query.backend) continue;
    const RunnerHealth& health = health_[id];
    PickedRunner candidate;
    candidate.runner = id;
    candidate.willingness = AssessWillingness(runner, health, limits_, now);
    if (candidate.willingness.state == Willingness::State::kLeaving) continue;
    if (*problem == PickError::kNoRunner) *problem = PickError::kModelNotLoaded;
    if (query.engine != nullptr &&
        !runner.entry.holdings.Holds(query.call->model, query.call->adapter)) {
      continue;
    }
    // Placement loads the model elsewhere: a call that waits for that can succeed, one that is sent
    // to an unreachable runner cannot.
    if (query.engine != nullptr && !health.Available(now)) continue;
    // The time at which a closed runner opens is known, so a call can wait for it.
    const bool closed = candidate.willingness.state == Willingness::State::kClosed;
    if (!closed && Pausing(query, runner, health, now)) {
      if (!best) *problem = PickError::kAllBusy;
      continue;
    }
    const double score = Score(query, runner, health, now, &candidate);
    if (best && score >= best_score) continue;
    best = candidate;
    best_score = score;
  }
  if (best) *problem = PickError::kNone;
  return best;
}

void RunnerPicker::Forget(const RunnerId& runner) {
  const auto found = health_.find(runner);
  if (found != health_.end()) found->second.ForgetObservations();
  prefixes_.Forget(runner);
}

std::set<RunnerId> RunnerPicker::Unreachable(SteadyTime now) const {
  std::set<RunnerId> unreachable;
  for (const auto& [id, health] : health_) {
    if (!health.Available(now)) unreachable.insert(id);
  }
  return unreachable;
}

}  // namespace shallot::gateway
