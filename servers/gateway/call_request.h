#ifndef SERVERS_GATEWAY_CALL_REQUEST_H_
#define SERVERS_GATEWAY_CALL_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/prefix_index.h"

namespace shallot::gateway {

/// A call's parameters, decoded from the head of its request.
struct CallRequest {
  /// The caller's id of this attempt; each retry by the caller has a new one.
  RequestId id;
  /// The key that the caller identifies itself with; empty in deployments without keys. Never
  /// logged.
  std::string caller_key;
  std::string host;
  /// Path without the query.
  std::string path;
  /// The caller's time budget; the platform's maximum if the caller states none.
  Millis time_budget{30'000};
  bool has_time_budget = false;
  /// Empty for calls to plain services.
  ModelName model;
  AdapterName adapter;
  uint64_t prompt_tokens = 0;
  uint64_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;

  /// Tokens that the call takes of its runner's memory: its prompt and its longest output. Parts of
  /// the prompt that the runner has cached count, too, because the cache yields to calls.
  uint64_t MemoryTokens() const { return prompt_tokens + max_output_tokens; }
  /// Work of the call for its runner, in tokens. Calls to plain services count as one.
  double ServiceTokens() const {
    return std::max(1.0, static_cast<double>(prompt_tokens + max_output_tokens));
  }
  /// Scope in which prompt prefixes are shared.
  std::string PrefixScope() const { return model.value() + "/" + adapter.value(); }
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_CALL_REQUEST_H_
