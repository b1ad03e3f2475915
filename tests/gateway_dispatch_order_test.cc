#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "servers/gateway/dispatch_order.h"
#include "servers/gateway/team_service.h"

namespace shallot::gateway {
namespace {

WaitingCall Call(uint64_t urgency, int64_t deadline_ms, bool late = false) {
  return {urgency, SteadyTime(Millis(deadline_ms)), late};
}

WaitingCall TeamCall(const char* team, int64_t deadline_ms, uint64_t urgency = 2) {
  return {urgency, SteadyTime(Millis(deadline_ms)), false, TeamName(team), 100};
}

// Guards against free slots that go to calls which can wait longer, and against late calls that
// make all others late, too.
TEST_CASE("gateway: waiting calls are dispatched by urgency, then before they are late") {
  struct Case {
    const char* name;
    std::vector<WaitingCall> calls;
    std::vector<size_t> expected;
  };
  for (const Case& test : std::vector<Case>{
           {"none", {}, {}},
           {"earliest deadline first", {Call(2, 900), Call(2, 300), Call(2, 600)}, {1, 2, 0}},
           {"late calls last",
            {Call(2, 100, true), Call(2, 900), Call(2, 600), Call(2, 50, true)},
            {2, 1, 3, 0}},
           {"urgency before lateness", {Call(4, 900), Call(2, 100, true)}, {1, 0}},
           {"urgency before deadline", {Call(4, 100), Call(0, 900), Call(2, 500)}, {1, 2, 0}},
           {"equal calls keep their order", {Call(1, 5), Call(1, 5), Call(1, 5)}, {0, 1, 2}}}) {
    CAPTURE(std::string(test.name));
    CHECK(DispatchOrder(test.calls) == test.expected);
  }
}

// Guards against a team with many waiting calls that delays all others of the same urgency.
TEST_CASE("gateway: teams take turns by what they have been served") {
  struct Case {
    const char* name;
    std::vector<WaitingCall> calls;
    std::map<TeamName, double> recent;
    std::vector<size_t> expected;
  };
  const TeamName a("a");
  const TeamName b("b");
  for (const Case& test :
       std::vector<Case>{{"turns",
                          {TeamCall("a", 1), TeamCall("a", 2), TeamCall("a", 3), TeamCall("b", 9)},
                          {},
                          {0, 3, 1, 2}},
                         {"least served first",
                          {TeamCall("a", 1), TeamCall("b", 9), TeamCall("b", 8)},
                          {{a, 500}, {b, 50}},
                          {2, 1, 0}},
                         {"urgency before service",
                          {TeamCall("a", 5, 1), TeamCall("b", 5, 2)},
                          {{a, 500}},
                          {0, 1}}}) {
    CAPTURE(std::string(test.name));
    CHECK(DispatchOrder(test.calls, test.recent) == test.expected);
  }
}

/// One runner takes a call of 1,000 tokens every 10 ms while teams send `per_s` calls a second.
/// Returns the part of each team's calls that is served within their 2 s.
std::map<TeamName, double> PlayTeams(const std::map<TeamName, double>& per_s) {
  constexpr Millis kStep{10};
  constexpr Seconds kLength{30};
  constexpr Seconds kPatience{2};
  TeamService service;
  std::vector<WaitingCall> waiting;
  std::map<TeamName, double> credit;
  std::map<TeamName, double> sent;
  std::map<TeamName, double> served;
  for (SteadyTime now{}; now < SteadyTime(kLength); now += kStep) {
    std::map<TeamName, double> recent;
    for (const auto& [team, rate] : per_s) {
      recent[team] = service.Recent(team, now);
      for (credit[team] += rate * 0.01; credit[team] >= 1; --credit[team]) {
        ++sent[team];
        waiting.push_back({2, now + Duration(kPatience), false, team, 1'000});
      }
    }
    std::erase_if(waiting, [&](const WaitingCall& call) { return call.deadline <= now; });
    const std::vector<size_t> order = DispatchOrder(waiting, recent);
    if (order.empty()) continue;
    const WaitingCall first = waiting[order.front()];
    waiting.erase(waiting.begin() + static_cast<int64_t>(order.front()));
    ++served[first.team];
    service.OnSent(first.team, first.cost, now);
  }
  std::map<TeamName, double> parts;
  for (const auto& [team, count] : sent) parts[team] = served[team] / count;
  return parts;
}

// Guards against a team that sends many times its usual and is served at the cost of the others.
TEST_CASE("gateway: a hot team does not take the room of the others") {
  const auto parts = PlayTeams({{TeamName("hot"), 300}, {TeamName("a"), 20}, {TeamName("b"), 5}});
  CHECK(parts.at(TeamName("a")) > 0.95);
  CHECK(parts.at(TeamName("b")) > 0.95);
  // What the others leave is its own: 75 of 300 calls a second.
  CHECK(parts.at(TeamName("hot")) > 0.23);
}

}  // namespace
}  // namespace shallot::gateway
