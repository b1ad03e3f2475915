#ifndef DRIVERS_GATEWAY_LEASE_RENEWAL_H_
#define DRIVERS_GATEWAY_LEASE_RENEWAL_H_

#include "core/clock.h"
#include "core/result.h"
#include "drivers/gateway/platform_protocol.h"
#include "servers/gateway/leader_election.h"

namespace shallot::gateway {

/// Lease and key calls to the store take 4 ms; slower ones count as lost.
inline constexpr Millis kStoreCallTimeout{700};

/// What an answer to a renewal says of the lease.
LeaseRenewal RenewalOutcome(const PlatformProtocol& protocol, const Result<HttpMessage>& answer);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_LEASE_RENEWAL_H_
