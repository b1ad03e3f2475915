#include "servers/gateway/runner_picker.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {
namespace {

/// Time over which a runner's pace counts: the first event and the stream that follows it.
constexpr Millis kCallTime{2'000};
/// Calls added to a share when a surplus is compared with it, so that a few calls of a gateway with
/// little traffic do not outweigh a cached prefix.
constexpr double kUncountedSends = 3;
/// Calls added to a mean load when a surplus is compared with it, because a runner that is mostly
/// idle has a mean that varies by chance.
constexpr double kUncountedLoad = 0.5;
/// Smallest change of a runner's lasting pace that is reported to the placement leader.
constexpr double kPaceChange = 0.1;
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
      policy_->bound_runner_memory && memory_ != nullptr && query.engine != nullptr &&
      !query.ignore_memory &&
      !memory_->HasRoom({runner.entry.id, runner.entry.born}, query.engine->kv_capacity_tokens,
                        query.call->MemoryTokens(), now);
  return paused || excluded || full || no_room;
}

std::vector<RunnerPicker::Candidate> RunnerPicker::FindCandidates(const Query& query,
                                                                  SteadyTime now,
                                                                  PickError* problem) {
  std::vector<Candidate> candidates;
  *problem = PickError::kNoRunner;
  for (const auto& [id, runner] : view_->runners()) {
    if (runner.entry.backend != query.backend) continue;
    const bool holds = query.engine == nullptr ||
                       runner.entry.holdings.Holds(query.call->model, query.call->adapter);
    // Most runners of a large fleet hold another model, and the first one shows that some exist.
    if (!holds && *problem != PickError::kNoRunner) continue;
    const RunnerHealth& health = health_[id];
    PickedRunner picked;
    picked.runner = id;
    picked.willingness = AssessWillingness(runner, health, limits_, now);
    if (picked.willingness.state == Willingness::State::kLeaving) continue;
    if (*problem == PickError::kNoRunner) *problem = PickError::kModelNotLoaded;
    if (!holds) continue;
    // Placement loads the model elsewhere: a call that waits for that can succeed, one that is sent
    // to an unreachable runner cannot.
    if (query.engine != nullptr && !health.Available(now)) continue;
    // The time at which a closed runner opens is known, so a call can wait for it.
    const bool closed = picked.willingness.state == Willingness::State::kClosed;
    if (!closed && Pausing(query, runner, health, now)) {
      *problem = PickError::kAllBusy;
      continue;
    }
    picked.pace = health.pace.Expected(kCallTime, now);
    candidates.push_back({&runner, &health, picked});
  }
  if (!candidates.empty()) *problem = PickError::kNone;
  return candidates;
}

RunnerPicker::Usual RunnerPicker::UsualOf(const std::vector<Candidate>& candidates,
                                          SteadyTime now) const {
  Usual usual;
  usual.balance = policy_->balance == BalanceScope::kAll ||
                  std::any_of(candidates.begin(), candidates.end(), [](const Candidate& candidate) {
                    return candidate.health->pace.known();
                  });
  uint64_t fresh = 0;
  for (const Candidate& candidate : candidates) {
    const RunnerHealth& health = *candidate.health;
    Usual::Group& group = usual.groups[GroupOf(candidate)];
    group.sends += health.sends.Recent(now);
    group.speed += 1.0 / candidate.picked.pace;
    if (health.reported_at) {
      group.load += health.mean_load.Value(0, now);
      ++group.reported;
    }
    if (!health.ReportFresh(now)) continue;
    usual.calls += health.CallsAt(0, now);
    ++fresh;
  }
  if (fresh > 0) usual.calls /= static_cast<double>(fresh);
  for (Usual::Group& group : usual.groups) {
    if (group.speed > 0) group.sends /= group.speed;
    if (group.reported > 0) group.load /= static_cast<double>(group.reported);
  }
  return usual;
}

size_t RunnerPicker::GroupOf(const Candidate& candidate) const {
  return policy_->even_across_domains || candidate.runner->entry.domain == own_domain_ ? 0 : 1;
}

double RunnerPicker::SurplusCost(const Candidate& candidate, const Usual& usual,
                                 SteadyTime now) const {
  if (!usual.balance) return 0;
  const RunnerHealth& health = *candidate.health;
  const Usual::Group& group = usual.groups[GroupOf(candidate)];
  const double share = group.sends / candidate.picked.pace;
  const double sends = (health.sends.Recent(now) - share) / (share + kUncountedSends);
  const double load =
      (health.mean_load.Value(group.load, now) - group.load) / (group.load + kUncountedLoad);
  return sends * static_cast<double>(policy_->send_surplus_cost.count()) +
         load * static_cast<double>(policy_->load_surplus_cost.count());
}

void RunnerPicker::Score(const Query& query, const Usual& usual, SteadyTime now,
                         Candidate* candidate) const {
  const RunnerState& runner = *candidate->runner;
  const RunnerHealth& health = *candidate->health;
  PickedRunner& picked = candidate->picked;
  double calls = 0;
  if (usual.balance && policy_->load_estimate == LoadEstimate::kCounted) {
    calls = health.CallsAt(usual.calls, now);
  } else if (health.ReportFresh(now)) {
    calls = static_cast<double>(std::max(health.in_flight, health.reported_running) +
                                health.reported_waiting);
  } else {
    calls = static_cast<double>(health.in_flight);
  }
  double first_event_ms = 0;
  if (query.engine != nullptr) {
    picked.kept_tokens =
        prefixes_.KeptTokens(runner.entry.id, query.call->PrefixScope(), query.call->prompt);
    const double uncached = std::max(0.0, static_cast<double>(query.call->prompt_tokens) -
                                              static_cast<double>(picked.kept_tokens));
    first_event_ms =
        (uncached + health.TokensAhead(query.urgency, now)) / policy_->prefill_tokens_per_ms +
        calls * static_cast<double>(policy_->in_flight_cost.count());
  } else {
    const double slots = std::max<double>(1.0, static_cast<double>(runner.entry.slots));
    const double service_ms =
        kPlainServiceShare * static_cast<double>(query.target_latency.count());
    first_event_ms = service_ms * (1.0 + calls / slots);
  }
  // The observed slowness is relative to a prediction that contains the pace, so it holds only what
  // the runner does not state.
  picked.slowness = health.Slowness(query.urgency, now);
  first_event_ms *= picked.pace * picked.slowness;
  picked.predicted = Millis(static_cast<int64_t>(first_event_ms));
  double score = first_event_ms + SurplusCost(*candidate, usual, now);
  score += static_cast<double>(picked.willingness.wait.count());
  score +=
      health.FailureRate(now) * kFailureCost * static_cast<double>(query.target_latency.count());
  if (runner.entry.domain != own_domain_) {
    score += static_cast<double>(policy_->cross_domain_cost.count());
  }
  const bool tried = query.tried != nullptr && query.tried->contains(runner.entry.id);
  const bool available = health.Available(now);
  if (tried) score += kTriedCostMs;
  if (!available) score += kUnavailableCostMs;
  candidate->score = score;
  candidate->ready = !tried && available && picked.willingness.wait == Millis(0);
}

RunnerChoice& RunnerPicker::Choice(ChoiceKind kind) {
  std::unique_ptr<RunnerChoice>& choice = choices_[kind];
  if (choice == nullptr) choice = RunnerChoice::Make(kind, &random_);
  return *choice;
}

std::optional<PickedRunner> RunnerPicker::Pick(const Query& query, SteadyTime now,
                                               PickError* problem) {
  std::vector<Candidate> candidates = FindCandidates(query, now, problem);
  if (candidates.empty()) return std::nullopt;
  const Usual usual = UsualOf(candidates, now);
  for (Candidate& candidate : candidates) Score(query, usual, now, &candidate);
  const auto lowest = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.score < right.score; });
  // Without a runner that can take the call now, it waits for the one with the lowest score.
  if (!lowest->ready) return lowest->picked;
  // The strategy chooses within the group of that runner, so that it sends no calls to another
  // failure domain by chance.
  std::vector<size_t> ready;
  std::vector<ScoredRunner> scored;
  for (size_t index = 0; index < candidates.size(); ++index) {
    if (!candidates[index].ready || GroupOf(candidates[index]) != GroupOf(*lowest)) continue;
    ready.push_back(index);
    scored.push_back({candidates[index].score, candidates[index].picked.kept_tokens});
  }
  RunnerChoice& choice = Choice(usual.balance ? policy_->choice : ChoiceKind::kLowest);
  PickedRunner picked = candidates[ready[choice.Choose(scored)]].picked;
  picked.candidates = ready.size();
  return picked;
}

std::map<RunnerId, double> RunnerPicker::TakePaceChanges(SteadyTime now) {
  std::map<RunnerId, double> changes;
  for (const auto& [id, pace] : LastingPaces(now)) {
    const auto [reported, fresh] = reported_paces_.try_emplace(id, pace);
    if (!fresh && std::abs(reported->second - pace) < kPaceChange) continue;
    reported->second = pace;
    changes[id] = pace;
  }
  return changes;
}

void RunnerPicker::Forget(const RunnerId& runner) {
  const auto found = health_.find(runner);
  if (found != health_.end()) found->second.ForgetObservations();
  reported_paces_.erase(runner);
  prefixes_.Forget(runner);
}

std::map<BackendName, BalanceSummary> RunnerPicker::Summarize(SteadyTime now) const {
  struct Sums {
    double sends = 0;
    double most = 0;
    double paces = 0;
  };
  std::map<BackendName, BalanceSummary> summaries;
  std::map<BackendName, Sums> sums;
  for (const auto& [id, runner] : view_->runners()) {
    const auto found = health_.find(id);
    const double sends = found == health_.end() ? 0.0 : found->second.sends.Recent(now);
    const double pace = found == health_.end() ? 1.0 : found->second.pace.Lasting(now);
    BalanceSummary& summary = summaries[runner.entry.backend];
    summary.slowest_pace = summary.runners == 0 ? pace : std::max(summary.slowest_pace, pace);
    ++summary.runners;
    Sums& sum = sums[runner.entry.backend];
    sum.sends += sends;
    sum.most = std::max(sum.most, sends);
    sum.paces += pace;
  }
  for (auto& [backend, summary] : summaries) {
    const Sums& sum = sums[backend];
    const auto runners = static_cast<double>(summary.runners);
    summary.mean_pace = sum.paces / runners;
    if (sum.sends > 0) summary.send_spread = sum.most * runners / sum.sends;
  }
  return summaries;
}

std::map<RunnerId, double> RunnerPicker::LastingPaces(SteadyTime now) const {
  std::map<RunnerId, double> paces;
  for (const auto& [id, health] : health_) {
    if (health.pace.known()) paces[id] = health.pace.Lasting(now);
  }
  return paces;
}

std::set<RunnerId> RunnerPicker::Unreachable(SteadyTime now) const {
  std::set<RunnerId> unreachable;
  for (const auto& [id, health] : health_) {
    if (!health.Available(now)) unreachable.insert(id);
  }
  return unreachable;
}

}  // namespace shallot::gateway
