#include "servers/gateway/call_attempts.h"

namespace shallot::gateway {

void CallAttempts::SetRoute(const Route& route) {
  kind_ = route.kind;
  resumable_ = route.resumable;
  max_attempts_ = route.max_attempts;
}

void CallAttempts::OnSent(const std::string& address) {
  ++sent_;
  addresses_.insert(address);
}

void CallAttempts::OnFailed(AttemptFailure failure) {
  last_failure_ = failure;
  ++failed_;
  if (!ProvesNotRun(failure)) ++runs_;
}

bool CallAttempts::MayGiveUp() const {
  return IsRepeatable(kind_, resumable_) && runs_ + 1 < max_attempts_;
}

bool CallAttempts::MayUseKeptConnection(const std::string& address) const {
  return !addresses_.contains(address);
}

NextStep CallAttempts::AfterFailure(bool answer_begun, Millis time_left, bool retry_allowed) const {
  RetryContext context;
  context.kind = kind_;
  context.resumable = resumable_;
  context.runs = runs_;
  context.max_attempts = max_attempts_;
  context.answer_begun = answer_begun;
  context.time_left = time_left;
  context.retry_allowed = retry_allowed;
  return DecideAfterFailure(context, last_failure_.value_or(AttemptFailure::kLostAnswer));
}

}  // namespace shallot::gateway
