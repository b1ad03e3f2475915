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

/// Processing state of a call at its agent.
enum class CallPhase {
  kQueued,
  kRunning,
  kRecording,  ///< An order has ended; its answer or the release of its claim is being recorded.
  kEnded,
};

/// State of the claim of an order. Repeatable calls need no claim.
enum class ClaimPhase { kNotNeeded, kPending, kGranted, kRefused };

/// One attempt of a call at an agent, from its start until its router acknowledges the outcome or
/// the retention time of the answer ends.
struct AgentCall {
  AgentCall(Call started, std::shared_ptr<AnswerBudget> budget)
      : call(std::move(started)), key(call.id, call.attempt), answer(std::move(budget)) {}

  Call call;
  CallKey key;
  CallPhase phase = CallPhase::kQueued;
  ClaimPhase claim_phase = ClaimPhase::kNotNeeded;
  ClaimId claim;
  /// Connection on which frames and the outcome are sent; valid while `attached`.
  ConnectionId connection;
  bool attached = true;
  SteadyTime detached_at;
  SteadyTime arrived_at;
  SteadyTime deadline;
  SteadyTime started_at;
  SteadyTime ended_at;
  /// In phase kRecording: time at which the outcome is sent even if its record is not confirmed.
  SteadyTime record_deadline;
  /// True once the call was sent to the backend server; false again if it provably did not arrive.
  bool sent_to_backend = false;
  /// True if the entry was not usable when the call arrived.
  bool cold = false;
  bool cancel_sent = false;
  /// Reason reported in the outcome of a cancelled call.
  Reason cancel_reason = Reason::kCancelled;
  AnswerBuffer answer;
  int http_status = 0;
  std::string content_type;
  Outcome outcome;
  /// Offset in the answer of the next byte to send on `connection`.
  uint64_t next_offset = 0;
  bool outcome_sent = false;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_CALL_H_
