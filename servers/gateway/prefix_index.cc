#include "servers/gateway/prefix_index.h"

#include "core/hashing.h"

namespace shallot::gateway {

void PrefixIndex::Sent(const RunnerId& runner, const std::string& scope,
                       const std::vector<PromptPart>& parts) {
  Prefixes& prefixes = runners_[runner];
  uint64_t hash = StableHash(scope);
  for (const PromptPart& part : parts) {
    hash = StableHash(part.id, hash);
    const auto position = prefixes.positions.find(hash);
    if (position != prefixes.positions.end()) {
      prefixes.recent.splice(prefixes.recent.begin(), prefixes.recent, position->second);
      continue;
    }
    prefixes.recent.push_front(hash);
    prefixes.positions[hash] = prefixes.recent.begin();
    if (prefixes.recent.size() <= kPrefixesPerRunner) continue;
    prefixes.positions.erase(prefixes.recent.back());
    prefixes.recent.pop_back();
  }
}

uint64_t PrefixIndex::KeptTokens(const RunnerId& runner, const std::string& scope,
                                 const std::vector<PromptPart>& parts) const {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return 0;
  uint64_t hash = StableHash(scope);
  uint64_t tokens = 0;
  for (const PromptPart& part : parts) {
    hash = StableHash(part.id, hash);
    if (!found->second.positions.contains(hash)) break;
    tokens += part.tokens;
  }
  return tokens;
}

}  // namespace shallot::gateway
