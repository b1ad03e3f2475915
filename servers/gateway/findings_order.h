#ifndef SERVERS_GATEWAY_FINDINGS_ORDER_H_
#define SERVERS_GATEWAY_FINDINGS_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/ids.h"

namespace shallot::gateway {

/// Identifies one publication of a gateway's findings.
struct FindingsNumber {
  /// Drawn at random at each start of the gateway; 0 if unknown.
  uint64_t run = 0;
  /// Increases with each publication of one run.
  uint64_t number = 0;

  bool operator==(const FindingsNumber&) const = default;
};

/// Decides whether findings are new. Load pattern: a gateway's findings arrive directly and through
/// the store, and again with each read of the whole store; a restored store brings findings back
/// that were replaced long ago, such as quarantines that have ended. Not thread-safe.
class FindingsOrder {
 public:
  static constexpr size_t kMaxGateways = 4'096;
  /// Runs of one gateway that are remembered.
  static constexpr size_t kMaxRuns = 5;

  /// Returns whether the findings are newer than all that came from the same run of the gateway,
  /// and records them. Runs have no order: the first findings of each are new.
  bool TakeIfNew(const InstanceId& gateway, const FindingsNumber& number);

 private:
  /// The newest findings of each run, by gateway.
  std::map<InstanceId, std::deque<FindingsNumber>> newest_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_FINDINGS_ORDER_H_
