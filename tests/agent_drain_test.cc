#include <doctest/doctest.h>

#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

// Guards against an agent that exits before the owner has taken its slots back, and against one
// that waits for an owner forever.
TEST_CASE("a drained agent confirms the releasing slots and waits a limited time for the owner") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.agent->BeginDrain("test", Millis(20'000));
  fixture.Run(Millis(40));
  REQUIRE(fixture.link.Sent<SlotReleased>(kRouter).size() == 1);
  SlotGrant releasing = fixture.GrantOf({"m1"}, 2, 5);
  releasing.slots[0].state = SlotState::kReleasing;
  fixture.agent->OnMessage(kRouter, releasing);
  fixture.Run(Millis(40));
  REQUIRE(fixture.link.Sent<SlotReleased>(kRouter).size() == 2);
  CHECK(fixture.link.Sent<SlotReleased>(kRouter).back().generation == Generation(5));
  CHECK_FALSE(fixture.agent->Drained());
  SUBCASE("the owner answers") { fixture.Grant({}, 3); }
  SUBCASE("no owner answers") { fixture.Run(Millis(3000)); }
  CHECK(fixture.agent->Drained());
}

// Guards against calls that a planned stop interrupts, and against an exit before the router has
// the answer.
TEST_CASE("a drain finishes running and ready calls, then releases the slots") {
  AgentFixture fixture;
  fixture.engine.concurrency = 1;
  fixture.engine.AddHeld("m1", 30U << 20U);
  fixture.Begin();
  fixture.Grant({"m1", "m2"});
  fixture.Start(fixture.MakeCall("running", "m1"));
  fixture.Start(fixture.MakeCall("queued", "m1"));
  fixture.Start(fixture.MakeCall("cold", "m2"));
  fixture.agent->OnMessage(kRouter, DrainOrder{"test", Millis(5000)});
  CHECK(fixture.link.Sent<Heartbeat>(kRouter).back().draining);
  CHECK(fixture.LastOutcome("cold") == "not-run/draining");
  fixture.engine.calls.Complete(CallId("running"));
  fixture.Run(Millis(100));
  CHECK_FALSE(fixture.agent->Drained());
  fixture.engine.calls.Complete(CallId("queued"));
  fixture.Run(Millis(100));
  CHECK_FALSE(fixture.agent->Drained());
  for (const char* id : {"running", "queued", "cold"}) {
    fixture.agent->OnMessage(kRouter, CallAck{CallId(id), Attempt(1)});
  }
  CHECK(fixture.engine.held.empty());
  CHECK(fixture.link.Sent<SlotReleased>(kRouter).size() == 2);
  CHECK_FALSE(fixture.agent->Drained());
  fixture.Grant({}, 2);
  CHECK(fixture.agent->Drained());
  CHECK(fixture.engine.loads.empty());
  CHECK(fixture.invariants.TotalViolations() == 0);
  CHECK(fixture.invariants.checks(Invariant::kNoNewWorkWhileLeaving) == 2);
}

// Guards against calls that are interrupted before the grace period ends, against a not-run outcome
// for an interrupted order, and against a queued order that starts when the end of the grace period
// frees the backend server.
TEST_CASE("when the grace period ends repeatable calls are cancelled and orders are unknown") {
  for (const bool order : {false, true}) {
    CAPTURE(order);
    AgentFixture fixture(false);
    fixture.Begin();
    Call call = fixture.MakeOrder("c1", "k1");
    call.repeatable = !order;
    fixture.Start(call);
    fixture.Start(fixture.MakeOrder("waiting", "k2"));
    fixture.agent->BeginDrain("test", Millis(1000));
    fixture.Run(Millis(980));
    CHECK(fixture.LastOutcome("c1") == "none");
    fixture.Run(Millis(40));
    CHECK(fixture.LastOutcome("c1") == (order ? "unknown/draining" : "failed/draining"));
    CHECK(fixture.LastOutcome("waiting") == "not-run/draining");
    CHECK(fixture.claims.not_run[IdempotencyKey("k2")] == 1);
    fixture.Run(Millis(2000));
    CHECK(fixture.agent->Drained());
    CHECK(fixture.invariants.violations(Invariant::kDrainCutsNothing) == 0);
  }
}

// Guards against an order whose answer is lost because it ended after the grace period.
TEST_CASE("an order that ends after the grace period is still recorded") {
  AgentFixture fixture(false);
  fixture.Begin();
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.agent->BeginDrain("test", Millis(0));
  fixture.Run(Millis(20));
  CHECK(fixture.LastOutcome("c1") == "unknown/draining");
  CHECK_FALSE(fixture.agent->Drained());
  fixture.service.calls.Complete(CallId("c1"), "late");
  CHECK(fixture.claims.answers.at(IdempotencyKey("k1")).body == "late");
  CHECK(fixture.Outcomes("c1").size() == 1);
}

}  // namespace
}  // namespace shallot::agent_test
