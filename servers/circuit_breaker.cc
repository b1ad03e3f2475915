#include "servers/circuit_breaker.h"

#include <algorithm>

namespace shallot {

CircuitBreaker::State CircuitBreaker::state(SteadyTime now) const {
  if (!open_) return State::kClosed;
  return now < retry_at_ ? State::kOpen : State::kHalfOpen;
}

bool CircuitBreaker::Allows(SteadyTime now) const {
  switch (state(now)) {
    case State::kClosed:
      return true;
    case State::kOpen:
      return false;
    case State::kHalfOpen:
      return !probing_ || now >= probe_until_;
  }
  return false;
}

void CircuitBreaker::OnAttempt(SteadyTime now) {
  if (state(now) != State::kHalfOpen) return;
  probing_ = true;
  probe_until_ = now + kProbeTimeout;
}

void CircuitBreaker::OnSuccess() {
  failures_ = 0;
  open_ = false;
  probing_ = false;
  pause_ = kFirstPause;
}

void CircuitBreaker::OnFailure(SteadyTime now) {
  ++failures_;
  if (failures_ < kFailureLimit) return;
  if (open_ && now >= retry_at_) pause_ = std::min(pause_ * 2, kLongestPause);
  if (open_ && now < retry_at_) return;
  open_ = true;
  probing_ = false;
  retry_at_ = now + pause_;
}

const char* BreakerStateName(CircuitBreaker::State state) {
  switch (state) {
    case CircuitBreaker::State::kClosed:
      return "closed";
    case CircuitBreaker::State::kOpen:
      return "open";
    case CircuitBreaker::State::kHalfOpen:
      return "half-open";
  }
  return "closed";
}

}  // namespace shallot
