#include "servers/retry_budget.h"

#include <doctest/doctest.h>

namespace shallot {
namespace {

int TakeAll(RetryBudget* budget) {
  int taken = 0;
  while (budget->TryRetry()) ++taken;
  return taken;
}

// Guards against retries that multiply the load of an overloaded fleet.
TEST_CASE("retries are limited to a share of the calls") {
  struct Case {
    double ratio;
    int calls;
    int expected;
  };
  for (const Case& c : {Case{0.1, 0, 0}, Case{0.1, 5, 0}, Case{0.1, 55, 5}, Case{0.5, 10, 5},
                        Case{0.1, 10'000, 10}, Case{0.0, 1'000, 0}}) {
    CAPTURE(c.ratio);
    CAPTURE(c.calls);
    RetryBudget budget(c.ratio);
    CHECK(TakeAll(&budget) == 10);
    for (int i = 0; i < c.calls; ++i) budget.OnCall();
    CHECK(TakeAll(&budget) == c.expected);
  }
}

// Guards against calls that wait for a token forever on a router without new calls.
TEST_CASE("tokens are refilled over time up to the limit") {
  RetryBudget budget(0.1);
  ManualClock clock;
  budget.Refill(clock.SteadyNow());
  TakeAll(&budget);
  clock.Advance(Seconds(2));
  budget.Refill(clock.SteadyNow());
  CHECK(TakeAll(&budget) == 4);
  clock.Advance(Seconds(100));
  budget.Refill(clock.SteadyNow());
  CHECK(TakeAll(&budget) == 10);
}

}  // namespace
}  // namespace shallot
