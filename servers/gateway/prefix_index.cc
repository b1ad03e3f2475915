#include "servers/gateway/prefix_index.h"

#include "core/hashing.h"

namespace shallot::gateway {

void PrefixIndex::Sent(const RunnerId& runner, const std::string& scope,
                       const std::vector<PromptPart>& parts) {
  Prefixes& prefixes = runners_[runner];
  uint64_t hash = StableHash(scope);
  for (const PromptPart& part : parts) {
    hash = StableHash(part.id, hash);
    const auto known = prefixes.known.find(hash);
    if (known != prefixes.known.end()) {
      prefixes.order.splice(prefixes.order.begin(), prefixes.order, known->second);
      continue;
    }
    prefixes.order.push_front(hash);
    prefixes.known[hash] = prefixes.order.begin();
    if (prefixes.order.size() <= kPrefixesPerRunner) continue;
    prefixes.known.erase(prefixes.order.back());
    prefixes.order.pop_back();
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
    if (!found->second.known.contains(hash)) break;
    tokens += part.tokens;
  }
  return tokens;
}

}  // namespace shallot::gateway
