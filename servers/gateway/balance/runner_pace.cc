#include "servers/gateway/balance/runner_pace.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {
namespace {

double Ratio(Duration time, Millis unit) {
  return std::chrono::duration<double>(time) / std::chrono::duration<double>(unit);
}

}  // namespace

double RunnerPace::Lasting(SteadyTime now) const {
  if (!at_) return 1.0;
  const Duration silent = std::max(Duration(0), now - *at_ - Duration(kForgetAfter));
  return 1.0 + (lasting_ - 1.0) * std::exp2(-Ratio(silent, kForgetHalfLife));
}

void RunnerPace::OnReport(double pace, SteadyTime now) {
  const double bounded = std::clamp(pace, kFastest, kSlowest);
  const Duration passed = at_ ? now - *at_ : Duration(kValueTime);
  lasting_ = Lasting(now);
  // Reports that arrive together show the same moment, so the weight of each depends on the time
  // since the one before. The first ones count equally.
  const double share = std::min(1.0, Ratio(passed, kValueTime));
  const double by_time = 1.0 - std::exp(-share * Ratio(kValueTime, kLastingTime));
  values_ = 1.0 + (values_ - 1.0) * std::exp2(-Ratio(passed, kForgetHalfLife)) + share;
  lasting_ += std::max(by_time, share / values_) * (bounded - lasting_);
  const double present_weight = at_ ? 1.0 - std::exp(-Ratio(passed, kPresentTime)) : 1.0;
  present_ += present_weight * (bounded - present_);
  at_ = now;
}

double RunnerPace::Expected(Millis over, SteadyTime now) const {
  if (!at_) return 1.0;
  const double lasting = Lasting(now);
  const double length = std::max(1e-3, Ratio(over, kInterference));
  const double share = (1.0 - std::exp(-length)) / length;
  const double left = std::exp(-Ratio(now - *at_, kInterference));
  return std::clamp(lasting + (present_ - lasting_) * share * left, kFastest, kSlowest);
}

}  // namespace shallot::gateway
