#include "servers/gateway/gateway_ring.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hashing.h"

namespace shallot::gateway {

std::vector<InstanceId> GatewaysAfter(const InstanceId& self,
                                      const std::set<InstanceId>& gateways) {
  std::vector<std::pair<uint64_t, InstanceId>> after;
  std::vector<std::pair<uint64_t, InstanceId>> before;
  const std::pair<uint64_t, InstanceId> own{StableHash(self.value()), self};
  for (const InstanceId& gateway : gateways) {
    if (gateway == self) continue;
    std::pair<uint64_t, InstanceId> entry{StableHash(gateway.value()), gateway};
    (entry > own ? after : before).push_back(std::move(entry));
  }
  std::sort(after.begin(), after.end());
  std::sort(before.begin(), before.end());
  after.insert(after.end(), before.begin(), before.end());
  std::vector<InstanceId> ordered;
  ordered.reserve(after.size());
  for (auto& [hash, gateway] : after) ordered.push_back(std::move(gateway));
  return ordered;
}

}  // namespace shallot::gateway
