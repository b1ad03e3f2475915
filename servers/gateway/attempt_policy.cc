#include "servers/gateway/attempt_policy.h"

namespace shallot::gateway {
namespace {

NextStep WithoutRetry(const RetryContext& context, AttemptFailure failure) {
  if (context.answer_begun) return NextStep::kCutOff;
  if (context.runs == 0) return NextStep::kRefuse;
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
    case AttemptFailure::kUnprovenRefusal:
      return "unproven-refusal";
    case AttemptFailure::kLostAnswer:
      return "lost-answer";
    case AttemptFailure::kMalformed:
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

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::optional<AttemptFailure> FailureOfAnswer(const AnswerHeadFacts& answer) {
  if (answer.not_executed && answer.names_call) {
    if (answer.status != 421) return AttemptFailure::kNotExecuted;
    return answer.from_other_runner ? AttemptFailure::kWrongInstance : AttemptFailure::kModelAbsent;
  }
  if (!answer.names_call || (answer.status < 300 && !answer.sealed)) {
    return AttemptFailure::kMalformed;
  }
  if (PromisesNotRun(answer.status)) return AttemptFailure::kUnprovenRefusal;
  if (answer.status >= 500) return AttemptFailure::kServerError;
  return std::nullopt;
}

bool EndedByGateway(AttemptFailure failure) {
  return failure == AttemptFailure::kSilent || failure == AttemptFailure::kMalformed;
}

NextStep DecideAfterFailure(const RetryContext& context, AttemptFailure failure) {
  if (!context.retry_allowed || context.time_left < kMinTimeForRetry) {
    return WithoutRetry(context, failure);
  }
  // No runner has run the call, so sending it again does not repeat it.
  if (ProvesNotRun(failure) && context.runs == 0) return NextStep::kRetry;
  if (!IsRepeatable(context.kind, context.resumable)) return WithoutRetry(context, failure);
  if (context.runs >= context.max_attempts) return WithoutRetry(context, failure);
  return NextStep::kRetry;
}

}  // namespace shallot::gateway
