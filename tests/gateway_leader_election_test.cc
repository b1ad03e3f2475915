#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "servers/gateway/leader_election.h"

namespace shallot::gateway {
namespace {

using Action = LeaderElection::Action;
using Renewal = LeaseRenewal;

constexpr BootTime kStart{std::chrono::seconds(1000)};
constexpr Millis kTerm{3'000};

StorePosition At(uint64_t revision, uint64_t era = 1) {
  return {StoreEra(era), StoreRevision(revision)};
}

LeaderRecord Record(const std::string& holder, uint64_t revision) {
  return {InstanceId(holder), "10.0.0.1:1", At(revision)};
}

/// An election that "a" has won at kStart with fencing number 7.
LeaderElection Elected(bool orders_fenced = false) {
  LeaderElection election(InstanceId("a"), kTerm, orders_fenced, 1);
  election.OnRecord(std::nullopt, At(5), kStart);
  CHECK(election.Next(kStart) == Action::kCreateLease);
  election.OnLease(LeaseId(1), kTerm, kStart, kStart);
  CHECK(election.Next(kStart) == Action::kClaim);
  CHECK(election.ClaimCondition() == StoreRevision(0));
  election.OnClaim(At(7), false, kStart);
  return election;
}

struct TermCase {
  const char* name;
  bool fenced;
  Millis order_lease;
  Millis least_lease;
  Millis expected;
};

// Guards against seconds without placement after the loss of a leader where fencing numbers protect
// the runners, and against two concurrent holders where nothing else does.
TEST_CASE("gateway: the lease is short only where runners check fencing numbers") {
  for (const TermCase& test :
       {TermCase{"fenced", true, Millis(3'000), Millis(1'000), LeaderElection::kFencedTerm},
        TermCase{"fenced, store grants no such lease", true, Millis(3'000), Millis(2'000),
                 Millis(2'000)},
        TermCase{"not fenced", false, Millis(3'000), Millis(1'000), Millis(3'000)},
        TermCase{"not fenced, long leases only", false, Millis(3'000), Millis(5'000),
                 Millis(5'000)}}) {
    CAPTURE(std::string(test.name));
    CHECK(LeaderElection::Term(test.fenced, test.order_lease, test.least_lease) == test.expected);
  }
  // A renewal and its response fit into the time in which orders may be sent.
  CHECK(LeaderElection::kFencedTerm / LeaderElection::kRenewalsPerTerm <
        LeaderElection::kFencedTerm - LeaderElection::kMargin);
}

// Guards against a gateway that sends orders before the store has confirmed its claim.
TEST_CASE("gateway: leadership begins with the store's confirmation") {
  LeaderElection election(InstanceId("a"), kTerm, false, 1);
  CHECK_MESSAGE(election.Next(kStart) == Action::kNone, "the record is not known yet");
  election = Elected();
  CHECK(election.Leads(kStart));
  CHECK(election.fence() == FenceOf(At(7)));
}

// Guards against two concurrent holders: a leader that is suspended or disconnected must stop
// before its lease ends.
TEST_CASE("gateway: a leader without renewals stops before its lease ends") {
  LeaderElection election = Elected();
  CHECK(election.Leads(kStart + kTerm - LeaderElection::kMargin - Millis(1)));
  CHECK_FALSE(election.Leads(kStart + kTerm - LeaderElection::kMargin));
  CHECK(election.Next(kStart + kTerm) == Action::kNone);
  CHECK_FALSE(election.Leads(kStart + kTerm));
}

// Guards against counting the lease from the response instead of from the request.
TEST_CASE("gateway: a renewal counts from when it was sent") {
  LeaderElection election = Elected();
  const BootTime sent = kStart + kTerm / 2;
  CHECK(election.Next(sent) == Action::kRenew);
  CHECK_MESSAGE(election.Next(sent) == Action::kNone, "one call at a time");
  election.OnRenewed(Renewal::kDone, sent, sent + Millis(600));
  CHECK(election.Leads(sent + kTerm - LeaderElection::kMargin - Millis(1)));
  CHECK_FALSE(election.Leads(sent + kTerm - LeaderElection::kMargin));
}

struct RenewalCase {
  const char* name;
  Renewal renewal;
  bool expected_leads;
};

// Guards against a leader that continues after the store has ended its lease.
TEST_CASE("gateway: leadership after the outcome of a renewal") {
  for (const RenewalCase& test :
       {RenewalCase{"done", Renewal::kDone, true}, RenewalCase{"unknown", Renewal::kUnknown, true},
        RenewalCase{"lost", Renewal::kLost, false}}) {
    CAPTURE(std::string(test.name));
    LeaderElection election = Elected();
    const BootTime now = kStart + kTerm / 2;
    REQUIRE(election.Next(now) == Action::kRenew);
    election.OnRenewed(test.renewal, now, now);
    CHECK(election.Leads(now) == test.expected_leads);
  }
}

struct RecordCase {
  const char* name;
  std::optional<LeaderRecord> record;
  uint64_t revision;
  bool expected_leads;
};

// Guards against stepping down because of a record that predates the leader's own claim, and
// against continuing after the record went to another holder or was removed.
TEST_CASE("gateway: leadership after an update of the record") {
  for (const RecordCase& test : {RecordCase{"absent before the claim", std::nullopt, 6, true},
                                 RecordCase{"own record", Record("a", 7), 7, true},
                                 RecordCase{"removed later", std::nullopt, 9, false},
                                 RecordCase{"another holder", Record("b", 9), 9, false}}) {
    CAPTURE(std::string(test.name));
    LeaderElection election = Elected();
    election.OnRecord(test.record, At(test.revision), kStart);
    CHECK(election.Leads(kStart) == test.expected_leads);
  }
}

// Guards against a restarted gateway that waits for its own old lease, and against claiming another
// holder's record.
TEST_CASE("gateway: only an absent or own record may be claimed") {
  LeaderElection election(InstanceId("a"), kTerm, false, 1);
  election.OnRecord(Record("b", 4), At(4), kStart);
  CHECK(election.Next(kStart) == Action::kNone);
  election.OnRecord(Record("a", 5), At(5), kStart);
  CHECK(election.Next(kStart) == Action::kCreateLease);
  election.OnLease(LeaseId(2), kTerm, kStart, kStart);
  CHECK(election.Next(kStart) == Action::kClaim);
  CHECK(election.ClaimCondition() == StoreRevision(5));
}

struct ReclaimCase {
  const char* name;
  std::optional<LeaderRecord> record;
  bool conflict;
  bool expected_claim;
};

// Guards against seconds without placement after a store outage that was longer than the lease,
// although the store still has this gateway's record, and against claims that cannot succeed.
TEST_CASE("gateway: a former leader claims its own record again after an outage") {
  for (const ReclaimCase& test :
       {ReclaimCase{"own record is still there", Record("a", 7), false, true},
        ReclaimCase{"claim failed because the record changed", Record("a", 7), true, false},
        ReclaimCase{"another gateway took over", Record("b", 9), false, false}}) {
    CAPTURE(std::string(test.name));
    LeaderElection election = Elected();
    BootTime now = kStart + kTerm;
    REQUIRE(election.Next(now) == Action::kNone);
    election.OnRecord(test.record, test.record->position, now);
    now += LeaderElection::kRetryPause * 2;
    if (test.conflict) {
      REQUIRE(election.Next(now) == Action::kCreateLease);
      election.OnLease(LeaseId(2), kTerm, now, now);
      REQUIRE(election.Next(now) == Action::kClaim);
      election.OnClaim(std::nullopt, true, now);
      now += LeaderElection::kRetryPause * 2;
    }
    CHECK((election.Next(now) == Action::kCreateLease) == test.expected_claim);
    CHECK_FALSE(election.Leads(now));
    if (!test.expected_claim) continue;
    election.OnLease(LeaseId(2), kTerm, now, now);
    REQUIRE(election.Next(now) == Action::kClaim);
    CHECK(election.ReclaimsOwnRecord());
    CHECK(election.ClaimCondition() == StoreRevision(7));
    election.OnClaim(At(11), false, now);
    CHECK(election.Leads(now));
    CHECK(election.fence() == FenceOf(At(11)));
  }
}

// Guards against two holders whose orders are too close where runners do not check fencing numbers:
// a record of its own under which a gateway has not led may have replaced another leader's just
// now.
TEST_CASE("gateway: a record from a claim without an answer does not count as led under") {
  LeaderElection election(InstanceId("a"), kTerm, false, 1);
  election.OnRecord(std::nullopt, At(1), kStart);
  REQUIRE(election.Next(kStart) == Action::kCreateLease);
  election.OnLease(LeaseId(1), kTerm, kStart, kStart);
  REQUIRE(election.Next(kStart) == Action::kClaim);
  election.OnClaim(std::nullopt, false, kStart);
  election.OnRecord(Record("a", 9), At(9), kStart);
  const BootTime later = kStart + LeaderElection::kRetryPause * 2;
  REQUIRE(election.Next(later) == Action::kCreateLease);
  election.OnLease(LeaseId(2), kTerm, later, later);
  REQUIRE(election.Next(later) == Action::kClaim);
  CHECK_FALSE(election.ReclaimsOwnRecord());
}

// Guards against a claim under the lease of an earlier claim that failed.
TEST_CASE("gateway: a failed claim starts over after a pause") {
  LeaderElection election(InstanceId("a"), kTerm, false, 1);
  election.OnRecord(std::nullopt, At(1), kStart);
  REQUIRE(election.Next(kStart) == Action::kCreateLease);
  election.OnLease(LeaseId(1), kTerm, kStart, kStart);
  REQUIRE(election.Next(kStart) == Action::kClaim);
  election.OnClaim(std::nullopt, false, kStart);
  CHECK_FALSE(election.Leads(kStart));
  CHECK(election.Next(kStart) == Action::kNone);
  CHECK(election.Next(kStart + LeaderElection::kRetryPause * 2) == Action::kCreateLease);
}

struct WeakCase {
  const char* name;
  bool weak;
  std::optional<Millis> stronger_notice_lag;
  /// Time until a claim after the leader's record has gone.
  Millis expected_delay;
  /// Whether a record that an earlier run of the gateway left may be claimed.
  bool reclaims;
};

// Guards against a leader on a weak instance that cannot renew its lease in time, because stronger
// gateways learned later than it that there was no leader, and that claims its record again and
// again.
TEST_CASE("gateway: a weak instance claims after the stronger gateways can have claimed") {
  constexpr Millis kLag{900};
  constexpr Millis kDelay = LeaderElection::kWeakClaimDelay;
  for (const WeakCase& test :
       {WeakCase{"not weak", false, kLag, Millis(0), true},
        WeakCase{"weak, no stronger gateway", true, std::nullopt, kDelay, true},
        WeakCase{"weak beside stronger gateways", true, kLag, kLag + kDelay, false}}) {
    CAPTURE(std::string(test.name));
    LeaderElection election(InstanceId("a"), kTerm, true, 1, test.weak);
    election.SetStrongerGateways(test.stronger_notice_lag);
    election.OnRecord(Record("a", 4), At(4), kStart);
    CHECK((election.Next(kStart) == Action::kCreateLease) == test.reclaims);
    if (test.reclaims) election.OnLease(std::nullopt, kTerm, kStart, kStart);
    const BootTime gone = kStart + kTerm;
    election.OnRecord(std::nullopt, At(6), gone);
    if (test.expected_delay > Millis(0)) {
      CHECK(election.Next(gone + test.expected_delay - Millis(1)) == Action::kNone);
    }
    CHECK(election.Next(gone + test.expected_delay) == Action::kCreateLease);
  }
}

/// Leaves the renewals of an elected leader without a response for `outage`.
void RunOutage(LeaderElection* election, Millis outage) {
  for (Millis passed{0}; passed < outage; passed += Millis(100)) {
    const BootTime now = kStart + passed;
    if (election->Next(now) == Action::kRenew) election->OnRenewed(Renewal::kUnknown, now, now);
  }
}

// Guards against placement that stops during a store outage (9 s without orders in one run), and
// against continuing where no fencing protects against a second holder.
TEST_CASE("gateway: a store outage ends leadership only where orders are not fenced") {
  constexpr Millis kOutage{9'000};
  for (const bool fenced : {true, false}) {
    CAPTURE(fenced);
    LeaderElection election = Elected(fenced);
    RunOutage(&election, kOutage);
    CHECK(election.Leads(kStart + kOutage) == fenced);
  }
}

// Guards against a leader that resumes from a suspension and sends orders under its old lease.
TEST_CASE("gateway: a suspended leader must renew first") {
  LeaderElection election = Elected(true);
  RunOutage(&election, Millis(2'000));
  CHECK_FALSE(election.Leads(kStart + Millis(20'000)));
}

// Guards against two concurrent leaders after one of them was disconnected from the store.
TEST_CASE("gateway: a leader past its lease yields to a higher fencing number") {
  LeaderElection election = Elected(true);
  RunOutage(&election, Millis(5'000));
  const BootTime now = kStart + Millis(5'000);
  election.OnLeaderNotice(FenceOf(At(6)), now);
  CHECK(election.Leads(now));
  election.OnLeaderNotice(FenceOf(At(8)), now);
  CHECK_FALSE(election.Leads(now));
}

// Guards against a leader that continues after a runner has seen a higher fencing number, and
// against a stopping gateway that claims leadership again.
TEST_CASE("gateway: fenced and stopped leaders give no orders") {
  LeaderElection fenced = Elected();
  fenced.OnFenced(kStart);
  CHECK_FALSE(fenced.Leads(kStart));
  LeaderElection stopped = Elected();
  stopped.Stop();
  CHECK_FALSE(stopped.Leads(kStart));
  CHECK(stopped.Next(kStart + kTerm * 2) == Action::kNone);
}

struct FenceCase {
  const char* name;
  StorePosition earlier;
  StorePosition later;
};

// Guards against two leaders whose orders bear the same fencing number, because a restored store
// has given out the revision of a claim again, and against runners that reject the orders of a
// leader elected after a restore as outdated.
TEST_CASE("gateway: fencing numbers increase across restores of the store") {
  const std::vector<FenceCase> cases = {
      {"same era", At(7, 1), At(8, 1)},
      {"the revision is given out again", At(70, 1), At(70, 2)},
      {"the restored store is far behind", At(1'000'000'000, 1), At(2, 2)},
      {"several restores", At(70, 2), At(3, 9)},
      {"the store begins to name eras", At(70, 0), At(71, 1)},
  };
  for (const FenceCase& test : cases) {
    CAPTURE(std::string(test.name));
    CHECK(FenceOf(test.earlier) < FenceOf(test.later));
  }
}

struct RestoredRecordCase {
  const char* name;
  std::optional<LeaderRecord> record;
  bool expected_claim;
};

LeaderRecord RecordInEra(const std::string& holder, uint64_t revision, uint64_t era) {
  LeaderRecord record = Record(holder, revision);
  record.position = At(revision, era);
  return record;
}

// Guards against a leader that goes on under a lease which a restored store does not have, or has
// granted to another gateway, and against orders of two holders that are too close where runners do
// not check fencing numbers: in the time that the copy lacks, another gateway may have led.
TEST_CASE("gateway: a leader of a store that is restored claims anew") {
  for (const bool fenced : {true, false}) {
    for (const RestoredRecordCase& test :
         {RestoredRecordCase{"no record", std::nullopt, true},
          RestoredRecordCase{"own record", RecordInEra("a", 7, 2), true},
          RestoredRecordCase{"record of a former leader", RecordInEra("b", 5, 2), false}}) {
      CAPTURE(fenced);
      CAPTURE(std::string(test.name));
      LeaderElection election = Elected(fenced);
      const BootTime now = kStart + Millis(10);
      election.OnStoreRestored(now);
      CHECK_FALSE(election.Leads(now));
      CHECK(election.Next(now) == Action::kNone);
      election.OnRecord(test.record, At(9, 2), now);
      CHECK((election.Next(now) == Action::kCreateLease) == test.expected_claim);
      CHECK_FALSE(election.ReclaimsOwnRecord());
    }
  }
}

}  // namespace
}  // namespace shallot::gateway
