#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

const Route* FleetRoutes::Find(const std::string& host, const std::string& path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

const Team* FleetRoutes::FindTeam(const std::string& key) const {
  const auto holder = team_of_key.find(key);
  if (holder == team_of_key.end()) return nullptr;
  const auto team = teams.find(holder->second);
  return team == teams.end() ? nullptr : &team->second;
}

const EngineSpec* FleetRoutes::Engine(const BackendName& backend) const {
  const auto found = backends.find(backend);
  if (found == backends.end() || !found->second.engine) return nullptr;
  return &*found->second.engine;
}

const BackendName& ChooseBackend(const Route& route, uint64_t call_hash) {
  uint64_t total = 0;
  for (const WeightedBackend& entry : route.backends) total += entry.weight;
  if (total == 0) return route.backends.front().backend;
  uint64_t offset = call_hash % total;
  for (const WeightedBackend& entry : route.backends) {
    if (offset < entry.weight) return entry.backend;
    offset -= entry.weight;
  }
  return route.backends.back().backend;
}

}  // namespace shallot::gateway
