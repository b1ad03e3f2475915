#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "servers/placement_planner.h"

namespace shallot {
namespace {

FleetConfig OneModelWithAdapters() {
  const Result<FleetConfig> config = ParseFleetConfig(
      "[fleet]\nname = f\nshards = 1\n[models b]\nm = v1 30000 2000\n[adapters m]\n"
      "a1 = v1 100\na2 = v1 100\n",
      "t", ConfigRevision(1));
  if (!IsOk(config)) FAIL(FormatError(ErrorOf(config)));
  return ValueOf(config);
}

PlannerRunner Runner(const std::string& name) {
  PlannerRunner runner;
  runner.id = RunnerId(name);
  runner.backend = BackendName("b");
  runner.failure_domain = FailureDomain("d");
  runner.memory_capacity = Bytes(80ULL << 30U);
  return runner;
}

/// A model and its adapters on a runner whose memory is mostly used by other shards, and an empty
/// runner.
PlannerInput CrowdedInput(const FleetConfig& config) {
  PlannerInput input;
  input.config = &config;
  input.runners = {Runner("crowded"), Runner("empty")};
  input.other_shard_bytes[RunnerId("crowded")] = 70ULL << 30U;
  for (const char* entry : {"m", "a1", "a2"}) {
    input.slots.push_back({EntryId(entry), RunnerId("crowded"), Generation(1)});
  }
  input.min_new_generation = Generation(2);
  return input;
}

bool AnyReleasing(const std::vector<Slot>& slots) {
  return std::any_of(slots.begin(), slots.end(),
                     [](const Slot& slot) { return slot.state == SlotState::kReleasing; });
}

}  // namespace

// Guards against an adapter that stays active on a runner that releases its base model: the agent
// refused its calls as not granted until the next plan.
TEST_CASE("a model that moves for balance and its adapters are released in the same plan") {
  const FleetConfig config = OneModelWithAdapters();
  PlannerInput input = CrowdedInput(config);
  input.slots = PlanPlacement(input);
  REQUIRE(AnyReleasing(input.slots));
  for (const Slot& slot : input.slots) {
    CAPTURE(slot.entry.value());
    CHECK(slot.state == SlotState::kReleasing);
  }
}

// Guards against moving the only replica of a model while its adapters receive calls.
TEST_CASE("a model whose adapters are in demand does not move for balance") {
  const FleetConfig config = OneModelWithAdapters();
  PlannerInput input = CrowdedInput(config);
  input.wanted[EntryId("a2")] = 1;
  CHECK_FALSE(AnyReleasing(PlanPlacement(input)));
}

}  // namespace shallot
