#include "servers/gateway/access/caller_access.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

constexpr BootTime kRead{std::chrono::seconds(1'000)};

Route MakeRoute(const char* prefix, bool is_public) {
  Route route;
  route.name = RouteName(prefix);
  route.host = "h";
  route.path_prefix = prefix;
  route.is_public = is_public;
  return route;
}

FleetRoutes MakeRoutes(bool keys_required) {
  FleetRoutes routes;
  routes.version = FleetVersion(5);
  routes.routes = {MakeRoute("/p/", false), MakeRoute("/open/", true)};
  routes.keys_required = keys_required;
  if (!keys_required) return routes;
  routes.teams[TeamName("t1")].name = TeamName("t1");
  routes.team_of_key["k1"] = TeamName("t1");
  return routes;
}

CallRequest MakeCall(const char* path, const char* key) {
  CallRequest call;
  call.id = RequestId("call-1");
  call.host = "h";
  call.path = path;
  call.caller_key = key;
  return call;
}

/// "TEAM", "public", "open" (no keys), or the name of the reason for a denial.
std::string Outcome(const AccessDecision& decision) {
  if (const auto* denial = std::get_if<Denial>(&decision)) return DenialReasonName(denial->reason);
  const Access& access = std::get<Access>(decision);
  if (!access.keys_required) return "open";
  return access.team == nullptr ? "public" : access.team->name.value();
}

// Guards against calls that run without a known key or although it may have been removed, against
// refusals for a key or route that may have been added, and against changes for deployments without
// teams.
TEST_CASE("gateway: which calls are admitted") {
  struct Case {
    const char* name;
    bool keys;
    const char* path;
    const char* key;
    /// Age of the proof when the call was read; absent: none. Negative: proved after that.
    std::optional<int> age_ms;
    const char* strict;
    const char* lenient;
  };
  for (const Case& test :
       {Case{"known key", true, "/p/x", "k1", 100, "t1", "t1"},
        Case{"proof after the read", true, "/p/x", "k1", -500, "t1", "t1"},
        Case{"known key, oldest proof", true, "/p/x", "k1", 4'800, "t1", "t1"},
        Case{"known key, old proof", true, "/p/x", "k1", 4'801, "unproved", "t1"},
        Case{"known key, no proof", true, "/p/x", "k1", std::nullopt, "unproved", "t1"},
        Case{"unknown key", true, "/p/x", "k2", 100, "unknown-key", "unknown-key"},
        Case{"unknown key, oldest proof", true, "/p/x", "k2", 3'000, "unknown-key", "unknown-key"},
        Case{"unknown key, old proof", true, "/p/x", "k2", 3'001, "unproved", "unproved"},
        Case{"no key", true, "/p/x", "", 100, "unknown-key", "unknown-key"},
        Case{"no key, no proof", true, "/p/x", "", std::nullopt, "unproved", "unproved"},
        Case{"public, no key", true, "/open/x", "", std::nullopt, "public", "public"},
        Case{"public, unknown key", true, "/open/x", "k2", 100, "public", "public"},
        Case{"public, known key", true, "/open/x", "k1", std::nullopt, "t1", "t1"},
        Case{"no route", true, "/none", "k1", 100, "no-route", "no-route"},
        Case{"no route, old proof", true, "/none", "k1", 3'001, "unproved", "unproved"},
        Case{"no teams", false, "/p/x", "k1", std::nullopt, "open", "open"},
        Case{"no teams, no route", false, "/none", "", std::nullopt, "no-route", "no-route"}}) {
    CAPTURE(std::string(test.name));
    const FleetRoutes routes = MakeRoutes(test.keys);
    const CallRequest call = MakeCall(test.path, test.key);
    std::optional<BootTime> proved;
    if (test.age_ms) proved = kRead - Millis(*test.age_ms);
    GatewayPolicy policy;
    policy.config_apply = Millis(3'000);
    CHECK(Outcome(DecideAccess(routes, call, kRead, proved, policy)) == test.lenient);
    policy.strict_revoke = true;
    const AccessDecision decision = DecideAccess(routes, call, kRead, proved, policy);
    CHECK(Outcome(decision) == test.strict);
    if (Outcome(decision) == "unproved") {
      CHECK(std::get<Denial>(decision).retry_after >= Millis(300));
      CHECK(std::get<Denial>(decision).retry_after <= Millis(4'500));
    }
  }
}

// Guards against a call that waits while its key is removed and then runs, and against calls that
// fail because their route is gone although they have been admitted.
TEST_CASE("gateway: a waiting call is admitted again by the configuration in force") {
  struct Case {
    const char* name;
    const char* key;
    std::function<void(FleetRoutes*)> change;
    const char* expected;
  };
  for (const Case& test : std::vector<Case>{
           {"key kept", "k1", [](FleetRoutes*) {}, "t1"},
           {"key removed", "k1", [](FleetRoutes* routes) { routes->team_of_key.clear(); },
            "unknown-key"},
           {"key of another team", "k1",
            [](FleetRoutes* routes) {
              routes->teams[TeamName("t2")].name = TeamName("t2");
              routes->team_of_key["k1"] = TeamName("t2");
            },
            "t2"},
           {"route removed", "k1", [](FleetRoutes* routes) { routes->routes.clear(); }, "t1"},
           {"route and key removed", "k1",
            [](FleetRoutes* routes) {
              routes->routes.clear();
              routes->team_of_key.clear();
            },
            "unknown-key"},
           {"teams removed", "k1", [](FleetRoutes* routes) { *routes = MakeRoutes(false); },
            "open"},
           {"route is public now", "",
            [](FleetRoutes* routes) { routes->routes[0].is_public = true; }, "public"}}) {
    CAPTURE(std::string(test.name));
    FleetRoutes routes = MakeRoutes(true);
    const Route admitted = routes.routes[0];
    test.change(&routes);
    GatewayPolicy policy;
    policy.strict_revoke = true;
    CHECK(Outcome(DecideAccessAgain(routes, MakeCall("/p/x", test.key), admitted, kRead, kRead,
                                    policy)) == test.expected);
  }
}

// Guards against a call of a less important team that is more urgent than one of a more important
// team, and against other urgencies in deployments without ranked teams.
TEST_CASE("gateway: the team's rank comes before the route's in the urgency") {
  for (const std::vector<uint64_t>& ranks :
       std::vector<std::vector<uint64_t>>{{},
                                          {0},
                                          {3},
                                          {0, 1},
                                          {0, 1, 2, 3},
                                          {5, 7, 100},
                                          {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}}) {
    CAPTURE(ranks.size());
    FleetRoutes routes;
    for (const uint64_t rank : ranks) {
      const TeamName name("t" + std::to_string(rank));
      routes.teams[name] = {name, rank, {}};
    }
    const TeamName unranked("unranked");
    routes.teams[unranked] = {unranked, std::nullopt, {}};
    std::vector<const Team*> order;
    for (const uint64_t rank : ranks) {
      order.push_back(&routes.teams.at(TeamName("t" + std::to_string(rank))));
    }
    order.push_back(&routes.teams.at(unranked));
    uint64_t highest_before = 0;
    for (const Team* team : order) {
      uint64_t last = 0;
      for (const uint64_t rank : {0, 1, 2, 3, 4, 7}) {
        for (const Millis target : {Millis(100), Millis(2'000)}) {
          Route route;
          route.rank = rank;
          route.target_latency = target;
          const uint64_t urgency = CallUrgency(routes, team, route);
          const uint64_t expected = std::min<uint64_t>(9, rank * 2 + (target > Millis(1'000)));
          CHECK(urgency <= 9);
          CHECK(urgency >= last);
          CHECK(urgency >= highest_before);
          if (ranks.empty()) CHECK(urgency == expected);
          last = urgency;
        }
      }
      // Up to four ranks have two levels each, which tell the most urgent route from the others.
      if (ranks.size() <= 4) CHECK(last > CallUrgency(routes, team, Route()));
      highest_before = last;
    }
    CHECK(CallUrgency(routes, nullptr, Route()) == CallUrgency(routes, order.back(), Route()));
  }
}

}  // namespace
}  // namespace shallot::gateway
