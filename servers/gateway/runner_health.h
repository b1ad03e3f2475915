#ifndef SERVERS_GATEWAY_RUNNER_HEALTH_H_
#define SERVERS_GATEWAY_RUNNER_HEALTH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/circuit_breaker.h"
#include "servers/gateway/balance/mean_load.h"
#include "servers/gateway/balance/own_sends.h"
#include "servers/gateway/balance/runner_pace.h"

namespace shallot::gateway {

/// This gateway's observations of one runner, from its own calls and their outcomes. Detects
/// runners that fail or slow down while their status check passes.
struct RunnerHealth {
  /// Weight of the newest outcome in the moving average, which spans about eight outcomes.
  static constexpr double kOutcomeWeight = 0.12;
  /// Half-life of an outcome's weight, so that a recovered runner is tried again.
  static constexpr Millis kFailureHalfLife{3'000};
  /// How long no calls are sent after a connection was refused or timed out. The pause is constant:
  /// a growing one would exclude a runner that was briefly slow to respond for half a minute.
  static constexpr Millis kUnreachablePause{1'000};
  /// Pause for a model after a rejection; doubled by each further rejection up to the maximum.
  static constexpr Millis kFirstRejectionPause{100};
  static constexpr Millis kMaxRejectionPause{800};
  /// Upper bound of the observed time to the first event over the predicted one.
  static constexpr double kMaxSlowness = 8.0;

  /// Half-life of the observed slowness, so that a runner that no calls are sent to because it was
  /// slow is tried again.
  static constexpr Millis kSlownessHalfLife{3'000};
  /// Longest time for which a runner can close itself, and the time if it cannot be read.
  static constexpr Millis kLongestClosed{60'000};
  static constexpr Millis kUnreadableClosed{1'000};
  /// For this long after a runner was closed, waiting calls are sent to it one after the other with
  /// this gap, so that they do not fill it at once.
  static constexpr Millis kReopenTime{500};
  static constexpr Millis kReopenGap{20};

  /// Number of urgency levels; 0 is the most urgent.
  static constexpr size_t kUrgencyLevels = 10;

  uint64_t in_flight = 0;
  /// Calls running and waiting at the runner as last reported, and the time of that report.
  uint64_t reported_running = 0;
  uint64_t reported_waiting = 0;
  std::optional<SteadyTime> reported_at;
  CircuitBreaker breaker;
  RunnerPace pace;
  OwnSends sends;
  MeanLoad mean_load;

  void OnSuccess(SteadyTime now);
  void OnFailure(SteadyTime now, bool counts_for_breaker);
  /// The runner accepted no connection: no calls are sent to it for `kUnreachablePause`, because
  /// each further attempt costs its caller the connect timeout.
  void OnUnreachable(SteadyTime now);
  /// The runner sent a response.
  void OnReachable() { unreachable_until_ = SteadyTime::min(); }
  /// Whether calls may be sent now.
  bool Available(SteadyTime now) const { return now >= unreachable_until_ && breaker.Allows(now); }
  /// The runner asked for no calls for `time`.
  void Close(Millis time, SteadyTime now);
  /// Time until a call may be sent to a runner that was closed; 0 if now.
  Millis ClosedFor(SteadyTime now) const;
  /// The runner reported its load and, if known, its pace.
  void OnLoad(uint64_t running, uint64_t waiting, std::optional<double> stated_pace,
              SteadyTime now);
  /// A call is sent. Returns true if it is the first one after the runner was closed.
  bool OnSent(SteadyTime now);
  /// A call was sent whose prompt has `tokens` that the runner has to process.
  void AddPending(uint64_t urgency, double tokens);
  /// The first event of such a call arrived, or the call ended.
  void RemovePending(uint64_t urgency, double tokens);
  /// Prompt tokens that the runner processes before the prompt of a new call of this urgency: those
  /// of this gateway's calls without a first event, or those of all calls that wait at the runner
  /// as last reported, whichever is more.
  double TokensAhead(uint64_t urgency, SteadyTime now) const;
  /// Keeps the queue of this gateway's calls, which still report their end, and discards what was
  /// learned about the runner.
  void ForgetObservations();
  /// `factor`: observed time to the first event over the predicted one.
  void OnFirstEvent(uint64_t urgency, double factor, SteadyTime now);
  /// A call ended without a first event after `factor` times the predicted time.
  void OnNoFirstEvent(uint64_t urgency, double factor, SteadyTime now);
  /// Smoothed ratio of the observed to the predicted time to the first event; 1 is as predicted. It
  /// differs between levels, because more urgent calls that arrive later overtake others.
  double Slowness(uint64_t urgency, SteadyTime now) const;
  /// Whether the last reported load is recent enough to be used.
  bool ReportFresh(SteadyTime now) const;
  /// Calls at the runner by the last report, less those that have ended since and with those sent
  /// since. The report loses its weight with age to `usual`, the calls at a runner without one.
  double CallsAt(double usual, SteadyTime now) const;
  /// The runner rejected a call for the model, for example because it is being unloaded.
  void OnModelRejected(const std::string& model, SteadyTime now);
  void OnModelServed(const std::string& model) { rejections_.erase(model); }
  /// Whether calls for the model are paused. Each of them would consume retry budget.
  bool ModelPaused(const std::string& model, SteadyTime now) const;
  /// Share of recent calls that failed, 0 to 1, decaying with time.
  double FailureRate(SteadyTime now) const;

 private:
  struct Rejection {
    Millis pause{0};
    SteadyTime until{};
  };

  std::array<double, kUrgencyLevels> pending_tokens_{};
  /// Smoothed number of prompt tokens of a call that the runner has to process.
  double mean_tokens_ = 0;
  struct SmoothedFactor {
    double value = 1.0;
    SteadyTime at{};
  };
  std::array<SmoothedFactor, kUrgencyLevels> slowness_{};
  std::map<std::string, Rejection> rejections_;
  SteadyTime unreachable_until_ = SteadyTime::min();
  /// Earliest time of the next call, and until when calls follow at kReopenGap.
  SteadyTime next_call_ = SteadyTime::min();
  SteadyTime paced_until_ = SteadyTime::min();
  bool closed_ = false;
  double failure_rate_ = 0;
  SteadyTime failure_rate_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_HEALTH_H_
