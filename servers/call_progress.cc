#include <algorithm>

#include "core/log.h"
#include "core/test_defects.h"
#include "servers/call_dispatcher.h"

namespace shallot {
namespace {

// Long enough for the cancellation of a queued call to succeed over the slowest link before the
// deadline.
constexpr Millis kCancelMargin{100};
constexpr Millis kPlacementRetryDelay{50};
constexpr Millis kSendRetryDelay{20};
// A connection that is not established within this time is abandoned; no call was sent on it.
constexpr Millis kConnectTimeout{2'000};
// Time to wait for a lost runner. The silence limit of the first connection has passed already, and
// a second connection also had enough time.
constexpr Millis kReconnectTimeout{5'000};
// Orders wait longer, because giving up leaves their caller with an unknown outcome.
constexpr Millis kOrderReconnectTimeout{10'000};
// An agent buffers at most this much over all its answers.
constexpr size_t kMaxBufferedBytes = 32U << 20U;
constexpr Millis kGapTimeout{300};
constexpr Millis kResumeInterval{1'000};
// A sent call for which no message arrives for this long is resumed, in case a message was lost.
constexpr Millis kIdleResumeDelay{5'000};

}  // namespace

void CallDispatcher::OnTick() {
  const SteadyTime now = Now();
  DetectPause(now);
  budget_.Refill(now);
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const uint64_t number = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    const auto it = by_number_.find(number);
    if (it == by_number_.end()) continue;
    const CallPtr active = it->second;
    Advance(active);
    if (!active->ended) Reschedule(active);
  }
}

SteadyTime CallDispatcher::CancelTime(const ActiveCall& active) const {
  // A call that has sent data is running; cancelling it early could only lose its answer.
  if (active.assembler.end_seen() > 0) return active.deadline;
  const Duration quarter = (active.deadline - active.submitted) / 4;
  return active.deadline - std::min<Duration>(kCancelMargin, quarter);
}

SteadyTime CallDispatcher::NextWake(const ActiveCall& active) const {
  SteadyTime wake = active.deadline;
  switch (active.phase) {
    case ActiveCall::Phase::kUnplaced:
      return std::min({wake, active.next_attempt_at, active.give_up_at});
    case ActiveCall::Phase::kConnecting:
      return std::min({wake, active.phase_since + kConnectTimeout, Now() + kSendRetryDelay});
    case ActiveCall::Phase::kSent:
      break;
  }
  if (!active.cancel_sent) wake = std::min(wake, CancelTime(active));
  if (active.lost_at.has_value()) {
    const Millis limit = active.call.repeatable ? kReconnectTimeout : kOrderReconnectTimeout;
    return std::min(wake, *active.lost_at + limit);
  }
  return std::min(wake, active.next_resume);
}

void CallDispatcher::Reschedule(const CallPtr& active) {
  if (active->ended) return;
  wakes_.erase({active->wake_at, active->number});
  active->wake_at = std::max(NextWake(*active), Now() + Millis(1));
  wakes_.insert({active->wake_at, active->number});
}

void CallDispatcher::Advance(const CallPtr& active) {
  const SteadyTime now = Now();
  if (now >= active->deadline) {
    EndAtDeadline(active);
    return;
  }
  switch (active->phase) {
    case ActiveCall::Phase::kUnplaced:
      AdvanceUnplaced(active);
      return;
    case ActiveCall::Phase::kConnecting:
      AdvanceConnecting(active);
      return;
    case ActiveCall::Phase::kSent:
      AdvanceSent(active);
      return;
  }
}

void CallDispatcher::AdvanceConnecting(const CallPtr& active) {
  if (Now() - active->phase_since >= kConnectTimeout) {
    active->tried_runners.insert(active->runner);
    Release(active.get());
    Place(active);
    return;
  }
  const RunnerView* view = directory_->Find(active->runner);
  if (view != nullptr && view->up) Start(active);
}

void CallDispatcher::AdvanceUnplaced(const CallPtr& active) {
  const SteadyTime now = Now();
  if (now >= active->give_up_at) {
    Outcome outcome;
    outcome.kind = OutcomeKind::kNotRun;
    outcome.reason = Reason::kNoRunner;
    outcome.retry_after = Millis(1'000);
    outcome.message = "no live runner may serve this call now; retry later";
    End(active, active->last_not_run.value_or(outcome));
    return;
  }
  if (active->needs_retry_token) {
    if (!budget_.TryRetry()) {
      DeferPlacement(active, kPlacementRetryDelay);
      return;
    }
    active->needs_retry_token = false;
    retries_->Add();
  }
  // Runners that failed earlier may have recovered.
  if (FindCandidates(*active, false).all.empty()) active->tried_runners.clear();
  Place(active);
}

void CallDispatcher::AdvanceSent(const CallPtr& active) {
  const SteadyTime now = Now();
  if (!active->cancel_sent && now >= CancelTime(*active)) SendCancel(active.get());
  if (active->lost_at.has_value()) {
    const Millis limit = active->call.repeatable ? kReconnectTimeout : kOrderReconnectTimeout;
    if (now - *active->lost_at >= limit) AbandonAttempt(active, "the runner could not be reached");
    return;
  }
  if (now >= active->next_resume) SendResume(active.get());
}

void CallDispatcher::SendCancel(ActiveCall* active) {
  active->cancel_sent = true;
  directory_->SendToRunner(active->runner, CallCancel{active->call.id, active->call.attempt});
}

void CallDispatcher::SendResume(ActiveCall* active) {
  resumes_->Add();
  const bool gap = active->outcome.has_value() || active->assembler.HasGap();
  active->next_resume = Now() + (gap ? kResumeInterval : kIdleResumeDelay);
  directory_->SendToRunner(active->runner, CallResume{active->call.id, active->call.attempt,
                                                      active->assembler.next_offset()});
}

void CallDispatcher::OnRunnerConnected(const RunnerId& runner, Incarnation incarnation) {
  for (const CallPtr& active : CallsOn(runner)) {
    if (active->ended || active->runner != runner) continue;
    if (active->phase == ActiveCall::Phase::kConnecting) {
      Start(active);
    } else if (active->runner_incarnation != incarnation) {
      AbandonAttempt(active, "the agent of the runner restarted");
    } else {
      active->lost_at.reset();
      SendResume(active.get());
      // The agent may have missed a cancellation sent on the silent connection.
      if (active->cancel_sent) SendCancel(active.get());
    }
    Reschedule(active);
  }
}

void CallDispatcher::OnRunnerDisconnected(const RunnerId& runner) {
  for (const CallPtr& active : CallsOn(runner)) {
    if (active->phase != ActiveCall::Phase::kSent || active->lost_at.has_value()) continue;
    active->lost_at = Now();
    Reschedule(active);
  }
}

void CallDispatcher::OnRunnerRemoved(const RunnerId& runner) {
  for (const CallPtr& active : CallsOn(runner)) {
    if (active->phase == ActiveCall::Phase::kSent) {
      AbandonAttempt(active, "the runner is no longer listed");
    } else {
      Release(active.get());
      Place(active);
    }
    Reschedule(active);
  }
}

void CallDispatcher::OnFrame(const RunnerId& runner, const CallFrame& frame) {
  const CallPtr active = FindCall(frame.call);
  const bool checked = !HasDefect(TestDefect::kDropAttemptCheck);
  const bool other_attempt = active != nullptr && checked && active->call.attempt != frame.attempt;
  if (active == nullptr || other_attempt || active->runner != runner ||
      active->phase != ActiveCall::Phase::kSent) {
    superseded_frames_->Add();
    return;
  }
  RecordDurations(*active, true, false);
  if (!active->first_frame_seen) quarantine_->OnAnswerBegun(active->call.traits, Now());
  active->first_frame_seen = true;
  if (frame.offset == 0 && frame.http_status != 0) {
    active->answer_status = frame.http_status;
    active->answer_type = frame.content_type;
  }
  const bool had_gap = active->assembler.HasGap();
  const std::string ready = active->assembler.Add(frame.offset, frame.payload);
  if (!ready.empty()) Deliver(active, ready);
  if (active->ended) return;
  if (!active->assembler.HasGap() && !active->outcome.has_value()) {
    active->next_resume = Now() + kIdleResumeDelay;
  } else if (!had_gap && !active->outcome.has_value()) {
    active->next_resume = Now() + kGapTimeout;
  }
  TryFinish(active);
  Reschedule(active);
}

void CallDispatcher::FailOversizedAnswer(const CallPtr& active) {
  SendCancel(active.get());
  Outcome outcome;
  outcome.kind = active->call.repeatable ? OutcomeKind::kFailed : OutcomeKind::kUnknown;
  outcome.reason = Reason::kBackendError;
  outcome.message = "the answer is too long to be forwarded whole; request a streamed answer";
  End(active, outcome);
}

void CallDispatcher::Deliver(const CallPtr& active, const std::string& ready) {
  if (!active->call.stream) {
    active->buffered += ready;
    if (active->buffered.size() > kMaxBufferedBytes) FailOversizedAnswer(active);
    return;
  }
  if (!active->begin_sent) {
    active->begin_sent = true;
    const auto call_class = static_cast<size_t>(active->call.call_class);
    class_metrics_[call_class].first_byte->Record(Now() - active->submitted);
    active->sink->OnBegin(active->answer_status, active->answer_type);
  }
  active->forwarded += ready.size();
  active->sink->OnData(ready);
}

CallDispatcher::CallPtr CallDispatcher::FindCall(const CallId& id) const {
  const auto number = numbers_.find(id);
  return number == numbers_.end() ? nullptr : by_number_.at(number->second);
}

std::vector<CallDispatcher::CallPtr> CallDispatcher::CallsOn(const RunnerId& runner) const {
  std::vector<CallPtr> calls;
  const auto it = by_runner_.find(runner);
  if (it == by_runner_.end()) return calls;
  for (const uint64_t number : it->second) calls.push_back(by_number_.at(number));
  return calls;
}

}  // namespace shallot
