#include "servers/gateway/limit_allocation.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

struct LimitedRunner {
  const char* id;
  double calls_per_s;
  std::vector<LimitAllocation::HeldModel> models;
};

// Guards against models that each get fewer calls than their runner takes, but not together, and
// against models that count as short of replicas although another runner has room for them.
TEST_CASE("gateway: the models of limited runners share their limits") {
  struct Case {
    const char* name;
    std::vector<LimitedRunner> runners;
    double expected_excess;
    bool expected_sufficient;
  };
  const ModelName busy("busy");
  for (const Case& test : std::vector<Case>{
           {"no limited runner holds it", {{"r1", 1, {{ModelName("rare"), 3}}}}, 0, true},
           {"below the limit", {{"r1", 2, {{busy, 1.5}}}}, 0, true},
           {"above the limit", {{"r1", 2, {{busy, 3}}}}, 1, false},
           {"above the limit with the other model",
            {{"r1", 2, {{busy, 1.5}, {ModelName("other"), 1.5}}}},
            0.5,
            false},
           {"two runners together", {{"r1", 2, {{busy, 3}}}, {"r2", 1, {{busy, 3}}}}, 0, true},
           {"a little above", {{"r1", 2, {{busy, 2.2}}}}, 0.2, true},
           {"held elsewhere", {{"r1", 2, {{busy, 9, true}}}}, 0, true},
           {"the other model is held elsewhere",
            {{"r1", 2, {{busy, 1.5}, {ModelName("other"), 9, true}}}},
            0,
            true}}) {
    CAPTURE(std::string(test.name));
    LimitAllocation limits;
    for (const LimitedRunner& runner : test.runners) {
      limits.Add(RunnerId(runner.id), runner.calls_per_s, runner.models);
    }
    CHECK(limits.Excess(busy) == doctest::Approx(test.expected_excess));
    CHECK(limits.Sufficient(busy) == test.expected_sufficient);
  }
}

// Guards against loads on limited runners that cannot serve them, and against limited runners that
// count as replicas beside one without a limit.
TEST_CASE("gateway: limited runners take models that they have room for") {
  LimitAllocation limits;
  limits.Add(RunnerId("r1"), 2, {{ModelName("a"), 1.5}, {ModelName("b"), 9, true}});
  CHECK(limits.HasRoom(RunnerId("r1"), 0.4));
  CHECK_FALSE(limits.HasRoom(RunnerId("r1"), 0.6));
  CHECK(limits.HasRoom(RunnerId("not limited"), 100));
  CHECK(limits.Serves(RunnerId("r1"), ModelName("a")));
  CHECK_FALSE(limits.Serves(RunnerId("r1"), ModelName("b")));
  CHECK(limits.Serves(RunnerId("not limited"), ModelName("b")));
}

}  // namespace
}  // namespace shallot::gateway
