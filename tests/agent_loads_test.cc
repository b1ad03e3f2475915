#include <doctest/doctest.h>

#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

const EntryId kM1("m1");
const EntryId kM2("m2");

/// Loads an entry with a call and completes the call.
void LoadWithCall(AgentFixture* fixture, const std::string& entry) {
  fixture->Start(fixture->MakeCall("warm-" + entry, entry));
  fixture->GivePermit();
  fixture->Run(Millis(40));
  fixture->GivePermit();
  fixture->Run(Millis(40));
  REQUIRE(fixture->engine.calls.running.contains(CallId("warm-" + entry)));
  fixture->engine.calls.Complete(CallId("warm-" + entry));
}

// Guards against more loads than slots when a burst of calls arrives for a cold entry.
TEST_CASE("a burst of calls for a cold entry starts one load") {
  AgentFixture fixture;
  fixture.engine.automatic = false;
  fixture.Begin();
  fixture.Grant({"m1"});
  for (int i = 0; i < 20; ++i) fixture.Start(fixture.MakeCall("c" + std::to_string(i), "m1"));
  fixture.GivePermit();
  fixture.Run(Millis(200));
  CHECK(fixture.engine.loads[kM1] == 1);
  CHECK(fixture.engine.calls.running.empty());
  fixture.engine.CompleteOrder();
  CHECK(fixture.engine.calls.running.size() == 4);
  CHECK(fixture.link.Sent<LoadPermitReturn>(kRouter).size() == 1);
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against an entry that is never loaded while no budget holder responds, and against loads
// beyond the static share.
TEST_CASE("without a permit the static share starts one load for each interval") {
  struct StaticShareCase {
    const char* name;
    bool connected;
    Millis first;
  };
  const std::vector<StaticShareCase> cases = {{"no permit for 1 s", true, Millis(1000)},
                                              {"no connection", false, Millis(0)}};
  for (const StaticShareCase& test : cases) {
    CAPTURE(test.name);
    AgentFixture fixture;
    fixture.Begin();
    fixture.Grant({"m1", "m2"});
    if (!test.connected) fixture.link.full.insert(kRouter);
    fixture.Start(fixture.MakeCall("c1", "m1"));
    fixture.Start(fixture.MakeCall("c2", "m2"));
    if (test.first > Millis(0)) {
      fixture.Run(test.first - Millis(40));
      CHECK(fixture.engine.loads.empty());
      fixture.Run(Millis(80));
    }
    CHECK(fixture.engine.loads[kM1] + fixture.engine.loads[kM2] == 1);
    fixture.Run(Millis(9900) - test.first);
    CHECK(fixture.engine.loads[kM1] + fixture.engine.loads[kM2] == 1);
    fixture.Run(Millis(1300));
    CHECK(fixture.engine.loads[kM1] + fixture.engine.loads[kM2] == 2);
  }
}

// Guards against permits that are never returned to the budget.
TEST_CASE("a permit that nothing waits for is returned") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.Start(fixture.MakeCall("c1", "m1"));
  REQUIRE(fixture.link.Sent<LoadPermitRequest>(kRouter).size() == 1);
  const uint64_t id = fixture.link.Sent<LoadPermitRequest>(kRouter)[0].permit_id;
  fixture.agent->OnMessage(kRouter, CallCancel{CallId("c1"), Attempt(1)});
  fixture.Run(Millis(20));
  fixture.GivePermit();
  const auto returned = fixture.link.Sent<LoadPermitReturn>(kRouter);
  REQUIRE_FALSE(returned.empty());
  CHECK(returned.back().permit_id == id);
  CHECK(fixture.engine.loads.empty());
}

// Guards against a permit that is returned while the load that it is for still runs. Requests are
// repeated each second, so the budget may send a permit twice or late.
TEST_CASE("a permit is in use until its load ends") {
  struct PermitCase {
    const char* name;
    bool before;
    bool during;
  };
  for (const PermitCase& test : {PermitCase{"repeated", true, true},
                                 PermitCase{"after a load of the static share", false, true}}) {
    CAPTURE(test.name);
    AgentFixture fixture;
    fixture.engine.automatic = false;
    fixture.Begin();
    fixture.Grant({"m1"});
    fixture.Start(fixture.MakeCall("c1", "m1"));
    if (test.before) fixture.GivePermit();
    fixture.Run(Millis(1100));
    REQUIRE(fixture.engine.orders.size() == 1);
    if (test.during) fixture.GivePermit();
    fixture.Run(Millis(100));
    CHECK(fixture.link.Sent<LoadPermitReturn>(kRouter).empty());
    fixture.engine.CompleteOrder();
    CHECK(fixture.link.Sent<LoadPermitReturn>(kRouter).size() == 1);
    fixture.GivePermit();
    CHECK(fixture.link.Sent<LoadPermitReturn>(kRouter).size() == 2);
    CHECK(fixture.engine.loads[kM1] == 1);
  }
}

// Guards against an adapter order for a base model that is not loaded, and against the unload of a
// base model under its adapter.
TEST_CASE("an adapter is loaded after its base model and unloaded before it") {
  AgentFixture fixture;
  fixture.engine.automatic = false;
  fixture.Begin();
  fixture.Grant({"m1", "a1"});
  fixture.Start(fixture.MakeCall("c1", "a1"));
  fixture.GivePermit();
  REQUIRE(fixture.engine.orders.size() == 1);
  CHECK(fixture.engine.orders[0].order.entry == kM1);
  fixture.engine.CompleteOrder();
  fixture.Run(Millis(20));
  fixture.GivePermit();
  REQUIRE(fixture.engine.orders.size() == 1);
  CHECK(fixture.engine.orders[0].order.entry == EntryId("a1"));
  CHECK(fixture.engine.orders[0].order.base == kM1);
  fixture.engine.CompleteOrder();
  REQUIRE(fixture.engine.calls.running.size() == 1);
  fixture.Grant({}, 2);
  fixture.Run(Millis(100));
  CHECK(fixture.engine.orders.empty());
  fixture.engine.calls.Complete(CallId("c1"));
  fixture.Run(Millis(20));
  REQUIRE(fixture.engine.orders.size() == 1);
  CHECK(fixture.engine.orders[0].order.entry == EntryId("a1"));
  fixture.engine.CompleteOrder();
  fixture.Run(Millis(20));
  REQUIRE(fixture.engine.orders.size() == 1);
  CHECK(fixture.engine.orders[0].order.entry == kM1);
}

// Guards against calls of an adapter that wait for a base model which may not be loaded here.
TEST_CASE("an adapter without a slot of its base model is refused") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"a1"});
  fixture.Start(fixture.MakeCall("c1", "a1"));
  fixture.Run(Millis(20));
  CHECK(fixture.LastOutcome("c1") == "not-run/not-granted");
}

// Guards against an overcommitted accelerator and against eviction of an entry in use.
TEST_CASE("idle entries are evicted, entries with running calls are not") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1", "m2", "m3"});
  LoadWithCall(&fixture, "m1");
  fixture.Run(Millis(2000));
  LoadWithCall(&fixture, "m2");
  fixture.Start(fixture.MakeCall("busy", "m2"));
  LoadWithCall(&fixture, "m3");
  CHECK(fixture.engine.unloads[kM1] == 1);
  CHECK(fixture.engine.unloads[kM2] == 0);
  CHECK(fixture.engine.HeldBytes() == (60U << 20U));
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against a load that starts while the engine still unloads what it replaces.
TEST_CASE("memory is free only when the engine confirmed the unload") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1", "m2", "m3"});
  LoadWithCall(&fixture, "m1");
  LoadWithCall(&fixture, "m2");
  fixture.engine.automatic = false;
  fixture.Start(fixture.MakeCall("c3", "m3"));
  fixture.Run(Millis(1000));
  fixture.GivePermit();
  fixture.Run(Millis(2000));
  REQUIRE(fixture.engine.orders.size() == 1);
  CHECK_FALSE(fixture.engine.orders.front().load);
  CHECK(fixture.engine.loads[EntryId("m3")] == 0);
  fixture.engine.CompleteOrder();
  fixture.Run(Millis(20));
  fixture.GivePermit();
  fixture.Run(Millis(20));
  CHECK(fixture.engine.loads[EntryId("m3")] == 1);
}

// Guards against calls that wait for a load that cannot happen, and against a wrong refusal reason.
TEST_CASE("a load that cannot fit ends its calls with the reason no-memory") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1", "m2", "m3", "huge"});
  fixture.Start(fixture.MakeCall("c1", "huge"));
  fixture.Run(Millis(20));
  CHECK(fixture.LastOutcome("c1") == "not-run/no-memory");
  LoadWithCall(&fixture, "m1");
  LoadWithCall(&fixture, "m2");
  fixture.Start(fixture.MakeCall("busy1", "m1"));
  fixture.Start(fixture.MakeCall("busy2", "m2"));
  fixture.Start(fixture.MakeCall("c2", "m3", Millis(1000)));
  fixture.Run(Millis(1000));
  CHECK(fixture.LastOutcome("c2") == "not-run/no-memory");
  CHECK(fixture.engine.loads.count(EntryId("m3")) == 0);
}

// Guards against rapid retries at an engine that cannot load, and against calls that outlive their
// deadline while the load is retried.
TEST_CASE("failed loads back off") {
  AgentFixture fixture;
  fixture.engine.automatic = false;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.Start(fixture.MakeCall("short", "m1", Millis(400)));
  fixture.Start(fixture.MakeCall("long", "m1", Millis(30'000)));
  fixture.GivePermit();
  fixture.engine.CompleteOrder(Error{ErrorKind::kUnavailable, "busy", ""}, false);
  CHECK(fixture.LastOutcome("short") == "not-run/load-failed");
  CHECK(fixture.Outcomes("short")[0].retry_after == Millis(500));
  CHECK(fixture.LastOutcome("long") == "none");
  fixture.Run(Millis(460));
  fixture.GivePermit();
  CHECK(fixture.engine.loads[kM1] == 1);
  fixture.Run(Millis(60));
  fixture.GivePermit();
  CHECK(fixture.engine.loads[kM1] == 2);
}

struct UnknownCase {
  const char* name;
  bool effect;
  int loads;
};

// Guards against memory that is reused while a load with an unknown outcome may hold it.
TEST_CASE("a load with an unknown outcome keeps its reservation until the inventory resolves it") {
  const std::vector<UnknownCase> cases = {{"it took effect", true, 1}, {"it did not", false, 2}};
  for (const UnknownCase& test : cases) {
    CAPTURE(test.name);
    AgentFixture fixture;
    fixture.engine.automatic = false;
    fixture.Begin();
    fixture.Grant({"m1"});
    fixture.Start(fixture.MakeCall("c1", "m1"));
    fixture.GivePermit();
    fixture.engine.hold_inventory = true;
    fixture.engine.CompleteOrder(Error{ErrorKind::kUnknownOutcome, "lost", ""}, test.effect);
    fixture.Run(Millis(40));
    REQUIRE(fixture.engine.held_inventories.size() == 1);
    CHECK(fixture.agent->StatusJson().find("\"memory_reserved\":41943040") != std::string::npos);
    CHECK(fixture.engine.calls.running.empty());
    fixture.engine.hold_inventory = false;
    fixture.engine.held_inventories[0](fixture.engine.Inventory());
    fixture.Run(Millis(700));
    fixture.GivePermit();
    CHECK(fixture.engine.loads[kM1] == test.loads);
    CHECK(fixture.engine.calls.running.contains(CallId("c1")) == test.effect);
  }
}

// Guards against an inventory that was requested before a load and overwrites its result.
TEST_CASE("an inventory older than an order is not applied to its entry") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.engine.hold_inventory = true;
  fixture.Run(Millis(3020));
  REQUIRE(fixture.engine.held_inventories.size() == 1);
  const Result<EngineInventory> before = fixture.engine.Inventory();
  fixture.Start(fixture.MakeCall("c1", "m1"));
  fixture.GivePermit();
  REQUIRE(fixture.engine.calls.running.size() == 1);
  fixture.engine.held_inventories[0](before);
  fixture.Start(fixture.MakeCall("c2", "m1"));
  CHECK(fixture.engine.calls.running.size() == 2);
}

// Guards against a second replica after a restart, and against an unload that no grant requested.
TEST_CASE("entries found at the start are counted and unloaded only when a grant excludes them") {
  AgentFixture fixture;
  fixture.engine.AddHeld("m1", 30U << 20U);
  fixture.engine.AddHeld("m2", 30U << 20U);
  fixture.Begin();
  fixture.Run(Millis(500));
  CHECK(fixture.agent->StatusJson().find("\"memory_reserved\":83886080") != std::string::npos);
  CHECK(fixture.engine.unloads.empty());
  fixture.Start(fixture.MakeCall("early", "m1"));
  CHECK(fixture.LastOutcome("early") == "not-run/not-granted");
  fixture.Grant({"m1"});
  fixture.Run(Millis(40));
  CHECK(fixture.engine.unloads[kM2] == 1);
  CHECK(fixture.engine.unloads.count(kM1) == 0);
  fixture.Start(fixture.MakeCall("c1", "m1"));
  CHECK(fixture.engine.calls.running.size() == 1);
  CHECK(fixture.engine.loads.empty());
}

// Guards against infinite recursion over an adapter that the catalogue does not have.
TEST_CASE("an unknown adapter that the engine holds is unloaded") {
  AgentFixture fixture;
  fixture.engine.AddHeld("gone", 1U << 20U);
  fixture.engine.held[EntryId("gone")].kind = LoadKind::kAdapter;
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.Run(Millis(40));
  CHECK(fixture.engine.held.empty());
}

// Guards against calls on a version that the configuration replaced.
TEST_CASE("a changed version is loaded after the running calls have ended") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.Grant({"m1"});
  LoadWithCall(&fixture, "m1");
  fixture.Start(fixture.MakeCall("old", "m1"));
  std::string text = ConfigText();
  text.replace(text.find("m1 = 1"), 6, "m1 = 2");
  fixture.agent->OnMessage(kRouter, MakeConfigPush(text, 2));
  fixture.Run(Millis(20));
  fixture.Start(fixture.MakeCall("new", "m1"));
  fixture.Run(Millis(40));
  CHECK(fixture.engine.calls.running.size() == 1);
  fixture.engine.calls.Complete(CallId("old"));
  fixture.Run(Millis(60));
  fixture.GivePermit();
  CHECK(fixture.engine.held.at(kM1).version == "2");
  CHECK(fixture.engine.calls.running.contains(CallId("new")));
}

/// Keeps each entry loaded for a fixed time and counts the calls.
class FixedKeepAlive final : public KeepAlivePolicy {
 public:
  Millis KeepAlive(const EntryId&) const override { return Millis(1000); }
  void OnCall(const EntryId&, SteadyTime) override { ++calls; }
  void SetColdStartTime(const EntryId& entry, Millis time) override { cold_times[entry] = time; }
  int calls = 0;
  std::map<EntryId, Millis> cold_times;
};

// Guards against a keep-alive time based on an assumed cold start although loads were measured.
TEST_CASE("the keep-alive policy receives the measured load times") {
  AgentFixture fixture;
  fixture.engine.automatic = false;
  FixedKeepAlive policy;
  fixture.agent->SetKeepAlivePolicy(&policy);
  fixture.Begin();
  fixture.Grant({"m1"});
  fixture.Start(fixture.MakeCall("c1", "m1"));
  fixture.GivePermit();
  fixture.Run(Millis(4000));
  CHECK(policy.cold_times.empty());
  fixture.engine.CompleteOrder();
  CHECK(policy.cold_times == std::map<EntryId, Millis>{{kM1, Millis(4000)}});
}

// Guards against idle entries that stay loaded, and against unloading one that is in use.
TEST_CASE("an entry idle longer than its keep-alive time is unloaded") {
  AgentFixture fixture;
  FixedKeepAlive policy;
  fixture.agent->SetKeepAlivePolicy(&policy);
  fixture.Begin();
  fixture.Grant({"m1"});
  LoadWithCall(&fixture, "m1");
  fixture.Start(fixture.MakeCall("c1", "m1"));
  fixture.Run(Millis(3000));
  CHECK(fixture.engine.unloads.empty());
  fixture.engine.calls.Complete(CallId("c1"));
  fixture.Run(Millis(980));
  CHECK(fixture.engine.unloads.empty());
  fixture.Run(Millis(60));
  CHECK(fixture.engine.unloads[kM1] == 1);
  CHECK(policy.calls == 2);
}

// Guards against a slot that moves before its entry is unloaded, and against a lost confirmation.
TEST_CASE("a releasing slot is confirmed after its unload and again on later grants") {
  AgentFixture fixture;
  fixture.Begin();
  fixture.ConnectRouter(kOtherRouter);
  fixture.Grant({"m1"});
  LoadWithCall(&fixture, "m1");
  fixture.Start(fixture.MakeCall("running", "m1"));
  SlotGrant grant = fixture.GrantOf({"m1"}, 2);
  grant.slots[0].state = SlotState::kReleasing;
  fixture.agent->OnMessage(kRouter, grant);
  fixture.Start(fixture.MakeCall("late", "m1"));
  CHECK(fixture.LastOutcome("late") == "not-run/not-granted");
  fixture.Run(Millis(100));
  CHECK(fixture.link.Sent<SlotReleased>(kRouter).empty());
  fixture.engine.calls.Complete(CallId("running"));
  CHECK(fixture.LastOutcome("running") == "completed/none");
  fixture.Run(Millis(40));
  CHECK(fixture.engine.held.empty());
  CHECK(fixture.link.Sent<SlotReleased>(kRouter).size() == 1);
  CHECK(fixture.link.Sent<SlotReleased>(kOtherRouter).size() == 1);
  fixture.agent->OnMessage(kRouter, grant);
  CHECK(fixture.link.Sent<SlotReleased>(kRouter).size() == 2);
  fixture.Grant({"m1"}, 3, 1);
  fixture.Start(fixture.MakeCall("again", "m1"));
  CHECK(fixture.LastOutcome("again") == "not-run/not-granted");
  fixture.Grant({"m1"}, 4, 2);
  fixture.Start(fixture.MakeCall("next", "m1"));
  CHECK(fixture.LastOutcome("next") == "none");
}

}  // namespace
}  // namespace shallot::agent_test
