#include "servers/gateway/access/config_proof.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/gateway/access/caller_access.h"
#include "tests/gateway_config_proof_fixture.h"

namespace shallot::gateway {
namespace {

ConfigProof MakeProof(uint64_t version) {
  ConfigProof proof(InstanceId("front-0"), 100);
  if (version > 0) proof.OnApplied(FleetVersion(version));
  return proof;
}

// Guards against a proof that a store call does not give: because of when it was sent, of what it
// left out, of a configuration that is not in force, or of a restore.
TEST_CASE("gateway: which store calls prove the configuration") {
  struct Case {
    const char* name;
    std::function<void(ConfigProof*)> play;
    /// Time of the proof after kStart; absent if there is none.
    std::optional<int> proved_ms;
  };
  const auto at = [](int ms) { return kStart + Millis(ms); };
  const auto up_to_date = [at](ConfigProof* proof, int sent, int now, bool complete = true) {
    proof->OnUpToDate(at(sent), complete, at(now));
  };
  for (const Case& test : std::vector<Case>{
           {"nothing yet", [](ConfigProof*) {}, std::nullopt},
           {"an answer counts from when its call was sent",
            [&](ConfigProof* proof) { up_to_date(proof, 10, 9'000); }, 10},
           {"an older answer that comes later changes nothing",
            [&](ConfigProof* proof) {
              up_to_date(proof, 500, 510);
              up_to_date(proof, 10, 520);
            },
            500},
           {"a newer version from another gateway keeps the proof",
            [&](ConfigProof* proof) {
              up_to_date(proof, 10, 20);
              proof->OnApplied(FleetVersion(6));
            },
            10},
           {"a configuration that cannot be decoded ends further proofs",
            [&](ConfigProof* proof) {
              up_to_date(proof, 10, 20);
              proof->OnStoreConfig(At(1, 7), std::nullopt);
              up_to_date(proof, 400, 410);
            },
            10},
           {"a later one that can be decoded allows them again",
            [&](ConfigProof* proof) {
              proof->OnStoreConfig(At(1, 7), std::nullopt);
              proof->OnApplied(FleetVersion(7));
              proof->OnStoreConfig(At(1, 8), FleetVersion(7));
              up_to_date(proof, 400, 410);
            },
            400},
           {"a late read of an earlier state does not",
            [&](ConfigProof* proof) {
              proof->OnStoreConfig(At(1, 7), std::nullopt);
              proof->OnStoreConfig(At(1, 6), FleetVersion(5));
              up_to_date(proof, 400, 410);
            },
            std::nullopt},
           {"after an incomplete answer the watch proves nothing",
            [&](ConfigProof* proof) {
              up_to_date(proof, 10, 20, false);
              up_to_date(proof, 400, 410);
            },
            std::nullopt},
           {"until the key was read after it",
            [&](ConfigProof* proof) {
              up_to_date(proof, 10, 20, false);
              proof->OnKeyRead(at(30), FleetVersion(5), at(40));
              up_to_date(proof, 400, 410);
            },
            400},
           {"a read of the key that was sent before it does not help",
            [&](ConfigProof* proof) {
              up_to_date(proof, 10, 20, false);
              proof->OnKeyRead(at(15), FleetVersion(5), at(40));
              up_to_date(proof, 400, 410);
            },
            15},
           {"a key with a version that is not in force",
            [&](ConfigProof* proof) { proof->OnKeyRead(at(30), FleetVersion(6), at(40)); },
            std::nullopt},
           {"a key that cannot be decoded",
            [&](ConfigProof* proof) { proof->OnKeyRead(at(30), std::nullopt, at(40)); },
            std::nullopt},
           {"calls right after a restore do not count",
            [&](ConfigProof* proof) {
              proof->OnEra(StoreEra(1), at(0));
              up_to_date(proof, 10, 20);
              proof->OnEra(StoreEra(2), at(100));
              up_to_date(proof, 3'099, 3'110);
              proof->OnKeyRead(at(3'099), FleetVersion(5), at(3'110));
            },
            10},
           {"calls after the time to settle do",
            [&](ConfigProof* proof) {
              proof->OnEra(StoreEra(1), at(0));
              proof->OnEra(StoreEra(2), at(100));
              up_to_date(proof, 3'100, 3'110);
            },
            3'100},
           {"a gateway that starts on a restored store waits as well",
            [&](ConfigProof* proof) {
              proof->OnEra(StoreEra(4), at(0));
              up_to_date(proof, 2'990, 3'010);
            },
            std::nullopt}}) {
    CAPTURE(std::string(test.name));
    ConfigProof proof = MakeProof(5);
    test.play(&proof);
    std::optional<BootTime> expected;
    if (test.proved_ms) expected = at(*test.proved_ms);
    CHECK(proof.proved_at() == expected);
  }
  ConfigProof without_configuration = MakeProof(0);
  without_configuration.OnUpToDate(kStart, true, kStart);
  CHECK_FALSE(without_configuration.proved_at());
}

// Guards against another gateway's proof that does not hold for this one.
TEST_CASE("gateway: which responses of other gateways prove the configuration") {
  struct Case {
    const char* name;
    const char* sender;
    uint64_t number;
    uint64_t version;
    std::optional<Millis> age;
    bool counts;
  };
  const ProofTimes times = ProofTimesOf(StrictPolicy());
  for (const Case& test : {Case{"same version", "front-1", 101, 5, Millis(300), true},
                           Case{"no proof", "front-1", 101, 5, std::nullopt, false},
                           Case{"older version", "front-1", 101, 4, Millis(300), false},
                           Case{"newer version", "front-1", 101, 6, Millis(300), false},
                           Case{"not asked", "front-2", 101, 5, Millis(300), false},
                           Case{"earlier run", "front-1", 7, 5, Millis(300), false},
                           Case{"impossible age", "front-1", 101, 5, Millis(-1), false},
                           Case{"older than the clock", "front-1", 101, 5, Millis::max(), false}}) {
    CAPTURE(std::string(test.name));
    ConfigProof proof = MakeProof(5);
    const auto ask = proof.TakeAsk({InstanceId("front-0"), InstanceId("front-1")}, times, kStart);
    REQUIRE(ask);
    REQUIRE(ask->gateway == InstanceId("front-1"));
    // The response may be late; the own time of asking counts.
    CHECK(proof.OnResponse(InstanceId(test.sender), test.number, FleetVersion(test.version),
                           test.age, times, kStart + Millis(1'000)) == test.counts);
    std::optional<BootTime> expected;
    if (test.counts) expected = kStart - Millis(300);
    CHECK(proof.proved_at() == expected);
    // A copy of the newer version arrives.
    proof.OnApplied(FleetVersion(6));
    if (std::string(test.name) == "newer version") expected = kStart - Millis(300);
    CHECK(proof.proved_at() == expected);
  }
}

// Guards against store calls beside a watch that already proves the configuration, and against
// calls in quick succession while the store is away.
TEST_CASE("gateway: the key is read only when the proof is old, and less often in an outage") {
  const ProofTimes times = ProofTimesOf(StrictPolicy());
  ConfigProof proof = MakeProof(5);
  int reads = 0;
  const auto play = [&](int from_ms, int to_ms, bool watched) {
    for (int ms = from_ms; ms < to_ms; ms += 20) {
      const BootTime now = kStart + Millis(ms);
      if (watched && ms % 400 == 0) proof.OnUpToDate(now - Millis(380), true, now);
      if (!proof.TakeRead(times, now)) continue;
      ++reads;
      proof.OnKeyReadFailed(now + Millis(10));
    }
  };
  play(0, 60'000, true);
  CHECK(reads == 0);
  play(60'000, 90'000, false);
  CHECK(reads >= 10);
  CHECK(reads <= 18);
}

}  // namespace
}  // namespace shallot::gateway
