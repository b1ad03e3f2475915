#include "servers/gateway/team_service.h"

#include <cmath>

namespace shallot::gateway {

void TeamService::OnSent(const TeamName& team, double cost, SteadyTime now) {
  served_[team] = {Recent(team, now) + cost, now};
}

double TeamService::Recent(const TeamName& team, SteadyTime now) const {
  const auto found = served_.find(team);
  if (found == served_.end()) return 0;
  const std::chrono::duration<double> passed = now - found->second.at;
  return found->second.cost * std::exp(-passed / std::chrono::duration<double>(kMemory));
}

}  // namespace shallot::gateway
