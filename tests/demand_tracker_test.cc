#include "servers/demand_tracker.h"

#include <doctest/doctest.h>

namespace shallot {
namespace {

const EntryId kEntry{"m"};

struct Fixture {
  /// Records evenly spaced calls for `time`.
  void Calls(double per_second, Seconds time) {
    const auto gap =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / per_second));
    const SteadyTime end = now + time;
    for (; now < end; now += gap) demand.OnCall(kEntry, now);
  }
  /// Wanted replicas when each serves 3 calls per second.
  uint64_t Wanted(double scale = 1) {
    const auto wanted = demand.Wanted(now, scale, 3);
    return wanted.contains(kEntry) ? wanted.at(kEntry) : 0;
  }
  /// Wanted replicas after `time` without calls, computed as often as in the control plane.
  uint64_t WantedAfter(Seconds time) {
    uint64_t wanted = 0;
    for (const SteadyTime end = now + time; now < end; now += Millis(500)) wanted = Wanted();
    return wanted;
  }

  DemandTracker demand;
  SteadyTime now{Seconds(1000)};
};

TEST_CASE("the rate converges to that of evenly spaced calls") {
  Fixture f;
  f.Calls(10, Seconds(300));
  CHECK(f.demand.Rate(kEntry, f.now) == doctest::Approx(10).epsilon(0.05));
}

TEST_CASE("replicas rise at once, also for the calls of other routers") {
  Fixture f;
  f.Calls(5, Seconds(300));
  CHECK(f.Wanted() == 2);
  CHECK(f.Wanted(3) == 5);
}

// Guards against replicas that are removed and added again with every pause between calls.
TEST_CASE("replicas fall only after a minute at the lower number") {
  Fixture f;
  f.Calls(8, Seconds(300));
  REQUIRE(f.Wanted() == 3);
  // The rate halves within 30 s; a minute later fewer replicas are wanted.
  CHECK(f.WantedAfter(Seconds(40)) == 3);
  CHECK(f.WantedAfter(Seconds(60)) < 3);
}

TEST_CASE("an entry without calls is forgotten") {
  Fixture f;
  f.demand.OnCall(kEntry, f.now);
  CHECK(f.Wanted() == 1);
  CHECK(f.WantedAfter(Seconds(600)) == 0);
  CHECK(f.demand.Rate(kEntry, f.now) == 0);
}

}  // namespace
}  // namespace shallot
