#ifndef DRIVERS_GATEWAY_POLICY_SETTINGS_H_
#define DRIVERS_GATEWAY_POLICY_SETTINGS_H_

#include "core/result.h"
#include "core/settings.h"
#include "servers/gateway/gateway_policy.h"

namespace shallot::gateway {

/// Reads the gateway policy from the [policy] section of an INI document; keys that are absent keep
/// the given defaults. Unknown sections, unknown keys and values out of range are errors that name
/// them.
Result<GatewayPolicy> ReadGatewayPolicy(const IniDocument& document, const GatewayPolicy& defaults);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_POLICY_SETTINGS_H_
