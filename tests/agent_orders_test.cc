#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

const IdempotencyKey kKey("k1");

/// An agent beside a plain service.
struct ServiceAgent : AgentFixture {
  ServiceAgent() : AgentFixture(false) { Begin(); }
};

// Guards against an outcome that is sent before the answer is recorded, so that a copy of the order
// could miss it.
TEST_CASE("an order is claimed, run once and recorded before its outcome") {
  ServiceAgent fixture;
  fixture.claims.hold_records = true;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  REQUIRE(fixture.service.calls.running.size() == 1);
  fixture.service.calls.Complete(CallId("c1"), "done");
  CHECK(fixture.claims.answers.at(kKey).body == "done");
  CHECK(fixture.LastOutcome("c1") == "none");
  fixture.claims.held_records[0](OkStatus());
  CHECK(fixture.LastOutcome("c1") == "completed/none");
  CHECK(fixture.service.calls.starts[CallId("c1")] == 1);
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against an order whose outcome is held back as long as the store is unavailable.
TEST_CASE("the outcome of an order waits at most 2 s for its record") {
  ServiceAgent fixture;
  fixture.claims.hold_records = true;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.service.calls.Complete(CallId("c1"));
  fixture.Run(Millis(1980));
  CHECK(fixture.LastOutcome("c1") == "none");
  fixture.Run(Millis(40));
  CHECK(fixture.LastOutcome("c1") == "completed/none");
  fixture.claims.held_records[0](OkStatus());
  CHECK(fixture.Outcomes("c1").size() == 1);
}

struct ClaimCase {
  const char* name;
  ClaimState state;
  const char* expected;
  int released;
};

// Guards against orders that run without their claim and against wrong outcomes.
TEST_CASE("an order that does not get its claim is not run here") {
  const std::vector<ClaimCase> cases = {
      {"answered", ClaimState::kAnswered, "completed/none", 0},
      {"in progress", ClaimState::kInProgress, "unknown/in-progress", 0},
      {"key reused", ClaimState::kKeyReused, "not-run/key-reused", 0},
      {"store down", ClaimState::kUnavailable, "not-run/store-unavailable", 0},
      {"unresolved", ClaimState::kUnresolved, "not-run/store-unavailable", 1},
  };
  for (const ClaimCase& test : cases) {
    CAPTURE(test.name);
    ServiceAgent fixture;
    fixture.claims.reply.state = test.state;
    fixture.claims.reply.answer.outcome.kind = OutcomeKind::kCompleted;
    fixture.claims.reply.answer.outcome.http_status = 201;
    fixture.claims.reply.answer.body = "recorded";
    fixture.Start(fixture.MakeOrder("c1", "k1"));
    CHECK(fixture.LastOutcome("c1") == test.expected);
    CHECK(fixture.service.calls.starts.empty());
    CHECK(fixture.claims.not_run[kKey] == test.released);
    if (test.state != ClaimState::kAnswered) continue;
    CHECK(fixture.link.Sent<CallFrame>(kRouter)[0].payload == "recorded");
    CHECK(fixture.Outcomes("c1")[0].http_status == 201);
    CHECK(fixture.Outcomes("c1")[0].total_length == 8);
  }
}

// Guards against a key that stays claimed although its order never ran.
TEST_CASE("an order that ends before it is sent releases its claim") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("running", "k0"));
  fixture.Start(fixture.MakeOrder("cancelled", "k1"));
  Call late = fixture.MakeOrder("late", "k2");
  late.remaining = Millis(500);
  fixture.Start(late);
  fixture.agent->OnMessage(kRouter, CallCancel{CallId("cancelled"), Attempt(1)});
  fixture.Run(Millis(500));
  CHECK(fixture.LastOutcome("cancelled") == "not-run/cancelled");
  CHECK(fixture.LastOutcome("late") == "not-run/deadline");
  CHECK(fixture.claims.not_run[IdempotencyKey("k1")] == 1);
  CHECK(fixture.claims.not_run[IdempotencyKey("k2")] == 1);
  CHECK(fixture.claims.not_run.count(IdempotencyKey("k0")) == 0);
}

// Guards against an order that runs because its claim was granted after it was refused.
TEST_CASE("a claim that is granted after the refusal is released") {
  ServiceAgent fixture;
  fixture.claims.hold = true;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  CHECK(fixture.service.calls.starts.empty());
  fixture.agent->OnMessage(kRouter, CallCancel{CallId("c1"), Attempt(1)});
  CHECK(fixture.LastOutcome("c1") == "not-run/cancelled");
  ClaimReply granted;
  granted.state = ClaimState::kGranted;
  fixture.claims.held[0](granted);
  CHECK(fixture.service.calls.starts.empty());
  CHECK(fixture.claims.not_run[kKey] == 1);
}

// Guards against an order that is stopped half way: it could have taken effect, and its duplicates
// would never get an answer.
TEST_CASE("a cancelled running order continues, is recorded and is replayed to duplicates") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.agent->OnMessage(kRouter, CallCancel{CallId("c1"), Attempt(1)});
  fixture.Run(Millis(60'000));
  CHECK(fixture.service.calls.cancelled.empty());
  CHECK(fixture.LastOutcome("c1") == "none");
  REQUIRE(fixture.service.calls.running.contains(CallId("c1")));
  fixture.service.calls.Complete(CallId("c1"), "printed");
  CHECK(fixture.LastOutcome("c1") == "completed/none");
  REQUIRE(fixture.claims.answers.contains(kKey));
  CHECK(fixture.claims.answers.at(kKey).outcome.kind == OutcomeKind::kCompleted);
  CHECK(fixture.claims.answers.at(kKey).body == "printed");
  fixture.claims.reply.state = ClaimState::kAnswered;
  fixture.claims.reply.answer = fixture.claims.answers.at(kKey);
  fixture.Start(fixture.MakeOrder("c2", "k1"));
  CHECK(fixture.LastOutcome("c2") == "completed/none");
  CHECK(fixture.link.Sent<CallFrame>(kRouter).back().payload == "printed");
  CHECK(fixture.service.calls.order.size() == 1);
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against a failure of the backend server that is hidden behind an earlier cancellation.
TEST_CASE("a cancelled running order ends with the result of its backend server") {
  const std::vector<std::pair<ExecutionEnd, const char*>> cases = {
      {ExecutionEnd::kFailed, "failed/backend-error"},
      {ExecutionEnd::kUnknown, "unknown/connection-lost"},
      {ExecutionEnd::kNotStarted, "not-run/backend-error"}};
  for (const auto& [end, expected] : cases) {
    CAPTURE(expected);
    ServiceAgent fixture;
    fixture.Start(fixture.MakeOrder("c1", "k1"));
    fixture.agent->OnMessage(kRouter, CallCancel{CallId("c1"), Attempt(1)});
    REQUIRE(fixture.service.calls.running.contains(CallId("c1")));
    fixture.service.calls.End(CallId("c1"), end);
    CHECK(fixture.LastOutcome("c1") == expected);
  }
}

// Guards against an order that never reached the backend server but whose key stays claimed.
TEST_CASE("an order that was not started at the service releases its claim") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.service.calls.End(CallId("c1"), ExecutionEnd::kNotStarted);
  CHECK(fixture.LastOutcome("c1") == "not-run/backend-error");
  CHECK(fixture.claims.not_run[kKey] == 1);
  CHECK(fixture.claims.answers.empty());
  CHECK(fixture.invariants.TotalViolations() == 0);
}

// Guards against orders that are interrupted because their router has disconnected.
TEST_CASE("an order without a router finishes and is recorded") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.agent->OnDisconnect(kRouter);
  fixture.Run(Millis(15'000), {});
  CHECK(fixture.service.calls.cancelled.empty());
  fixture.service.calls.Complete(CallId("c1"));
  CHECK(fixture.claims.answers.contains(kKey));
}

TEST_CASE("an order without a key is refused, and the hash distinguishes requests") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("none", ""));
  CHECK(fixture.LastOutcome("none") == "not-run/invalid-request");
  Call other = fixture.MakeOrder("c2", "k1");
  other.body = "x";
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.Start(other);
  fixture.Start(fixture.MakeOrder("c3", "k1"));
  const std::vector<uint64_t> hashes = fixture.claims.hashes.at(kKey);
  REQUIRE(hashes.size() == 3);
  CHECK(hashes[0] != hashes[1]);
  CHECK(hashes[0] == hashes[2]);
}

// Guards against a second run of an order whose claim was wrongly granted twice: the invariant must
// detect it.
TEST_CASE("a second run of a key is counted as a violation") {
  ServiceAgent fixture;
  fixture.Start(fixture.MakeOrder("c1", "k1"));
  fixture.service.calls.Complete(CallId("c1"));
  fixture.Start(fixture.MakeOrder("c2", "k1"));
  CHECK(fixture.invariants.violations(Invariant::kOrderAtMostOnce) == 1);
}

// Guards against a caller that is told forever to retry an order whose agent has exited.
TEST_CASE("an order claimed by an earlier incarnation of the runner ends as unknown") {
  struct Case {
    const char* holder;
    const char* claim;
    const char* expected;
  };
  for (const Case& test : std::vector<Case>{
           {"runner-1", "runner-1/6/1", "unknown/claimant-lost"},
           {"runner-1", "runner-1/7/1", "unknown/in-progress"},
           {"runner-2", "runner-2/6/1", "unknown/in-progress"},
       }) {
    CAPTURE(test.claim);
    ServiceAgent fixture;
    fixture.claims.reply.state = ClaimState::kInProgress;
    fixture.claims.reply.holder = RunnerId(test.holder);
    fixture.claims.reply.claim = ClaimId(test.claim);
    fixture.Start(fixture.MakeOrder("c1", "k1"));
    CHECK(fixture.LastOutcome("c1") == test.expected);
    CHECK(fixture.service.calls.running.empty());
  }
}

}  // namespace
}  // namespace shallot::agent_test
