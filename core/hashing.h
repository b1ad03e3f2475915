#ifndef CORE_HASHING_H_
#define CORE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace shallot {

/// Stable 64-bit hash (XXH3); the same in every process and after every restart.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

/// Weight of `node` for `key` in rendezvous hashing; the node with the highest weight is chosen.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace shallot

#endif  // CORE_HASHING_H_
