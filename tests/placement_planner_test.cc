#include "servers/placement_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/placement_codec.h"

namespace shallot {
namespace {

FleetConfig Config(const std::string& text) {
  const Result<FleetConfig> config =
      ParseFleetConfig("[fleet]\nname = f\nshards = 1\n" + text, "t", ConfigRevision(1));
  if (!IsOk(config)) FAIL(FormatError(ErrorOf(config)));
  return ValueOf(config);
}

PlannerRunner Runner(int number, int domain) {
  PlannerRunner runner;
  runner.id = RunnerId("r" + std::to_string(number));
  runner.backend = BackendName("b");
  runner.failure_domain = FailureDomain("d" + std::to_string(domain));
  runner.memory_capacity = Bytes(80ULL << 30U);
  return runner;
}

struct Fixture {
  explicit Fixture(const std::string& text, int runners = 6) : config(Config(text)) {
    input.config = &config;
    for (int i = 0; i < runners; ++i) input.runners.push_back(Runner(i, i % 3));
  }

  /// Plans once and stores the result as the current slots.
  const std::vector<Slot>& Plan() {
    input.slots = PlanPlacement(input);
    input.min_new_generation = input.min_new_generation.Next();
    return input.slots;
  }
  /// Plans until the slots no longer change; releasing slots are dropped after each plan, as if
  /// confirmed.
  void PlanUntilStable() {
    for (int i = 0; i < 200; ++i) {
      const std::vector<Slot> before = input.slots;
      Plan();
      if (input.slots == before) return;
      DropReleasing();
    }
    FAIL("the plan does not converge");
  }
  void DropReleasing() {
    std::erase_if(input.slots, [](const Slot& slot) { return slot.state != SlotState::kActive; });
  }
  std::vector<Slot> SlotsOf(const std::string& entry, SlotState state = SlotState::kActive) const {
    std::vector<Slot> found;
    for (const Slot& slot : input.slots) {
      if (slot.entry.value() == entry && slot.state == state) found.push_back(slot);
    }
    return found;
  }
  PlannerRunner& RunnerOf(const Slot& slot) {
    return *std::find_if(input.runners.begin(), input.runners.end(),
                         [&](const PlannerRunner& runner) { return runner.id == slot.runner; });
  }

  FleetConfig config;
  PlannerInput input;
};

const char* const kOneModel = "[defaults]\nmax_replicas = 3\n[models b]\nm = v1 1000 100\n";

TEST_CASE("parsing formatted slots yields the same slots") {
  std::vector<Slot> slots = {
      {EntryId("b"), RunnerId("r1"), Generation(7), SlotState::kReleasing},
      {EntryId("a"), RunnerId("r2"), Generation(3), SlotState::kActive},
      {EntryId("a"), RunnerId("r1"), Generation(1), SlotState::kActive},
  };
  const Result<std::vector<Slot>> parsed = ParseSlots(FormatSlots(slots));
  SortSlots(&slots);
  REQUIRE(IsOk(parsed));
  CHECK(ValueOf(parsed) == slots);
  CHECK(ValueOf(ParseSlots("")).empty());
  CHECK_FALSE(IsOk(ParseSlots("[1]")));
}

TEST_CASE("replicas follow demand between minimum and maximum") {
  struct Case {
    uint64_t wanted;
    size_t expected;
  };
  for (const Case& test : {Case{0, 1}, Case{1, 1}, Case{2, 2}, Case{3, 3}, Case{9, 3}}) {
    CAPTURE(test.wanted);
    Fixture f(kOneModel);
    f.input.wanted[EntryId("m")] = test.wanted;
    f.PlanUntilStable();
    CHECK(f.SlotsOf("m").size() == test.expected);
  }
}

// Guards against losing all replicas when one failure domain fails.
TEST_CASE("replicas are spread over failure domains") {
  Fixture f(kOneModel);
  f.input.wanted[EntryId("m")] = 3;
  f.PlanUntilStable();
  std::set<FailureDomain> domains;
  for (const Slot& slot : f.SlotsOf("m")) domains.insert(f.RunnerOf(slot).failure_domain);
  CHECK(domains.size() == 3);
}

TEST_CASE("a runner with a cached checkpoint is preferred") {
  Fixture f(kOneModel);
  SUBCASE("in memory") { f.input.runners[4].cached_in_memory.insert(EntryId("m")); }
  SUBCASE("on disk") { f.input.runners[4].cached_on_disk.insert(EntryId("m")); }
  SUBCASE("memory is preferred to disk") {
    f.input.runners[4].cached_in_memory.insert(EntryId("m"));
    f.input.runners[2].cached_on_disk.insert(EntryId("m"));
  }
  f.PlanUntilStable();
  REQUIRE(f.SlotsOf("m").size() == 1);
  CHECK(f.SlotsOf("m")[0].runner == RunnerId("r4"));
}

// Guards against placing an adapter on a runner that has no slot for its base model and so cannot
// load it.
TEST_CASE("adapters are placed only where their base has a slot") {
  Fixture f(std::string(kOneModel) + "[adapters m]\na = v1 10\nb = v1 10\n");
  f.input.wanted[EntryId("a")] = 2;
  f.PlanUntilStable();
  CHECK(f.SlotsOf("m").size() == 2);
  CHECK(f.SlotsOf("a").size() == 2);
  std::set<RunnerId> bases;
  for (const Slot& slot : f.SlotsOf("m")) bases.insert(slot.runner);
  for (const Slot& slot : f.input.slots) CHECK(bases.contains(slot.runner));

  f.input.wanted.clear();
  f.Plan();
  REQUIRE(f.SlotsOf("m", SlotState::kReleasing).size() == 1);
  const RunnerId released = f.SlotsOf("m", SlotState::kReleasing)[0].runner;
  for (const Slot& slot : f.input.slots) {
    if (slot.runner == released) CHECK(slot.state == SlotState::kReleasing);
  }
}

// Guards against granting a slot to another runner before the old runner confirmed the release.
TEST_CASE("at the maximum a slot moves only after it was released") {
  Fixture f("[defaults]\nmax_replicas = 1\n[models b]\nm = v1 1000 100\n");
  f.PlanUntilStable();
  const Slot old = f.SlotsOf("m").at(0);
  f.RunnerOf(old).state = PlannerRunner::State::kLeaving;
  f.Plan();
  CHECK(f.SlotsOf("m").empty());
  CHECK(f.SlotsOf("m", SlotState::kReleasing).size() == 1);
  f.Plan();
  CHECK(f.input.slots.size() == 1);
  f.DropReleasing();
  f.Plan();
  REQUIRE(f.SlotsOf("m").size() == 1);
  CHECK(f.SlotsOf("m")[0].runner != old.runner);
  CHECK(f.SlotsOf("m")[0].generation > old.generation);
}

TEST_CASE("below the maximum a leaving runner is replaced at once") {
  Fixture f(kOneModel);
  f.PlanUntilStable();
  f.RunnerOf(f.SlotsOf("m").at(0)).state = PlannerRunner::State::kLeaving;
  f.Plan();
  CHECK(f.SlotsOf("m").size() == 1);
  CHECK(f.SlotsOf("m", SlotState::kReleasing).size() == 1);
}

struct LostRunnerCase {
  const char* name;
  bool serving;
  bool listed;
  PlannerRunner::State state;
  /// Number of active slots after the plan, with 1 replica before it and a maximum of 2.
  size_t expected;
  bool old_kept;
};

// Guards against dropping the slot of a runner that does not respond but is not gone: it may still
// have the entry loaded.
TEST_CASE("a runner that does not serve or is missing keeps its slot, a gone one does not") {
  const auto live = PlannerRunner::State::kLive;
  const auto missing = PlannerRunner::State::kMissing;
  const std::vector<LostRunnerCase> cases = {
      {"live", true, true, live, 1, true},
      {"not serving", false, true, live, 2, true},
      {"missing", true, true, missing, 2, true},
      {"gone", true, false, live, 1, false},
  };
  for (const LostRunnerCase& test : cases) {
    CAPTURE(test.name);
    Fixture f("[defaults]\nmax_replicas = 2\n[models b]\nm = v1 1000 100\n");
    f.PlanUntilStable();
    const Slot old = f.SlotsOf("m").at(0);
    f.RunnerOf(old).serving = test.serving;
    f.RunnerOf(old).state = test.state;
    if (!test.listed) {
      std::erase_if(f.input.runners, [&](const auto& runner) { return runner.id == old.runner; });
    }
    f.Plan();
    CHECK(f.SlotsOf("m").size() == test.expected);
    const std::vector<Slot> now = f.SlotsOf("m");
    CHECK((std::find(now.begin(), now.end(), old) != now.end()) == test.old_kept);
  }
}

TEST_CASE("an entry that is too large for a runner is not placed there") {
  Fixture f("[models b]\nm = v1 100000 100\n");
  f.PlanUntilStable();
  CHECK(f.SlotsOf("m").empty());
  f.input.runners[3].memory_capacity = Bytes(200ULL << 30U);
  f.PlanUntilStable();
  REQUIRE(f.SlotsOf("m").size() == 1);
  CHECK(f.SlotsOf("m")[0].runner == RunnerId("r3"));
}

TEST_CASE("an entry that was removed from the catalogue is released") {
  Fixture f(kOneModel);
  f.PlanUntilStable();
  f.config = Config("[models b]\nother = v1 1000 100\n");
  f.Plan();
  CHECK(f.SlotsOf("m", SlotState::kReleasing).size() == 1);
}

std::map<RunnerId, size_t> SlotsByRunner(const Fixture& f) {
  std::map<RunnerId, size_t> counts;
  for (const PlannerRunner& runner : f.input.runners) counts[runner.id] = 0;
  for (const Slot& slot : f.input.slots) ++counts[slot.runner];
  return counts;
}

std::string Models(int count) {
  std::string text = "[defaults]\nmax_replicas = 2\n[models b]\n";
  for (int i = 0; i < count; ++i) text += "m" + std::to_string(i) + " = v1 14000 2000\n";
  return text;
}

TEST_CASE("slots are balanced across the runners") {
  Fixture f(Models(40), 12);
  f.PlanUntilStable();
  for (const auto& [runner, count] : SlotsByRunner(f)) {
    CAPTURE(runner.value());
    CHECK(count >= 3);
    CHECK(count <= 4);
  }
}

// Guards against new runners that never get a slot.
TEST_CASE("idle slots move to new runners, loaded ones stay") {
  Fixture f(Models(40), 6);
  f.PlanUntilStable();
  const Slot loaded = f.SlotsOf("m0").at(0);
  f.RunnerOf(loaded).loaded.insert(EntryId("m0"));
  for (int i = 6; i < 12; ++i) f.input.runners.push_back(Runner(i, i % 3));
  f.PlanUntilStable();
  for (const auto& [runner, count] : SlotsByRunner(f)) {
    CAPTURE(runner.value());
    CHECK(count >= 2);
    CHECK(count <= 5);
  }
  CHECK(f.SlotsOf("m0").at(0) == loaded);
}

// Guards against an endless loop in which a slot is released for balance and then placed on the
// same runner again.
TEST_CASE("a slot is not released for a runner that the next plan would not choose") {
  Fixture f(Models(1), 3);
  f.input.wanted[EntryId("m0")] = 2;
  f.PlanUntilStable();
  // One slot is on a missing runner. Another runner in the same domain has the entry loaded.
  const Slot missing = f.SlotsOf("m0").at(0);
  f.RunnerOf(missing).state = PlannerRunner::State::kMissing;
  PlannerRunner same_domain = Runner(9, 0);
  same_domain.failure_domain = f.RunnerOf(missing).failure_domain;
  same_domain.loaded.insert(EntryId("m0"));
  f.input.runners.push_back(same_domain);
  f.input.wanted[EntryId("m0")] = 1;
  f.PlanUntilStable();
  const std::vector<Slot> before = f.input.slots;
  for (int i = 0; i < 10; ++i) CHECK(f.Plan() == before);
}

// Guards against plans that exceed the maximum, lose slots, or do not converge, for random runner
// states and demand.
TEST_CASE("random changes do not violate the placement rules") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    Fixture f(
        "[defaults]\nmax_replicas = 3\n[models b]\nm0 = v1 9000 10\nm1 = v1 5000 10\n"
        "m2 = v1 20000 10\n[adapters m0]\na0 = v1 10\na1 = v1 10\n[adapters m1]\nb0 = v1 9\n");
    for (int step = 0; step < 40; ++step) {
      PlannerRunner& runner = f.input.runners[random.Below(f.input.runners.size())];
      runner.serving = random.Below(4) != 0;
      runner.state = static_cast<PlannerRunner::State>(random.Below(3));
      for (const auto& [id, entry] : f.config.entries) {
        if (random.Below(3) == 0) f.input.wanted[id] = random.Below(5);
        if (random.Below(9) == 0) runner.loaded.insert(id);
      }
      const std::vector<Slot> before = f.input.slots;
      f.Plan();
      std::map<EntryId, size_t> counts;
      std::set<std::pair<EntryId, RunnerId>> places;
      for (const Slot& slot : f.input.slots) {
        ++counts[slot.entry];
        CHECK(places.emplace(slot.entry, slot.runner).second);
      }
      for (const auto& [entry, count] : counts) CHECK(count <= 3);
      for (const Slot& slot : before) CHECK(places.contains({slot.entry, slot.runner}));
      if (random.Below(2) == 0) f.DropReleasing();
    }
    f.PlanUntilStable();
  }
}

}  // namespace
}  // namespace shallot
