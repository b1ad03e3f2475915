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

// Guards against calls sent to, or orders saved for, runners that leave or lack the entry.
TEST_CASE("gateway: only usable runners that hold an entry count as its holders") {
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
  const auto holders = [&](const char* backend, const char* adapter) {
    return view.HoldersOf(BackendName(backend), ModelName("m1"), AdapterName(adapter));
  };
  CHECK(holders("engine", "") == std::vector<RunnerId>{RunnerId("holds")});
  CHECK(holders("engine", "a1") == std::vector<RunnerId>{RunnerId("holds")});
  CHECK(holders("engine", "a2").empty());
  CHECK(holders("desk", "").empty());
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
