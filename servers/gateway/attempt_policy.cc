#include "servers/gateway/attempt_policy.h"

namespace shallot::gateway {
namespace {

bool MayRepeat(const CallFacts& facts) {
  return facts.kind == CallKind::kIdempotent ||
         (facts.kind == CallKind::kStream && facts.resumable);
}

NextStep WithoutRetry(const CallFacts& facts, AttemptFailure failure) {
  if (facts.answer_begun) return NextStep::kCutOff;
  if (facts.runs == 0) return NextStep::kRefuse;
  if (failure == AttemptFailure::kServerError) return NextStep::kPassOn;
  return NextStep::kFail;
}

}  // namespace

const char* AttemptFailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return "not-connected";
    case AttemptFailure::kNotExecuted:
      return "not-executed";
    case AttemptFailure::kModelAbsent:
      return "model-absent";
    case AttemptFailure::kWrongInstance:
      return "wrong-instance";
    case AttemptFailure::kServerError:
      return "server-error";
    case AttemptFailure::kLostAnswer:
      return "lost-answer";
    case AttemptFailure::kGarbled:
      return "garbled";
    case AttemptFailure::kSilent:
      return "silent";
  }
  return "unknown";
}

const char* NextStepName(NextStep step) {
  switch (step) {
    case NextStep::kRetry:
      return "retry";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kPassOn:
      return "pass-on";
    case NextStep::kFail:
      return "fail";
    case NextStep::kCutOff:
      return "cut-off";
  }
  return "unknown";
}

bool ProvesNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::kNotConnected || failure == AttemptFailure::kNotExecuted ||
         failure == AttemptFailure::kModelAbsent || failure == AttemptFailure::kWrongInstance;
}

NextStep DecideAfterFailure(const CallFacts& facts, AttemptFailure failure) {
  if (!facts.retry_allowed || facts.time_left < kMinTimeForRetry) {
    return WithoutRetry(facts, failure);
  }
  // No runner has run the call, so sending it again does not repeat it.
  if (ProvesNotRun(failure) && facts.runs == 0) return NextStep::kRetry;
  if (!MayRepeat(facts)) return WithoutRetry(facts, failure);
  if (facts.runs >= facts.max_attempts) return WithoutRetry(facts, failure);
  return NextStep::kRetry;
}

}  // namespace shallot::gateway
