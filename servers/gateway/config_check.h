#ifndef SERVERS_GATEWAY_CONFIG_CHECK_H_
#define SERVERS_GATEWAY_CONFIG_CHECK_H_

#include <string>
#include <vector>

#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

enum class FindingSeverity {
  kError,    ///< A part of the configuration can't take effect as it is written.
  kWarning,  ///< The configuration takes effect, but probably not as intended.
};

const char* FindingSeverityName(FindingSeverity severity);

/// A problem of a configuration that the decoder accepts. The texts contain no keys.
struct ConfigFinding {
  FindingSeverity severity = FindingSeverity::kError;
  /// For example "route r-1" or "team t-1".
  std::string place;
  std::string problem;
  std::string remedy;

  bool operator==(const ConfigFinding&) const = default;
};

/// Checks one configuration by the rules by which gateways use it: routes that can never match,
/// limits that contradict each other, and references to what is not defined.
std::vector<ConfigFinding> CheckConfig(const FleetRoutes& fleet);

/// Checks whether gateways that have `in_force` would take `next` into use.
std::vector<ConfigFinding> CheckReplacement(const FleetRoutes& in_force, const FleetRoutes& next);

bool HasErrors(const std::vector<ConfigFinding>& findings);

enum class ConfigChangeKind { kAdded, kRemoved, kChanged };

const char* ConfigChangeKindName(ConfigChangeKind kind);

/// A field that differs between two versions. Keys appear as numbers of keys only.
struct FieldChange {
  std::string field;
  std::string from;
  std::string to;

  bool operator==(const FieldChange&) const = default;
};

/// A route, backend, team or group of limits that differs between two versions.
struct ConfigDifference {
  ConfigChangeKind kind = ConfigChangeKind::kChanged;
  std::string place;
  /// Empty unless `kind` is kChanged.
  std::vector<FieldChange> fields;

  bool operator==(const ConfigDifference&) const = default;
};

/// What changes when `next` replaces `in_force`, in the order routes, backends, teams, limits.
/// Routes of one name are compared in the order in which they are listed.
std::vector<ConfigDifference> CompareConfigs(const FleetRoutes& in_force, const FleetRoutes& next);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_CONFIG_CHECK_H_
