#ifndef SERVERS_GATEWAY_GATEWAY_RING_H_
#define SERVERS_GATEWAY_GATEWAY_RING_H_

#include <set>
#include <vector>

#include "core/ids.h"

namespace shallot::gateway {

/// The other gateways in the order of the hashes of their names, beginning after `self`. Each
/// gateway so has other ones first, and neighbours in the order are in different failure domains.
std::vector<InstanceId> GatewaysAfter(const InstanceId& self, const std::set<InstanceId>& gateways);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_GATEWAY_RING_H_
