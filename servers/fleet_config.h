#ifndef SERVERS_FLEET_CONFIG_H_
#define SERVERS_FLEET_CONFIG_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "servers/call.h"
#include "servers/messages.h"

namespace shallot {

/// Limits of one class of calls.
struct ClassPolicy {
  /// Deadline of a call that names none.
  Millis deadline{30'000};
  /// Calls of this class that may wait at one agent.
  uint64_t queue_bound = 64;
  /// Service-level objective: share of calls answered in time, 0 to 1.
  double objective = 0.99;
};

/// Policy of one catalogue entry, after defaults and exceptions.
struct EntryPolicy {
  /// Replicas that are placed even without demand.
  uint64_t min_replicas = 1;
  uint64_t max_replicas = 2;
  /// Relative cost of one second of cold-start wait.
  double cold_weight = 1.0;
  /// Relative cost of one second of idle accelerator time.
  double idle_weight = 1.0;
  /// Bounds of the keep-alive time.
  Millis keep_alive_min{0};
  Millis keep_alive_max{3'600'000};

  bool operator==(const EntryPolicy&) const = default;
};

/// A base model or an adapter on one.
struct CatalogEntry {
  EntryId id;
  LoadKind kind = LoadKind::kModel;
  /// Base model of an adapter; equals `id` for a model.
  EntryId base;
  BackendName backend;
  std::string version;
  /// Weights in accelerator memory.
  Bytes size;
  /// KV cache reserved while a model is loaded; 0 for an adapter.
  Bytes kv_cache;
  EntryPolicy policy;

  bool operator==(const CatalogEntry&) const = default;
};

/// A route of a plain service: the class and repeatability of the calls that match its method and
/// path.
struct ServiceRoute {
  BackendName service;
  /// HTTP method, or "*".
  std::string method;
  /// Path prefix below `/services/NAME`; the longest match wins.
  std::string path_prefix;
  /// When false, calls are orders, which need an idempotency key and run at most once.
  bool repeatable = true;
  CallClass call_class = CallClass::kStatus;
};

/// Overrides of the policy of one entry or class, with the reason.
struct ConfigException {
  std::string name;
  /// "entry NAME" or "class NAME".
  std::string target;
  std::string reason;
  OperatorName author;
  /// UTC, ISO 8601.
  std::string time;
  /// Keys and values that replace the defaults.
  std::map<std::string, std::string> values;
};

/// The fleet configuration, validated and with defaults and exceptions resolved.
struct FleetConfig {
  ConfigRevision revision;
  std::string fleet_name;
  /// Number of placement shards; fixed for the life of a fleet.
  uint64_t shard_count = 8;
  std::array<ClassPolicy, kCallClassCount> classes;
  /// Retry budget as a share of calls, 0 to 1.
  double retry_ratio = 0.1;
  Millis order_window{24 * 3'600'000};
  Millis drain_grace{30'000};
  /// Weight store budget: loads per second, and loads in flight at full speed.
  double weight_loads_per_second = 2.0;
  uint64_t weight_loads_in_flight = 4;
  uint64_t adapter_loads_in_flight = 32;
  std::map<EntryId, CatalogEntry> entries;
  /// Backends that are plain services.
  std::vector<BackendName> services;
  std::vector<ServiceRoute> routes;
  std::vector<ConfigException> exceptions;

  const ClassPolicy& class_policy(CallClass call_class) const {
    return classes[static_cast<size_t>(call_class)];
  }
  /// Null when the catalogue has no such entry.
  const CatalogEntry* FindEntry(const EntryId& id) const;
  /// The route that matches, or null.
  const ServiceRoute* FindRoute(const BackendName& service, const std::string& method,
                                const std::string& path) const;
};

/// Shard of an entry, by its base model, so that a model and its adapters have the same placement
/// owner.
ShardId ShardOf(const EntryId& base, uint64_t shard_count);

/// Parses and validates the INI text of a fleet configuration. Errors name `source`, section, key
/// and remedy.
Result<FleetConfig> ParseFleetConfig(const std::string& text, const std::string& source,
                                     ConfigRevision revision);

}  // namespace shallot

#endif  // SERVERS_FLEET_CONFIG_H_
