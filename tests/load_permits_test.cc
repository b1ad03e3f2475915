#include <doctest/doctest.h>

#include <string>

#include "tests/control_plane_fixture.h"

namespace shallot {
namespace {

const char* const kConfig = R"([fleet]
name = f
shards = 1
[defaults]
weight_loads_per_second = 100
weight_loads_in_flight = 1
[models b]
m1 = v1 1000 100
)";

LoadPermitRequest Request(uint64_t id) {
  return {id, RunnerId("r0"), EntryId("m1"), LoadKind::kModel, Millis(60'000), {}, {id}};
}

size_t PermitsFor(const ControlFleet& fleet, uint64_t id) {
  size_t count = 0;
  for (const auto& router : fleet.routers) {
    for (const LoadPermit& permit : router->SentTo<LoadPermit>("r0")) {
      if (permit.permit_id == id) ++count;
    }
  }
  return count;
}

// Guards against permits that stay in use until they expire because the agent returned them
// through a router that did not know the budget's holder: a burst of cold calls then waited for
// 10 s and longer.
TEST_CASE("a permit can be returned through any router") {
  for (size_t return_router = 0; return_router < 3; ++return_router) {
    CAPTURE(return_router);
    ControlFleet fleet(3, 1);
    REQUIRE(fleet.Configure(kConfig) == ConfigRevision(1));
    fleet.Run(Millis(10'000));
    for (uint64_t id = 1; id <= 3; ++id) {
      CAPTURE(id);
      // Repeats the request every second until the permit arrives, as agents do.
      FakeRouter* asked = fleet.routers[(return_router + 1) % 3].get();
      for (int i = 0; i < 5 && PermitsFor(fleet, id) == 0; ++i) {
        asked->core->OnRunnerMessage(RunnerId("r0"), Request(id));
        fleet.Run(Millis(1000));
      }
      REQUIRE(PermitsFor(fleet, id) >= 1);
      fleet.routers[return_router]->core->OnRunnerMessage(
          RunnerId("r0"), LoadPermitReturn{id, RunnerId("r0"), Incarnation()});
      fleet.Run(Millis(100));
    }
  }
}

}  // namespace
}  // namespace shallot
