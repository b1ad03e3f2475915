#include <algorithm>
#include <utility>

#include "core/log.h"
#include "servers/agent_state.h"

namespace shallot {
namespace {

/// Weight of the newest call in the exponentially smoothed service times.
constexpr double kSmoothingWeight = 0.2;

/// Forwards the answer of one call to the agent. Owns itself until OnEnd, because the backend
/// server uses it until then, even after the agent is destroyed.
class CallSink final : public AnswerSink {
 public:
  CallSink(std::weak_ptr<AgentCore::State*> agent, std::shared_ptr<AgentCall> call)
      : agent_(std::move(agent)), call_(std::move(call)) {}

  static CallSink* Make(std::weak_ptr<AgentCore::State*> agent, std::shared_ptr<AgentCall> call) {
    auto sink = std::make_shared<CallSink>(std::move(agent), std::move(call));
    sink->self_ = sink;
    return sink.get();
  }

  void OnBegin(int http_status, const std::string& content_type) override {
    if (const auto agent = agent_.lock()) (*agent)->OnBegin(call_, http_status, content_type);
  }
  void OnData(const std::string& payload) override {
    if (const auto agent = agent_.lock()) (*agent)->OnData(call_, payload);
  }
  void OnEnd(ExecutionEnd end, const std::string& message) override {
    const std::shared_ptr<CallSink> self = std::move(self_);
    if (const auto agent = agent_.lock()) (*agent)->OnExecutionEnd(call_, end, message);
  }

 private:
  std::weak_ptr<AgentCore::State*> agent_;
  std::shared_ptr<AgentCall> call_;
  std::shared_ptr<CallSink> self_;
};

Duration Smooth(Duration average, Duration sample) {
  if (average == Duration::zero()) return sample;
  return std::chrono::duration_cast<Duration>(average * (1 - kSmoothingWeight) +
                                              sample * kSmoothingWeight);
}

}  // namespace

bool AgentCore::State::CanStart(const QueuedCall& queued) const {
  if (!queued.entry.empty() && !loads.IsUsable(queued.entry)) return false;
  if (running_ids.contains(queued.key.first)) return false;
  const CallPtr call = FindCall(queued.key);
  return call->claim_phase == ClaimPhase::kNotNeeded || call->claim_phase == ClaimPhase::kGranted;
}

void AgentCore::State::Dispatch() {
  // No call starts after the grace period, because it could not finish.
  while (!grace_period_ended && running_ids.size() < Concurrency()) {
    const std::optional<CallKey> key =
        queue.Pop(Now(), [this](const QueuedCall& queued) { return CanStart(queued); });
    if (!key) return;
    Run(FindCall(*key));
  }
}

void AgentCore::State::Run(const CallPtr& call) {
  env.invariants->Check(Invariant::kNoNewWorkWhileLeaving,
                        !draining || call->arrived_at <= drain_started,
                        "call " + call->call.id.value() + " arrived after the drain began");
  if (!call->call.repeatable) {
    env.invariants->Check(
        Invariant::kOrderAtMostOnce,
        call->claim_phase == ClaimPhase::kGranted && !call->sent_to_backend,
        "order " + call->call.id.value() + " runs without a granted claim or was already sent");
  }
  if (!call->call.repeatable) CheckSingleRun(*call);
  call->phase = CallPhase::kRunning;
  call->sent_to_backend = true;
  call->started_at = Now();
  running_ids.insert(call->call.id);
  if (!call->call.entry.empty()) ++running_by_entry[call->call.entry];
  const char* wait = call->cold ? "shallot_agent_cold_wait_seconds" : "shallot_agent_wait_seconds";
  env.metrics->GetHistogram(wait).Record(Now() - call->arrived_at);
  Call sent = call->call;
  sent.remaining = std::max(Millis(0), std::chrono::floor<Millis>(call->deadline - Now()));
  env.backend->StartCall(sent, CallSink::Make(self, call));
}

void AgentCore::State::OnBegin(const CallPtr& call, int http_status,
                               const std::string& content_type) {
  call->http_status = http_status;
  call->content_type = content_type;
  crashes.OnAnswerBegun(call->call.traits, Now());
}

void AgentCore::State::OnCallLost(const AgentCall& call) {
  const bool begun = call.http_status != 0 || call.answer.size() > 0;
  if (begun || call.call.traits.empty() || call.cancel_sent) return;
  crashes.OnLost(call.call.traits, call.started_at, Now());
  // Tells whether the engine has crashed.
  loads.FetchInventory();
}

void AgentCore::State::OnData(const CallPtr& call, const std::string& payload) {
  call->answer.Append(payload);
  SendPending(*call);
}

void AgentCore::State::OnExecutionEnd(const CallPtr& call, ExecutionEnd end,
                                      const std::string& message) {
  running_ids.erase(call->call.id);
  if (!call->call.entry.empty()) {
    --running_by_entry[call->call.entry];
    loads.Touch(call->call.entry);
  }
  if (end == ExecutionEnd::kCompleted) RecordServiceTime(*call);
  // The call provably never reached the backend server.
  if (end == ExecutionEnd::kNotStarted) {
    call->sent_to_backend = false;
    executed_orders.erase(call->call.idempotency_key);
    // A restarted engine refuses calls for entries that it no longer holds.
    loads.FetchInventory();
  }
  if (end == ExecutionEnd::kUnknown) OnCallLost(*call);
  const Outcome outcome = OutcomeOf(*call, end, message);
  if (call->call.repeatable) {
    Finish(call, outcome);
  } else if (call->phase == CallPhase::kEnded) {
    // A drain reported the order as unknown; with the record, a duplicate still gets its answer.
    env.claims->RecordAnswer(call->call.idempotency_key, call->claim,
                             {outcome, call->answer.data()}, [](const Status&) {});
  } else if (end == ExecutionEnd::kNotStarted) {
    Refuse(call, outcome);
  } else {
    RecordOrderAnswer(call, outcome);
  }
  Dispatch();
}

Outcome AgentCore::State::OutcomeOf(const AgentCall& call, ExecutionEnd end,
                                    const std::string& message) const {
  static constexpr std::array<OutcomeKind, 4> kKinds = {
      OutcomeKind::kCompleted, OutcomeKind::kNotRun, OutcomeKind::kFailed, OutcomeKind::kUnknown};
  Outcome outcome;
  outcome.kind = kKinds[static_cast<size_t>(end)];
  outcome.message = message;
  outcome.http_status = call.http_status;
  outcome.content_type = call.content_type;
  if (end == ExecutionEnd::kCompleted) {
    outcome.total_length = call.answer.size();
    return outcome;
  }
  outcome.reason = end == ExecutionEnd::kUnknown ? Reason::kConnectionLost : Reason::kBackendError;
  if (!call.cancel_sent || end == ExecutionEnd::kNotStarted) return outcome;
  outcome.reason = call.cancel_reason;
  return outcome;
}

void AgentCore::State::RecordServiceTime(const AgentCall& call) {
  const Duration took = Now() - call.started_at;
  const auto call_class = static_cast<size_t>(call.call.call_class);
  Duration& average = service_time[call_class];
  Duration& deviation = service_deviation[call_class];
  if (average != Duration::zero()) deviation = Smooth(deviation, std::chrono::abs(took - average));
  average = Smooth(average, took);
  mean_service = Smooth(mean_service, took);
  env.metrics->GetHistogram("shallot_agent_service_seconds").Record(took);
}

void AgentCore::State::Finish(const CallPtr& call, const Outcome& outcome) {
  if (!env.invariants->Check(Invariant::kNoSilentDrop, call->phase != CallPhase::kEnded,
                             "call " + call->call.id.value() + " ended twice")) {
    return;
  }
  if (outcome.kind == OutcomeKind::kNotRun) {
    env.invariants->Check(
        Invariant::kNotRunDidNotRun, !call->sent_to_backend,
        "call " + call->call.id.value() + " ended as not run but was sent to the backend server");
  }
  if (outcome.reason == Reason::kDraining && outcome.kind != OutcomeKind::kNotRun) {
    env.invariants->Check(
        Invariant::kDrainCutsNothing, Now() >= drain_until,
        "call " + call->call.id.value() + " was interrupted before the grace period ended");
  }
  call->phase = CallPhase::kEnded;
  call->ended_at = Now();
  call->outcome = outcome;
  call->call.body.clear();
  Count(std::string("shallot_agent_outcomes_total{outcome=\"") + OutcomeKindName(outcome.kind) +
        "\",reason=\"" + ReasonName(outcome.reason) + "\"}")
      .Add();
  SendPending(*call);
}

void AgentCore::State::SendPending(AgentCall& call) {
  if (!call.attached) return;
  while (call.next_offset < call.answer.size()) {
    CallFrame frame;
    frame.call = call.call.id;
    frame.attempt = call.call.attempt;
    frame.offset = call.next_offset;
    frame.payload = call.answer.FrameAt(call.next_offset);
    if (call.next_offset == 0) {
      frame.http_status = call.http_status;
      frame.content_type = call.content_type;
    }
    const uint64_t length = frame.payload.size();
    if (!peers.Send(call.connection, frame)) return;
    call.next_offset += length;
  }
  if (call.phase != CallPhase::kEnded || call.outcome_sent) return;
  call.outcome_sent =
      peers.Send(call.connection, CallOutcome{call.call.id, call.call.attempt, call.outcome});
}

void AgentCore::State::SendAllPending() {
  for (auto& [key, call] : calls) SendPending(*call);
}

}  // namespace shallot
