#include "servers/gateway/runner_health.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace shallot::gateway {
namespace {

/// Reported load older than this is ignored; a report comes with each response.
constexpr Millis kMaxReportedLoadAge{500};
/// Time constant of the weight of a reported load: calls that it counts have ended and others have
/// begun by then.
constexpr Millis kReportedLoadLife{1'000};

size_t Level(uint64_t urgency) {
  return std::min<size_t>(urgency, RunnerHealth::kUrgencyLevels - 1);
}

/// Weight that an observation still has after `age`.
double WeightAfter(Duration age, Millis half_life) {
  const std::chrono::duration<double> passed = age;
  const std::chrono::duration<double> half = half_life;
  return std::exp2(-passed / half);
}

}  // namespace

double RunnerHealth::FailureRate(SteadyTime now) const {
  return failure_rate_ * WeightAfter(now - failure_rate_at_, kFailureHalfLife);
}

double RunnerHealth::Slowness(uint64_t urgency, SteadyTime now) const {
  const SmoothedFactor& slowness = slowness_[Level(urgency)];
  return 1.0 + (slowness.value - 1.0) * WeightAfter(now - slowness.at, kSlownessHalfLife);
}

void RunnerHealth::Close(Millis time, SteadyTime now) {
  next_call_ = std::max(next_call_, now + Duration(std::min(time, kLongestClosed)));
  paced_until_ = next_call_ + Duration(kReopenTime);
  closed_ = true;
}

Millis RunnerHealth::ClosedFor(SteadyTime now) const {
  return now >= next_call_ ? Millis(0) : std::chrono::ceil<Millis>(next_call_ - now);
}

void RunnerHealth::OnLoad(uint64_t running, uint64_t waiting, std::optional<double> stated_pace,
                          SteadyTime now) {
  reported_running = running;
  reported_waiting = waiting;
  reported_at = now;
  sends.OnReport(now);
  mean_load.OnReport(running + waiting, now);
  if (stated_pace) pace.OnReport(*stated_pace, now);
}

double RunnerHealth::CallsAt(double usual, SteadyTime now) const {
  double calls = usual;
  if (reported_at) {
    const std::chrono::duration<double> age = now - *reported_at;
    const double weight = std::exp(-age / std::chrono::duration<double>(kReportedLoadLife));
    const uint64_t reported = reported_running + reported_waiting;
    const uint64_t left = reported - std::min(reported, sends.EndedSince());
    calls += weight * (static_cast<double>(left) - usual);
  }
  return std::max(calls + static_cast<double>(sends.Unreported()), static_cast<double>(in_flight));
}

bool RunnerHealth::OnSent(SteadyTime now) {
  sends.OnSent(now);
  if (now < paced_until_) next_call_ = std::max(next_call_, now + Duration(kReopenGap));
  return std::exchange(closed_, false);
}

bool RunnerHealth::ReportFresh(SteadyTime now) const {
  return reported_at && now - *reported_at < Duration(kMaxReportedLoadAge);
}

void RunnerHealth::AddPending(uint64_t urgency, double tokens) {
  pending_tokens_[Level(urgency)] += tokens;
  mean_tokens_ += kOutcomeWeight * (tokens - mean_tokens_);
}

void RunnerHealth::RemovePending(uint64_t urgency, double tokens) {
  double& pending = pending_tokens_[Level(urgency)];
  pending = std::max(0.0, pending - tokens);
}

double RunnerHealth::TokensAhead(uint64_t urgency, SteadyTime now) const {
  const auto end = pending_tokens_.begin() + static_cast<std::ptrdiff_t>(Level(urgency) + 1);
  const double ahead = std::accumulate(pending_tokens_.begin(), end, 0.0);
  if (!ReportFresh(now)) return ahead;
  // The report does not tell the urgency of the waiting calls: those of all gateways are assumed to
  // be mixed like this gateway's own.
  const double all = std::accumulate(end, pending_tokens_.end(), ahead);
  const double share = all > 0 ? ahead / all : 1.0;
  return std::max(ahead, static_cast<double>(reported_waiting) * mean_tokens_ * share);
}

void RunnerHealth::ForgetObservations() {
  next_call_ = SteadyTime::min();
  paced_until_ = SteadyTime::min();
  closed_ = false;
  RunnerHealth fresh;
  fresh.in_flight = in_flight;
  fresh.pending_tokens_ = pending_tokens_;
  fresh.sends = sends;
  *this = fresh;
}

void RunnerHealth::OnSuccess(SteadyTime now) {
  failure_rate_ = FailureRate(now) * (1 - kOutcomeWeight);
  failure_rate_at_ = now;
  breaker.OnSuccess();
  OnReachable();
}

void RunnerHealth::OnFailure(SteadyTime now, bool counts_for_breaker) {
  failure_rate_ = FailureRate(now) * (1 - kOutcomeWeight) + kOutcomeWeight;
  failure_rate_at_ = now;
  if (counts_for_breaker) breaker.OnFailure(now);
}

void RunnerHealth::OnUnreachable(SteadyTime now) {
  OnFailure(now, false);
  unreachable_until_ = now + kUnreachablePause;
}

void RunnerHealth::OnModelRejected(const std::string& model, SteadyTime now) {
  Rejection& rejection = rejections_[model];
  if (now < rejection.until) return;
  rejection.pause = std::clamp(rejection.pause * 2, kFirstRejectionPause, kMaxRejectionPause);
  rejection.until = now + rejection.pause;
}

bool RunnerHealth::ModelPaused(const std::string& model, SteadyTime now) const {
  const auto found = rejections_.find(model);
  return found != rejections_.end() && now < found->second.until;
}

void RunnerHealth::OnFirstEvent(uint64_t urgency, double factor, SteadyTime now) {
  const double bounded = std::clamp(factor, 0.5, kMaxSlowness);
  const double before = Slowness(urgency, now);
  slowness_[Level(urgency)] = {before + kOutcomeWeight * (bounded - before), now};
}

void RunnerHealth::OnNoFirstEvent(uint64_t urgency, double factor, SteadyTime now) {
  // The time is a lower bound, which says nothing if it is less than expected.
  if (factor > Slowness(urgency, now)) OnFirstEvent(urgency, factor, now);
}

}  // namespace shallot::gateway
