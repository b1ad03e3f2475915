#ifndef SERVERS_GATEWAY_ATTEMPT_POLICY_H_
#define SERVERS_GATEWAY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "core/clock.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// How one attempt of a call at a runner ended without a success.
enum class AttemptFailure {
  kNotConnected,   ///< No byte of the call was sent.
  kNotExecuted,    ///< The runner states that it did not run the call.
  kModelAbsent,    ///< The runner does not hold the model; not run.
  kWrongInstance,  ///< Another runner has the address; not run.
  kServerError,    ///< The runner's own complete failure; it may have run.
  kLostAnswer,     ///< The connection ended after the call was sent.
  kGarbled,        ///< The bytes are not an answer to this call.
  kSilent,         ///< No answer in the time that the attempt had.
};

const char* AttemptFailureName(AttemptFailure failure);

/// True when the runner certainly did not run the call.
bool ProvesNotRun(AttemptFailure failure);

/// What is known about a call when an attempt failed.
struct CallFacts {
  CallKind kind = CallKind::kNonIdempotent;
  bool resumable = false;
  /// Runners that may have run the call, this attempt included if it may have.
  uint64_t runs = 0;
  uint64_t max_attempts = 1;
  /// The answer's head has gone to the caller.
  bool answer_begun = false;
  Millis time_left{0};
  bool retry_allowed = true;
};

enum class NextStep {
  kRetry,   ///< Send the call to another runner; a stream goes on after its last event.
  kRefuse,  ///< Tell the caller that the call has not run.
  kPassOn,  ///< Give the caller the runner's own failure.
  kFail,    ///< Tell the caller that the outcome is unknown.
  kCutOff,  ///< Break the caller's connection off, so that the answer does not look complete.
};

const char* NextStepName(NextStep step);

/// A retry is not worth its cost with less time than this left.
inline constexpr Millis kLeastTimeForRetry{40};

/// Decides what follows a failed attempt. Load pattern: runners that crash, refuse or fail part of
/// their calls while callers go on calling. Repeats only what may be repeated, and says "not run"
/// only with proof.
NextStep DecideAfterFailure(const CallFacts& facts, AttemptFailure failure);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ATTEMPT_POLICY_H_
