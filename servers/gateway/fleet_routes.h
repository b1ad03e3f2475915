#ifndef SERVERS_GATEWAY_FLEET_ROUTES_H_
#define SERVERS_GATEWAY_FLEET_ROUTES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot::gateway {

using RouteName = StrongId<struct RouteNameTag>;
using ModelName = StrongId<struct ModelNameTag>;
using AdapterName = StrongId<struct AdapterNameTag>;
using TeamName = StrongId<struct TeamNameTag>;
/// Version of the operators' configuration; increases by varying steps.
using FleetVersion = StrongNumber<struct FleetVersionTag>;

/// Determines whether a call may be repeated when its outcome is unknown.
enum class CallKind { kIdempotent, kNonIdempotent, kStream };

/// Whether a call whose outcome is unknown may be sent again. A resumable stream continues after
/// the last event that its caller got.
constexpr bool IsRepeatable(CallKind kind, bool resumable) {
  return kind == CallKind::kIdempotent || (kind == CallKind::kStream && resumable);
}

/// A backend that takes a share of a route's calls.
struct WeightedBackend {
  BackendName backend;
  uint64_t weight = 1;
};

struct Route {
  RouteName name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// Maximum time until the final response to a call.
  Millis timeout{0};
  /// A response (for a stream, its first event) within this time earns its full benefit.
  Millis target_latency{0};
  /// Priority that the operators assign; 0 is the most urgent.
  uint64_t rank = 0;
  std::vector<WeightedBackend> backends;
  /// Maximum number of runners that one call may be sent to.
  uint64_t max_attempts = 1;
  /// A stream may continue on another runner after its last event.
  bool resumable = false;
  /// Calls need no key, also in deployments with teams.
  bool is_public = false;
  /// Maximum pause between events for a stream to count as on time.
  Millis gap_target{0};
  /// Callers of a stream give up when no event has arrived for this long; zero if they wait until
  /// their deadline.
  Millis patience{0};

  bool repeatable() const { return IsRepeatable(kind, resumable); }
};

struct ModelSpec {
  ModelName name;
  double weights_mb = 0;
  double adapter_mb = 0;
  uint64_t adapters = 0;
  /// Load times by the location of the weights: weight store, the runner's disk, the runner's
  /// memory.
  Millis store_load{0};
  Millis disk_load{0};
  Millis memory_load{0};
};

struct EngineSpec {
  uint64_t slots = 0;
  uint64_t kv_capacity_tokens = 0;
  /// Memory of a runner for weights and adapters together.
  double weights_mb = 0;
  uint64_t adapter_slots = 0;
  /// Loads per second from the weight store, over all runners.
  double store_loads_per_s = 0;
  std::map<ModelName, ModelSpec> models;
};

struct BackendSpec {
  BackendName name;
  uint64_t max_connections = 0;
  /// Absent for plain services.
  std::optional<EngineSpec> engine;
};

/// What a quota counts.
enum class QuotaUnit { kCalls, kTokens };

/// A team's quota over all gateways together: a token bucket.
struct TeamQuota {
  QuotaUnit unit = QuotaUnit::kCalls;
  /// Units per second; 0 means no limit.
  double rate_per_s = 0;
  /// Units that may be used at once on top of the rate.
  double burst = 0;
  /// Cost in tokens of a call that does not state its tokens.
  uint64_t plain_tokens = 0;

  bool limited() const { return rate_per_s > 0; }
};

/// A group of callers that share keys and a quota.
struct Team {
  TeamName name;
  /// Rank of the team's calls, which counts before the rank of their routes; 0 is the most urgent.
  /// Absent if the operators assign none.
  std::optional<uint64_t> rank;
  TeamQuota quota;
};

/// A key that two teams state. Calls with it count for the holder.
struct SharedKey {
  TeamName holder;
  TeamName other;
};

/// Limits on what callers send; zero means no limit.
struct CallerLimits {
  uint64_t max_header_bytes = 16'384;
  uint64_t max_body_bytes = 4'194'304;
  Millis header_timeout{3'000};
  Millis idle_timeout{15'000};
};

/// One version of the operators' configuration.
struct FleetRoutes {
  FleetVersion version;
  std::vector<Route> routes;
  std::map<BackendName, BackendSpec> backends;
  CallerLimits limits;
  /// Whether calls need the key of a team, unless their route is public.
  bool keys_required = false;
  std::map<TeamName, Team> teams;
  /// The team that holds each key. Keys are secrets: they must not reach logs, metrics or runners.
  std::unordered_map<std::string, TeamName> team_of_key;
  /// One entry for each key that a team states although an earlier one has it.
  std::vector<SharedKey> shared_keys;

  /// The team that holds the key; null if none does.
  const Team* FindTeam(const std::string& key) const;
  /// The route of `host` with the longest prefix of `path`; null if there is none.
  const Route* Find(const std::string& host, const std::string& path) const;
  const EngineSpec* Engine(const BackendName& backend) const;
};

/// Selects the backend for a call by weight, from a hash of the call's id, so that a repeat of one
/// attempt goes to the same backend.
const BackendName& ChooseBackend(const Route& route, uint64_t call_hash);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_FLEET_ROUTES_H_
