#include "servers/gateway/runner_health.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {

double RunnerHealth::FailureRate(SteadyTime now) const {
  const std::chrono::duration<double> age = now - failure_rate_at_;
  const std::chrono::duration<double> half_life = kFailureHalfLife;
  return failure_rate_ * std::exp2(-age / half_life);
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

void RunnerHealth::OnFirstEvent(double factor) {
  const double bounded = std::clamp(factor, 0.5, kMaxSlowness);
  slowness += kOutcomeWeight * (bounded - slowness);
}

}  // namespace shallot::gateway
