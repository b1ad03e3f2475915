#ifndef SERVERS_GATEWAY_STORE_POSITION_H_
#define SERVERS_GATEWAY_STORE_POSITION_H_

#include <compare>

#include "core/ids.h"

namespace shallot::gateway {

using LeaseId = StrongNumber<struct LeaseIdTag>;
/// Position in the platform store's history; increases with each change.
using StoreRevision = StrongNumber<struct StoreRevisionTag>;
/// Increases by one each time the platform restores its store from a copy. The store then lacks its
/// newest changes, and gives out their revisions and leases again.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// A point in the store's history, comparable across restores. The era is 0 if the store names
/// none.
struct StorePosition {
  StoreEra era;
  StoreRevision revision;

  auto operator<=>(const StorePosition&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_STORE_POSITION_H_
