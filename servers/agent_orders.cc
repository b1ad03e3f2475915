#include <algorithm>
#include <utility>

#include "core/hashing.h"
#include "core/log.h"
#include "core/test_defects.h"
#include "servers/agent_state.h"

namespace shallot {
namespace {

/// Maximum time that the outcome of an order is held back until its record is confirmed.
constexpr Millis kRecordTimeout{2000};
/// Maximum number of orders remembered to detect a second run; about 6 MB at 100 bytes each.
constexpr size_t kMaxExecutedOrders = 65'536;
/// Minimum retry-after for an order in progress, used as is when no service time is known; also the
/// retry-after while the store is unavailable.
constexpr Millis kInProgressRetry{1000};

/// Each field seeds the hash of the next, so that moving bytes from one field to another changes
/// the result.
uint64_t RequestHash(const Call& call) {
  const uint64_t method = StableHash(call.method);
  const uint64_t path = StableHash(call.path, method);
  return StableHash(call.body, path);
}

}  // namespace

void AgentCore::State::ClaimOrder(const CallPtr& call) {
  call->claim_phase = ClaimPhase::kPending;
  call->claim = ClaimId(ClaimPrefix() + std::to_string(++next_claim));
  Count("shallot_agent_claims_total").Add();
  const std::weak_ptr<State*> weak = self;
  env.claims->Claim(call->call.idempotency_key, RequestHash(call->call), call->claim,
                    options.runner, [weak, call](const ClaimReply& reply) {
                      if (const auto agent = weak.lock()) (*agent)->OnClaim(call, reply);
                    });
}

void AgentCore::State::OnClaim(const CallPtr& call, const ClaimReply& reply) {
  if (call->claim_phase != ClaimPhase::kPending) return;
  if (reply.state == ClaimState::kGranted || HasDefect(TestDefect::kRunWithoutClaim)) {
    OnClaimGranted(call);
    return;
  }
  // An unresolved claim may have been written. No other agent can run the order under it, and it is
  // not run here, so the outcome is not-run and the claim is released.
  const bool unresolved = reply.state == ClaimState::kUnresolved;
  call->claim_phase = unresolved ? ClaimPhase::kGranted : ClaimPhase::kRefused;
  // The call may have been refused while its claim was pending.
  if (call->phase != CallPhase::kQueued) {
    if (unresolved) ReleaseClaim(call);
    return;
  }
  queue.Remove(call->key);
  if (reply.state == ClaimState::kAnswered) {
    ReplayAnswer(call, reply.answer);
    return;
  }
  Refuse(call, RefusalOf(*call, reply));
}

std::string AgentCore::State::ClaimPrefix() const {
  return options.runner.value() + "/" + std::to_string(options.incarnation.value()) + "/";
}

/// True if the claim belongs to an earlier incarnation of this runner. The exclusive bind of the
/// control port proves that such an incarnation has exited: its order may have run, and the answer
/// will never be recorded.
bool AgentCore::State::IsClaimantLost(const ClaimReply& reply) const {
  return reply.holder == options.runner && !reply.claim.value().starts_with(ClaimPrefix());
}

Outcome AgentCore::State::RefusalOf(const AgentCall& call, const ClaimReply& reply) const {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.message = reply.message;
  if (reply.state == ClaimState::kKeyReused) {
    outcome.reason = Reason::kKeyReused;
    return outcome;
  }
  if (reply.state != ClaimState::kInProgress) {
    outcome.reason = Reason::kStoreUnavailable;
    outcome.retry_after = kInProgressRetry;
    return outcome;
  }
  outcome.kind = OutcomeKind::kUnknown;
  if (IsClaimantLost(reply)) {
    outcome.reason = Reason::kClaimantLost;
    outcome.message =
        "the agent that claimed the order has exited; check at the service whether the order ran";
    return outcome;
  }
  outcome.reason = Reason::kInProgress;
  outcome.retry_after = std::max(kInProgressRetry, ServiceTimeEstimate(call.call.call_class));
  return outcome;
}

void AgentCore::State::OnClaimGranted(const CallPtr& call) {
  call->claim_phase = ClaimPhase::kGranted;
  if (call->phase == CallPhase::kQueued) {
    Dispatch();
    return;
  }
  // The order was refused while its claim was pending.
  ReleaseClaim(call);
}

void AgentCore::State::ReleaseClaim(const CallPtr& call) {
  env.claims->RecordNotRun(call->call.idempotency_key, call->claim, [](const Status& status) {
    if (!IsOk(status)) LogWarning("order", FormatError(ErrorOf(status)));
  });
}

void AgentCore::State::CheckSingleRun(const AgentCall& call) {
  const IdempotencyKey& key = call.call.idempotency_key;
  env.invariants->Check(Invariant::kOrderAtMostOnce, executed_orders.insert(key).second,
                        "order " + call.call.id.value() + " runs a second time");
  executed_orders_by_age.push_back(key);
  if (executed_orders_by_age.size() <= kMaxExecutedOrders) return;
  executed_orders.erase(executed_orders_by_age.front());
  executed_orders_by_age.pop_front();
}

OrderClaims::DoneCallback AgentCore::State::MakeRecordedCallback(const CallPtr& call) {
  const std::weak_ptr<State*> weak = self;
  return [weak, call](const Status& status) {
    if (!IsOk(status)) LogWarning("order", FormatError(ErrorOf(status)));
    if (const auto agent = weak.lock()) (*agent)->FinishRecorded(call);
  };
}

void AgentCore::State::ReplayAnswer(const CallPtr& call, const OrderAnswer& answer) {
  Count("shallot_agent_orders_replayed_total").Add();
  call->answer.Append(answer.body);
  call->http_status = answer.outcome.http_status;
  call->content_type = answer.outcome.content_type;
  Outcome outcome = answer.outcome;
  outcome.total_length = call->answer.size();
  Finish(call, outcome);
}

void AgentCore::State::RecordOrderAnswer(const CallPtr& call, const Outcome& outcome) {
  call->phase = CallPhase::kRecording;
  call->outcome = outcome;
  call->record_deadline = Now() + kRecordTimeout;
  const OrderAnswer answer{outcome, call->answer.data()};
  env.claims->RecordAnswer(call->call.idempotency_key, call->claim, answer,
                           MakeRecordedCallback(call));
}

void AgentCore::State::Refuse(const CallPtr& call, const Outcome& outcome) {
  // A pending claim is released by OnClaim if it turns out to be granted.
  if (call->claim_phase != ClaimPhase::kGranted) {
    Finish(call, outcome);
    return;
  }
  // A retry on another runner would find the claim taken, so the outcome is held back until the
  // claim is released.
  call->phase = CallPhase::kRecording;
  call->outcome = outcome;
  call->record_deadline = std::min(Now() + kRecordTimeout, std::max(Now(), call->deadline));
  env.claims->RecordNotRun(call->call.idempotency_key, call->claim, MakeRecordedCallback(call));
}

void AgentCore::State::FinishRecorded(const CallPtr& call) {
  if (call->phase != CallPhase::kRecording) return;
  Finish(call, Outcome(call->outcome));
}

}  // namespace shallot
