#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/fleet_view.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

RunnerEntry Entry(const std::string& id, uint64_t born, uint64_t heartbeat,
                  const std::vector<std::string>& models) {
  RunnerEntry entry;
  entry.id = RunnerId(id);
  entry.backend = BackendName("engine");
  entry.address = "10.0.0.1:80";
  entry.slots = 4;
  entry.born = RunnerStartTime(born);
  entry.heartbeat = HeartbeatSequence(heartbeat);
  for (const std::string& model : models) entry.holdings.models[ModelName(model)];
  return entry;
}

RunnerReport Report(uint64_t born, uint64_t sequence, const std::vector<std::string>& models) {
  RunnerReport report;
  report.born = RunnerStartTime(born);
  report.sequence = OrderSequence(sequence);
  for (const std::string& model : models) report.holdings.models[ModelName(model)];
  return report;
}

bool Holds(const FleetView& view, const std::string& id, const std::string& model) {
  return view.Find(RunnerId(id))->entry.holdings.Holds(ModelName(model), AdapterName());
}

// Guards against a heartbeat from before an order that overwrites the holdings of the order's
// report.
TEST_CASE("gateway: holdings follow the newest report") {
  FleetView view;
  CHECK(view.Apply(Entry("a", 1, 1, {"m1"}), kStart));
  CHECK_FALSE(view.Find(RunnerId("a"))->holdings_confirmed);
  view.ApplyReport(RunnerId("a"), Report(1, 3, {"m2"}), kStart);
  CHECK(view.Find(RunnerId("a"))->holdings_confirmed);

  view.Apply(Entry("a", 1, 2, {"m1"}), kStart + Millis(100));
  CHECK(Holds(view, "a", "m2"));
  CHECK_MESSAGE(!view.Find(RunnerId("a"))->holdings_confirmed,
                "the leader must ask for another report");

  view.ApplyReport(RunnerId("a"), Report(1, 2, {"m1"}), kStart + Millis(200));
  CHECK_MESSAGE(Holds(view, "a", "m2"), "a report with fewer orders is older");

  view.Apply(Entry("a", 1, 9, {"m1"}), kStart + FleetView::kHeartbeatLag + Millis(200));
  CHECK_MESSAGE(Holds(view, "a", "m1"), "without newer reports the heartbeat counts");
}

// Guards against a gateway that never learns of a load when the leader's notice of it was lost and
// the runner's heartbeat, which is written once per change, came soon after an earlier notice. A
// call waited 8.9 s for a model that was already loaded.
TEST_CASE("gateway: a heartbeat that came soon after a report counts when nothing newer comes") {
  FleetView view;
  view.Apply(Entry("a", 1, 1, {"m1"}), kStart);
  view.ApplyReport(RunnerId("a"), Report(1, 3, {}), kStart);
  view.Apply(Entry("a", 1, 2, {"m2"}), kStart + Millis(1'000));
  CHECK(view.AdoptUnconfirmed(kStart + Millis(1'100)).empty());
  CHECK_FALSE(Holds(view, "a", "m2"));
  CHECK(view.AdoptUnconfirmed(kStart + FleetView::kHeartbeatLag).size() == 1);
  CHECK(Holds(view, "a", "m2"));

  view.ApplyReport(RunnerId("a"), Report(1, 4, {"m3"}), kStart + Millis(3'000));
  view.Apply(Entry("a", 1, 3, {"m2"}), kStart + Millis(3'100));
  view.ApplyReport(RunnerId("a"), Report(1, 5, {"m3"}), kStart + Millis(3'200));
  view.AdoptUnconfirmed(kStart + Millis(60'000));
  CHECK_MESSAGE(Holds(view, "a", "m3"), "a newer report settles it");
}

// Guards against calls to a runner that restarted without models under its old id, and against late
// entries of its previous run.
TEST_CASE("gateway: a restart discards all that was known of a runner") {
  FleetView view;
  view.Apply(Entry("a", 1, 7, {"m1"}), kStart);
  view.ApplyReport(RunnerId("a"), Report(1, 5, {"m1"}), kStart);
  CHECK(view.Apply(Entry("a", 2, 1, {}), kStart));
  CHECK_FALSE(Holds(view, "a", "m1"));
  CHECK(view.Find(RunnerId("a"))->sequence == OrderSequence(0));
  CHECK_FALSE(view.Apply(Entry("a", 1, 8, {"m1"}), kStart));
  CHECK_FALSE(Holds(view, "a", "m1"));
  view.ApplyReport(RunnerId("a"), Report(1, 6, {"m1"}), kStart);
  CHECK_FALSE(Holds(view, "a", "m1"));
}

// Guards against calls to a runner that is leaving, when its restart was first seen in a report and
// its heartbeats, which count from anew, were taken for outdated ones (review/3).
TEST_CASE("gateway: the entries of a run that a report revealed count from its start") {
  struct Case {
    const char* name;
    bool drained_before;
    std::vector<bool> draining_entries;  // Of the new run, in order.
    bool expected_usable;
  };
  for (const Case& test :
       std::vector<Case>{{"no entry yet", false, {}, true},
                         {"ready", false, {false}, true},
                         {"leaves", false, {false, true}, false},
                         {"leaves at once", false, {true}, false},
                         {"was leaving, no entry yet", true, {}, false},
                         {"was leaving, is back", true, {false}, true},
                         {"was leaving, leaves again", true, {false, true, false}, false}}) {
    CAPTURE(std::string(test.name));
    FleetView view;
    RunnerEntry before = Entry("a", 1, 90, {"m1"});
    before.draining = test.drained_before;
    view.Apply(before, kStart);
    view.ApplyReport(RunnerId("a"), Report(1, 5, {"m1"}), kStart);
    CHECK(view.ApplyReport(RunnerId("a"), Report(2, 0, {}), kStart + Millis(100)));
    CHECK_FALSE(Holds(view, "a", "m1"));
    CHECK_MESSAGE(view.Find(RunnerId("a"))->sequence == OrderSequence(0),
                  "the count of orders starts anew, also soon after a higher one");
    uint64_t heartbeat = 0;
    for (const bool draining : test.draining_entries) {
      RunnerEntry entry = Entry("a", 2, ++heartbeat, {});
      entry.draining = draining;
      view.Apply(entry, kStart + Millis(200));
    }
    CHECK(view.Find(RunnerId("a"))->entry.heartbeat == HeartbeatSequence(heartbeat));
    CHECK(view.UsableRunners(BackendName("engine")).empty() != test.expected_usable);
    view.Apply(Entry("a", 1, 91, {"m1"}), kStart + Millis(300));
    CHECK_FALSE(Holds(view, "a", "m1"));
  }
}

// Guards against new calls to a runner that is leaving, also when an old entry says "ready".
TEST_CASE("gateway: a leaving runner takes no new calls") {
  FleetView view;
  RunnerEntry leaving = Entry("a", 1, 5, {});
  leaving.draining = true;
  view.Apply(Entry("a", 1, 4, {}), kStart);
  CHECK(view.UsableRunners(BackendName("engine")).size() == 1);
  view.Apply(leaving, kStart);
  CHECK(view.UsableRunners(BackendName("engine")).empty());
  view.Apply(Entry("a", 1, 6, {}), kStart);
  CHECK(view.UsableRunners(BackendName("engine")).empty());
}

/// Calls to the store without an answer from `from_ms` to `to_ms` after kStart; the last call
/// before and the first one after are answered.
void PlayOutage(FleetView* view, int64_t from_ms, int64_t to_ms) {
  view->contact().OnCall(StoreCallEnd::kAnswered, kStart + Millis(from_ms),
                         kStart + Millis(from_ms));
  view->contact().OnCall(StoreCallEnd::kNoAnswer, kStart + Millis(from_ms + 1),
                         kStart + Millis(from_ms + 1));
  view->contact().OnCall(StoreCallEnd::kAnswered, kStart + Millis(to_ms), kStart + Millis(to_ms));
}

struct Outage {
  int64_t from_ms;
  int64_t to_ms;
};

struct ExpiryCase {
  const char* name;
  /// Before the entry is removed at 0 ms.
  std::optional<Outage> outage;
  /// After it.
  std::vector<Outage> further;
  bool interrupted;
  int64_t checked_at_ms;
  bool expected_known;
};

// Guards against losing live runners whose entries expired during a store outage, and against
// keeping runners that did not come back, also when the store fails again and again (review/5).
TEST_CASE("gateway: entries that expire during a store outage") {
  const int64_t grace = StoreContact::kReturnTime.count();
  const std::vector<ExpiryCase> cases = {
      {"removed without an outage", std::nullopt, {}, false, 0, false},
      {"removed after an outage too short for an expiry", Outage{-1'100, 0}, {}, false, 0, false},
      {"store just back", Outage{-3'000, 0}, {}, false, grace - 1, true},
      {"store back for the grace period", Outage{-3'000, 0}, {}, false, grace, false},
      {"store away again", Outage{-3'000, 0}, {}, true, 60'000, true},
      {"store away again and just back", Outage{-3'000, 0}, {{100, 4'000}}, false, 4'100, true},
      {"outages with time to return between them",
       Outage{-3'000, 0},
       {{1'000, 2'300}, {3'500, 4'800}},
       false,
       5'200,
       false},
  };
  for (const ExpiryCase& test : cases) {
    CAPTURE(std::string(test.name));
    FleetView view;
    view.Apply(Entry("a", 1, 1, {}), kStart);
    if (test.outage) PlayOutage(&view, test.outage->from_ms, test.outage->to_ms);
    view.Remove(RunnerId("a"), kStart);
    for (const Outage& outage : test.further) PlayOutage(&view, outage.from_ms, outage.to_ms);
    if (test.interrupted) {
      view.contact().OnCall(StoreCallEnd::kNoAnswer, kStart + Millis(10), kStart + Millis(20));
    }
    view.DropExpired(kStart + Millis(test.checked_at_ms));
    CHECK((view.Find(RunnerId("a")) != nullptr) == test.expected_known);
  }
}

// Guards against dropping a runner whose entry returned in time.
TEST_CASE("gateway: an entry that returns after an outage stays") {
  FleetView view;
  view.Apply(Entry("a", 1, 1, {}), kStart);
  PlayOutage(&view, -3'000, 0);
  view.Remove(RunnerId("a"), kStart);
  view.Apply(Entry("a", 1, 2, {}), kStart + Millis(1'500));
  view.DropExpired(kStart + Millis(60'000));
  CHECK(view.Find(RunnerId("a")) != nullptr);
}

struct RestoreCase {
  const char* name;
  bool removed_before;
  bool restored;
  /// The entries that are read next, in order.
  std::vector<RunnerEntry> entries;
  int64_t checked_after_ms;
  bool expected_known;
};

// Guards against calls to a runner that had left when the store was restored from a copy in which
// it is ready, and against dropping live runners that the copy does not have yet.
TEST_CASE("gateway: runners after a restore of the store") {
  const int64_t grace = StoreContact::kReturnTime.count();
  const std::vector<RestoreCase> cases = {
      {"left, older entry in the copy", true, true, {Entry("a", 2, 4, {})}, 0, false},
      {"left, its last entry in the copy", true, true, {Entry("a", 2, 5, {})}, 0, false},
      {"left, an earlier run in the copy", true, true, {Entry("a", 1, 9, {})}, 0, false},
      {"lapsed, writes again", true, true, {Entry("a", 2, 6, {}), Entry("a", 2, 7, {})}, 0, true},
      {"left, another run begins", true, true, {Entry("a", 3, 1, {})}, 0, true},
      {"not in the copy", false, true, {}, grace - 1, true},
      {"not in the copy and not written again", false, true, {}, grace, false},
      {"missing without a restore", false, false, {}, 0, false},
  };
  for (const RestoreCase& test : cases) {
    CAPTURE(std::string(test.name));
    FleetView view;
    view.Apply(Entry("a", 2, 5, {}), kStart);
    if (test.removed_before) view.Remove(RunnerId("a"), kStart);
    if (test.restored) view.OnStoreRestored(kStart);
    std::set<RunnerId> present;
    for (const RunnerEntry& entry : test.entries) {
      view.Apply(entry, kStart);
      present.insert(RunnerId("a"));
    }
    view.Reconcile(present, kStart);
    view.DropExpired(kStart + Millis(test.checked_after_ms));
    CHECK((view.Find(RunnerId("a")) != nullptr) == test.expected_known);
  }
}

/// A step after a runner has been read with start time 2 and heartbeat 5.
struct ListStep {
  enum class Kind { kEntry, kRemoved, kSnapshotWithout, kTime, kOutage };
  Kind kind = Kind::kEntry;
  uint64_t born = 0;
  uint64_t heartbeat = 0;
  bool draining = false;
  int64_t time_ms = 0;
};

ListStep Reads(uint64_t born, uint64_t heartbeat, bool draining = false) {
  return {ListStep::Kind::kEntry, born, heartbeat, draining, 0};
}
ListStep Removed() { return {ListStep::Kind::kRemoved, 0, 0, false, 0}; }
ListStep SnapshotWithout() { return {ListStep::Kind::kSnapshotWithout, 0, 0, false, 0}; }
ListStep After(Millis time) { return {ListStep::Kind::kTime, 0, 0, false, time.count()}; }
ListStep OutageOf(Millis time) { return {ListStep::Kind::kOutage, 0, 0, false, time.count()}; }

struct ReturnCase {
  const char* name;
  std::vector<ListStep> steps;
  bool expected_usable;
};

// Guards against calls to a runner that has left, when the store carries out one of its writes late
// and so lists it again (review/9), and against a runner that has lapsed and is never used again.
TEST_CASE("gateway: a late write does not bring a runner back that has left") {
  constexpr Millis kStay = FleetView::kUnrenewedLifetime;
  constexpr Millis kTick{100};
  const std::vector<ReturnCase> cases = {
      {"an earlier heartbeat", {Removed(), Reads(2, 3)}, false},
      {"its last heartbeat once more", {Removed(), Reads(2, 5)}, false},
      {"several earlier ones, in order", {Removed(), Reads(2, 2), Reads(2, 3), Reads(2, 4)}, false},
      {"an earlier one that stays", {Removed(), Reads(2, 3), After(kStay)}, false},
      {"one that was sent last", {Removed(), Reads(2, 6)}, false},
      {"one that was sent last, and an earlier one", {Removed(), Reads(2, 6), Reads(2, 4)}, false},
      {"the last two, each removed in time",
       {Removed(), Reads(2, 6), Removed(), Reads(2, 7), After(kTick)},
       false},
      {"the last two, the first missing in a snapshot",
       {Removed(), Reads(2, 6), SnapshotWithout(), Reads(2, 7)},
       false},
      {"it had begun to drain", {Reads(2, 6, true), Removed(), Reads(2, 4), Reads(2, 5)}, false},
      {"it had begun to drain, newer ones say ready",
       {Reads(2, 6, true), Removed(), Reads(2, 7), Reads(2, 8), Reads(2, 9)},
       false},
      {"an earlier run's", {Removed(), Reads(1, 90), Reads(1, 91)}, false},
      {"lapsed, renews its entry", {Removed(), Reads(2, 7), Reads(2, 8)}, true},
      {"lapsed, renews its entry beside a late write",
       {Removed(), Reads(2, 7), Reads(2, 4), Reads(2, 8)},
       true},
      {"lapsed, entry stays", {Removed(), Reads(2, 7), After(kStay)}, true},
      {"lapsed, entry has not stayed for long",
       {Removed(), Reads(2, 7), After(kStay - kTick)},
       false},
      {"lapsed, store away meanwhile", {Removed(), Reads(2, 7), OutageOf(kStay)}, false},
      {"lapsed twice",
       {Removed(), Reads(2, 7), Reads(2, 8), Removed(), Reads(2, 9), Reads(2, 10)},
       true},
      {"lapsed, then drains", {Removed(), Reads(2, 7), Reads(2, 8, true), Reads(2, 9)}, false},
      {"restarted", {Removed(), Reads(3, 1)}, true},
      {"restarted after it had begun to drain", {Reads(2, 6, true), Removed(), Reads(3, 1)}, true},
      {"restarted, late write of the run before", {Removed(), Reads(3, 1), Reads(2, 9)}, true},
      {"restarted and left, late write of the run before",
       {Removed(), Reads(3, 1), Removed(), Reads(2, 9), Reads(2, 10)},
       false},
  };
  for (const ReturnCase& test : cases) {
    CAPTURE(std::string(test.name));
    FleetView view;
    SteadyTime now = kStart;
    view.Apply(Entry("a", 2, 5, {}), now);
    for (const ListStep& step : test.steps) {
      switch (step.kind) {
        case ListStep::Kind::kEntry: {
          RunnerEntry entry = Entry("a", step.born, step.heartbeat, {});
          entry.draining = step.draining;
          view.Apply(entry, now);
          break;
        }
        case ListStep::Kind::kRemoved:
          view.Remove(RunnerId("a"), now);
          break;
        case ListStep::Kind::kSnapshotWithout:
          view.Reconcile({}, now);
          break;
        case ListStep::Kind::kTime:
          now += Millis(step.time_ms);
          view.ListReturned(now);
          break;
        case ListStep::Kind::kOutage:
          view.contact().OnCall(StoreCallEnd::kAnswered, now, now);
          view.contact().OnCall(StoreCallEnd::kNoAnswer, now, now);
          now += Millis(step.time_ms);
          view.contact().OnCall(StoreCallEnd::kAnswered, now, now);
          now += Duration(StoreContact::kReturnTime);
          view.ListReturned(now);
          break;
      }
    }
    CHECK(view.UsableRunners(BackendName("engine")).empty() != test.expected_usable);
  }
}

struct RecreatedCase {
  const char* name;
  StorePosition created_before;
  StorePosition created;
  uint64_t heartbeat;
  bool expected_known;
};

// Guards against calls to a runner whose removal was not seen, because the store dropped its
// history meanwhile, when a late write has listed it again.
TEST_CASE("gateway: an entry that was created again shows that the runner had left") {
  const auto at = [](uint64_t era, uint64_t revision) {
    return StorePosition{StoreEra(era), StoreRevision(revision)};
  };
  for (const RecreatedCase& test : std::vector<RecreatedCase>{
           {"late write over the entry of a live runner", at(1, 10), at(1, 10), 3, true},
           {"late write after the removal", at(1, 10), at(1, 20), 3, false},
           {"late write that was sent last", at(1, 10), at(1, 20), 6, false},
           {"older copy after a restore", at(1, 10), at(2, 10), 3, true},
           {"creation not stated", at(0, 0), at(0, 0), 3, true}}) {
    CAPTURE(std::string(test.name));
    FleetView view;
    RunnerEntry entry = Entry("a", 2, 5, {});
    entry.created = test.created_before;
    view.Apply(entry, kStart);
    entry.heartbeat = HeartbeatSequence(test.heartbeat);
    entry.created = test.created;
    view.Apply(entry, kStart);
    view.Reconcile({RunnerId("a")}, kStart);
    CHECK((view.Find(RunnerId("a")) != nullptr) == test.expected_known);
  }
}

// Guards against runners that are forgotten to have left because many others leave at once.
TEST_CASE("gateway: the runners that left last are remembered") {
  FleetView view;
  const auto id = [](size_t number) { return "r-" + std::to_string(number); };
  const size_t count = FleetView::kMaxDeparted + 10;
  for (size_t number = 0; number < count; ++number) {
    view.Apply(Entry(id(number), 1, 5, {}), kStart + Millis(number));
    view.Remove(RunnerId(id(number)), kStart + Millis(number));
  }
  view.Apply(Entry(id(count - 1), 1, 4, {}), kStart + Millis(count));
  CHECK(view.Find(RunnerId(id(count - 1))) == nullptr);
}

// Guards against a shorter prefix that takes precedence over a longer one, and against a match
// within a path segment.
TEST_CASE("gateway: the longest prefix of the host selects the route") {
  FleetRoutes routes;
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    Route route;
    route.name = RouteName(name);
    route.host = host;
    route.path_prefix = prefix;
    routes.routes.push_back(route);
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/y/z/");
  struct Lookup {
    const char* host;
    const char* path;
    const char* expected;
  };
  for (const Lookup& lookup : std::vector<Lookup>{{"a.example", "/x/1", "short"},
                                                  {"a.example", "/x/y/1", "long"},
                                                  {"a.example", "/x/yy/1", "short"},
                                                  {"b.example", "/x/1", ""},
                                                  {"c.example", "/x/1", ""}}) {
    CAPTURE(std::string(lookup.host) + lookup.path);
    const Route* found = routes.Find(lookup.host, lookup.path);
    CHECK((found == nullptr ? "" : found->name.value()) == lookup.expected);
  }
}

}  // namespace
}  // namespace shallot::gateway
