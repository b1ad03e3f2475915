#include "servers/gateway/config_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace shallot::gateway {
namespace {

/// Collects the findings about one place.
class Findings {
 public:
  Findings(std::vector<ConfigFinding>* findings, std::string place)
      : findings_(findings), place_(std::move(place)) {}
  void Error(std::string problem, std::string remedy) {
    findings_->push_back({FindingSeverity::kError, place_, std::move(problem), std::move(remedy)});
  }
  void Warning(std::string problem, std::string remedy) {
    findings_->push_back(
        {FindingSeverity::kWarning, place_, std::move(problem), std::move(remedy)});
  }

 private:
  std::vector<ConfigFinding>* findings_;
  std::string place_;
};

std::string RoutePlace(const RouteName& name) { return "route " + name.value(); }
std::string BackendPlace(const BackendName& name) { return "backend " + name.value(); }
std::string TeamPlace(const TeamName& name) { return "team " + name.value(); }

std::string Text(Millis time) { return fmt::format("{} ms", time.count()); }

/// The first route of each pair of host and prefix.
using FirstRoutes = std::map<std::pair<std::string, std::string>, const Route*>;

/// Whether calls can reach the route, and which route takes them if not. Of a host's routes that
/// match, FleetRoutes::Find() takes the longest prefix and of equal ones the first.
void CheckMatch(const Route& route, const FirstRoutes& first_routes, Findings* findings) {
  const Route* first = first_routes.at({route.host, route.path_prefix});
  if (first != &route) {
    findings->Error(fmt::format("never matches: route {} before it has the same host and prefix",
                                first->name.value()),
                    "give it another prefix, or remove one of the two");
    return;
  }
  if (route.host.empty() || route.host.find(':') != std::string::npos) {
    findings->Error(
        fmt::format("never matches: calls are matched by their host without a port, not \"{}\"",
                    route.host),
        "state the name of the host only");
  }
  if (!route.path_prefix.starts_with('/')) {
    findings->Error(
        fmt::format("never matches: prefix \"{}\" does not begin with a slash", route.path_prefix),
        "begin the prefix with a slash");
  } else if (!route.path_prefix.ends_with('/')) {
    findings->Warning(fmt::format("prefix \"{}\" does not end with a slash, so it also matches "
                                  "longer names",
                                  route.path_prefix),
                      "end the prefix with a slash");
  }
}

void CheckTimes(const Route& route, Findings* findings) {
  if (route.timeout > Millis(0) && route.timeout < route.target_latency) {
    findings->Error(fmt::format("its time-out of {} is below its target latency of {}",
                                Text(route.timeout), Text(route.target_latency)),
                    "raise the time-out or lower the target latency");
  }
  if (route.target_latency == Millis(0)) {
    findings->Warning("has neither a target latency nor a time-out, so all its calls count as late",
                      "state a target latency");
  }
  if (route.resumable && route.kind != CallKind::kStream) {
    findings->Warning("is resumable but no stream, so its calls are not resumed",
                      "make it a stream, or do not state that it is resumable");
  }
}

void CheckBackendsOf(const Route& route, const FleetRoutes& fleet, Findings* findings) {
  uint64_t total_weight = 0;
  for (const WeightedBackend& share : route.backends) {
    total_weight += share.weight;
    if (fleet.backends.contains(share.backend)) continue;
    findings->Warning(fmt::format("its backend {} is not defined, so it has no engine and no limit "
                                  "of connections",
                                  share.backend.value()),
                      "define the backend, or correct its name");
  }
  if (total_weight > 0) return;
  findings->Warning(fmt::format("all its backends have weight 0, so {} takes all calls",
                                route.backends.front().backend.value()),
                    "give at least one backend a weight");
}

void CheckBackend(const BackendSpec& backend, Findings* findings) {
  if (!backend.engine) return;
  const EngineSpec& engine = *backend.engine;
  for (const auto& [name, model] : engine.models) {
    if (engine.weights_mb <= 0 || model.weights_mb <= engine.weights_mb) continue;
    findings->Error(fmt::format("model {} of {} MB exceeds the {} MB that a runner has for weights",
                                name.value(), model.weights_mb, engine.weights_mb),
                    "remove the model, or raise the memory for weights");
  }
}

/// Units that a call costs which does not state its tokens.
double CostOfCall(const TeamQuota& quota) {
  return quota.unit == QuotaUnit::kTokens ? static_cast<double>(quota.plain_tokens) : 1;
}

void CheckTeam(const Team& team, size_t keys, Findings* findings) {
  if (keys == 0) {
    findings->Warning("has no key of its own, so it can't send calls", "add a key");
  }
  const TeamQuota& quota = team.quota;
  if (!quota.limited()) {
    if (quota.burst > 0) {
      findings->Warning("has a burst but no rate, so it has no quota", "state a rate");
    }
    return;
  }
  if (quota.burst == 0) {
    findings->Warning("has a rate but no burst", "state a burst of at least the cost of one call");
  } else if (quota.burst < CostOfCall(quota)) {
    findings->Error(fmt::format("its burst of {} is below the {} that one call costs", quota.burst,
                                CostOfCall(quota)),
                    "raise the burst to at least the cost of one call");
  }
  if (quota.unit == QuotaUnit::kTokens && quota.plain_tokens == 0) {
    findings->Warning("calls that do not state their tokens cost nothing",
                      "state the tokens of such a call");
  }
}

std::map<TeamName, std::set<std::string>> KeysOfTeams(const FleetRoutes& fleet) {
  std::map<TeamName, std::set<std::string>> keys;
  for (const auto& [key, team] : fleet.team_of_key) keys[team].insert(key);
  return keys;
}

void CheckTeams(const FleetRoutes& fleet, std::vector<ConfigFinding>* findings) {
  const auto keys = KeysOfTeams(fleet);
  for (const auto& [name, team] : fleet.teams) {
    Findings of_team(findings, TeamPlace(name));
    const auto found = keys.find(name);
    CheckTeam(team, found == keys.end() ? 0 : found->second.size(), &of_team);
  }
  for (const SharedKey& shared : fleet.shared_keys) {
    Findings(findings, TeamPlace(shared.other))
        .Error(fmt::format("has a key of team {}; calls with it count for that team",
                           shared.holder.value()),
               "give each team keys of its own");
  }
  if (fleet.keys_required && fleet.teams.empty()) {
    Findings(findings, "teams")
        .Warning("the list is empty, so only public routes are served",
                 "add a team, or remove the list");
  }
}

using Fields = std::vector<std::pair<std::string, std::string>>;

const char* KindName(CallKind kind) {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kNonIdempotent:
      return "non-idempotent";
    case CallKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

Fields FieldsOf(const Route& route) {
  std::string backends;
  for (const WeightedBackend& share : route.backends) {
    if (!backends.empty()) backends += ", ";
    backends += fmt::format("{} x {}", share.backend.value(), share.weight);
  }
  return {{"host", route.host},
          {"prefix", route.path_prefix},
          {"kind", KindName(route.kind)},
          {"time-out", Text(route.timeout)},
          {"target latency", Text(route.target_latency)},
          {"rank", std::to_string(route.rank)},
          {"backends", backends},
          {"attempts", std::to_string(route.max_attempts)},
          {"resumable", YesNo(route.resumable)},
          {"public", YesNo(route.is_public)},
          {"gap target", Text(route.gap_target)}};
}

Fields FieldsOf(const BackendSpec& backend) {
  Fields fields{{"connections", std::to_string(backend.max_connections)},
                {"engine", YesNo(backend.engine.has_value())}};
  if (!backend.engine) return fields;
  const EngineSpec& engine = *backend.engine;
  fields.insert(fields.end(),
                {{"slots", std::to_string(engine.slots)},
                 {"KV capacity", fmt::format("{} tokens", engine.kv_capacity_tokens)},
                 {"memory for weights", fmt::format("{} MB", engine.weights_mb)},
                 {"adapter slots", std::to_string(engine.adapter_slots)},
                 {"loads from the store", fmt::format("{} per s", engine.store_loads_per_s)}});
  for (const auto& [name, model] : engine.models) {
    fields.emplace_back(
        "model " + name.value(),
        fmt::format("{} MB, {} adapters of {} MB, loads in {}, {} and {}", model.weights_mb,
                    model.adapters, model.adapter_mb, Text(model.store_load), Text(model.disk_load),
                    Text(model.memory_load)));
  }
  return fields;
}

Fields FieldsOf(const Team& team) {
  const TeamQuota& quota = team.quota;
  return {{"rank", team.rank ? std::to_string(*team.rank) : "none"},
          {"unit", quota.unit == QuotaUnit::kTokens ? "tokens" : "calls"},
          {"rate", fmt::format("{} per s", quota.rate_per_s)},
          {"burst", fmt::format("{}", quota.burst)},
          {"tokens of a plain call", std::to_string(quota.plain_tokens)}};
}

Fields FieldsOf(const CallerLimits& limits) {
  return {{"head", fmt::format("{} bytes", limits.max_header_bytes)},
          {"body", fmt::format("{} bytes", limits.max_body_bytes)},
          {"head time-out", Text(limits.header_timeout)},
          {"idle time-out", Text(limits.idle_timeout)}};
}

/// Fields that differ, in the order of `next` and then those that only `in_force` has.
std::vector<FieldChange> ChangedFields(const Fields& in_force, const Fields& next) {
  std::vector<FieldChange> changes;
  const std::map<std::string, std::string> before(in_force.begin(), in_force.end());
  const std::map<std::string, std::string> after(next.begin(), next.end());
  for (const auto& [field, value] : next) {
    const auto old = before.find(field);
    if (old == before.end()) {
      changes.push_back({field, "none", value});
    } else if (old->second != value) {
      changes.push_back({field, old->second, value});
    }
  }
  for (const auto& [field, value] : in_force) {
    if (!after.contains(field)) changes.push_back({field, value, "none"});
  }
  return changes;
}

void AddChanged(const std::string& place, std::vector<FieldChange> fields,
                std::vector<ConfigDifference>* differences) {
  if (fields.empty()) return;
  differences->push_back({ConfigChangeKind::kChanged, place, std::move(fields)});
}

/// Compares two groups of parts by their place.
void Compare(const std::map<std::string, Fields>& in_force,
             const std::map<std::string, Fields>& next,
             std::vector<ConfigDifference>* differences) {
  for (const auto& [place, fields] : next) {
    const auto old = in_force.find(place);
    if (old == in_force.end()) {
      differences->push_back({ConfigChangeKind::kAdded, place, {}});
    } else {
      AddChanged(place, ChangedFields(old->second, fields), differences);
    }
  }
  for (const auto& [place, fields] : in_force) {
    if (!next.contains(place)) differences->push_back({ConfigChangeKind::kRemoved, place, {}});
  }
}

std::map<std::string, Fields> RoutesByPlace(const FleetRoutes& fleet) {
  std::map<std::string, Fields> parts;
  for (const Route& route : fleet.routes) {
    std::string place = RoutePlace(route.name);
    for (size_t number = 2; parts.contains(place); ++number) {
      place = fmt::format("{} (no. {})", RoutePlace(route.name), number);
    }
    parts[place] = FieldsOf(route);
  }
  return parts;
}

std::map<std::string, Fields> BackendsByPlace(const FleetRoutes& fleet) {
  std::map<std::string, Fields> parts;
  for (const auto& [name, backend] : fleet.backends) parts[BackendPlace(name)] = FieldsOf(backend);
  return parts;
}

/// How the keys of a team change, as numbers.
std::optional<FieldChange> KeyChange(const std::set<std::string>& in_force,
                                     const std::set<std::string>& next) {
  if (in_force == next) return std::nullopt;
  const auto added = std::count_if(next.begin(), next.end(),
                                   [&](const std::string& key) { return !in_force.contains(key); });
  const auto removed = std::count_if(in_force.begin(), in_force.end(),
                                     [&](const std::string& key) { return !next.contains(key); });
  return FieldChange{"keys", std::to_string(in_force.size()),
                     fmt::format("{} ({} added, {} removed)", next.size(), added, removed)};
}

void CompareTeams(const FleetRoutes& in_force, const FleetRoutes& next,
                  std::vector<ConfigDifference>* differences) {
  auto keys_before = KeysOfTeams(in_force);
  auto keys_after = KeysOfTeams(next);
  for (const auto& [name, team] : next.teams) {
    const auto old = in_force.teams.find(name);
    if (old == in_force.teams.end()) {
      differences->push_back({ConfigChangeKind::kAdded, TeamPlace(name), {}});
      continue;
    }
    auto fields = ChangedFields(FieldsOf(old->second), FieldsOf(team));
    if (const auto keys = KeyChange(keys_before[name], keys_after[name])) fields.push_back(*keys);
    AddChanged(TeamPlace(name), std::move(fields), differences);
  }
  for (const auto& [name, team] : in_force.teams) {
    if (!next.teams.contains(name)) {
      differences->push_back({ConfigChangeKind::kRemoved, TeamPlace(name), {}});
    }
  }
  AddChanged("teams",
             ChangedFields({{"calls need a key", YesNo(in_force.keys_required)}},
                           {{"calls need a key", YesNo(next.keys_required)}}),
             differences);
}

}  // namespace

const char* FindingSeverityName(FindingSeverity severity) {
  switch (severity) {
    case FindingSeverity::kError:
      return "error";
    case FindingSeverity::kWarning:
      return "warning";
  }
  return "unknown";
}

const char* ConfigChangeKindName(ConfigChangeKind kind) {
  switch (kind) {
    case ConfigChangeKind::kAdded:
      return "added";
    case ConfigChangeKind::kRemoved:
      return "removed";
    case ConfigChangeKind::kChanged:
      return "changed";
  }
  return "unknown";
}

std::vector<ConfigFinding> CheckConfig(const FleetRoutes& fleet) {
  std::vector<ConfigFinding> findings;
  FirstRoutes first_routes;
  for (const Route& route : fleet.routes) {
    first_routes.emplace(std::pair(route.host, route.path_prefix), &route);
  }
  std::set<RouteName> names;
  for (const Route& route : fleet.routes) {
    Findings of_route(&findings, RoutePlace(route.name));
    CheckMatch(route, first_routes, &of_route);
    CheckTimes(route, &of_route);
    CheckBackendsOf(route, fleet, &of_route);
    if (!names.insert(route.name).second) {
      of_route.Warning("has the name of a route before it; logs and metrics can't tell them apart",
                       "give each route a name of its own");
    }
  }
  if (fleet.routes.empty()) {
    Findings(&findings, "routes").Warning("there are none, so all calls get 404", "add a route");
  }
  for (const auto& [name, backend] : fleet.backends) {
    Findings of_backend(&findings, BackendPlace(name));
    CheckBackend(backend, &of_backend);
  }
  CheckTeams(fleet, &findings);
  return findings;
}

std::vector<ConfigFinding> CheckReplacement(const FleetRoutes& in_force, const FleetRoutes& next) {
  std::vector<ConfigFinding> findings;
  if (next.version > in_force.version || CompareConfigs(in_force, next).empty()) return findings;
  Findings(&findings, "version")
      .Error(fmt::format("{} is not above the {} in force, so gateways ignore it",
                         next.version.value(), in_force.version.value()),
             "raise the version");
  return findings;
}

bool HasErrors(const std::vector<ConfigFinding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const ConfigFinding& finding) {
    return finding.severity == FindingSeverity::kError;
  });
}

std::vector<ConfigDifference> CompareConfigs(const FleetRoutes& in_force, const FleetRoutes& next) {
  std::vector<ConfigDifference> differences;
  Compare(RoutesByPlace(in_force), RoutesByPlace(next), &differences);
  Compare(BackendsByPlace(in_force), BackendsByPlace(next), &differences);
  CompareTeams(in_force, next, &differences);
  AddChanged("limits", ChangedFields(FieldsOf(in_force.limits), FieldsOf(next.limits)),
             &differences);
  return differences;
}

}  // namespace shallot::gateway
