#include "servers/gateway/presence.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

constexpr BootTime kStart{std::chrono::seconds(1000)};

StorePosition At(uint64_t revision, uint64_t era = 1) {
  return {StoreEra(era), StoreRevision(revision)};
}

using Action = Presence::Action;

/// A gateway that has registered its key at revision 20 with lease 1.
Presence Registered() {
  Presence presence;
  REQUIRE(presence.Next(kStart) == Action::kCreateLease);
  presence.OnLease(LeaseId(1), kStart);
  REQUIRE(presence.Next(kStart) == Action::kRegister);
  presence.OnRegistered(At(20), kStart);
  return presence;
}

// Guards against a restarted gateway that stays unknown until the lease of its previous run ends:
// the leader's notices did not reach it for up to 13 s after all gateways had lost power.
TEST_CASE("gateway: a restarted gateway takes over the key of its previous run") {
  Presence presence;
  presence.OnKey(At(7), At(9), kStart);
  REQUIRE(presence.Next(kStart) == Action::kCreateLease);
  presence.OnLease(LeaseId(1), kStart);
  REQUIRE(presence.Next(kStart) == Action::kRegister);
  CHECK(presence.Condition() == StoreRevision(7));
  presence.OnRegistered(At(20), kStart);
  CHECK(presence.registered());
  // The end of the previous run's lease does not concern the new key.
  presence.OnKey(std::nullopt, At(19), kStart);
  CHECK(presence.registered());
}

// Guards against a failed registration that is not retried for seconds.
TEST_CASE("gateway: a failed registration is retried soon under the newest condition") {
  Presence presence;
  REQUIRE(presence.Next(kStart) == Action::kCreateLease);
  presence.OnLease(LeaseId(1), kStart);
  REQUIRE(presence.Next(kStart) == Action::kRegister);
  CHECK(presence.Condition() == StoreRevision(0));
  presence.OnRegistered(std::nullopt, kStart);
  CHECK(presence.Next(kStart) == Action::kNone);
  presence.OnKey(At(7), At(9), kStart);
  CHECK(presence.Next(kStart + Presence::kRetryPause) == Action::kRegister);
  CHECK(presence.Condition() == StoreRevision(7));
}

// Guards against a gateway that renews the lease of a key that the platform has removed.
TEST_CASE("gateway: a key that is gone is written again with a new lease") {
  Presence presence = Registered();
  presence.OnKey(std::nullopt, At(30), kStart);
  CHECK_FALSE(presence.registered());
  CHECK(presence.Next(kStart) == Action::kCreateLease);
}

struct RenewalCase {
  const char* name;
  LeaseRenewal renewal;
  Duration checked_after;
  Action expected;
};

// Guards against lost leases that go unnoticed, and against renewals that are sent too often.
TEST_CASE("gateway: next action after a renewal of the own key's lease") {
  constexpr Duration kInterval = Presence::kTerm / Presence::kRenewalsPerTerm;
  const std::vector<RenewalCase> cases = {
      {"renewed", LeaseRenewal::kDone, Presence::kRetryPause, Action::kNone},
      {"renewed, next one due", LeaseRenewal::kDone, kInterval, Action::kRenew},
      {"no answer", LeaseRenewal::kUnknown, Presence::kRetryPause, Action::kRenew},
      {"lease has ended", LeaseRenewal::kLost, Duration(0), Action::kCreateLease},
  };
  for (const RenewalCase& test : cases) {
    CAPTURE(std::string(test.name));
    Presence presence = Registered();
    const BootTime due = kStart + kInterval;
    REQUIRE(presence.Next(due) == Action::kRenew);
    presence.OnRenewed(test.renewal, due);
    CHECK(presence.Next(due + test.checked_after) == test.expected);
  }
}

struct RestoredKeyCase {
  const char* name;
  std::optional<StorePosition> key;
  StoreRevision condition;
};

// Guards against a gateway that renews a lease which a restored store has granted to another one,
// while its own key is gone or ends with the lease of the copy.
TEST_CASE("gateway: a gateway registers anew when the store was restored") {
  for (const RestoredKeyCase& test :
       {RestoredKeyCase{"key not in the copy", std::nullopt, StoreRevision(0)},
        RestoredKeyCase{"key in the copy", At(20, 2), StoreRevision(20)},
        RestoredKeyCase{"key of an earlier run in the copy", At(4, 2), StoreRevision(4)}}) {
    CAPTURE(std::string(test.name));
    Presence presence = Registered();
    presence.OnStoreRestored(kStart);
    CHECK_FALSE(presence.registered());
    REQUIRE(presence.Next(kStart) == Action::kCreateLease);
    presence.OnLease(LeaseId(1), kStart);
    CHECK_MESSAGE(presence.Next(kStart) == Action::kNone, "the condition is not known yet");
    presence.OnKey(test.key, At(22, 2), kStart);
    CHECK(presence.Next(kStart) == Action::kRegister);
    CHECK(presence.Condition() == test.condition);
  }
}

}  // namespace
}  // namespace shallot::gateway
