#ifndef SERVERS_GATEWAY_RUNNER_HEALTH_H_
#define SERVERS_GATEWAY_RUNNER_HEALTH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/circuit_breaker.h"

namespace shallot::gateway {

/// What this gateway has seen of one runner: its own calls and their outcomes. Load pattern:
/// runners that fail or slow down while their status check is good.
struct RunnerHealth {
  /// Weight of the newest outcome; about eight outcomes decide.
  static constexpr double kOutcomeWeight = 0.12;
  /// Outcomes lose half of their weight in this time, so that a recovered runner is tried again.
  static constexpr Millis kFailureHalfLife{3'000};
  /// Time without calls after a connection was refused or timed out. It does not grow: a runner
  /// that was slow to answer for a moment would be left out for half a minute.
  static constexpr Millis kUnreachablePause{1'000};
  /// Pause for a model after a rejection, doubled up to the longest by each further one.
  static constexpr Millis kFirstRejectionPause{100};
  static constexpr Millis kLongestRejectionPause{800};
  /// Largest factor by which an observed first event counts as slower than predicted.
  static constexpr double kMostSlowness = 8.0;

  uint64_t in_flight = 0;
  /// Prompt tokens of own calls whose first event has not come.
  double pending_tokens = 0;
  /// Calls running and waiting at the runner as it last reported, and when.
  uint64_t reported_running = 0;
  uint64_t reported_waiting = 0;
  std::optional<SteadyTime> reported_at;
  /// Time of the first event against its prediction, smoothed; 1 is as predicted.
  double slowness = 1.0;
  CircuitBreaker breaker;

  void OnSuccess(SteadyTime now);
  void OnFailure(SteadyTime now, bool counts_for_breaker);
  /// The runner took no connection: nothing is sent to it for a while, because each further try
  /// costs its caller the connect timeout.
  void OnUnreachable(SteadyTime now);
  /// The runner answered something.
  void OnReachable() { unreachable_until_ = SteadyTime::min(); }
  /// Whether calls may be sent now.
  bool Available(SteadyTime now) const { return now >= unreachable_until_ && breaker.Allows(now); }
  /// `factor`: observed time of the first event over the predicted one.
  void OnFirstEvent(double factor);
  /// The runner rejected a call for the model, for example because it is being unloaded.
  void OnModelRejected(const std::string& model, SteadyTime now);
  void OnModelServed(const std::string& model) { rejections_.erase(model); }
  /// Whether calls for the model are held back for now. Each of them would draw on the retry
  /// budget.
  bool ModelHeldBack(const std::string& model, SteadyTime now) const;
  /// Share of recent calls that failed, 0 to 1, fading with time.
  double FailureRate(SteadyTime now) const;

 private:
  struct Rejection {
    Millis pause{0};
    SteadyTime until{};
  };

  std::map<std::string, Rejection> rejections_;
  SteadyTime unreachable_until_ = SteadyTime::min();
  double failure_rate_ = 0;
  SteadyTime rated_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_HEALTH_H_
