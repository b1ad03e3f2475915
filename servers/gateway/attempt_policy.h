#ifndef SERVERS_GATEWAY_ATTEMPT_POLICY_H_
#define SERVERS_GATEWAY_ATTEMPT_POLICY_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// Why one attempt to run a call on a runner failed.
enum class AttemptFailure {
  kNotConnected,   ///< No byte of the call was sent.
  kNotExecuted,    ///< The runner reports that it did not run the call.
  kModelAbsent,    ///< The runner does not hold the model and did not run the call.
  kWrongInstance,  ///< Another runner has the address; the call did not run.
  kServerError,    ///< The runner sent a complete error response; the call may have run.
  /// The status tells callers that the call did not run, but the runner does not state that it did
  /// not run it.
  kUnprovenRefusal,
  kLostAnswer,  ///< The connection ended after the call was sent.
  kMalformed,   ///< The received bytes are not a response to this call.
  kSilent,      ///< No response within the time limit of the attempt.
};

const char* AttemptFailureName(AttemptFailure failure);

/// Returns true if the runner certainly did not run the call.
bool ProvesNotRun(AttemptFailure failure);

/// Returns true for the HTTP statuses by which callers are told that their call did not run and
/// never will. Callers then repeat it, with another id, even if it must run only once.
bool PromisesNotRun(int status);

/// What the head of a runner's answer says about the call, apart from the body.
struct AnswerHeadFacts {
  int status = 200;
  /// The answer names the call. A refusal that does not may be an earlier one that arrives again.
  bool names_call = false;
  /// The runner states that it did not run the call.
  bool not_executed = false;
  /// The answer has the field that proves that it comes from a runner.
  bool sealed = false;
  /// The answer names another runner than the one that the call was sent to.
  bool from_other_runner = false;
};

/// Decides whether a runner's answer is a failure of the attempt, and which; absent if it is the
/// answer for the caller. Load pattern: runners refuse part of their calls, run others and fail
/// them with any status, and repeat earlier answers.
std::optional<AttemptFailure> FailureOfAnswer(const AnswerHeadFacts& answer);

/// Returns true if the gateway closes the connection of such an attempt, so that the runner may be
/// at work on the call until it notices.
bool EndedByGateway(AttemptFailure failure);

/// State of a call after a failed attempt.
struct RetryContext {
  CallKind kind = CallKind::kNonIdempotent;
  bool resumable = false;
  /// Number of runners that may have run the call, including that of this attempt if it may have.
  uint64_t runs = 0;
  uint64_t max_attempts = 1;
  /// The head of the response has been sent to the caller.
  bool answer_begun = false;
  Millis time_left{0};
  bool retry_allowed = true;
};

enum class NextStep {
  kRetry,   ///< Send the call to another runner; a stream resumes after its last event.
  kRefuse,  ///< Tell the caller that the call did not run.
  kPassOn,  ///< Return the runner's own error to the caller.
  kFail,    ///< Tell the caller that the outcome is unknown.
  kCutOff,  ///< Abort the caller's connection, so that the response does not look complete.
};

const char* NextStepName(NextStep step);

/// With less time left than this, a retry is not worth its cost.
inline constexpr Millis kMinTimeForRetry{40};

/// Decides the next step after a failed attempt, when runners crash, refuse or fail part of their
/// calls under continuing load. Repeats only calls that are safe to repeat, and reports "not run"
/// only with proof.
NextStep DecideAfterFailure(const RetryContext& context, AttemptFailure failure);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ATTEMPT_POLICY_H_
