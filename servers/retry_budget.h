#ifndef SERVERS_RETRY_BUDGET_H_
#define SERVERS_RETRY_BUDGET_H_

#include <optional>

#include "core/clock.h"

namespace shallot {

/// Token bucket that limits retries to a share of the calls, so that retries cannot multiply the
/// load of an overloaded fleet. Not thread-safe.
class RetryBudget {
 public:
  /// Initial and maximum number of tokens; allows a few retries on a router with little traffic.
  static constexpr double kBurst = 10.0;

  /// `ratio`: retries as a share of calls, 0 to 1.
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  void SetRatio(double ratio) { ratio_ = ratio; }
  /// Tokens added per second regardless of traffic, so that calls waiting for a token get one.
  static constexpr double kRefillPerSecond = 2.0;

  /// Adds the share of a token that a new call earns.
  void OnCall();
  /// Adds the tokens accrued since the last refill.
  void Refill(SteadyTime now);
  /// Takes one token; false when there is none.
  bool TryRetry();
  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double tokens_ = kBurst;
  std::optional<SteadyTime> refilled_at_;
};

}  // namespace shallot

#endif  // SERVERS_RETRY_BUDGET_H_
