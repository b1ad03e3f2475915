#include "servers/gateway/retry_share.h"

#include <algorithm>

namespace shallot::gateway {
namespace {

/// Maximum remembered calls; 16,000 calls/s over 340 gateways are 470 per gateway in 10 s.
constexpr size_t kMaxRemembered = 4'096;

void DropBefore(std::deque<SteadyTime>* times, SteadyTime oldest) {
  while (!times->empty() && (times->front() < oldest || times->size() > kMaxRemembered)) {
    times->pop_front();
  }
}

}  // namespace

void RetryShare::Expire(SteadyTime now) {
  DropBefore(&calls_, now - policy_->retry_window);
  DropBefore(&retries_, now - policy_->retry_window);
}

void RetryShare::OnCall(SteadyTime now) {
  calls_.push_back(now);
  Expire(now);
}

bool RetryShare::TryRetry(SteadyTime now, uint64_t gateways) {
  Expire(now);
  const double slack = policy_->retry_slack / static_cast<double>(std::max<uint64_t>(gateways, 1));
  const double limit =
      policy_->retry_margin * (policy_->retry_ratio * static_cast<double>(calls_.size()) + slack);
  if (static_cast<double>(retries_.size()) + 1.0 > limit) return false;
  retries_.push_back(now);
  return true;
}

}  // namespace shallot::gateway
