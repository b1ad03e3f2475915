#ifndef DRIVERS_GATEWAY_LEASE_RENEWAL_H_
#define DRIVERS_GATEWAY_LEASE_RENEWAL_H_

#include "core/clock.h"
#include "core/result.h"
#include "drivers/gateway/platform_protocol.h"
#include "servers/gateway/leader_election.h"

namespace shallot::gateway {

/// Derives the state of the lease from the answer to its renewal.
LeaseRenewal RenewalOutcome(const PlatformProtocol& protocol, const Result<HttpMessage>& answer);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_LEASE_RENEWAL_H_
