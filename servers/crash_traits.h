#ifndef SERVERS_CRASH_TRAITS_H_
#define SERVERS_CRASH_TRAITS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"

namespace shallot {

using TraitSet = std::set<CallTrait>;

inline constexpr size_t kMaxTraitBytes = 64;
inline constexpr size_t kMaxTraitsPerCall = 9;

/// The trait with this text, cut to kMaxTraitBytes.
CallTrait MakeTrait(std::string text);
/// The trait that a call shares with its repeats only, from a hash of what these have in common.
CallTrait MakeRequestTrait(uint64_t hash);
/// Whether only repeats of one call have the trait.
bool IsRequestTrait(const CallTrait& trait);

/// Whether a call with `traits` has all of `wanted`.
bool HasAllTraits(const std::vector<CallTrait>& traits, const TraitSet& wanted);

/// Whether a sorted set includes another one.
template <class Set>
bool Includes(const Set& set, const Set& part) {
  return std::includes(set.begin(), set.end(), part.begin(), part.end());
}

/// The traits as one text, separated by commas, for logs.
std::string DescribeTraits(const TraitSet& traits);

}  // namespace shallot

#endif  // SERVERS_CRASH_TRAITS_H_
