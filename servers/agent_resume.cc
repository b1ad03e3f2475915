#include <vector>

#include "servers/agent_state.h"

namespace shallot {
namespace {

/// A repeatable call is cancelled after this long without a connection to a router.
constexpr Millis kOrphanTimeout{10'000};
/// An answer is kept this long after the end of its call unless the router acknowledges it earlier.
constexpr Millis kAnswerRetention{30'000};
/// Lifetime of the tombstone of a cancelled attempt.
constexpr Millis kTombstoneAge{300'000};
/// A repeatable call is cancelled when it runs this long past its deadline. Routers cancel at the
/// deadline, so a call that still runs has lost its router.
constexpr Millis kOverrunLimit{2000};

}  // namespace

AgentCore::State::CallPtr AgentCore::State::FindCall(const CallKey& key) const {
  const auto found = calls.find(key);
  return found == calls.end() ? nullptr : found->second;
}

void AgentCore::State::SendOutcome(ConnectionId connection, const CallKey& key,
                                   const Outcome& outcome) {
  peers.Send(connection, CallOutcome{key.first, key.second, outcome});
}

void AgentCore::State::Attach(AgentCall& call, ConnectionId connection, uint64_t offset) {
  call.connection = connection;
  call.attached = true;
  call.next_offset = offset;
  call.outcome_sent = false;
  SendPending(call);
}

void AgentCore::State::OnCallResume(ConnectionId connection, const CallResume& resume) {
  const CallKey key(resume.call, resume.attempt);
  if (const CallPtr call = FindCall(key)) {
    Count("shallot_agent_resumes_total").Add();
    Attach(*call, connection, resume.offset);
    return;
  }
  Outcome outcome;
  const bool did_not_run = DidNotRun(key);
  outcome.kind = did_not_run ? OutcomeKind::kNotRun : OutcomeKind::kUnknown;
  outcome.reason = did_not_run ? Reason::kCancelled : Reason::kConnectionLost;
  outcome.message = "the agent does not know the call";
  SendOutcome(connection, key, outcome);
}

void AgentCore::State::OnCallCancel(ConnectionId connection, const CallCancel& cancel) {
  const CallKey key(cancel.call, cancel.attempt);
  if (const CallPtr call = FindCall(key)) {
    const bool new_connection = !call->attached || call->connection != connection;
    if (new_connection) Attach(*call, connection, call->next_offset);
    CancelCall(call, Reason::kCancelled);
    return;
  }
  // The call may have run under an earlier incarnation, or here with its outcome acknowledged. Only
  // a cancellation that found it in the queue proves that it did not run.
  const bool did_not_run = DidNotRun(key);
  AddTombstone(key, did_not_run);
  Outcome outcome;
  outcome.kind = did_not_run ? OutcomeKind::kNotRun : OutcomeKind::kUnknown;
  outcome.reason = Reason::kCancelled;
  outcome.message = "the agent does not know the call; a late start of it will be refused";
  SendOutcome(connection, key, outcome);
}

void AgentCore::State::CancelCall(const CallPtr& call, Reason reason) {
  // A running order is not cancelled: stopped half way, it may have taken effect, and its
  // duplicates would never get its answer. Its router ends it as unknown if there is no answer by
  // the deadline.
  if (call->phase == CallPhase::kRunning && call->call.repeatable) CancelAtBackend(call, reason);
  if (call->phase == CallPhase::kEnded) call->outcome_sent = false;
  if (call->phase != CallPhase::kQueued) {
    SendPending(*call);
    return;
  }
  queue.Remove(call->key);
  AddTombstone(call->key, true);
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = reason;
  Refuse(call, outcome);
}

void AgentCore::State::CancelAtBackend(const CallPtr& call, Reason reason) {
  if (call->cancel_sent) return;
  call->cancel_sent = true;
  call->cancel_reason = reason;
  Count("shallot_agent_cancels_total").Add();
  // The outcome depends on how the call ends, not on the reply to the cancellation.
  env.backend->CancelCall(call->call.id, [](const Result<CancelResult>&) {});
}

void AgentCore::State::OnCallAck(const CallAck& ack) {
  const CallPtr call = FindCall(CallKey(ack.call, ack.attempt));
  if (call == nullptr || call->phase != CallPhase::kEnded) return;
  calls.erase(call->key);
}

void AgentCore::State::SweepCalls() {
  const SteadyTime now = Now();
  std::vector<CallPtr> orphans;
  std::vector<CallPtr> overruns;
  std::vector<CallPtr> unrecorded;
  for (const auto& [key, call] : calls) {
    if (call->phase == CallPhase::kRecording && now >= call->record_deadline) {
      unrecorded.push_back(call);
    }
    if (!call->call.repeatable || call->phase == CallPhase::kEnded) continue;
    if (!call->attached && now - call->detached_at >= kOrphanTimeout) orphans.push_back(call);
    if (call->phase == CallPhase::kRunning && now >= call->deadline + kOverrunLimit) {
      overruns.push_back(call);
    }
  }
  for (const CallPtr& call : unrecorded) FinishRecorded(call);
  for (const CallPtr& call : orphans) CancelCall(call, Reason::kConnectionLost);
  for (const CallPtr& call : overruns) CancelCall(call, Reason::kDeadline);
  EraseExpired();
}

void AgentCore::State::EraseExpired() {
  const SteadyTime now = Now();
  std::erase_if(calls, [now](const auto& item) {
    const AgentCall& call = *item.second;
    return call.phase == CallPhase::kEnded && now - call.ended_at >= kAnswerRetention;
  });
  std::erase_if(tombstones,
                [now](const auto& item) { return now - item.second.since >= kTombstoneAge; });
}

}  // namespace shallot
