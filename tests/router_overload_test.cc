#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/router_sim.h"

namespace shallot {
namespace {

/// Poisson arrivals of the calls of one call class.
struct Arrivals {
  double calls_per_second;
  Millis deadline;
  const char* call_class;
};

/// Numbers of calls of one call class: sent, and by outcome.
struct LoadResult {
  size_t sent = 0;
  size_t in_time = 0;
  size_t not_run = 0;
  size_t other = 0;
};

/// Simulates Poisson arrivals of several call classes for 60 s on two agents with a total capacity
/// of 80 calls/s.
std::vector<LoadResult> SimulateLoads(const std::vector<Arrivals>& loads, uint64_t seed,
                                      int routers = 1) {
  RouterSim sim({.agents = 2,
                 .concurrency = 4,
                 .service = Millis(100),
                 .exponential = true,
                 .seed = seed,
                 .routers = routers},
                {});
  sim.Run(Millis(1'000));
  Random random(seed + 7);
  std::vector<std::vector<std::shared_ptr<FakeSink>>> sinks(loads.size());
  std::vector<double> next(loads.size(), 0.0);
  for (int step = 0; step < 6'000; ++step) {
    const double time = step / 100.0;
    for (size_t i = 0; i < loads.size(); ++i) {
      while (next[i] <= time) {
        CallerRequest request = RouterFixture::ModelRequest(false, loads[i].deadline);
        request.call_class = loads[i].call_class;
        RouterFixture& router = sim.router(random.Below(static_cast<uint64_t>(routers)));
        sinks[i].push_back(router.Submit(request));
        next[i] += random.Exponential(1.0 / loads[i].calls_per_second);
      }
    }
    sim.Step();
  }
  sim.Run(Millis(60'000));
  std::vector<LoadResult> results(loads.size());
  for (size_t i = 0; i < loads.size(); ++i) {
    results[i].sent = sinks[i].size();
    for (const auto& sink : sinks[i]) {
      REQUIRE(sink->ends == 1);
      if (sink->end.kind == OutcomeKind::kCompleted) {
        ++results[i].in_time;
      } else if (sink->end.kind == OutcomeKind::kNotRun) {
        ++results[i].not_run;
        CHECK(sink->end.retry_after >= Millis(0));
      } else {
        ++results[i].other;
      }
    }
  }
  return results;
}

// Guards against goodput collapse under overload, when calls that have waited too long take
// capacity from those that could still be answered. The target is 95% of the peak at twice the
// capacity. With several routers, each knows the calls of the others only from the agents'
// periodic heartbeats, so its view of the load lags.
TEST_CASE("goodput at twice the capacity stays at 95% of the peak") {
  for (const auto& [routers, seed] :
       std::vector<std::pair<int, uint64_t>>{{1, 1}, {1, 2}, {1, 3}, {4, 1}, {4, 2}, {4, 3}}) {
    size_t peak = 0;
    for (const double load_factor : {0.8, 1.0, 1.25, 1.5}) {
      const auto result =
          SimulateLoads({{80 * load_factor, Millis(1'000), "interactive"}}, seed, routers);
      peak = std::max(peak, result[0].in_time);
    }
    const auto overload = SimulateLoads({{160, Millis(1'000), "interactive"}}, seed, routers)[0];
    CAPTURE(routers);
    CAPTURE(seed);
    CAPTURE(peak);
    CAPTURE(overload.in_time);
    CHECK(static_cast<double>(overload.in_time) >= 0.95 * static_cast<double>(peak));
  }
}

// Guards against premium calls that are refused or not answered in time because calls of a lower
// call class fill the fleet.
TEST_CASE("premium calls are not refused because of lower classes") {
  for (const auto& [routers, seed] :
       std::vector<std::pair<int, uint64_t>>{{1, 1}, {1, 2}, {4, 1}, {4, 2}}) {
    const auto results =
        SimulateLoads({{20, Millis(5'000), "premium"}, {160, Millis(1'000), "interactive"}}, seed);
    CAPTURE(routers);
    CAPTURE(seed);
    CHECK(results[0].not_run == 0);
    CHECK(results[0].in_time == results[0].sent);
  }
}

}  // namespace
}  // namespace shallot
