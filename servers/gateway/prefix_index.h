#ifndef SERVERS_GATEWAY_PREFIX_INDEX_H_
#define SERVERS_GATEWAY_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace shallot::gateway {

/// One part of a prompt; parts with the same id are shared between calls.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
};

/// Remembers which leading prompt parts this gateway has sent to each runner, to predict what is in
/// the runner's prefix cache. Evicts the least recently used prefixes of a runner first.
class PrefixIndex {
 public:
  /// Maximum number of prefixes remembered per runner, whose cache holds about 35 prompts of 6,300
  /// shared tokens.
  static constexpr size_t kPrefixesPerRunner = 128;

  /// `scope`: model and adapter; prefixes are shared only within one scope.
  void Sent(const RunnerId& runner, const std::string& scope, const std::vector<PromptPart>& parts);
  /// Tokens at the start of the prompt that the runner probably has cached.
  uint64_t KeptTokens(const RunnerId& runner, const std::string& scope,
                      const std::vector<PromptPart>& parts) const;
  void Forget(const RunnerId& runner) { runners_.erase(runner); }

 private:
  struct Prefixes {
    /// Prefix hashes, most recently used first.
    std::list<uint64_t> recent;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions;
  };

  std::map<RunnerId, Prefixes> runners_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_PREFIX_INDEX_H_
