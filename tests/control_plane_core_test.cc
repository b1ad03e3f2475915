#include "servers/control_plane_core.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/control_plane_fixture.h"

namespace shallot {
namespace {

const char* const kText = R"([fleet]
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

// Guards against a break anywhere on the way from a written configuration to a grant.
TEST_CASE("a configuration leads to placements and grants") {
  ControlFleet fleet(3, 3);
  REQUIRE(fleet.Configure(kText) == ConfigRevision(1));
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

}  // namespace
}  // namespace shallot
