#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "drivers/gateway/call_session.h"
#include "drivers/gateway/runner_answers.h"

// The part of CallSession that handles runners' answers and the end of attempts.
namespace shallot::gateway {
namespace {

/// Time without an event after which a resumable stream continues at another runner, as a multiple
/// of the route's gap target. Callers abandon a stream after eight gap targets.
constexpr int64_t kSilentGapTargets = 3;
/// After a runner provably did not run a call, the gateway waits this long before it sends the call
/// to that runner again.
constexpr Millis kRejectionPause{100};
/// Shorter predictions are too coarse to compare the observed time with.
constexpr Millis kMinPredicted{20};
/// An answer that is not a stream is buffered up to this size.
constexpr uint64_t kMaxBufferedAnswerBytes = 4'194'304;

/// Number of prompt parts that a log line names.
constexpr size_t kLoggedParts = 8;

Millis ToMillis(Duration duration) { return std::chrono::duration_cast<Millis>(duration); }

/// The ids of the first parts of a prompt, for log lines.
std::string PartIds(const std::vector<PromptPart>& prompt) {
  std::string ids;
  for (size_t index = 0; index < std::min(prompt.size(), kLoggedParts); ++index) {
    if (index > 0) ids += ',';
    ids += prompt[index].id;
  }
  return ids;
}

}  // namespace

HeadVerdict CallSession::OnHead(const HttpHead& head) {
  const AnswerMetadata metadata = context_->protocol->DecodeAnswer(head);
  if (!metadata.call.empty() && metadata.call != call_.id) {
    LogWarning("call",
               fmt::format("event=foreign-answer runner={} answers={}", runner_.runner.value(),
                           metadata.call.value()),
               call_.id.value());
    return HeadVerdict::kSkip;
  }
  NoteLoad(context_, runner_.runner, metadata);
  if (metadata.load && UsesMemory()) {
    context_->runner_memory.OnLoad({runner_.runner, runner_born_},
                                   metadata.load->running + metadata.load->waiting,
                                   context_->loop.Now());
  }
  if (!metadata.call.empty()) {
    NoteWillingness(context_, {runner_.runner, runner_born_}, metadata);
    context_->limits.OnAnswer({runner_.runner, runner_born_}, metadata.calls_per_s, sent_at_,
                              context_->loop.Now());
  }
  answer_.head = head;
  held_body_.Set(request_.body.size());
  AnswerHeadFacts facts;
  facts.status = head.status;
  facts.names_call = !metadata.call.empty();
  facts.not_executed = metadata.not_executed;
  facts.sealed = metadata.sealed;
  facts.from_other_runner = !metadata.runner.empty() && metadata.runner != runner_.runner;
  answer_failure_ = FailureOfAnswer(facts);
  if (answer_failure_ == AttemptFailure::kMalformed) {
    // The rest of it is of no use, and it may have no end.
    context_->client.Cancel(exchange_);
    FailAttempt(AttemptFailure::kMalformed,
                fmt::format("status {} without proof of origin", head.status));
    return HeadVerdict::kAccept;
  }
  streaming_ = !answer_failure_ && route_->kind == CallKind::kStream && head.status == 200;
  // The caller has the head of a stream, which only events can continue.
  if (answer_begun_ && !streaming_ && !answer_failure_) {
    answer_failure_ = AttemptFailure::kServerError;
  }
  return HeadVerdict::kAccept;
}

void CallSession::OnBody(std::string data) {
  if (!streaming_) {
    BufferAnswer(data);
    return;
  }
  events_.Feed(data);
  ForwardEvents();
}

void CallSession::BufferAnswer(const std::string& data) {
  if (passing_on_) {
    connection_->SendChunk(data);
    UpdateBudget();
    return;
  }
  answer_.body += data;
  held_answer_.Set(answer_.body.size());
  const bool fits = context_->send_budget.MayBuffer(held_answer_.bytes());
  // Errors are passed on only after the last attempt, and HTTP/1.0 has no chunks.
  const bool whole_only = answer_failure_ || request_.head.http_1_0;
  if (answer_.body.size() > kMaxBufferedAnswerBytes || (!fits && whole_only)) {
    context_->client.Cancel(exchange_);
    FailAttempt(AttemptFailure::kMalformed, fits ? "the answer exceeds the size limit"
                                                 : "the gateway has no memory for the answer");
    return;
  }
  if (fits) return;
  // Waiting for memory could last forever: all answers that are buffered may be waiting for it.
  LogInfo("call",
          fmt::format("event=pass-on-unbuffered runner={} held_bytes={} held_answers={} limit={}",
                      runner_.runner.value(), held_answer_.bytes(),
                      context_->send_budget.held(BufferKind::kAnswer),
                      context_->send_budget.limits().answers),
          call_.id.value());
  context_->metrics->GetCounter("answers_passed_on_unbuffered_total").Add();
  passing_on_ = true;
  StopSilenceTimer();  // The answer cannot be fetched from another runner any more.
  OnAnswerBegins();
  connection_->SendChunk(std::exchange(answer_.body, std::string()));
  held_answer_.Set(0);
  UpdateBudget();
}

void CallSession::OnAnswerBegins() {
  if (!first_event_seen_) {
    context_->picker.health(runner_.runner).RemovePending(Urgency(), sent_tokens_);
    first_event_seen_ = true;
    context_->quarantine.OnAnswerBegun(traits_, context_->loop.Now());
  }
  if (answer_begun_) return;
  answer_begun_ = true;
  connection_->BeginStream(context_->protocol->EncodeAnswer(answer_.head));
}

void CallSession::UpdateBudget() {
  held_answer_.Set(events_.buffered_bytes());
  const SendBudget& budget = context_->send_budget;
  const uint64_t queued = connection_->queued_bytes();
  const uint64_t allowance = paused_ && !budget.MayResume(queued) ? 0 : budget.Allowance(queued);
  context_->client.SetReadLimit(exchange_, allowance);
  if (allowance > 0 && paused_) {
    paused_ = false;
    if (passing_on_) return;
    ArmSilenceTimer(route_->gap_target > Millis(0)
                        ? Duration(route_->gap_target * kSilentGapTargets)
                        : SilenceLimit(runner_));
  }
  if (allowance > 0 || paused_) return;
  paused_ = true;
  paused_before_ = true;
  // The runner is not silent; its bytes are not read.
  StopSilenceTimer();
  context_->metrics->GetCounter("answers_paused_total").Add();
  if (++pauses_ > 1) return;
  LogInfo("call",
          fmt::format("event=pause runner={} queued_bytes={} per_call={} held_answers={} limit={}",
                      runner_.runner.value(), queued, budget.limits().per_call,
                      budget.held(BufferKind::kAnswer), budget.limits().answers),
          call_.id.value());
}

void CallSession::OnCallerRead() {
  if (paused_ && in_flight_) UpdateBudget();
}

void CallSession::RecordFirstEvent(bool arrived) {
  if (engine_ == nullptr || first_event_seen_) return;
  const SteadyTime now = context_->loop.Now();
  const double predicted_ms =
      std::max(static_cast<double>(runner_.predicted.count()) / runner_.slowness,
               static_cast<double>(kMinPredicted.count()));
  const double factor = static_cast<double>(ToMillis(now - sent_at_).count()) / predicted_ms;
  RunnerHealth& health = context_->picker.health(runner_.runner);
  if (arrived) {
    health.OnFirstEvent(Urgency(), factor, now);
  } else {
    health.OnNoFirstEvent(Urgency(), factor, now);
  }
}

void CallSession::RecordEventPace() {
  const SteadyTime now = context_->loop.Now();
  if (!first_event_after_) {
    first_event_after_ = ToMillis(now - started_at_);
  } else {
    longest_gap_ = std::max(longest_gap_, ToMillis(now - last_event_at_));
  }
  last_event_at_ = now;
}

std::string CallSession::RecordStreamPace() {
  const Millis first = first_event_after_.value_or(Elapsed());
  const bool first_late = first > route_->target_latency;
  const bool gap_late = route_->gap_target > Millis(0) && longest_gap_ > route_->gap_target;
  const char* late = "no";
  if (first_late) late = gap_late ? "both" : "first-event";
  if (!first_late && gap_late) late = "pause";
  context_->metrics->GetHistogram("stream_longest_pause_seconds").Record(longest_gap_);
  if (first_late || gap_late) {
    context_->metrics
        ->GetCounter(fmt::format("streams_late_total{{part=\"{}\",route=\"{}\"}}", late,
                                 route_->name.value()))
        .Add();
  }
  return fmt::format("events={} first_event_ms={} longest_pause_ms={} late={}", events_.delivered(),
                     first.count(), longest_gap_.count(), late);
}

void CallSession::ForwardEvents() {
  const uint64_t delivered_before = events_.delivered();
  while (const auto event = events_.Next()) {
    if (!first_event_seen_) {
      RecordFirstEvent(true);
      context_->metrics->GetHistogram("first_event_seconds")
          .Record(context_->loop.Now() - started_at_);
    }
    OnAnswerBegins();
    connection_->SendChunk(*event);
    RecordEventPace();
  }
  if (events_.too_long()) {
    context_->client.Cancel(exchange_);
    FailAttempt(AttemptFailure::kMalformed, "an event exceeds the size limit");
    return;
  }
  // Only whole events count as progress: a stalled runner may still send a byte now and then.
  const bool progress = events_.delivered() > delivered_before;
  if (progress && route_->gap_target > Millis(0)) {
    ArmSilenceTimer(route_->gap_target * kSilentGapTargets);
  }
  UpdateBudget();
}

void CallSession::OnComplete() {
  if (answer_failure_) {
    FailAttempt(*answer_failure_, fmt::format("status {}", answer_.head.status));
    return;
  }
  if (streaming_ && events_.has_partial()) {
    FailAttempt(AttemptFailure::kLostAnswer, "the stream ended within an event");
    return;
  }
  // A runner that crashes when it begins to answer may end an unframed stream like this.
  const bool framed = answer_.head.chunked || answer_.head.content_length.has_value();
  if (streaming_ && !framed && !first_event_seen_) {
    FailAttempt(AttemptFailure::kLostAnswer, "the stream ended before its first event");
    return;
  }
  EndAttempt();
  if (!first_event_seen_) context_->quarantine.OnAnswerBegun(traits_, context_->loop.Now());
  RunnerHealth& health = context_->picker.health(runner_.runner);
  health.OnSuccess(context_->loop.Now());
  health.OnModelServed(call_.model.value());
  if (!streaming_ && !passing_on_) {
    ForwardAnswer(std::move(answer_));
    return;
  }
  if (!answer_begun_) connection_->BeginStream(context_->protocol->EncodeAnswer(answer_.head));
  connection_->FinishStream();
  Finish("completed", answer_.head.status, RecordStreamPace());
}

void CallSession::OnFailure(ExchangeFailure failure, const std::string& detail) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      FailAttempt(AttemptFailure::kNotConnected, detail);
      return;
    case ExchangeFailure::kLost:
    case ExchangeFailure::kUnacknowledged:
      FailAttempt(AttemptFailure::kLostAnswer, detail);
      return;
    case ExchangeFailure::kMalformed:
      FailAttempt(AttemptFailure::kMalformed, detail);
      return;
  }
}

void CallSession::RecordFailure(AttemptFailure failure, const std::string& detail) {
  const SteadyTime now = context_->loop.Now();
  LogInfo(
      "call",
      fmt::format(
          "event=attempt-failed runner={} failure={} after_ms={} begun={} ended_by={} parts={} {} "
          "reason=\"{}\"",
          runner_.runner.value(), AttemptFailureName(failure), ToMillis(now - sent_at_).count(),
          first_event_seen_ ? "yes" : "no", EndedByGateway(failure) ? "gateway" : "runner",
          PartIds(call_.prompt), traits_.front().value(), detail),
      call_.id.value());
  context_->metrics
      ->GetCounter(
          fmt::format("attempt_failures_total{{failure=\"{}\"}}", AttemptFailureName(failure)))
      .Add();
  RunnerHealth& health = context_->picker.health(runner_.runner);
  switch (failure) {
    case AttemptFailure::kModelAbsent:
      context_->view.ForgetModel(runner_.runner, call_.model, call_.adapter);
      return;
    case AttemptFailure::kNotConnected:
      health.OnUnreachable(now);
      return;
    case AttemptFailure::kWrongInstance:
      context_->view.MarkReplaced(runner_.runner);
      return;
    case AttemptFailure::kLostAnswer:
      if (!first_event_seen_ && context_->crash_observer != nullptr) {
        context_->crash_observer->OnCallLost({{runner_.runner, runner_born_}, sent_at_, traits_});
      }
      // A runner ends an answer that is not read for some seconds, which is no fault of its own.
      if (!paused_before_) health.OnFailure(now, true);
      return;
    case AttemptFailure::kSilent:
      health.OnFailure(now, true);
      return;
    case AttemptFailure::kNotExecuted:
      if (engine_ != nullptr) health.OnModelRejected(call_.model.value(), now);
      health.OnFailure(now, false);
      return;
    case AttemptFailure::kServerError:
    case AttemptFailure::kUnprovenRefusal:
    case AttemptFailure::kMalformed:
      health.OnFailure(now, false);
      return;
  }
}

void CallSession::FailAttempt(AttemptFailure failure, const std::string& detail) {
  EndAttempt();
  attempts_.OnFailed(failure);
  RecordFailure(failure, detail);
  if (ProvesNotRun(failure)) {
    rejected_until_[runner_.runner] = context_->loop.Now() + kRejectionPause;
  }
  ContinueAfterFailure(failure);
}

Millis CallSession::RetryAfterRefusal() {
  PickError problem = PickError::kNone;
  const auto next = context_->picker.Pick(MakeQuery(nullptr), context_->loop.Now(), &problem);
  if (!next || next->willingness.wait == Millis(0)) return kShortRetryAfter;
  const Millis wait = next->willingness.wait;
  return std::max(kShortRetryAfter, DecideRefusal(wait, Millis(0), call_.id).retry_after);
}

bool CallSession::TakeRetry() {
  if (!retry_granted_) {
    retry_granted_ =
        context_->RetryShareOf(backend_).TryRetry(context_->loop.Now(), context_->KnownGateways());
  }
  return retry_granted_;
}

void CallSession::ContinueAfterFailure(AttemptFailure failure) {
  const Millis time_left = TimeLeft();
  const bool suspected =
      failure == AttemptFailure::kLostAnswer && !first_event_seen_ &&
      context_->quarantine.CrashesWith(traits_.front()) >= CrashQuarantine::kMaxCrashesForRetry;
  // Only a stream can continue where it was cut.
  bool retry_allowed = !suspected && !passing_on_;
  NextStep step = attempts_.AfterFailure(answer_begun_, time_left, retry_allowed);
  // A call that never reached a runner puts no load on it, so its retry is not counted against the
  // retry share, which is this gateway's part of the backend's retry budget for all gateways.
  if (step == NextStep::kRetry && failure != AttemptFailure::kNotConnected) {
    retry_allowed = TakeRetry();
    step = attempts_.AfterFailure(answer_begun_, time_left, retry_allowed);
  }
  LogInfo("call",
          fmt::format("event=next-step step={} failure={} runs={} attempts={} left_ms={} "
                      "budget={} suspected={}",
                      NextStepName(step), AttemptFailureName(failure), attempts_.runs(),
                      attempts_.sent(), time_left.count(), retry_allowed ? "yes" : "no",
                      suspected ? "yes" : "no"),
          call_.id.value());
  switch (step) {
    case NextStep::kRetry:
      Dispatch();
      return;
    case NextStep::kRefuse:
      Refuse("no runner took the call", RetryAfterRefusal());
      return;
    case NextStep::kPassOn:
      ForwardAnswer(std::move(answer_));
      return;
    case NextStep::kFail:
      AnswerWithError(502,
                      failure == AttemptFailure::kUnprovenRefusal
                          ? fmt::format("the runner answered with status {} but did not state that "
                                        "it has not run the call; the call may have run",
                                        answer_.head.status)
                          : "the runner's answer was lost; the call may have run",
                      std::nullopt);
      return;
    case NextStep::kCutOff:
      AbortAnswer("the stream cannot be continued");
      return;
  }
}

}  // namespace shallot::gateway
