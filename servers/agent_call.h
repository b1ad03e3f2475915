#ifndef SERVERS_AGENT_CALL_H_
#define SERVERS_AGENT_CALL_H_

#include <memory>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/answer_buffer.h"
#include "servers/call.h"
#include "servers/call_queue.h"
#include "servers/order_claims.h"
#include "servers/peer_link.h"

namespace shallot {

/// Where a call is at its agent.
enum class CallPhase {
  kQueued,
  kRunning,
  kRecording,  ///< An order has ended; its answer or its return is being recorded.
  kEnded,
};

/// Whether an order may run. Calls that may be repeated need no claim.
enum class ClaimPhase { kNotNeeded, kPending, kGranted, kRefused };

/// One attempt of one call at an agent, from its start until its router acknowledged the outcome.
struct AgentCall {
  AgentCall(Call started, std::shared_ptr<AnswerBudget> budget)
      : call(std::move(started)), key(call.id, call.attempt), answer(std::move(budget)) {}

  Call call;
  CallKey key;
  CallPhase phase = CallPhase::kQueued;
  ClaimPhase claim_phase = ClaimPhase::kNotNeeded;
  ClaimId claim;
  /// Connection that gets the frames and the outcome, when `attached`.
  ConnectionId connection;
  bool attached = true;
  SteadyTime detached_at;
  SteadyTime arrived_at;
  SteadyTime deadline;
  SteadyTime started_at;
  SteadyTime ended_at;
  /// The latest moment to send the outcome of an order whose record is not confirmed.
  SteadyTime record_until;
  /// The backend server was asked to run the call.
  bool sent_to_backend = false;
  /// The entry was not usable when the call arrived.
  bool cold = false;
  bool cancel_sent = false;
  /// Reason of the cancellation, for the outcome.
  Reason cancel_reason = Reason::kCancelled;
  AnswerBuffer answer;
  int http_status = 0;
  std::string content_type;
  Outcome outcome;
  /// Bytes of the answer that were sent on `connection`.
  uint64_t sent = 0;
  bool outcome_sent = false;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_CALL_H_
