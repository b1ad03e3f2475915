#include "servers/store_order_claims.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/random.h"
#include "servers/order_record.h"
#include "tests/fake_platform_store.h"

namespace shallot {
namespace {

struct Fixture {
  ManualClock clock;
  FakePlatformStore store{&clock};
  MetricsRegistry metrics;
  StoreOrderClaims first{&clock, &store, &metrics, 1};
  StoreOrderClaims second{&clock, &store, &metrics, 2};
  const IdempotencyKey key{"order/1"};

  std::vector<ClaimReply> replies;
  std::vector<Status> records;

  void Claim(StoreOrderClaims* claims, const std::string& id, uint64_t hash = 7) {
    claims->Claim(key, hash, ClaimId(id), RunnerId("runner-" + id),
                  [this](const ClaimReply& reply) { replies.push_back(reply); });
  }
  void Answer(StoreOrderClaims* claims, const std::string& id, const std::string& body) {
    OrderAnswer answer;
    answer.outcome.kind = OutcomeKind::kCompleted;
    answer.outcome.http_status = 201;
    answer.outcome.total_length = body.size();
    answer.body = body;
    claims->RecordAnswer(key, ClaimId(id), answer, Keep());
  }
  void NotRun(StoreOrderClaims* claims, const std::string& id) {
    claims->RecordNotRun(key, ClaimId(id), Keep());
  }
  OrderClaims::DoneCallback Keep() {
    return [this](const Status& status) { records.push_back(status); };
  }
  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(50)) {
      clock.Advance(Millis(50));
      first.OnTick();
      second.OnTick();
      store.Deliver();
    }
  }
};

TEST_CASE("the key of an order stays within its bucket") {
  const std::string key = OrderKey(IdempotencyKey("../config/head")).value();
  CHECK(key.substr(0, 7) == "orders/");
  CHECK(key.substr(10) == "%2E%2E%2Fconfig%2Fhead");
}

// Guards against an order that runs twice because two runners got its claim.
TEST_CASE("a second claim finds the order in progress, then its recorded answer") {
  Fixture f;
  f.Claim(&f.first, "a");
  f.Claim(&f.second, "b");
  f.Answer(&f.first, "a", std::string("\x00\xff body", 7));
  f.Claim(&f.second, "c");
  f.Claim(&f.second, "d", 8);
  REQUIRE(f.replies.size() == 4);
  CHECK(f.replies[0].state == ClaimState::kGranted);
  CHECK(f.replies[1].state == ClaimState::kInProgress);
  CHECK(f.replies[1].holder == RunnerId("runner-a"));
  CHECK(f.replies[2].state == ClaimState::kAnswered);
  CHECK(f.replies[2].answer.body == std::string("\x00\xff body", 7));
  CHECK(f.replies[2].answer.outcome.http_status == 201);
  CHECK(f.replies[3].state == ClaimState::kKeyReused);
  CHECK(f.metrics.GetCounter("shallot_store_calls_total{op=\"cas\"}").value() == 5);
}

TEST_CASE("an order that was not run can be claimed again, but only by the same request") {
  Fixture f;
  f.Claim(&f.first, "a");
  f.NotRun(&f.first, "a");
  f.Claim(&f.second, "b", 8);
  f.Claim(&f.second, "c");
  REQUIRE(f.replies.size() == 3);
  CHECK(f.replies[1].state == ClaimState::kKeyReused);
  CHECK(f.replies[2].state == ClaimState::kGranted);
}

// Guards against a claim that took effect being reported as not claimed, and the reverse.
TEST_CASE("a claim whose answer was lost is resolved by its id") {
  Fixture f;
  SUBCASE("the write took effect") { f.store.LoseAnswers(1); }
  SUBCASE("the write was lost") { f.store.LoseRequests(1); }
  SUBCASE("two writes were lost") { f.store.LoseRequests(2); }
  f.Claim(&f.first, "a");
  f.Run(Millis(1000));
  f.Claim(&f.second, "b");
  REQUIRE(f.replies.size() == 2);
  CHECK(f.replies[0].state == ClaimState::kGranted);
  CHECK(f.replies[1].state == ClaimState::kInProgress);
}

// Guards against an order that runs without a claim while the store is down.
TEST_CASE("in an outage nothing is claimed") {
  Fixture f;
  f.store.SetDown(true);
  f.Claim(&f.first, "a");
  f.Run(Millis(1900));
  CHECK(f.replies.empty());
  f.Run(Millis(1000));
  REQUIRE(f.replies.size() == 1);
  CHECK(f.replies[0].state == ClaimState::kUnavailable);
  f.store.SetDown(false);
  f.Run(Millis(5000));
  CHECK(f.store.Keys().empty());
}

// Guards against an unused claim that prevents its order from ever running.
TEST_CASE("an unresolved claim is released when the store answers again") {
  Fixture f;
  f.store.LoseAnswers(1);
  f.store.SetDelayed(true);
  f.Claim(&f.first, "a");
  f.store.SetDown(true);
  f.Run(Millis(3000));
  REQUIRE(f.replies.size() == 1);
  CHECK(f.replies[0].state == ClaimState::kUnresolved);
  CHECK(f.first.pending_records() == 1);
  f.store.SetDown(false);
  f.Run(Millis(20'000));
  CHECK(f.first.pending_records() == 0);
  f.Claim(&f.second, "b");
  f.Run(Millis(1000));
  REQUIRE(f.replies.size() == 2);
  CHECK(f.replies[1].state == ClaimState::kGranted);
}

// Guards against a lost answer record, after which a duplicate would never be answered.
TEST_CASE("an answer is recorded through conflicts, lost answers and an outage") {
  Fixture f;
  f.Claim(&f.first, "a");
  SUBCASE("refused") { f.store.RefuseWrites(2); }
  SUBCASE("answer lost") { f.store.LoseAnswers(1); }
  SUBCASE("request lost") { f.store.LoseRequests(1); }
  SUBCASE("outage") { f.store.SetDown(true); }
  f.Answer(&f.first, "a", "printed");
  f.Run(Millis(60'000));
  f.store.SetDown(false);
  f.Run(Millis(20'000));
  REQUIRE(f.records.size() == 1);
  CHECK(IsOk(f.records[0]));
  f.Claim(&f.second, "b");
  REQUIRE(f.replies.size() == 2);
  CHECK(f.replies[1].state == ClaimState::kAnswered);
  CHECK(f.replies[1].answer.body == "printed");
}

TEST_CASE("a record under another claim is refused") {
  Fixture f;
  f.Claim(&f.first, "a");
  f.Answer(&f.second, "b", "x");
  REQUIRE(f.records.size() == 1);
  REQUIRE_FALSE(IsOk(f.records[0]));
  CHECK(ErrorOf(f.records[0]).kind == ErrorKind::kConflict);
}

// Guards against records that exceed the value size of the store.
TEST_CASE("a long answer is recorded as length and hash") {
  Fixture f;
  f.Claim(&f.first, "a");
  f.Answer(&f.first, "a", std::string(kMaxRecordedBody + 1, 'x'));
  f.Claim(&f.second, "b");
  REQUIRE(f.replies.size() == 2);
  CHECK(f.replies[1].state == ClaimState::kAnswered);
  CHECK(f.replies[1].answer.body.empty());
  CHECK(f.replies[1].answer.outcome.total_length == kMaxRecordedBody + 1);
  CHECK(f.replies[1].message.find("262145 bytes") != std::string::npos);
}

TEST_CASE("a claim expires after the order window") {
  Fixture f;
  f.first.SetOrderWindow(Millis(60'000));
  f.Claim(&f.first, "a");
  f.clock.Advance(Millis(60'000));
  f.Claim(&f.second, "b");
  REQUIRE(f.replies.size() == 2);
  CHECK(f.replies[1].state == ClaimState::kGranted);
}

// Guards against a second grant under any mix of faults; each seed is one schedule.
TEST_CASE("at most one claim is granted under random faults") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Fixture f;
    Random random(seed);
    f.store.SetDelayed(random.Below(2) == 0);
    for (int step = 0; step < 20; ++step) {
      if (random.Below(4) == 0) f.store.LoseAnswers(static_cast<int>(random.Below(3)));
      if (random.Below(4) == 0) f.store.LoseRequests(static_cast<int>(random.Below(3)));
      if (random.Below(4) == 0) f.store.SetDown(random.Below(3) == 0);
      if (random.Below(2) == 0) {
        f.Claim(random.Below(2) == 0 ? &f.first : &f.second, "c" + std::to_string(step));
      }
      f.Run(Millis(50 * random.Below(20)));
    }
    f.store.SetDown(false);
    f.Run(Millis(30'000));
    int granted = 0;
    for (const ClaimReply& reply : f.replies) granted += reply.state == ClaimState::kGranted;
    CHECK(granted <= 1);
  }
}

}  // namespace
}  // namespace shallot
