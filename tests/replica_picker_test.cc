#include "servers/replica_picker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace shallot {
namespace {

ReplicaCandidate Make(const std::string& runner, uint64_t outstanding, bool loaded = true,
                      uint64_t queue = 0, Millis age = Millis(0), bool hint = false) {
  return {.runner = RunnerId(runner),
          .outstanding = outstanding,
          .reported_queue = queue,
          .report_age = age,
          .loaded = loaded,
          .prefix_hint = hint};
}

// Guards against choices based on old reports alone, and against calls that bypass a runner that
// has the entry loaded or the prefix cached.
TEST_CASE("the better of two candidates is picked") {
  struct Case {
    const char* name;
    ReplicaCandidate a;
    ReplicaCandidate b;
  };
  const std::vector<Case> cases = {
      {"fewer outstanding", Make("a", 1), Make("b", 2)},
      {"shorter queue", Make("a", 1, true, 2), Make("b", 1, true, 9)},
      {"loaded", Make("a", 5, true), Make("b", 0, false)},
      {"prefix hint", Make("a", 1, true, 0, Millis(0), true), Make("b", 0)},
      {"old report counts less", Make("a", 0, true, 8, Millis(4'000)), Make("b", 0, true, 4)},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Random random(1);
    for (int i = 0; i < 20; ++i) {
      CHECK(PickReplica({c.a, c.b}, EntryId("m"), &random)->runner == RunnerId("a"));
      CHECK(PickReplica({c.b, c.a}, EntryId("m"), &random)->runner == RunnerId("a"));
    }
  }
}

// Guards against a hot spot among equal candidates.
TEST_CASE("calls are spread evenly over equal candidates") {
  std::vector<ReplicaCandidate> candidates;
  for (int i = 0; i < 4; ++i) candidates.push_back(Make("r" + std::to_string(i), 0));
  Random random(1);
  for (int i = 0; i < 400; ++i) {
    const RunnerId chosen = PickReplica(candidates, EntryId("m"), &random)->runner;
    for (ReplicaCandidate& each : candidates) each.outstanding += each.runner == chosen ? 1 : 0;
  }
  for (const ReplicaCandidate& each : candidates) {
    CHECK(each.outstanding > 80);
    CHECK(each.outstanding < 120);
  }
}

// Guards against a burst of calls that loads a cold entry on every runner that may load it.
TEST_CASE("routers agree on the runner for a cold entry") {
  std::vector<ReplicaCandidate> candidates;
  for (int i = 0; i < 4; ++i) candidates.push_back(Make("r" + std::to_string(i), 0, false));
  std::map<RunnerId, int> chosen;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    ++chosen[PickReplica(candidates, EntryId("m"), &random)->runner];
  }
  CHECK(chosen.size() == 1);
}

// Guards against duplicates of an order that run at the same time on two agents.
TEST_CASE("an order key always maps to the same runner") {
  std::vector<ReplicaCandidate> candidates;
  for (int i = 0; i < 5; ++i) {
    candidates.push_back(Make("r" + std::to_string(i), static_cast<uint64_t>(i)));
  }
  std::map<RunnerId, int> spread;
  for (int key = 0; key < 200; ++key) {
    const IdempotencyKey id("key-" + std::to_string(key));
    const RunnerId first = PickByKey(candidates, id)->runner;
    std::vector<ReplicaCandidate> reversed(candidates.rbegin(), candidates.rend());
    CHECK(PickByKey(reversed, id)->runner == first);
    ++spread[first];
  }
  CHECK(spread.size() == 5);
}

TEST_CASE("nothing is picked without candidates") {
  Random random(1);
  CHECK(PickReplica({}, EntryId("m"), &random) == nullptr);
  CHECK(PickByKey({}, IdempotencyKey("k")) == nullptr);
}

// Guards against hints that grow without bound or outlive their runner's cache.
TEST_CASE("prefix hints are bounded and depend only on the prefix") {
  PrefixHints hints;
  const std::string prefix(PrefixHints::kPrefixBytes, 'p');
  hints.Remember(PrefixHints::KeyOf(prefix + "one"));
  CHECK(hints.Contains(PrefixHints::KeyOf(prefix + "two")));
  CHECK_FALSE(hints.Contains(PrefixHints::KeyOf("other")));
  for (uint64_t i = 0; i < PrefixHints::kMaxHints; ++i) hints.Remember(i);
  CHECK(hints.size() == PrefixHints::kMaxHints);
  CHECK_FALSE(hints.Contains(PrefixHints::KeyOf(prefix)));
}

}  // namespace
}  // namespace shallot
