#include <doctest/doctest.h>

#include <algorithm>

#include "core/random.h"
#include "tests/gateway_placement_fixture.h"

namespace shallot::gateway {
namespace {

TotalDemand Waiting(uint64_t calls) {
  TotalDemand demand;
  demand.waiting = calls;
  demand.least_time_left = Millis(4'000);
  demand.calls_per_s = 0.2;
  demand.since_last_call = Millis(0);
  return demand;
}

// Guards against loading a cold model once for each gateway that requests it: a burst of calls must
// load it once.
TEST_CASE("gateway: calls that wait for the same model load it once") {
  PlacementFixture fleet(6);
  fleet.AddRunner("a", {0, 1}, {0, 1, 4});
  fleet.AddRunner("b", {2, 3}, {2, 3, 4});
  fleet.Demand(4) = Waiting(300);
  for (const int model : {0, 1, 2, 3}) fleet.Demand(model).since_last_call = Millis(30'000);
  fleet.Run(Millis(1'500));
  CHECK(fleet.Held(4));
  CHECK(fleet.Count(OrderKind::kLoad, 4) == 1);
}

// Guards against a load from the weight store (6 s) while a runner has a copy on its disk (0.8 s).
TEST_CASE("gateway: a runner with a local copy is preferred") {
  PlacementFixture fleet(6);
  fleet.AddRunner("a", {0}, {0});
  fleet.AddRunner("b", {1, 2}, {1, 2, 5});
  fleet.Demand(5) = Waiting(1);
  fleet.Run(Millis(100));
  const auto load =
      std::find_if(fleet.history().begin(), fleet.history().end(), [](const PlannedOrder& planned) {
        return planned.order.kind == OrderKind::kLoad &&
               planned.order.model == PlacementFixture::Model(5);
      });
  REQUIRE(load != fleet.history().end());
  CHECK(load->order.runner == RunnerId("b"));
  CHECK(load->order.tier == LoadTier::kDisk);
}

// Guards against unloading a model with running calls: the runner would reject new calls for it and
// take no other order until the last one ends, which caused 123 refusals in one run.
TEST_CASE("gateway: a model with running calls is the last victim") {
  PlacementFixture fleet(6);
  fleet.AddRunner("a", {0, 1}, {0, 1, 4});
  TotalDemand& busy = fleet.Demand(0);
  busy.in_flight = 20;
  busy.in_flight_at[RunnerId("a")] = 20;
  busy.calls_per_s = 0.1;
  busy.since_last_call = Millis(5'000);
  TotalDemand& recent = fleet.Demand(1);
  recent.calls_per_s = 1;
  recent.since_last_call = Millis(100);
  fleet.Demand(4) = Waiting(1);
  fleet.Run(Millis(1'500));
  CHECK(fleet.Count(OrderKind::kUnload, 0) == 0);
  CHECK(fleet.Count(OrderKind::kUnload, 1) == 1);
  CHECK(fleet.Held(4));
}

// Guards against losing a busy model with its only runner, and against a replica that displaces the
// last copy of a model in use.
TEST_CASE("gateway: a busy model gets a second replica in place of an unused model") {
  PlacementFixture fleet(6);
  fleet.AddRunner("a", {0, 1}, {0, 1});
  fleet.AddRunner("b", {2, 3}, {0, 2, 3});
  for (const int model : {1, 2, 3}) {
    fleet.Demand(model).since_last_call = Millis(model == 2 ? 100 : 30'000);
  }
  fleet.Demand(0).calls_per_s = fleet.policy().hot_calls_per_s;
  fleet.Demand(0).since_last_call = Millis(0);
  fleet.Run(Millis(1'500));
  CHECK(fleet.Count(OrderKind::kLoad, 0) == 1);
  CHECK(fleet.Count(OrderKind::kUnload, 2) == 0);
  CHECK(fleet.Count(OrderKind::kUnload, 3) == 1);
}

struct OverloadCase {
  const char* name;
  /// Calls in flight at the only replica of the busy model.
  uint64_t in_flight;
  /// Calls per second for each of the other models, which all are in use.
  double others_per_s;
  bool expected_replica;
};

// Replays the load of a model that gets a third of all calls after its other replicas were lost
// with their runners. Every other model has been called a moment ago, so without displacing one of
// them the only replica was overloaded for 24 s and half of its callers left.
TEST_CASE("gateway: an overloaded model displaces models with little traffic") {
  for (const OverloadCase& test :
       {OverloadCase{"overloaded", 120, 1.0, true}, OverloadCase{"not overloaded", 20, 1.0, false},
        OverloadCase{"the others are as busy", 120, 30.0, false}}) {
    CAPTURE(std::string(test.name));
    PlacementFixture fleet(6);
    fleet.AddRunner("a", {0, 1}, {0, 1});
    fleet.AddRunner("b", {2, 3}, {0, 2, 3});
    fleet.AddRunner("c", {4, 5}, {0, 4, 5});
    for (const int model : {1, 2, 3, 4, 5}) {
      TotalDemand& demand = fleet.Demand(model);
      demand.since_last_call = Millis(100);
      demand.calls_per_s = test.others_per_s;
    }
    TotalDemand& busy = fleet.Demand(0);
    busy.calls_per_s = 34;
    busy.since_last_call = Millis(0);
    busy.in_flight = test.in_flight;
    busy.in_flight_at[RunnerId("a")] = test.in_flight;
    fleet.Run(Millis(1'500));
    CHECK((fleet.Count(OrderKind::kLoad, 0) > 0) == test.expected_replica);
    CHECK(fleet.Count(OrderKind::kUnload, 0) == 0);
    CHECK_FALSE(fleet.overcommitted());
  }
}

// Guards against a model whose calls wait for a limited runner while others have room.
TEST_CASE("gateway: a limited runner is no replica of a model with more calls than its limit") {
  struct Case {
    const char* name;
    double calls_per_s;
    bool expected_load;
  };
  for (const Case& test : {Case{"more calls", 3, true}, Case{"fewer calls", 0.5, false}}) {
    CAPTURE(std::string(test.name));
    PlacementFixture fleet(4);
    fleet.AddRunner("a", {0, 1}, {0, 1});
    fleet.AddRunner("b", {2, 3}, {0, 2, 3});
    fleet.limits()[RunnerId("a")] = 1.5;
    fleet.Demand(0) = Waiting(1);
    fleet.Demand(0).calls_per_s = test.calls_per_s;
    for (const int model : {1, 2, 3}) fleet.Demand(model).since_last_call = Millis(30'000);
    fleet.Run(Millis(1'500));
    CHECK((fleet.Count(OrderKind::kLoad, 0) > 0) == test.expected_load);
  }
}

// Guards against a busy model whose calls wait at limited runners while rare models take each other
// runner, and against models that displace others in turn.
TEST_CASE("gateway: a model with more calls than its runners take displaces models with fewer") {
  struct Case {
    const char* name;
    double calls_of_others;
    bool expected_load;
  };
  for (const Case& test : {Case{"fewer calls", 0.3, true}, Case{"as many calls", 3, false}}) {
    CAPTURE(std::string(test.name));
    PlacementFixture fleet(5);
    fleet.AddRunner("a", {0, 1}, {0, 1});
    fleet.AddRunner("b", {2, 3}, {0, 2, 3});
    fleet.limits()[RunnerId("a")] = 1.5;
    fleet.Demand(0).calls_per_s = 4;
    for (const int model : {2, 3}) {
      fleet.Demand(model).calls_per_s = test.calls_of_others;
      fleet.Demand(model).since_last_call = Millis(100);
      fleet.Demand(model).in_flight = 1;
      fleet.Demand(model).in_flight_at[RunnerId("b")] = 1;
    }
    fleet.Run(Millis(1'500));
    CHECK((fleet.Count(OrderKind::kLoad, 0) > 0) == test.expected_load);
  }
}

// Guards against an overloaded model that never gets a runner because rare models with waiting
// calls take each one, and against a replica on a runner that is busy itself.
TEST_CASE("gateway: an overloaded model comes before rare models, on a runner with free slots") {
  PlacementFixture fleet(12);
  fleet.AddRunner("a", {0, 1}, {0, 1});
  fleet.AddRunner("b", {2, 3}, {0, 2, 3, 8, 9, 10, 11});
  fleet.AddRunner("c", {4, 5}, {0, 4, 5, 8, 9, 10, 11});
  for (const int model : {1, 2, 3, 4, 5}) {
    fleet.Demand(model).since_last_call = Millis(100);
    fleet.Demand(model).calls_per_s = 1;
  }
  fleet.Demand(2).in_flight = 60;
  fleet.Demand(2).in_flight_at[RunnerId("b")] = 60;
  for (const int model : {8, 9, 10, 11}) fleet.Demand(model) = Waiting(1);
  TotalDemand& busy = fleet.Demand(0);
  busy.calls_per_s = 34;
  busy.since_last_call = Millis(0);
  busy.in_flight = 120;
  busy.in_flight_at[RunnerId("a")] = 120;
  fleet.Run(Millis(1'500));
  const auto load =
      std::find_if(fleet.history().begin(), fleet.history().end(), [](const PlannedOrder& planned) {
        return planned.order.kind == OrderKind::kLoad &&
               planned.order.model == PlacementFixture::Model(0);
      });
  REQUIRE(load != fleet.history().end());
  CHECK(load->order.runner == RunnerId("c"));
}

// Guards against an adapter that waits behind a runner whose slots are all in use while another
// holder of its model has a free one.
TEST_CASE("gateway: an adapter goes to a holder of its model with a free slot") {
  PlacementFixture fleet(4, 1);
  fleet.AddRunner("a", {0}, {0});
  fleet.AddRunner("b", {0}, {0});
  for (int adapter = 0; adapter < 2; ++adapter) {
    TotalDemand& demand = fleet.Demand(0, "x" + std::to_string(adapter));
    demand.waiting = 1;
    demand.least_time_left = Millis(5'000);
    fleet.Run(Millis(200));
    demand.waiting = 0;
    demand.in_flight = 1;
    demand.since_last_call = Millis(0);
  }
  uint64_t unloads = 0;
  for (const PlannedOrder& planned : fleet.history()) {
    if (planned.order.kind == OrderKind::kUnload) ++unloads;
  }
  CHECK(unloads == 0);
  CHECK_FALSE(fleet.overcommitted());
}

// Guards against new runners that stay empty while models have no holder, as happened when runners
// were replaced one after another.
TEST_CASE("gateway: free memory of a new runner is filled") {
  PlacementFixture fleet(4);
  fleet.AddRunner("a", {0, 1}, {0, 1, 2, 3});
  fleet.AddRunner("new", {}, {});
  fleet.Run(Millis(13'000));
  CHECK(fleet.Held(2));
  CHECK(fleet.Held(3));
}

// Guards against preloads that keep every runner busy while a call waits for a model with a local
// copy: on a fleet of one runner, a load of 30 s led to the refusal of such a call.
TEST_CASE("gateway: preloads leave runners available for waiting calls") {
  for (const int runners : {1, 2, 3, 6}) {
    CAPTURE(runners);
    PlacementFixture fleet(12);
    for (int runner = 0; runner < runners; ++runner) {
      fleet.AddRunner("r" + std::to_string(runner), {0}, {0, 1});
    }
    fleet.Run(Millis(500));
    CHECK(fleet.StoreLoadsUnderWay() * 3 <= static_cast<uint64_t>(runners));
    fleet.Demand(1) = Waiting(1);
    fleet.Run(Millis(2'000));
    CHECK(fleet.Held(1));
  }
}

// Guards against placing models on, or counting as holders, runners that are leaving or
// unreachable.
TEST_CASE("gateway: leaving and unreachable runners do not count as holders") {
  for (const bool leaving : {true, false}) {
    CAPTURE(leaving);
    PlacementFixture fleet(4);
    fleet.AddRunner("a", {0, 1}, {0, 1});
    fleet.AddRunner("b", {2, 3}, {0, 2, 3});
    if (leaving) {
      fleet.SetDraining("a");
    } else {
      fleet.unreachable().insert(RunnerId("a"));
    }
    fleet.Demand(0) = Waiting(2);
    fleet.Run(Millis(1'500));
    REQUIRE(fleet.Count(OrderKind::kLoad, 0) == 1);
    CHECK(std::all_of(fleet.history().begin(), fleet.history().end(),
                      [](const auto& planned) { return planned.order.runner == RunnerId("b"); }));
  }
}

// Guards against loading more adapters than a runner has slots for: an idle adapter must be
// unloaded first.
TEST_CASE("gateway: adapters replace idle ones when the slots are taken") {
  PlacementFixture fleet(1);
  fleet.AddRunner("a", {0}, {0});
  for (const char* adapter : {"a1", "a2"}) {
    fleet.Demand(0, adapter) = Waiting(1);
    fleet.Run(Millis(200));
    fleet.Demand(0, adapter).waiting = 0;
  }
  fleet.Demand(0, "a1").in_flight = 1;
  fleet.Demand(0, "a2").since_last_call = Millis(5'000);
  fleet.Demand(0, "a3") = Waiting(1);
  fleet.Run(Millis(300));
  const Holdings holdings = fleet.AllHoldings().at(RunnerId("a"));
  CHECK(holdings.Holds(PlacementFixture::Model(0), AdapterName("a1")));
  CHECK(holdings.Holds(PlacementFixture::Model(0), AdapterName("a3")));
  CHECK_FALSE(fleet.overcommitted());
}

// Guards against ordering an adapter again that an older report shows as being loaded: the runner
// would answer that it already holds it.
TEST_CASE("gateway: an adapter that is being loaded is not ordered again") {
  PlacementFixture fleet(1);
  fleet.AddRunner("a", {0}, {0});
  fleet.SetLoading("a", 0, "a1");
  fleet.Demand(0, "a1") = Waiting(1);
  CHECK(fleet.Step().empty());
  fleet.Demand(0, "a2") = Waiting(1);
  CHECK(fleet.Step().size() == 1);
}

struct TrafficCase {
  const char* name;
  double others_at_b;
  double others_at_c;
  double pace_of_b;
  const char* expected;
};

// Guards against two busy models that share a runner while another idles, and against a replica on
// a runner that works slowly.
TEST_CASE("gateway: a replica goes to the runner with the least work") {
  for (const TrafficCase& test :
       {TrafficCase{"b is busy", 8, 1, 1, "c"}, TrafficCase{"c is busy", 1, 8, 1, "b"},
        TrafficCase{"b is slow", 2, 3, 3, "c"}}) {
    CAPTURE(std::string(test.name));
    PlacementFixture fleet(6);
    fleet.AddRunner("a", {0, 1}, {0, 1});
    fleet.AddRunner("b", {2, 3}, {0, 2, 3});
    fleet.AddRunner("c", {4, 5}, {0, 4, 5});
    for (const int model : {1, 3, 5}) fleet.Demand(model).since_last_call = Millis(30'000);
    for (const int model : {0, 2, 4}) fleet.Demand(model).since_last_call = Millis(0);
    fleet.Demand(0).calls_per_s = 6;
    fleet.Demand(2).calls_per_s = test.others_at_b;
    fleet.Demand(4).calls_per_s = test.others_at_c;
    fleet.pace()[RunnerId("b")] = test.pace_of_b;
    fleet.Run(Millis(1'500));
    REQUIRE(fleet.Count(OrderKind::kLoad, 0) == 1);
    CHECK(fleet.AllHoldings()
              .at(RunnerId(test.expected))
              .models.contains(PlacementFixture::Model(0)));
  }
}

// Guards against a busy model that stays on one slow runner, whose prompts delay all its streams.
TEST_CASE("gateway: a model on a slow runner gets another replica sooner") {
  for (const double pace : {1.0, 3.0}) {
    CAPTURE(pace);
    PlacementFixture fleet(3);
    fleet.AddRunner("a", {0}, {0, 1});
    fleet.AddRunner("b", {1}, {0, 1});
    fleet.policy().even_replica_load = 0;
    fleet.pace()[RunnerId("a")] = pace;
    // Half of what one replica of usual pace may get.
    fleet.Demand(0).prompt_tokens_per_s =
        fleet.policy().prefill_tokens_per_ms * 1'000 * fleet.policy().replica_utilization / 2;
    fleet.Demand(0).since_last_call = Millis(0);
    fleet.Demand(0).calls_per_s = 1;
    fleet.Run(Millis(3'000));
    CHECK(fleet.Count(OrderKind::kLoad, 0) == (pace > 2 ? 1 : 0));
  }
}

struct EvenReplicaCase {
  const char* name;
  double busy_per_s;
  double even_replica_load;
  uint64_t least;
  uint64_t most;
};

// Guards against a model with most of the calls on a few runners while others have free memory, and
// against loads that calm demand does not need or that are repeated.
TEST_CASE("gateway: busy models get replicas until calls are even, and no more") {
  for (const EvenReplicaCase& test :
       {EvenReplicaCase{"busy", 12, 1.3, 3, 4}, EvenReplicaCase{"calm", 1.4, 1.3, 0, 0},
        EvenReplicaCase{"switched off", 12, 0, 1, 1}}) {
    CAPTURE(std::string(test.name));
    PlacementFixture fleet(3);
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
      const bool holds = *id == 'a';
      fleet.AddRunner(id, holds ? std::vector<int>{0, 1} : std::vector<int>{2}, {0, 1, 2});
    }
    fleet.policy().balance = BalanceScope::kAll;
    fleet.policy().even_replica_load = test.even_replica_load;
    fleet.Demand(0).calls_per_s = test.busy_per_s;
    fleet.Demand(2).calls_per_s = test.busy_per_s / 10;
    for (const int model : {0, 1, 2}) fleet.Demand(model).since_last_call = Millis(100);
    fleet.Run(Millis(120'000));
    CHECK(fleet.Count(OrderKind::kLoad, 0) >= test.least);
    CHECK(fleet.Count(OrderKind::kLoad, 0) <= test.most);
    CHECK(fleet.Count(OrderKind::kLoad, 1) + fleet.Count(OrderKind::kLoad, 2) == 0);
    CHECK(fleet.Held(1));
  }
}

// Guards against overcommitted memory and too many loads from the weight store under any demand,
// with many rarely used models requested at once and lost answers to orders.
TEST_CASE("gateway: random demand never overcommits memory or the weight store") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    PlacementFixture fleet(12);
    for (int runner = 0; runner < 4; ++runner) {
      fleet.AddRunner("r" + std::to_string(runner), {runner * 2, runner * 2 + 1},
                      {runner, runner + 4});
    }
    for (int step = 0; step < 400; ++step) {
      TotalDemand& demand = fleet.Demand(static_cast<int>(random.Below(12)));
      demand = Waiting(random.Below(3));
      demand.calls_per_s = random.Unit() * 4;
      demand.in_flight = random.Below(30);
      demand.since_last_call = Millis(static_cast<int64_t>(random.Below(5'000)));
      fleet.Step(random.Below(10) != 0);
      REQUIRE(fleet.StoreLoadsUnderWay() <= fleet.policy().store_loads_at_once);
      fleet.Advance(Millis(50));
    }
    CHECK_FALSE(fleet.overcommitted());
  }
}

}  // namespace
}  // namespace shallot::gateway
