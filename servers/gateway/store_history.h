#ifndef SERVERS_GATEWAY_STORE_HISTORY_H_
#define SERVERS_GATEWAY_STORE_HISTORY_H_

#include <optional>

#include "servers/gateway/store_position.h"

namespace shallot::gateway {

/// Decides what an answer of the store is worth, given that the store may have been restored from a
/// copy. Load pattern: all gateways have calls in progress when the store returns with an older
/// state, and some notice it only seconds later, after the operators and the runners have written
/// again.
///
/// Whatever depends on the store's history holds within one era only: revisions, the conditions of
/// writes, leases, and the point from which changes are followed. A call is therefore used only if
/// it was sent and answered in the present era. Configuration, runners and gateways that are
/// already known remain, and are compared by their own versions.
class StoreHistory {
 public:
  enum class Verdict {
    kCurrent,
    kRestored,  ///< First answer of a new era: all that depends on the history is void.
    kOutdated,  ///< The call belongs to an earlier era.
  };

  /// `sent_in`: era() when the call was sent. `answered_in`: the era that the answer names; absent
  /// if it names none.
  Verdict OnAnswer(std::optional<StoreEra> sent_in, std::optional<StoreEra> answered_in);

  /// The present era; absent until an answer has named one.
  std::optional<StoreEra> era() const { return era_; }

 private:
  std::optional<StoreEra> era_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_STORE_HISTORY_H_
