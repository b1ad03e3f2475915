#ifndef SERVERS_GATEWAY_STOP_SEQUENCE_H_
#define SERVERS_GATEWAY_STOP_SEQUENCE_H_

#include "core/clock.h"

namespace shallot::gateway {

/// What a gateway that has been told to stop does with calls and connections.
struct StopActions {
  /// Close connections on which no request is in progress.
  bool close_idle = false;
  /// Refuse new calls, and calls that no runner has yet.
  bool refuse = false;
  /// Accept no new connections; those that the kernel has accepted are read first.
  bool stop_accepting = false;
  /// Give the calls at runners their final answer.
  bool final_answers = false;
  /// End the event loop.
  bool exit = false;
};

/// Decides the course of a planned stop. Load pattern: the platform keeps sending callers to
/// gateways that are not ready when fewer than half of a failure domain's gateways are, so calls
/// arrive until the last moment.
///
/// A gateway exits only from a state in which no call can arrive any more: it stops accepting
/// first, and exits once the accepted connections are gone. The two must not be one step, because a
/// call that arrives between them would be sent to a runner and cut off.
class StopSequence {
 public:
  /// Minimum time from the stop signal to the first closed connection. The platform stops sending
  /// callers only after two readiness checks, a second apart.
  static constexpr Millis kMinServeTime{2'400};
  /// New calls are refused from this time on: the platform's check of planned stops counts calls
  /// that arrived later and could not be finished.
  static constexpr Millis kNewCallWindow{3'000};
  /// Time before the limit at which calls still in progress are answered.
  static constexpr Millis kFinalAnswerMargin{250};

  /// State of the calls and connections.
  struct Progress {
    /// A call or a part of one is in progress, or an answer has not been sent whole.
    bool requests_open = false;
    bool accepting = true;
    bool connections_open = false;
  };

  void Begin(SteadyTime now) { began_at_ = now; }
  /// `limit`: time from the stop signal after which the process is ended in any case.
  StopActions Decide(SteadyTime now, Millis limit, const Progress& progress) const;
  /// Whether a call that arrives now is refused.
  bool RefusesNewCalls(SteadyTime now, Millis limit) const;

 private:
  SteadyTime began_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_STOP_SEQUENCE_H_
