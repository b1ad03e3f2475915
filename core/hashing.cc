#include "core/hashing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace shallot {

uint64_t StableHash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return StableHash(node, StableHash(key));
}

}  // namespace shallot
