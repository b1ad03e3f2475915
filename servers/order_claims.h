#ifndef SERVERS_ORDER_CLAIMS_H_
#define SERVERS_ORDER_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/ids.h"
#include "core/result.h"
#include "servers/call.h"

namespace shallot {

/// Unique for each try to claim an order.
using ClaimId = StrongId<struct ClaimIdTag>;

/// The recorded answer of an order.
struct OrderAnswer {
  Outcome outcome;
  std::string body;

  bool operator==(const OrderAnswer&) const = default;
};

enum class ClaimState {
  kGranted,      ///< This claim won; the order may run now, once.
  kAnswered,     ///< The order ran before; `answer` is its recorded answer.
  kInProgress,   ///< Another claim of the same order is running.
  kKeyReused,    ///< The key belongs to a request with another hash.
  kUnavailable,  ///< Nothing was claimed; the order must not run.
  kUnresolved,   ///< Not known whether this claim was written; the order must not run.
};

struct ClaimReply {
  ClaimState state = ClaimState::kUnavailable;
  /// Runner that holds the claim, and its claim, for kInProgress.
  RunnerId holder;
  ClaimId claim;
  OrderAnswer answer;
  std::string message;
};

/// Claims of orders, kept in the platform store so that an order runs at most once whichever
/// runners its copies arrive at. Callbacks run on the thread of the core that called.
class OrderClaims {
 public:
  using ClaimCallback = std::function<void(const ClaimReply&)>;
  using DoneCallback = std::function<void(const Status&)>;

  virtual ~OrderClaims() = default;
  /// Claims the order for `runner`. `request_hash` covers method, path and body.
  virtual void Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
                     const RunnerId& runner, ClaimCallback done) = 0;
  /// Records the answer of an order that ran under `claim`; retries until written or superseded.
  virtual void RecordAnswer(const IdempotencyKey& key, const ClaimId& claim,
                            const OrderAnswer& answer, DoneCallback done) = 0;
  /// Gives the claim back; only when the order was provably never sent to the backend server.
  virtual void RecordNotRun(const IdempotencyKey& key, const ClaimId& claim, DoneCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_ORDER_CLAIMS_H_
