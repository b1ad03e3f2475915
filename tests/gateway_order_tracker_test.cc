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

// Guards against calls that wait for a loaded model because their gateway missed the notice of its
// load, and against requesting a report for each of those calls.
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
  order.cannot_be_delayed = true;
  return order;
}

struct AlreadyHoldsCase {
  const char* name;
  OrderKind kind;
  /// The runner counts the order, so it is complete and its sequence has advanced.
  bool expected_counted;
};

// Guards against counting an order that the runner has not counted: the condition of every later
// order then failed, 1,178 times in a row.
TEST_CASE("gateway: an order for an entry that the runner already holds does not count") {
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

// Guards against a count of orders that stays too high, whatever the cause, and against reports
// from before an order that reset the count.
TEST_CASE("gateway: a report with fewer orders is accepted once it cannot be an old one") {
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

// Guards against report requests to runners that are leaving, do not hold the entry, or have just
// reported.
TEST_CASE("gateway: holders to confirm for a gateway's waiting calls") {
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
    return view.HoldersToConfirm(BackendName(backend), ModelName("m1"), AdapterName(adapter), now);
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

// Guards against noticing a watch that the store lost at the end of an outage only after the
// platform's stable window, when instances must have the newest configuration again. In soak seed
// 606 two watches were lost in a row and the configuration was 5.3 s late.
TEST_CASE("gateway: a lost watch is noticed within the platform's stable window") {
  constexpr Millis kStableWindow{3'000};
  for (const size_t followers : {1, 6, 33, 103, 340}) {
    CAPTURE(followers);
    CHECK(PrefixFollower::WatchWait(followers) > Millis(0));
    CHECK(PrefixFollower::WatchPause(followers) + PrefixFollower::WatchWait(followers) +
              PrefixFollower::kAnswerMargin + PrefixFollower::kRetryPause <
          kStableWindow);
  }
  // While calls fail, the store holds them only for a fraction of the time limit.
  CHECK(PrefixFollower::kWaitAfterFailure * 4 < PrefixFollower::kReadTimeout);
  CHECK(PrefixFollower::kReadTimeout + PrefixFollower::kRetryPause < kStableWindow);
}

}  // namespace
}  // namespace shallot::gateway
