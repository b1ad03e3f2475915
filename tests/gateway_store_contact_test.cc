#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "servers/gateway/store_contact.h"
#include "tests/gateway_daemon_fixture.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

/// Times are in milliseconds after kStart.
struct StoreCall {
  StoreCallEnd end;
  int64_t sent_ms;
  int64_t ended_ms;
};

// Guards against planned removals that are taken for expiries in an outage because single calls to
// the store failed (review/5), and against expiries in an outage that are taken for removals.
TEST_CASE("gateway: failed calls to the store that may mean an outage") {
  using enum StoreCallEnd;
  struct Case {
    const char* name;
    std::vector<StoreCall> calls;
    bool expected_may_be_lost;
  };
  const std::vector<Case> cases = {
      {"answered", {{kAnswered, 0, 5}}, false},
      {"a waiting watch is cut, the next is answered",
       {{kAnswered, 0, 5}, {kDisconnected, 350, 2'200}, {kAnswered, 2'450, 2'650}},
       false},
      {"watches are cut again and again",
       {{kAnswered, 0, 5},
        {kDisconnected, 350, 2'000},
        {kAnswered, 2'250, 2'450},
        {kDisconnected, 2'800, 4'000},
        {kDisconnected, 4'250, 4'400},
        {kAnswered, 4'650, 4'850}},
       false},
      {"a silent connection beside one that works",
       {{kAnswered, 0, 5},
        {kAnswered, 2'000, 2'004},
        {kNoAnswer, 350, 2'850},
        {kAnswered, 3'100, 3'104}},
       false},
      {"calls fail", {{kAnswered, 0, 5}, {kNoAnswer, 350, 750}}, true},
      {"away for long",
       {{kAnswered, 0, 5}, {kNoAnswer, 350, 750}, {kAnswered, 2'900, 2'904}},
       true},
      {"away for too short a time for an expiry",
       {{kAnswered, 0, 5}, {kNoAnswer, 350, 750}, {kAnswered, 1'000, 1'004}},
       false},
      {"a cut, then refused connections",
       {{kAnswered, 0, 5},
        {kDisconnected, 350, 2'200},
        {kNoAnswer, 2'450, 2'451},
        {kNoAnswer, 2'700, 2'701},
        {kAnswered, 3'500, 3'504}},
       true},
      {"connections end at once",
       {{kAnswered, 0, 5},
        {kDisconnected, 350, 351},
        {kDisconnected, 600, 601},
        {kAnswered, 1'500, 1'504}},
       true},
      {"refused by an answer",
       {{kAnswered, 0, 5}, {kRefused, 350, 354}, {kAnswered, 1'600, 1'604}},
       true},
      {"a cut during an outage ends nothing",
       {{kAnswered, 0, 5}, {kNoAnswer, 350, 750}, {kDisconnected, 1'000, 1'500}},
       true},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    StoreContact contact;
    SteadyTime now = kStart;
    for (const StoreCall& call : test.calls) {
      now = kStart + Millis(call.ended_ms);
      contact.OnCall(call.end, kStart + Millis(call.sent_ms), now);
    }
    CHECK(contact.EntriesMayBeLost(now) == test.expected_may_be_lost);
    if (contact.interrupted()) continue;
    CHECK_FALSE(contact.EntriesMayBeLost(now + Duration(StoreContact::kReturnTime)));
  }
}

// Guards against a removed runner that stays in use while the watches are cut (review/5).
TEST_CASE("gateway daemon: a runner removed after a cut of the watches gets no more calls") {
  GatewayFixture fixture;
  fixture.Configure("engine");
  REQUIRE(fixture.AwaitReady());
  REQUIRE(fixture.Call("/p/1").status == 200);
  fixture.platform_.CutWatchesAndRemove("servers/i-1");
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + Millis(1'500);
  int status = 200;
  while (status == 200 && clock.SteadyNow() < end) status = fixture.Call("/p/1").status;
  CHECK_MESSAGE(status == 503, "the runner is still in use 1.5 s after its removal");
}

}  // namespace
}  // namespace shallot::gateway
