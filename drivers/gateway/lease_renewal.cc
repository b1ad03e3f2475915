#include "drivers/gateway/lease_renewal.h"

namespace shallot::gateway {

LeaseRenewal RenewalOutcome(const PlatformProtocol& protocol, const Result<HttpMessage>& answer) {
  if (!IsOk(answer)) return LeaseRenewal::kUnknown;
  const Status renewed = protocol.DecodeRenewal(ValueOf(answer));
  if (IsOk(renewed)) return LeaseRenewal::kDone;
  const bool ended = ErrorOf(renewed).kind == ErrorKind::kNotFound;
  return ended ? LeaseRenewal::kLost : LeaseRenewal::kUnknown;
}

}  // namespace shallot::gateway
