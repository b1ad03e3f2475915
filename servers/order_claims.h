#ifndef SERVERS_ORDER_CLAIMS_H_
#define SERVERS_ORDER_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/ids.h"
#include "core/result.h"
#include "servers/call.h"

namespace shallot {

/// Unique id of one attempt to claim an order.
using ClaimId = StrongId<struct ClaimIdTag>;

/// The recorded answer of an order.
struct OrderAnswer {
  Outcome outcome;
  std::string body;

  bool operator==(const OrderAnswer&) const = default;
};

enum class ClaimState {
  kGranted,      ///< The claim succeeded; the order may now run once.
  kAnswered,     ///< The order ran before; `answer` is its recorded answer.
  kInProgress,   ///< The order runs under another claim.
  kKeyReused,    ///< The key was used for a request with another hash.
  kUnavailable,  ///< Nothing was claimed; the order must not run.
  kUnresolved,   ///< It is unknown whether the claim was written; the order must not run.
};

struct ClaimReply {
  ClaimState state = ClaimState::kUnavailable;
  /// For kInProgress: the runner that claimed the order, and the id of its claim.
  RunnerId holder;
  ClaimId claim;
  OrderAnswer answer;
  std::string message;
};

/// Claims of orders. An order is a call that must run at most once. Claims are kept in the platform
/// store, so that this holds even if copies of an order arrive at different runners. Callbacks run
/// on the thread of the calling core.
class OrderClaims {
 public:
  using ClaimCallback = std::function<void(const ClaimReply&)>;
  using DoneCallback = std::function<void(const Status&)>;

  virtual ~OrderClaims() = default;
  /// Claims the order for `runner`. `request_hash` covers method, path and body.
  virtual void Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
                     const RunnerId& runner, ClaimCallback done) = 0;
  /// Records the answer of an order that ran under `claim`. Retries until the answer is written.
  /// Gives up if the order's record is gone, belongs to another claim or says that the order did
  /// not run (kConflict), or if the record is malformed.
  virtual void RecordAnswer(const IdempotencyKey& key, const ClaimId& claim,
                            const OrderAnswer& answer, DoneCallback done) = 0;
  /// Releases the claim. Only for an order that was provably never sent to the backend server.
  virtual void RecordNotRun(const IdempotencyKey& key, const ClaimId& claim, DoneCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_ORDER_CLAIMS_H_
