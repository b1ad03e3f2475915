#include "servers/retry_budget.h"

#include <algorithm>

namespace shallot {

void RetryBudget::OnCall() { tokens_ = std::min(kBurst, tokens_ + ratio_); }

void RetryBudget::Refill(SteadyTime now) {
  const Duration elapsed = refilled_at_.has_value() ? now - *refilled_at_ : Duration(0);
  refilled_at_ = now;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  tokens_ = std::min(kBurst, tokens_ + seconds * kRefillPerSecond);
}

bool RetryBudget::TryRetry() {
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace shallot
