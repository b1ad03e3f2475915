#ifndef SERVERS_GATEWAY_CALL_ATTEMPTS_H_
#define SERVERS_GATEWAY_CALL_ATTEMPTS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "servers/gateway/attempt_policy.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// What has happened to one call at its runners. Decides alone whether the call may be sent again,
/// whether an attempt may be given up for that, and whether its caller may be told that it has not
/// run. Load pattern: runners refuse, lose, garble and stall part of their calls, and repeat
/// earlier answers, while gateways restart, freeze and are cut off; so each decision rests on what
/// this gateway itself has sent and received.
class CallAttempts {
 public:
  void SetRoute(const Route& route);
  /// The call is about to be sent to `address`.
  void OnSent(const std::string& address);
  void OnFailed(AttemptFailure failure);
  /// The gateway ended the attempt for another reason than its failure. The call may have run.
  void OnGivenUp() { ++runs_; }

  /// Whether the call may go to another runner although this attempt may still succeed.
  bool MayGiveUp() const;
  /// Whether the call may use a kept connection to `address`. On one that carried it before, an
  /// earlier answer to it may arrive once more.
  bool MayUseKeptConnection(const std::string& address) const;
  /// Whether it is certain that no runner has run the call.
  bool NotRun() const { return runs_ == 0; }
  /// Whether it is certain that no runner has run the call and that none will run it, because all
  /// attempts have ended.
  bool NeverRuns() const { return NotRun() && failed_ == sent_; }
  /// The step after the last failed attempt. `answer_begun`: the caller has the head of an answer;
  /// `retry_allowed`: the retry limit leaves room.
  NextStep AfterFailure(bool answer_begun, Millis time_left, bool retry_allowed) const;

  /// Number of times that the call was sent.
  uint64_t sent() const { return sent_; }
  /// Attempts in which a runner may have run the call.
  uint64_t runs() const { return runs_; }
  /// How the last attempt that ended failed.
  const std::optional<AttemptFailure>& last_failure() const { return last_failure_; }

 private:
  CallKind kind_ = CallKind::kNonIdempotent;
  bool resumable_ = false;
  uint64_t max_attempts_ = 1;
  uint64_t sent_ = 0;
  uint64_t runs_ = 0;
  uint64_t failed_ = 0;
  /// Runners may share an address, and the connections to it.
  std::set<std::string> addresses_;
  std::optional<AttemptFailure> last_failure_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_CALL_ATTEMPTS_H_
