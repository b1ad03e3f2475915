#ifndef SERVERS_GATEWAY_TEAM_SERVICE_H_
#define SERVERS_GATEWAY_TEAM_SERVICE_H_

#include <map>

#include "core/clock.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// How much service each team has had lately at this gateway. Load pattern: one team sends many
/// times its usual within its quota while runners are full, so that its calls would otherwise stand
/// before those of all others. Lost at a restart without harm, because the order of the next calls
/// depends on the last seconds only. Not thread-safe.
class TeamService {
 public:
  /// Time constant with which earlier service is forgotten, as long as the longest queues last.
  static constexpr Seconds kMemory{10};

  /// A call of the team was sent to a runner. `cost`: its prompt and output tokens.
  void OnSent(const TeamName& team, double cost, SteadyTime now);
  /// Decayed cost of the team's calls.
  double Recent(const TeamName& team, SteadyTime now) const;

 private:
  struct Served {
    double cost = 0;
    SteadyTime at{};
  };

  std::map<TeamName, Served> served_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_TEAM_SERVICE_H_
