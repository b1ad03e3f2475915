#include "servers/placement_owner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/placement_codec.h"
#include "tests/fake_platform_store.h"

namespace shallot {
namespace {

const char* const kKey = "placement/0";
const char* const kLease = "leases/placement/0";

/// One owner with its own clock, which can be stopped independently of the store's clock.
class Owner final : public PlannerInputSource {
 public:
  Owner(const std::string& name, FakePlatformStore* store, InvariantMonitor* invariants,
        const FleetConfig* config)
      : config_(config),
        replica(&clock, store, ShardId(0), 1, [](const ShardPlacement&) {}),
        owner(ShardId(0), InstanceId(name), &clock, store, &replica, this, invariants, 1) {
    for (int i = 0; i < 3; ++i) {
      PlannerRunner runner;
      runner.id = RunnerId("r" + std::to_string(i));
      runner.backend = BackendName("b");
      runner.failure_domain = FailureDomain("d" + std::to_string(i));
      runners.push_back(runner);
    }
  }

  bool FillInput(const std::vector<Slot>&, PlannerInput* input) override {
    input->config = config_;
    input->runners = runners;
    input->wanted = wanted;
    return true;
  }
  uint64_t InputVersion() const override { return version; }

  void SetState(const std::string& runner, PlannerRunner::State state) {
    for (PlannerRunner& candidate : runners) {
      if (candidate.id.value() == runner) candidate.state = state;
    }
    ++version;
  }
  void Tick(uint64_t rank) {
    replica.OnTick();
    owner.OnTick(rank);
  }

 private:
  const FleetConfig* config_;

 public:
  ManualClock clock;
  std::vector<PlannerRunner> runners;
  std::map<EntryId, uint64_t> wanted;
  uint64_t version = 1;
  PlacementReplica replica;
  PlacementOwner owner;
};

struct Fixture {
  Fixture() {
    const Result<FleetConfig> parsed = ParseFleetConfig(
        "[fleet]\nname = f\nshards = 1\n[defaults]\nmax_replicas = 1\n[models b]\nm = v1 10 5\n",
        "t", ConfigRevision(1));
    if (!IsOk(parsed)) FAIL(FormatError(ErrorOf(parsed)));
    config = ValueOf(parsed);
  }

  /// Advances the clocks of the store and of the running owners, and ticks these owners.
  void Run(Millis time, const std::vector<Owner*>& running) {
    for (Millis passed{0}; passed < time; passed += Millis(50)) {
      clock.Advance(Millis(50));
      for (Owner* each : running) each->clock.Advance(Millis(50));
      for (Owner* each : running) each->Tick(each == &a ? 0 : 1);
      if (deliver_answers) store.Deliver();
    }
  }
  std::vector<Slot> Stored() const { return ValueOf(ParseSlots(store.Value(kKey))); }

  ManualClock clock;
  FakePlatformStore store{&clock};
  InvariantMonitor invariants;
  FleetConfig config;
  bool deliver_answers = true;
  Owner a{"a", &store, &invariants, &config};
  Owner b{"b", &store, &invariants, &config};
};

TEST_CASE("the preferred owner acquires the lease and writes the first placement") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  CHECK(f.store.Holder(kLease) == InstanceId("a"));
  REQUIRE(f.Stored().size() == 1);
  const int writes = f.store.Calls("cas");
  f.Run(Millis(30'000), {&f.a, &f.b});
  CHECK(f.store.Calls("cas") == writes);
}

TEST_CASE("another owner takes over after the lease expired") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  f.Run(Millis(18'000), {&f.b});
  CHECK(f.store.Holder(kLease) == InstanceId("b"));
  CHECK(f.b.owner.HoldsLease());
}

// Guards against one router keeping the leases of all shards after a rolling start.
TEST_CASE("the lease is handed over to the preferred owner and reacquired when that one fails") {
  Fixture f;
  f.Run(Millis(14'000), {&f.b});
  REQUIRE(f.store.Holder(kLease) == InstanceId("b"));
  f.Run(Millis(20'000), {&f.a, &f.b});
  CHECK(f.store.Holder(kLease) == InstanceId("a"));
  f.Run(Millis(25'000), {&f.b});
  CHECK(f.store.Holder(kLease) == InstanceId("b"));
  CHECK(f.Stored().size() == 1);
}

// Guards against an owner that writes a plan after it was suspended for longer than its lease.
TEST_CASE("an owner whose lease expired during a suspension does not write") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  const Slot old = f.Stored().at(0);
  f.a.SetState(old.runner.value(), PlannerRunner::State::kLeaving);
  f.clock.Suspend(Seconds(30));
  f.a.clock.Suspend(Seconds(30));
  CHECK_FALSE(f.a.owner.HoldsLease());
  const StoreVersion before = f.store.Version(kKey);
  f.store.SetDown(true);
  f.a.Tick(0);
  CHECK(f.store.Version(kKey) == before);
}

// Guards against two active slots with a maximum of one, when an owner does not notice that its
// lease expired and another owner plans at the same time.
TEST_CASE("an owner that does not notice its expired lease loses the compare-and-swap") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  const Slot old = f.Stored().at(0);
  // The clock of `a` is stopped, so `a` considers its lease valid; it gets no watch answers either.
  f.deliver_answers = false;
  f.b.SetState(old.runner.value(), PlannerRunner::State::kLeaving);
  f.Run(Millis(18'000), {&f.b});
  REQUIRE(f.store.Holder(kLease) == InstanceId("b"));
  REQUIRE(f.Stored().at(0).state == SlotState::kReleasing);
  CHECK(f.a.owner.HoldsLease());
  f.a.SetState(old.runner.value(), PlannerRunner::State::kMissing);
  f.a.wanted[EntryId("m")] = 1;
  f.a.clock.Advance(Millis(600));
  f.a.owner.OnReleased({ShardId(0), old.entry, old.runner, old.generation});
  f.a.owner.OnTick(0);
  CHECK(f.a.owner.lost_writes() == 1);
  CHECK(f.Stored().size() == 1);
  CHECK(f.Stored().at(0).state == SlotState::kReleasing);
  CHECK(f.invariants.TotalViolations() == 0);
}

TEST_CASE("a slot moves after its release was confirmed, with a higher generation") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  const Slot old = f.Stored().at(0);
  f.a.SetState(old.runner.value(), PlannerRunner::State::kLeaving);
  f.Run(Millis(5000), {&f.a, &f.b});
  REQUIRE(f.Stored().size() == 1);
  const Slot releasing = f.Stored().at(0);
  CHECK(releasing.state == SlotState::kReleasing);
  CHECK(releasing.generation > old.generation);
  // A confirmation from before the agent saw the releasing slot has no effect.
  f.a.owner.OnReleased({ShardId(0), old.entry, old.runner, old.generation});
  f.Run(Millis(2000), {&f.a, &f.b});
  CHECK(f.Stored().at(0) == releasing);
  f.a.owner.OnReleased({ShardId(0), old.entry, old.runner, releasing.generation});
  f.Run(Millis(2000), {&f.a, &f.b});
  REQUIRE(f.Stored().size() == 1);
  CHECK(f.Stored().at(0).runner != old.runner);
  CHECK(f.Stored().at(0).state == SlotState::kActive);
  CHECK(f.Stored().at(0).generation > releasing.generation);
}

// Guards against moving a slot while a restarted agent may have been granted it again.
TEST_CASE("a slot that its agent released on its own becomes releasing before it moves") {
  Fixture f;
  f.Run(Millis(2000), {&f.a, &f.b});
  const Slot old = f.Stored().at(0);
  f.a.owner.OnReleased({ShardId(0), old.entry, old.runner, old.generation});
  f.b.owner.OnReleased({ShardId(0), old.entry, old.runner, old.generation});
  f.Run(Millis(2000), {&f.a, &f.b});
  REQUIRE(f.Stored().size() == 1);
  CHECK(f.Stored().at(0).runner == old.runner);
  CHECK(f.Stored().at(0).state == SlotState::kReleasing);
  CHECK(f.Stored().at(0).generation > old.generation);
}

// Guards against a plan that is lost, or written twice with different slots, after a fault.
TEST_CASE("after a failed write the placement is read and planned again") {
  Fixture f;
  SUBCASE("answer lost") { f.store.LoseAnswers(2); }
  SUBCASE("request lost") { f.store.LoseRequests(2); }
  SUBCASE("refused") { f.store.RefuseWrites(2); }
  SUBCASE("answers delayed") { f.store.SetDelayed(true); }
  SUBCASE("outage") {
    f.store.SetDown(true);
    f.Run(Millis(20'000), {&f.a, &f.b});
    f.store.SetDown(false);
  }
  SUBCASE("another writer wins") {
    f.store.BeforeWrite(kKey, [&] {
      f.store.Put(kKey, FormatSlots({{EntryId("m"), RunnerId("r2"), Generation(1)}}));
    });
  }
  f.Run(Millis(12'000), {&f.a, &f.b});
  REQUIRE(f.Stored().size() == 1);
  CHECK(f.Stored().at(0).state == SlotState::kActive);
  CHECK(f.a.replica.current().slots == f.Stored());
  CHECK(f.invariants.TotalViolations() == 0);
}

// Guards against overloading the store with retries during an outage.
TEST_CASE("calls back off during an outage") {
  Fixture f;
  f.store.SetDown(true);
  f.Run(Millis(60'000), {&f.a});
  CHECK(f.store.Calls("lease") + f.store.Calls("get") + f.store.Calls("watch") < 60);
}

// Guards against two slots for one entry, or a slot that reappears with an old generation, under
// random combinations of pauses, unnoticed pauses, faults and confirmations.
TEST_CASE("random faults never give an entry two slots") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    Fixture f;
    Random random(seed);
    Generation highest;
    Slot last;
    f.store.SetDelayed(random.Below(2) == 0);
    for (int step = 0; step < 60; ++step) {
      for (Owner* each : {&f.a, &f.b}) {
        const std::string runner = "r" + std::to_string(random.Below(3));
        each->SetState(runner, static_cast<PlannerRunner::State>(random.Below(3)));
      }
      if (random.Below(5) == 0) f.store.LoseAnswers(static_cast<int>(random.Below(3)));
      if (random.Below(5) == 0) f.store.LoseRequests(static_cast<int>(random.Below(3)));
      if (random.Below(5) == 0) f.store.SetDown(random.Below(3) == 0);
      std::vector<Owner*> running;
      if (random.Below(3) != 0) running.push_back(&f.a);
      if (random.Below(3) != 0) running.push_back(&f.b);
      f.Run(Millis(50 * random.Below(200)), running);
      const std::vector<Slot> slots = f.Stored();
      REQUIRE(slots.size() <= 1);
      if (slots.empty()) continue;
      CHECK(slots[0].generation >= highest);
      if (slots[0].generation == highest) CHECK(slots[0].runner == last.runner);
      highest = slots[0].generation;
      last = slots[0];
      if (last.state == SlotState::kReleasing && random.Below(2) == 0) {
        const SlotReleased released{ShardId(0), last.entry, last.runner, last.generation};
        f.a.owner.OnReleased(released);
        f.b.owner.OnReleased(released);
      }
    }
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

}  // namespace
}  // namespace shallot
