#include "servers/agent_core.h"

#include <doctest/doctest.h>

#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

// Guards against a failure at any step of a call: Hello, configuration, grant, load with a permit,
// execution, frames and outcome, drain.
TEST_CASE("a call on a cold entry is loaded, run and answered, then the agent drains") {
  AgentFixture fixture;
  CHECK_FALSE(fixture.agent->Ready());
  fixture.Begin();
  REQUIRE(fixture.agent->Ready());
  REQUIRE(fixture.link.Sent<Hello>(kRouter).size() == 1);
  CHECK(fixture.link.Sent<Hello>(kRouter)[0].incarnation == Incarnation(7));
  fixture.Grant({"m1"});
  fixture.Start(fixture.MakeCall("c1", "m1"));
  fixture.Run(Millis(20));
  REQUIRE(fixture.link.Sent<LoadPermitRequest>(kRouter).size() == 1);
  fixture.GivePermit();
  fixture.Run(Millis(20));
  REQUIRE(fixture.engine.calls.running.contains(CallId("c1")));
  CHECK(fixture.link.Sent<LoadPermitReturn>(kRouter).size() == 1);
  fixture.engine.calls.Complete(CallId("c1"), "hello");
  REQUIRE(fixture.link.Sent<CallFrame>(kRouter).size() == 1);
  CHECK(fixture.link.Sent<CallFrame>(kRouter)[0].payload == "hello");
  REQUIRE(fixture.Outcomes("c1").size() == 1);
  CHECK(fixture.Outcomes("c1")[0].kind == OutcomeKind::kCompleted);
  CHECK(fixture.Outcomes("c1")[0].total_length == 5);
  fixture.agent->OnMessage(kRouter, CallAck{CallId("c1"), Attempt(1)});
  fixture.agent->BeginDrain("test", Millis(5000));
  CHECK(fixture.link.Sent<Heartbeat>(kRouter).back().draining);
  fixture.Start(fixture.MakeCall("c2", "m1"));
  CHECK(fixture.LastOutcome("c2") == "not-run/draining");
  fixture.agent->OnMessage(kRouter, CallAck{CallId("c2"), Attempt(1)});
  fixture.Run(Millis(60));
  CHECK_FALSE(fixture.agent->Drained());
  fixture.Grant({}, 2);
  CHECK(fixture.agent->Drained());
  CHECK(fixture.engine.held.empty());
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against components outside the core that use another configuration than the core does.
TEST_CASE("the agent exposes its active configuration") {
  AgentFixture fixture;
  CHECK(fixture.agent->config() == nullptr);
  fixture.agent->OnMessage(kRouter,
                           MakeConfigPush(ConfigText("[defaults]\norder_window_ms = 60000\n"), 2));
  REQUIRE(fixture.agent->config() != nullptr);
  CHECK(fixture.agent->config()->order_window == Millis(60'000));
  fixture.agent->OnMessage(kRouter, MakeConfigPush(ConfigText(), 1));
  CHECK(fixture.agent->config()->revision == ConfigRevision(2));
}

}  // namespace
}  // namespace shallot::agent_test
