#include <doctest/doctest.h>

#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

// Guards against a router that considers a live agent silent, and against an agent that keeps
// calls on a dead connection.
TEST_CASE("heartbeats go out every 500 ms and silent connections are closed after 2 s") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.ConnectRouter(kOtherRouter);
  fixture.Run(Millis(1980), {kRouter});
  CHECK(fixture.link.Sent<Heartbeat>(kRouter).size() == 3);
  CHECK(fixture.link.Sent<Heartbeat>(kRouter)[2].sequence == 3);
  CHECK_FALSE(fixture.link.closed.contains(kOtherRouter));
  fixture.Run(Millis(40), {kRouter});
  CHECK(fixture.link.closed.contains(kOtherRouter));
  CHECK_FALSE(fixture.link.closed.contains(kRouter));
}

// Guards against a router that never learns the incarnation because its connection outlived the
// previous agent.
TEST_CASE("any first message on a connection is answered with one Hello") {
  AgentFixture fixture;
  fixture.agent->Start();
  fixture.agent->OnMessage(kRouter, Heartbeat{});
  fixture.ConnectRouter(kRouter);
  CHECK(fixture.link.Sent<Hello>(kRouter).size() == 1);
  CHECK(fixture.link.Sent<Hello>(kRouter)[0].runner == RunnerId("runner-1"));
}

// Guards against a lost Hello when the transport is full.
TEST_CASE("a refused Hello is sent again") {
  AgentFixture fixture;
  fixture.link.full.insert(kRouter);
  fixture.ConnectRouter(kRouter);
  fixture.link.full.clear();
  fixture.Run(Millis(20));
  CHECK(fixture.link.Sent<Hello>(kRouter).size() == 1);
}

// Guards against an agent that stays on an old configuration, and against endless pulls.
TEST_CASE("a higher revision is pulled, once per second, and passed on to peers that lack it") {
  AgentFixture fixture;
  fixture.agent->Start();
  Hello hello;
  hello.config_revision = ConfigRevision(3);
  fixture.agent->OnMessage(kRouter, hello);
  Heartbeat beat;
  beat.config_revision = ConfigRevision(3);
  fixture.agent->OnMessage(kRouter, beat);
  REQUIRE(fixture.link.Sent<ConfigPull>(kRouter).size() == 1);
  CHECK(fixture.link.Sent<ConfigPull>(kRouter)[0].known == ConfigRevision(0));
  fixture.clock.Advance(Millis(1000));
  fixture.agent->OnMessage(kRouter, beat);
  CHECK(fixture.link.Sent<ConfigPull>(kRouter).size() == 2);
  fixture.agent->OnMessage(kRouter, MakeConfigPush(ConfigText(), 3));
  fixture.agent->OnMessage(kOtherRouter, ConfigPull{ConfigRevision(3)});
  CHECK(fixture.link.Sent<ConfigPush>(kOtherRouter).empty());
  fixture.agent->OnMessage(kOtherRouter, ConfigPull{ConfigRevision(0)});
  REQUIRE(fixture.link.Sent<ConfigPush>(kOtherRouter).size() == 1);
  CHECK_FALSE(fixture.link.Sent<ConfigPush>(kOtherRouter)[0].snapshot.empty());
}

// Guards against calls that are accepted before the agent knows what the engine holds.
TEST_CASE("calls are refused as not run until the inventory and the configuration are known") {
  AgentFixture fixture;
  fixture.engine.down = true;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.Start(fixture.MakeCall("c1", "m1"));
  CHECK(fixture.LastOutcome("c1") == "not-run/not-granted");
  CHECK(fixture.Outcomes("c1")[0].retry_after > Millis(0));
  fixture.engine.down = false;
  fixture.Run(Millis(600));
  CHECK(fixture.agent->Ready());
  CHECK(fixture.agent->StatusJson().find("\"ready\":true") != std::string::npos);
}

}  // namespace
}  // namespace shallot::agent_test
