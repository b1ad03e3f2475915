#include "servers/load_budget.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/random.h"

namespace shallot {
namespace {

struct Fixture {
  Fixture() { clock.Advance(Seconds(10)); }

  void Request(uint64_t id, int seconds_left, LoadKind kind = LoadKind::kModel) {
    budget.Request(
        {id, RunnerId("r"), EntryId("e"), kind, Millis(1000 * seconds_left), incarnation, {}},
        InstanceId("router"));
  }
  std::vector<uint64_t> TakeIds() {
    std::vector<uint64_t> ids;
    for (const BudgetGrant& grant : budget.GrantPermits()) ids.push_back(grant.permit.permit_id);
    return ids;
  }

  ManualClock clock;
  LoadBudget budget{&clock};
  Incarnation incarnation{1};
};

// Guards against more loads than the weight store serves at full speed.
TEST_CASE("model loads are limited by rate and number in flight, in order of deadline") {
  Fixture f;
  f.clock.Advance(Seconds(10));
  for (uint64_t id = 1; id <= 8; ++id) f.Request(id, 100 - static_cast<int>(id));
  CHECK(f.TakeIds() == std::vector<uint64_t>{8, 7});
  CHECK(f.TakeIds().empty());
  f.clock.Advance(Millis(500));
  CHECK(f.TakeIds() == std::vector<uint64_t>{6});
  f.clock.Advance(Millis(2000));
  CHECK(f.TakeIds() == std::vector<uint64_t>{5});
  CHECK(f.budget.models_in_flight() == 4);
  f.budget.Return(RunnerId("r"), 8);
  CHECK(f.TakeIds() == std::vector<uint64_t>{4});
}

TEST_CASE("adapter loads are limited by number in flight only") {
  Fixture f;
  for (uint64_t id = 1; id <= 40; ++id) f.Request(id, 50, LoadKind::kAdapter);
  CHECK(f.TakeIds().size() == 32);
  f.Request(100, 50);
  CHECK(f.TakeIds() == std::vector<uint64_t>{100});
  f.budget.Return(RunnerId("r"), 1);
  CHECK(f.TakeIds() == std::vector<uint64_t>{33});
}

// Guards against permits of dead agents that block the budget permanently.
TEST_CASE("permits expire") {
  Fixture f;
  f.clock.Advance(Seconds(10));
  for (uint64_t id = 1; id <= 4; ++id) f.Request(id, 100);
  for (int i = 0; i < 10; ++i) {
    f.TakeIds();
    f.clock.Advance(Seconds(1));
  }
  f.Request(9, 100);
  CHECK(f.TakeIds().empty());
  f.clock.Advance(LoadBudget::kModelPermitLifetime);
  CHECK(f.TakeIds() == std::vector<uint64_t>{9});
}

TEST_CASE("a repeated request gets its permit again and is counted once") {
  Fixture f;
  f.Request(1, 100);
  REQUIRE(f.TakeIds() == std::vector<uint64_t>{1});
  f.clock.Advance(Seconds(10));
  f.Request(1, 90);
  const std::vector<BudgetGrant> again = f.budget.GrantPermits();
  REQUIRE(again.size() == 1);
  CHECK(again[0].permit.valid_for == LoadBudget::kModelPermitLifetime - Seconds(10));
  CHECK(f.budget.models_in_flight() == 1);
}

TEST_CASE("a request whose deadline passed is dropped") {
  Fixture f;
  f.Request(1, 1);
  f.clock.Advance(Seconds(1));
  CHECK(f.TakeIds().empty());
  CHECK(f.budget.waiting() == 0);
}

// Guards against counters that diverge from the granted permits, so that the budget blocks all
// loads or limits none.
TEST_CASE("random requests, returns and expiries stay within the limits") {
  Fixture f;
  Random random(11);
  for (int step = 0; step < 5000; ++step) {
    const auto kind = random.Below(2) == 0 ? LoadKind::kModel : LoadKind::kAdapter;
    if (random.Below(2) == 0) {
      f.Request(random.Below(200), static_cast<int>(random.Below(60)), kind);
    } else {
      f.budget.Return(RunnerId("r"), random.Below(200));
    }
    f.TakeIds();
    CHECK(f.budget.models_in_flight() <= 4);
    CHECK(f.budget.adapters_in_flight() <= 32);
    f.clock.Advance(Millis(random.Below(400)));
  }
  f.clock.Advance(Seconds(100));
  f.TakeIds();
  CHECK(f.budget.models_in_flight() == 0);
  CHECK(f.budget.adapters_in_flight() == 0);
}

// Guards against a budget that stays full until the permits of a dead agent expire.
TEST_CASE("permits of a dead agent are revoked") {
  Fixture f;
  f.clock.Advance(Seconds(10));
  f.Request(1, 100);
  f.Request(2, 100);
  REQUIRE(f.TakeIds().size() == 2);
  REQUIRE(f.budget.models_in_flight() == 2);
  SUBCASE("its successor requests a permit") {
    f.incarnation = Incarnation(2);
    f.Request(1, 100);
    CHECK(f.budget.models_in_flight() == 0);
    CHECK(f.budget.waiting() == 1);
  }
  SUBCASE("its returns were lost and it requests another permit") {
    LoadPermitRequest request;
    request.permit_id = 3;
    request.runner = RunnerId("r");
    request.remaining = Millis(100);
    request.incarnation = f.incarnation;
    request.open_permits = {2, 3};
    f.budget.Request(request, InstanceId());
    CHECK(f.budget.models_in_flight() == 1);
  }
  SUBCASE("its successor connects without a request") {
    f.budget.RevokeOtherIncarnations(RunnerId("r"), Incarnation(2));
    CHECK(f.budget.models_in_flight() == 0);
  }
  SUBCASE("the same incarnation reconnects") {
    f.budget.RevokeOtherIncarnations(RunnerId("r"), f.incarnation);
    CHECK(f.budget.models_in_flight() == 2);
  }
  SUBCASE("its runner is gone") {
    f.budget.RevokeRunners([](const RunnerId& runner) { return runner == RunnerId("r"); });
    CHECK(f.budget.models_in_flight() == 0);
  }
  SUBCASE("the same incarnation requests another permit") {
    f.Request(3, 100);
    CHECK(f.budget.models_in_flight() == 2);
  }
}

}  // namespace
}  // namespace shallot
