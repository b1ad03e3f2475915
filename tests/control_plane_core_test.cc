#include "servers/control_plane_core.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "tests/control_plane_fixture.h"

namespace shallot {
namespace {

const char* const kConfig = R"([fleet]
name = f
shards = 4
[defaults]
max_replicas = 2
[models b]
m1 = v1 1000 100
m2 = v1 1000 100
m3 = v1 1000 100
m4 = v1 1000 100
[adapters m1]
a1 = v1 10
a2 = v1 10
)";

// Covers the whole path from a written configuration to the slot grants.
TEST_CASE("a configuration leads to placements and grants") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  for (const auto& router : fleet.routers) router->core->OnRunnerUp(RunnerId("r0"), Incarnation(5));
  fleet.Run(Millis(5000));

  const std::vector<Slot> slots = fleet.StoredSlots(4);
  std::map<EntryId, int> replicas;
  for (const Slot& slot : slots) ++replicas[slot.entry];
  CHECK(replicas.size() == 6);
  for (const auto& [entry, count] : replicas) CHECK(count == 1);

  for (const auto& router : fleet.routers) {
    CHECK(router->revisions == std::vector<ConfigRevision>{ConfigRevision(1)});
    CHECK(router->list.size() == 6);
    std::map<ShardId, SlotGrant> newest;
    for (const SlotGrant& grant : router->SentTo<SlotGrant>("r0")) {
      CHECK(grant.incarnation == Incarnation(5));
      CHECK(grant.version >= newest[grant.shard].version);
      newest[grant.shard] = grant;
    }
    CHECK(newest.size() == 4);
    for (const Slot& slot : slots) {
      if (slot.runner != RunnerId("r0")) continue;
      const bool granted = std::any_of(newest.begin(), newest.end(), [&](const auto& item) {
        const std::vector<Slot>& granted_slots = item.second.slots;
        return std::find(granted_slots.begin(), granted_slots.end(), slot) != granted_slots.end();
      });
      CHECK(granted);
    }
  }
  CHECK(fleet.invariants.TotalViolations() == 0);
  CHECK(fleet.routers[0]->metrics.GetCounter("shallot_store_calls_total{op=\"get\"}").value() > 0);
}

/// Returns the newest grant of each shard that a router sent to a runner.
std::map<ShardId, SlotGrant> NewestGrants(const FakeRouter& router, const std::string& runner) {
  std::map<ShardId, SlotGrant> newest;
  for (const SlotGrant& grant : router.SentTo<SlotGrant>(runner)) newest[grant.shard] = grant;
  return newest;
}

bool AllAtRevision(const ControlFleet& fleet, ConfigRevision revision) {
  return std::all_of(fleet.routers.begin(), fleet.routers.end(), [&](const auto& router) {
    return router->core->config_revision() == revision;
  });
}

// Guards against a watch by every router, which would use up the store's read capacity, and against
// late delivery of a change.
TEST_CASE("two routers per failure domain watch, and all routers apply a change within 5 s") {
  ControlFleet fleet(12, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(3000));
  REQUIRE(AllAtRevision(fleet, ConfigRevision(1)));
  // 3 domains with 2 watchers each, and 4 shards watched by each of the 12 routers.
  CHECK(fleet.store.waiting_watches() == 6 + 48);
  REQUIRE(fleet.Configure(std::string(kConfig) + "[class batch]\nqueue_bound = 7\n") ==
          ConfigRevision(2));
  fleet.Run(Millis(5000));
  CHECK(AllAtRevision(fleet, ConfigRevision(2)));
  CHECK(fleet.invariants.TotalViolations() == 0);
}

// Guards against a router that cannot start, or starts with an old configuration, while the store
// is down.
TEST_CASE("a router that starts during an outage gets the configuration from its peers") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(3000));
  fleet.store.SetDown(true);
  fleet.AddRouter("late", 0);
  fleet.Run(Millis(5000));
  CHECK(fleet.routers.back()->core->config_revision() == ConfigRevision(1));
  SUBCASE("the others keep theirs") { CHECK(AllAtRevision(fleet, ConfigRevision(1))); }
  SUBCASE("without peers there is no configuration") {
    fleet.routers_connected = false;
    fleet.AddRouter("alone", 1);
    fleet.Run(Millis(5000));
    CHECK(fleet.routers.back()->core->config_revision() == ConfigRevision(0));
  }
}

TEST_CASE("an outage moves no slot, and the placement is updated after it") {
  ControlFleet fleet(3, 6);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  const std::vector<Slot> before = fleet.StoredSlots(4);
  fleet.store.SetDown(true);
  fleet.RemoveInstance("agent-" + before.at(0).runner.value());
  fleet.Run(Millis(60'000));
  CHECK(fleet.StoredSlots(4) == before);
  CHECK(AllAtRevision(fleet, ConfigRevision(1)));
  fleet.store.SetDown(false);
  fleet.Run(Millis(20'000));
  for (const Slot& slot : fleet.StoredSlots(4)) CHECK(slot.runner != before.at(0).runner);
  CHECK(fleet.StoredSlots(4).size() == before.size());
  CHECK(fleet.invariants.TotalViolations() == 0);
}

// Guards against one router owning all shards.
TEST_CASE("shards are spread over the routers and taken over when a router dies") {
  ControlFleet fleet(6, 3);
  REQUIRE(fleet.Configure("[fleet]\nname = f\nshards = 24\n") == ConfigRevision(1));
  fleet.Run(Millis(5000));
  std::map<InstanceId, int> owned;
  for (uint64_t shard = 0; shard < 24; ++shard) {
    REQUIRE(fleet.Owner(shard) != nullptr);
    ++owned[fleet.Owner(shard)->id];
  }
  CHECK(owned.size() >= 4);
  FakeRouter* dead = fleet.Owner(0);
  dead->running = false;
  fleet.RemoveInstance(dead->id.value());
  fleet.Run(Millis(15'000));
  for (uint64_t shard = 0; shard < 24; ++shard) {
    REQUIRE(fleet.Owner(shard) != nullptr);
    CHECK(fleet.Owner(shard) != dead);
  }
}

TEST_CASE("a draining router releases its leases at once") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  FakeRouter* owner = fleet.Owner(0);
  REQUIRE(owner != nullptr);
  for (InstanceRecord& record : fleet.list.records) {
    if (record.id == owner->id) record.leaving = true;
  }
  owner->core->BeginDrain();
  fleet.Run(Millis(4000));
  REQUIRE(fleet.Owner(0) != nullptr);
  CHECK(fleet.Owner(0) != owner);
}

// Guards against dropping the slots of a runner that is missing from a single outdated list.
TEST_CASE("a runner is gone only after two lists without it") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  const std::vector<Slot> before = fleet.StoredSlots(4);
  const std::vector<InstanceRecord> full = fleet.list.records;
  const RunnerId gone = before.at(0).runner;
  fleet.RemoveInstance("agent-" + gone.value());
  const auto kept = [&] {
    const std::vector<Slot> now = fleet.StoredSlots(4);
    return std::all_of(before.begin(), before.end(), [&](const Slot& slot) {
      return std::find(now.begin(), now.end(), slot) != now.end();
    });
  };
  SUBCASE("missing once") {
    fleet.Run(Millis(1000));
    fleet.list.records = full;
    fleet.Run(Millis(10'000));
    CHECK(kept());
  }
  SUBCASE("missing permanently") {
    fleet.Run(Millis(10'000));
    for (const Slot& slot : fleet.StoredSlots(4)) CHECK(slot.runner != gone);
  }
  SUBCASE("a list without the routers does not count") {
    fleet.list.records.clear();
    fleet.Run(Millis(10'000));
    CHECK(kept());
  }
  SUBCASE("an unavailable list does not count") {
    fleet.list.down = true;
    fleet.Run(Millis(10'000));
    CHECK(kept());
  }
  CHECK(fleet.invariants.TotalViolations() == 0);
}

// Guards against a grant from a placement that was read before a runner restarted: it could contain
// a slot that the runner's previous incarnation released.
TEST_CASE("a restarted runner gets no grant from an older read") {
  ControlFleet fleet(1, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  FakeRouter& router = *fleet.routers[0];
  router.core->OnRunnerUp(RunnerId("r0"), Incarnation(1));
  fleet.Run(Millis(1000));
  REQUIRE(NewestGrants(router, "r0").size() == 4);

  // A read starts, then the runner restarts, then the answer to that read arrives.
  fleet.store.SetDelayed(true);
  router.core->OnRunnerUp(RunnerId("r0"), Incarnation(1));
  router.core->OnTick();
  router.to_runners.clear();
  router.core->OnRunnerDown(RunnerId("r0"));
  router.core->OnRunnerUp(RunnerId("r0"), Incarnation(2));
  while (fleet.store.undelivered() > 0) fleet.store.DeliverOne();
  fleet.store.SetDown(true);
  router.core->OnTick();
  CHECK(router.SentTo<SlotGrant>("r0").empty());
  fleet.Run(Millis(5000));
  CHECK(router.SentTo<SlotGrant>("r0").empty());
  fleet.store.SetDown(false);
  fleet.Run(Millis(10'000));
  const std::map<ShardId, SlotGrant> grants = NewestGrants(router, "r0");
  CHECK(grants.size() == 4);
  for (const auto& [shard, grant] : grants) CHECK(grant.incarnation == Incarnation(2));
}

// Guards against a released slot that never moves because its confirmation was sent to a router
// that does not own the shard.
TEST_CASE("a confirmation reaches the owner through another router") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  const EntryId entry("m2");
  const ShardId shard = ShardOf(entry, 4);
  const auto find = [&] {
    for (const Slot& slot : fleet.StoredSlots(4)) {
      if (slot.entry == entry) return slot;
    }
    return Slot{};
  };
  const Slot old = find();
  FakeRouter* owner = fleet.Owner(shard.value());
  FakeRouter* other =
      fleet.routers[0].get() == owner ? fleet.routers[1].get() : fleet.routers[0].get();
  SUBCASE("the runner is leaving") {
    for (InstanceRecord& record : fleet.list.records) {
      if (record.runner == old.runner) record.leaving = true;
    }
    fleet.Run(Millis(3000));
  }
  SUBCASE("the runner drains but is not yet listed as leaving") {}
  other->core->OnRunnerMessage(old.runner, SlotReleased{shard, entry, old.runner, old.generation});
  fleet.Run(Millis(5000));
  CHECK(find().runner != old.runner);
  CHECK(find().state == SlotState::kActive);
  CHECK(find().generation > old.generation);
}

// Guards against agents that get no permits although a router holds the budget.
TEST_CASE("permit requests reach the budget holder, and permits reach the runner") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  REQUIRE_FALSE(fleet.store.Holder("budget/weights").empty());
  uint64_t id = 0;
  for (const auto& router : fleet.routers) {
    LoadPermitRequest request;
    request.permit_id = ++id;
    request.runner = RunnerId("r1");
    request.entry = EntryId("m1");
    request.remaining = Millis(30'000);
    for (int tries = 0; tries < 3; ++tries) {
      router->core->OnRunnerMessage(RunnerId("r1"), request);
      fleet.Run(Millis(1000));
    }
    const std::vector<LoadPermit> permits = router->SentTo<LoadPermit>("r1");
    REQUIRE_FALSE(permits.empty());
    CHECK(permits[0].permit_id == id);
    CHECK(permits[0].valid_for > Millis(0));
  }
}

TEST_CASE("the number of replicas rises with demand and falls without it") {
  ControlFleet fleet(1, 6);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  const auto replicas = [&] {
    int count = 0;
    for (const Slot& slot : fleet.StoredSlots(4)) {
      count += slot.entry == EntryId("m3") && slot.state == SlotState::kActive ? 1 : 0;
    }
    return count;
  };
  REQUIRE(replicas() == 1);
  for (int i = 0; i < 600; ++i) {
    fleet.routers[0]->core->OnDemand(EntryId("m3"), true);
    fleet.Run(Millis(50));
  }
  CHECK(replicas() == 2);
  fleet.Run(Millis(20'000));
  CHECK(replicas() == 2);
  fleet.Run(Millis(300'000));
  CHECK(replicas() == 1);
}

// Guards against too few replicas of a base model whose many adapters have a few calls each.
TEST_CASE("a base model gets replicas for the calls of all its adapters") {
  ControlFleet fleet(1, 6);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  // 4 half-lives of the rate. Each adapter gets 2 calls/s; one replica serves 2.8 calls/s.
  for (int i = 0; i < 2400; ++i) {
    if (i % 10 == 0) fleet.routers[0]->core->OnDemand(EntryId("a1"), false);
    if (i % 10 == 5) fleet.routers[0]->core->OnDemand(EntryId("a2"), false);
    fleet.Run(Millis(50));
  }
  std::map<EntryId, int> replicas;
  for (const Slot& slot : fleet.StoredSlots(4)) ++replicas[slot.entry];
  CHECK(replicas[EntryId("m1")] == 2);
  CHECK(replicas[EntryId("a1")] == 1);
  CHECK(replicas[EntryId("m2")] == 1);
}

// Guards against routers that overload the store in normal operation or during an outage.
TEST_CASE("the number of store calls is limited") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
  fleet.Run(Millis(5000));
  const auto calls = [&] {
    int total = 0;
    for (const char* kind : {"get", "cas", "watch", "lease", "release"}) {
      total += fleet.store.Calls(kind);
    }
    return total;
  };
  // In one minute: 5 watches by each of 3 routers every 20 s; for each of 5 leases 20 renewals, 6
  // attempts by the second candidate and 3 by the third; and a few reads.
  int before = calls();
  fleet.Run(Millis(60'000));
  CHECK(calls() - before <= 3 * 5 * 3 + 5 * (20 + 6 + 3) + 10);
  fleet.store.SetDown(true);
  before = calls();
  fleet.Run(Millis(60'000));
  // 5 leases, 5 watches and a read for each router, each backing off to about 4 s.
  CHECK(calls() - before < 3 * 11 * 30);
}

// Guards against a router that retries without a delay while the snapshot is missing, and against
// one that cannot apply a configuration from its snapshot.
TEST_CASE("a configuration is applied from its snapshot") {
  ControlFleet fleet(1, 0);
  const ConfigHead head{ConfigRevision(5), ConfigRevision(5), ConfigRevision(0), {}};
  fleet.store.Put("config/head", FormatConfigHead(head));
  fleet.Run(Millis(30'000));
  CHECK(fleet.routers[0]->core->config_revision() == ConfigRevision(0));
  CHECK(fleet.store.Calls("get") < 60);
  fleet.store.Put("config/snapshot/5", kConfig);
  fleet.Run(Millis(15'000));
  CHECK(fleet.routers[0]->core->config_revision() == ConfigRevision(5));
}

// Guards against slots beyond the maximum, reverted configurations and stuck shards under random
// combinations of paused routers, lost answers, outages and runners that are added and removed.
TEST_CASE("random faults violate no invariant and end in a complete placement") {
  for (uint64_t seed = 1; seed <= 25; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ControlFleet fleet(4, 6);
    const std::vector<InstanceRecord> full = fleet.list.records;
    REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
    fleet.store.SetDelayed(random.Below(2) == 0);
    for (int step = 0; step < 30; ++step) {
      FakeRouter& router = *fleet.routers[random.Below(4)];
      router.running = random.Below(3) != 0;
      fleet.routers_connected = random.Below(4) != 0;
      fleet.list.down = random.Below(5) == 0;
      if (random.Below(4) == 0) fleet.store.LoseAnswers(static_cast<int>(random.Below(4)));
      if (random.Below(4) == 0) fleet.store.LoseRequests(static_cast<int>(random.Below(4)));
      if (random.Below(3) == 0) fleet.store.SetDown(random.Below(3) == 0);
      fleet.list.records = full;
      if (random.Below(2) == 0) fleet.RemoveInstance("agent-r" + std::to_string(random.Below(6)));
      if (random.Below(5) == 0) fleet.clock.Suspend(Seconds(random.Below(20)));
      fleet.Run(Millis(50 * random.Below(150)));
      for (const Slot& slot : fleet.StoredSlots(4)) {
        if (slot.state != SlotState::kReleasing || random.Below(3) != 0) continue;
        router.core->OnRunnerMessage(
            slot.runner,
            SlotReleased{
                ShardOf(EntryId(slot.entry.value()[0] == 'a' ? "m1" : slot.entry.value()), 4),
                slot.entry, slot.runner, slot.generation});
      }
      std::map<EntryId, int> replicas;
      for (const Slot& slot : fleet.StoredSlots(4)) CHECK(++replicas[slot.entry] <= 2);
    }
    fleet.store.SetDown(false);
    fleet.store.LoseAnswers(0);
    fleet.store.LoseRequests(0);
    fleet.list.records = full;
    fleet.list.down = false;
    fleet.routers_connected = true;
    for (const auto& router : fleet.routers) router->running = true;
    fleet.Run(Millis(60'000));
    CHECK(AllAtRevision(fleet, ConfigRevision(1)));
    std::set<EntryId> active;
    for (const Slot& slot : fleet.StoredSlots(4)) {
      if (slot.state == SlotState::kActive) active.insert(slot.entry);
    }
    CHECK(active.size() == 6);
    CHECK(fleet.invariants.TotalViolations() == 0);
  }
}

}  // namespace
}  // namespace shallot
