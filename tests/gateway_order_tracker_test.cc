#include "servers/gateway/order_tracker.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "drivers/gateway/prefix_follower.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

struct ConfirmationCase {
  const char* name;
  Millis after;
  bool expected;
};

// Guards against calls that wait for a model that is loaded because their gateway missed the notice
// (almanak-net trouble-1), and against a report for each of them.
TEST_CASE("gateway: holdings that a gateway cannot find are confirmed, at most once a second") {
  const RunnerId runner("i-1");
  for (const ConfirmationCase& test : std::vector<ConfirmationCase>{
           {"soon again", OrderTracker::kConfirmInterval / 2, false},
           {"after the interval", OrderTracker::kConfirmInterval, true}}) {
    CAPTURE(std::string(test.name));
    OrderTracker tracker;
    tracker.RequestConfirmation(runner, kStart);
    CHECK(tracker.TakeDuePolls(kStart) == std::vector<RunnerId>{runner});
    tracker.RequestConfirmation(runner, kStart + test.after);
    CHECK(tracker.TakeDuePolls(kStart + test.after).size() == (test.expected ? 1 : 0));
  }
}

Order AdapterOrder(OrderKind kind) {
  Order order;
  order.kind = kind;
  order.runner = RunnerId("i-1");
  order.model = ModelName("m1");
  order.adapter = AdapterName("a1");
  order.expected = OrderSequence(7);
  order.certain = true;
  return order;
}

struct AlreadyHoldsCase {
  const char* name;
  OrderKind kind;
  /// The runner counts the order, so it is complete and its sequence has risen.
  bool expected_counted;
};

// Guards against a sequence that counts an order which the runner has not counted: all orders after
// it failed their condition, 1,178 in a row (almanak-net calm day, seed 5).
TEST_CASE("gateway: an order for what a runner holds already does not count") {
  for (const AlreadyHoldsCase& test : std::vector<AlreadyHoldsCase>{
           {"load", OrderKind::kLoad, false}, {"unload of an adapter", OrderKind::kUnload, true}}) {
    CAPTURE(std::string(test.name));
    OrderTracker tracker;
    const Order order = AdapterOrder(test.kind);
    tracker.OnSent(order, kStart);
    tracker.OnAnswer(order.runner, OrderAnswer::kAlreadyHolds, kStart);
    CHECK(tracker.TakeAssumedComplete(kStart).size() == (test.expected_counted ? 1 : 0));
    CHECK_MESSAGE(tracker.Idle(order.runner), "the runner must not stay occupied");
  }
}

struct LowerSequenceCase {
  const char* name;
  Millis after;
  uint64_t expected_sequence;
};

// Guards against a count of orders that is too high for good, whatever made it so, and against
// reports from before an order that undo it.
TEST_CASE("gateway: a report with fewer orders counts once it cannot be an old one") {
  for (const LowerSequenceCase& test :
       std::vector<LowerSequenceCase>{{"just counted", FleetView::kReportLag / 2, 8},
                                      {"counted long ago", FleetView::kReportLag, 7}}) {
    CAPTURE(std::string(test.name));
    FleetView view;
    RunnerEntry entry;
    entry.id = RunnerId("i-1");
    view.Apply(entry, kStart);
    RunnerReport report;
    report.sequence = OrderSequence(8);
    view.ApplyReport(entry.id, report, kStart);
    report.sequence = OrderSequence(7);
    view.ApplyReport(entry.id, report, kStart + test.after);
    CHECK(view.Find(entry.id)->sequence == OrderSequence(test.expected_sequence));
  }
}

// Guards against questions to runners that leave, lack the entry, or have just been asked.
TEST_CASE("gateway: which holders a gateway's waiting calls put in doubt") {
  FleetView view;
  const auto add = [&](const char* id, const char* model, bool draining) {
    RunnerEntry entry;
    entry.id = RunnerId(id);
    entry.backend = BackendName("engine");
    entry.draining = draining;
    entry.holdings.models[ModelName(model)].insert(AdapterName("a1"));
    view.Apply(entry, kStart);
  };
  add("holds", "m1", false);
  add("leaves", "m1", true);
  add("other", "m2", false);
  const auto doubted = [&](const char* backend, const char* adapter, SteadyTime now) {
    return view.DoubtedHolders(BackendName(backend), ModelName("m1"), AdapterName(adapter), now);
  };
  const std::vector<RunnerId> holds = {RunnerId("holds")};
  CHECK(doubted("engine", "", kStart) == holds);
  CHECK(doubted("engine", "a1", kStart) == holds);
  CHECK(doubted("engine", "a2", kStart).empty());
  CHECK(doubted("desk", "", kStart).empty());

  RunnerReport report;
  report.holdings = view.Find(holds[0])->entry.holdings;
  view.ApplyReport(holds[0], report, kStart);
  CHECK(doubted("engine", "", kStart).empty());
  CHECK(doubted("engine", "", kStart + FleetView::kConfirmAfter) == holds);
}

// Guards against a watch that the store swallowed at the end of an outage and that is noticed only
// after the platform's stable window, when instances are held to the newest configuration again
// (soak seed 606: two watches lost in a row, the configuration 5.3 s late).
TEST_CASE("gateway: a lost watch is noticed within the platform's stable window") {
  constexpr Millis kStableWindow{3'000};
  CHECK(PrefixFollower::kWait + PrefixFollower::kAnswerSlack + PrefixFollower::kRetryPause <
        kStableWindow);
  // While calls fail, the store holds them for a fraction of the time limit only.
  CHECK(PrefixFollower::kWaitInTrouble * 4 < PrefixFollower::kReadTimeout);
  CHECK(PrefixFollower::kReadTimeout + PrefixFollower::kRetryPause < kStableWindow);
}

}  // namespace
}  // namespace shallot::gateway
