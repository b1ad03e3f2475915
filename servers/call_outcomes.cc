#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/test_defects.h"
#include "servers/call_dispatcher.h"

namespace shallot {
namespace {

constexpr Millis kGapTimeout{300};
// Limit on the attempts of a call that runners keep refusing.
constexpr uint64_t kMaxAttempts = 8;
// The same as in call_submit.cc for a new call that finds no runner.
constexpr Millis kPlacementTimeout{3'000};
// Time that a slot grant or a moved slot needs to reach the agent before the next attempt.
constexpr Millis kGrantDelay{200};
// Ticks come every 20 ms; a call that ends later than this after its deadline was dropped.
constexpr Millis kDeadlineTolerance{1'000};

Outcome MakeOutcome(OutcomeKind kind, Reason reason, std::string message) {
  Outcome outcome;
  outcome.kind = kind;
  outcome.reason = reason;
  outcome.message = std::move(message);
  return outcome;
}

/// True for reasons that apply to every runner, so that a retry elsewhere is pointless.
bool AppliesToAllRunners(Reason reason) {
  switch (reason) {
    case Reason::kKeyReused:
    case Reason::kInvalidRequest:
    case Reason::kCancelled:
    case Reason::kInProgress:
    case Reason::kClaimantLost:
    case Reason::kStoreUnavailable:
    case Reason::kUnknownEntry:
    case Reason::kCrashesRunners:
      return true;
    default:
      return false;
  }
}

/// True for reasons that resolve by themselves as soon as placements and grants agree again.
bool IsTransient(Reason reason) {
  return reason == Reason::kNotGranted || reason == Reason::kDraining;
}

/// Attempts that count towards kMaxAttempts. Refusals for transient reasons do not count for a
/// premium call, which retries until its deadline.
uint64_t CountedAttempts(const ActiveCall& active) {
  const uint64_t attempts = active.call.attempt.value();
  const bool premium = active.call.call_class == CallClass::kPremium;
  return premium ? attempts - active.transient_refusals : attempts;
}

}  // namespace

void CallDispatcher::OnOutcome(const RunnerId& runner, const CallOutcome& message) {
  const CallPtr active = FindCall(message.call);
  if (active == nullptr || active->call.attempt != message.attempt || active->runner != runner ||
      active->phase != ActiveCall::Phase::kSent) {
    // The router no longer waits for this answer, so the agent may discard the call.
    superseded_frames_->Add();
    Ack(runner, message.call, message.attempt);
    return;
  }
  const Outcome& outcome = message.outcome;
  if (outcome.kind == OutcomeKind::kCompleted) {
    active->outcome = outcome;
    active->next_resume = Now() + kGapTimeout;
    TryFinish(active);
  } else {
    Ack(runner, message.call, message.attempt);
    if (outcome.kind == OutcomeKind::kNotRun) {
      HandleNotRun(active, outcome);
    } else {
      HandleFailed(active, outcome);
    }
  }
  if (!active->ended) Reschedule(active);
}

void CallDispatcher::TryFinish(const CallPtr& active) {
  if (active->ended || !active->outcome.has_value()) return;
  const uint64_t total = active->outcome->total_length;
  if (active->assembler.end_seen() > total) {
    Ack(active->runner, active->call.id, active->call.attempt);
    environment_.invariants->Check(
        Invariant::kWholeAnswer, false,
        "call " + active->call.id.value() + " received more bytes than its answer has");
    End(active, MakeOutcome(active->call.repeatable ? OutcomeKind::kFailed : OutcomeKind::kUnknown,
                            Reason::kBackendError, "the answer is longer than announced"));
    return;
  }
  if (active->assembler.next_offset() < total) return;
  FinishCompleted(active);
}

void CallDispatcher::FinishCompleted(const CallPtr& active) {
  if (RunnerView* view = directory_->Find(active->runner)) view->breaker.OnSuccess();
  RecordDurations(*active, !active->first_frame_seen, true);
  Ack(active->runner, active->call.id, active->call.attempt);
  const Outcome outcome = *active->outcome;
  if (!active->begin_sent) {
    active->begin_sent = true;
    active->sink->OnBegin(outcome.http_status, outcome.content_type);
  }
  if (active->ended) return;
  if (!active->call.stream && !active->buffered.empty()) {
    active->forwarded += active->buffered.size();
    active->sink->OnData(active->buffered);
  }
  environment_.invariants->Check(
      Invariant::kWholeAnswer, active->forwarded == outcome.total_length,
      "call " + active->call.id.value() + " completed with a wrong number of bytes");
  End(active, outcome);
}

void CallDispatcher::HandleNotRun(const CallPtr& active, const Outcome& outcome) {
  const RunnerId runner = active->runner;
  if (!environment_.invariants->Check(
          Invariant::kNotRunDidNotRun, active->assembler.end_seen() == 0,
          "call " + active->call.id.value() + " was reported as not run after it sent data")) {
    HandleFailed(active,
                 MakeOutcome(active->call.repeatable ? OutcomeKind::kFailed : OutcomeKind::kUnknown,
                             outcome.reason, outcome.message));
    return;
  }
  Release(active.get());
  active->phase = ActiveCall::Phase::kUnplaced;
  active->last_not_run = outcome;
  if (active->cancel_sent) {
    Outcome expired = outcome;
    expired.reason = Reason::kDeadline;
    End(active, expired);
    return;
  }
  if (AppliesToAllRunners(outcome.reason) || CountedAttempts(*active) >= kMaxAttempts) {
    End(active, outcome);
    return;
  }
  active->tried_runners.insert(runner);
  if (IsTransient(outcome.reason)) {
    // Nothing ran, so the retry budget, which limits repeated work, does not apply; the delay
    // between attempts limits the messages.
    ++active->transient_refusals;
    StartNextAttempt(active, false);
    return;
  }
  bool has_other_runner = !FindCandidates(*active, false).all.empty();
  if (!has_other_runner && active->transient_refusals > 0) {
    // Runners that refused for a transient reason may accept the call now.
    active->tried_runners = {runner};
    has_other_runner = !FindCandidates(*active, false).all.empty();
  }
  if (!has_other_runner) {
    End(active, outcome);
    return;
  }
  if (!budget_.TryRetry()) {
    Outcome over_budget = outcome;
    over_budget.reason = Reason::kRetryBudget;
    over_budget.message = std::string("not run (") + ReasonName(outcome.reason) +
                          ") and no retry is left in the budget; retry later";
    End(active, over_budget);
    return;
  }
  StartNextAttempt(active, false);
}

void CallDispatcher::HandleFailed(const CallPtr& active, const Outcome& outcome) {
  const bool backend_failed =
      outcome.reason == Reason::kBackendError || outcome.reason == Reason::kConnectionLost;
  if (outcome.kind == OutcomeKind::kFailed && backend_failed) {
    if (RunnerView* view = directory_->Find(active->runner)) view->breaker.OnFailure(Now());
  }
  if (!active->call.repeatable) {
    End(active, outcome);
    return;
  }
  // For a repeatable call it does not matter whether it ran; the caller sees a failure.
  Outcome failed = outcome;
  failed.kind = OutcomeKind::kFailed;
  const bool runner_at_fault = outcome.reason == Reason::kConnectionLost ||
                               outcome.reason == Reason::kDraining ||
                               outcome.kind == OutcomeKind::kUnknown;
  if (active->cancel_sent && outcome.reason == Reason::kCancelled) {
    failed.reason = Reason::kDeadline;
  }
  if (active->cancel_sent || active->forwarded > 0 || !runner_at_fault || !budget_.TryRetry()) {
    End(active, failed);
    return;
  }
  active->tried_runners.insert(active->runner);
  Release(active.get());
  StartNextAttempt(active, true);
}

void CallDispatcher::AbandonAttempt(const CallPtr& active, const std::string& message) {
  lost_attempts_->Add();
  const RunnerId runner = active->runner;
  // The cancellation reaches a runner only if it is connected again; that runner should not work
  // on a superseded attempt.
  if (active->call.repeatable) {
    const RunnerView* view = directory_->Find(runner);
    if (view != nullptr && view->up) SendCancel(active.get());
    active->cancel_sent = false;
  }
  if (!active->call.repeatable && !HasDefect(TestDefect::kRetryOrder)) {
    End(active, MakeOutcome(OutcomeKind::kUnknown, Reason::kConnectionLost,
                            message + " while it had the order; look the order up before sending "
                                      "it under another key"));
    return;
  }
  if (active->forwarded > 0) {
    End(active, MakeOutcome(OutcomeKind::kFailed, Reason::kConnectionLost,
                            message + " in the middle of the answer; send the request again"));
    return;
  }
  active->tried_runners.insert(runner);
  Release(active.get());
  // Many calls can lose their runner at once; each waits for a retry token instead of failing.
  active->needs_retry_token = !budget_.TryRetry();
  StartNextAttempt(active, true);
}

void CallDispatcher::StartNextAttempt(const CallPtr& active, bool may_have_run) {
  active->maybe_ran = active->maybe_ran || may_have_run;
  active->call.attempt = active->call.attempt.Next();
  active->give_up_at = may_have_run || active->call.call_class == CallClass::kPremium
                           ? active->deadline
                           : std::min(active->deadline, Now() + kPlacementTimeout);
  active->assembler = StreamAssembler();
  active->buffered.clear();
  active->answer_status = ActiveCall::kDefaultStatus;
  active->answer_type = ActiveCall::kDefaultType;
  active->outcome.reset();
  active->phase = ActiveCall::Phase::kUnplaced;
  if (active->needs_retry_token) {
    DeferPlacement(active, kGrantDelay);
    return;
  }
  retries_->Add();
  if (active->transient_refusals > 1 || FindCandidates(*active, false).all.empty()) {
    DeferPlacement(active, kGrantDelay);
    return;
  }
  Place(active);
}

void CallDispatcher::RecordDurations(const ActiveCall& active, bool first_frame, bool finished) {
  if (!active.runner_had_capacity || active.call.attempt != Attempt(1)) return;
  const Duration elapsed = Now() - active.phase_since;
  const EntryId key = active.call.entry.empty() ? EntryId("service:" + active.call.service.value())
                                                : active.call.entry;
  if (active.tier == CacheTier::kLoaded) {
    if (finished) admission_.RecordServiceTime(key, elapsed);
    return;
  }
  if (!active.measures_load) return;
  // The first frame of a stream marks the end of the load; the time of a plain answer also includes
  // its service time.
  if (!first_frame || active.first_frame_seen) return;
  Duration load = elapsed;
  if (finished || !active.call.stream) {
    load -= admission_.Predict(key, active.kind, WaitInput{}).service;
  }
  admission_.RecordLoadTime(key, active.kind, active.tier, std::max(load, Duration(0)));
}

void CallDispatcher::EndAtDeadline(const CallPtr& active) {
  const bool sent = active->phase == ActiveCall::Phase::kSent;
  if (!sent) {
    Outcome outcome = active->last_not_run.value_or(
        MakeOutcome(OutcomeKind::kNotRun, Reason::kDeadline,
                    "no runner could take the call before its deadline"));
    outcome.reason = Reason::kDeadline;
    End(active, outcome);
    return;
  }
  if (!active->call.repeatable) {
    End(active, MakeOutcome(OutcomeKind::kUnknown, Reason::kDeadline,
                            "no answer came before the deadline; look the order up, or send it "
                            "again with the same Idempotency-Key"));
    return;
  }
  if (!active->cancel_sent) SendCancel(active.get());
  End(active, MakeOutcome(OutcomeKind::kFailed, Reason::kDeadline,
                          "no whole answer came before the deadline"));
}

void CallDispatcher::CancelByCaller(const CallId& id) {
  const CallPtr active = FindCall(id);
  if (active == nullptr) return;
  if (active->phase != ActiveCall::Phase::kSent) {
    End(active, MakeOutcome(OutcomeKind::kNotRun, Reason::kCancelled, "the caller disconnected"));
    return;
  }
  SendCancel(active.get());
  End(active, MakeOutcome(active->call.repeatable ? OutcomeKind::kFailed : OutcomeKind::kUnknown,
                          Reason::kCancelled, "the caller disconnected"));
}

void CallDispatcher::DetectPause(SteadyTime now) {
  if (now - last_tick_ > kDeadlineTolerance) {
    resumed_at_ = now;
    pauses_->Add();
  }
  last_tick_ = now;
}

/// True when the call ends by its deadline plus a tolerance. A process that was paused over the
/// deadline cannot meet it, so the tolerance then counts from when the process resumed.
bool CallDispatcher::EndsByDeadline(const ActiveCall& active) const {
  const SteadyTime now = Now();
  // Messages that arrived during a pause are handled before the first tick after it.
  const bool just_resumed = now - last_tick_ > kDeadlineTolerance;
  const SteadyTime resumed = just_resumed ? now : resumed_at_;
  return now <= std::max(active.deadline, resumed) + kDeadlineTolerance;
}

void CallDispatcher::End(const CallPtr& active, Outcome outcome) {
  if (active->ended) return;
  if (outcome.kind == OutcomeKind::kUnknown && HasDefect(TestDefect::kNotRunAfterSending)) {
    outcome.kind = OutcomeKind::kNotRun;
  }
  if (outcome.kind == OutcomeKind::kNotRun && active->maybe_ran) {
    outcome.kind = OutcomeKind::kFailed;
  }
  active->ended = true;
  Release(active.get());
  const auto call_class = static_cast<size_t>(active->call.call_class);
  const SteadyTime now = Now();
  if (by_number_.erase(active->number) > 0) {
    numbers_.erase(active->call.id);
    wakes_.erase({active->wake_at, active->number});
    admission_.OnEnded(active->call.call_class);
    in_flight_->Set(static_cast<int64_t>(by_number_.size()));
    environment_.invariants->Check(Invariant::kNoSilentDrop, EndsByDeadline(*active),
                                   "call " + active->call.id.value() + " ended after its deadline");
  }
  class_metrics_[call_class].outcomes[static_cast<size_t>(outcome.kind)]->Add();
  if (outcome.kind == OutcomeKind::kCompleted) {
    class_metrics_[call_class].latency->Record(now - active->submitted);
  }
  if (outcome.kind == OutcomeKind::kNotRun) {
    const std::string reason = ReasonName(outcome.reason);
    ++refusals_[reason];
    environment_.metrics->GetCounter("shallot_router_refusals_total{reason=\"" + reason + "\"}")
        .Add();
    environment_.invariants->Check(
        Invariant::kNotRunDidNotRun,
        active->forwarded == 0 && active->phase != ActiveCall::Phase::kSent,
        "call " + active->call.id.value() + " ended as not run after it was sent or answered");
  }
  active->sink->OnEnd(outcome);
}

void CallDispatcher::Ack(const RunnerId& runner, const CallId& call, Attempt attempt) {
  directory_->SendToRunner(runner, CallAck{call, attempt});
}

}  // namespace shallot
