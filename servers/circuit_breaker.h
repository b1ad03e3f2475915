#ifndef SERVERS_CIRCUIT_BREAKER_H_
#define SERVERS_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "core/clock.h"

namespace shallot {

/// Blocks calls to a runner after kFailureLimit consecutive connection or backend failures. After a
/// pause one probe call is allowed; its result closes the breaker or doubles the pause.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kHalfOpen };

  static constexpr uint64_t kFailureLimit = 5;
  static constexpr Millis kFirstPause{1'000};
  static constexpr Millis kLongestPause{30'000};
  /// A probe without a result after this time counts as lost, and another one is allowed.
  static constexpr Millis kProbeTimeout{10'000};

  State state(SteadyTime now) const;
  /// True when a call may be sent now.
  bool Allows(SteadyTime now) const;
  /// Records that a call is being sent; in half-open state that call becomes the probe.
  void OnAttempt(SteadyTime now);
  /// The call ended without showing whether the runner works; the next call may be the probe.
  void OnProbeEnded() { probing_ = false; }
  void OnSuccess();
  void OnFailure(SteadyTime now);

 private:
  uint64_t failures_ = 0;
  bool open_ = false;
  bool probing_ = false;
  Millis pause_{kFirstPause};
  SteadyTime retry_at_;
  SteadyTime probe_until_;
};

/// Name of a state as used in /status, for example "half-open".
const char* BreakerStateName(CircuitBreaker::State state);

}  // namespace shallot

#endif  // SERVERS_CIRCUIT_BREAKER_H_
