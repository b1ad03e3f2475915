#ifndef TESTS_GATEWAY_CONFIG_PROOF_FIXTURE_H_
#define TESTS_GATEWAY_CONFIG_PROOF_FIXTURE_H_

#include "servers/gateway/access/config_proof.h"

namespace shallot::gateway {

inline constexpr BootTime kStart{std::chrono::seconds(1'000)};
inline constexpr Millis kTick{20};
/// Time after which an added key must be in effect.
inline constexpr Millis kApply{3'000};

inline GatewayPolicy StrictPolicy() {
  GatewayPolicy policy;
  policy.config_apply = kApply;
  policy.revoke_time = Millis(5'000);
  policy.strict_revoke = true;
  return policy;
}

inline StorePosition At(uint64_t era, uint64_t revision) {
  return {StoreEra(era), StoreRevision(revision)};
}

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_CONFIG_PROOF_FIXTURE_H_
