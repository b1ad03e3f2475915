#ifndef SERVERS_GATEWAY_STORE_POSITION_H_
#define SERVERS_GATEWAY_STORE_POSITION_H_

#include <compare>
#include <cstdint>

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

/// Revisions of one era that fencing numbers tell apart. Numbers of the first 8,191 eras are exact
/// also where JSON numbers are read as doubles.
inline constexpr uint64_t kRevisionsPerEra = uint64_t{1} << 40;

/// The fencing number of a leader whose claim was written at this position. It increases with each
/// claim, also across restores of the store.
constexpr FencingNumber FenceOf(const StorePosition& position) {
  return FencingNumber(position.era.value() * kRevisionsPerEra + position.revision.value());
}

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_STORE_POSITION_H_
