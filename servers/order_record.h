#ifndef SERVERS_ORDER_RECORD_H_
#define SERVERS_ORDER_RECORD_H_

#include <string>

#include "core/ids.h"
#include "core/result.h"
#include "servers/order_claims.h"

namespace shallot {

enum class OrderState { kClaimed, kDone, kNotRun };

/// Record of an order in the platform store.
struct OrderRecord {
  OrderState state = OrderState::kClaimed;
  ClaimId claim;
  RunnerId runner;
  uint64_t request_hash = 0;
  /// For kDone; the body is empty when it was too long to be recorded.
  OrderAnswer answer;
  uint64_t body_length = 0;
  uint64_t body_hash = 0;

  bool operator==(const OrderRecord&) const = default;
};

/// Formats the record as JSON; the body is Base64-encoded.
std::string FormatOrderRecord(const OrderRecord& record);
/// Parses a formatted record. Returns kInvalidArgument if the text is malformed.
Result<OrderRecord> ParseOrderRecord(const std::string& text);

}  // namespace shallot

#endif  // SERVERS_ORDER_RECORD_H_
