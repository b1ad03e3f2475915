#ifndef DRIVERS_GATEWAY_POLICY_SETTINGS_H_
#define DRIVERS_GATEWAY_POLICY_SETTINGS_H_

#include "core/result.h"
#include "core/settings.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// Reads the fleet's own policy from [policy] of an INI text over the given defaults. Unknown keys
/// and figures out of range are errors that name the key.
Result<GatewayPolicy> ReadGatewayPolicy(const IniDocument& document, const GatewayPolicy& defaults);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_POLICY_SETTINGS_H_
