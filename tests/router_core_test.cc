#include "servers/router_core.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "servers/circuit_breaker.h"
#include "tests/router_fixture.h"

namespace shallot {
namespace {

// Guards against a fault on the path from a request to its answer: hello, start, frames, outcome,
// acknowledgement.
TEST_CASE("a call is sent, answered whole, acknowledged and ended once") {
  for (const bool stream : {false, true}) {
    CAPTURE(stream);
    RouterFixture f;
    f.Start();
    const auto sink = f.Submit(RouterFixture::ModelRequest(stream));
    REQUIRE(f.link.Count<CallStart>() == 1);
    const auto start = f.LastStart();
    f.Frame(start, 0, "abc");
    CHECK(sink->data == (stream ? "abc" : ""));
    f.Frame(start, 3, "def");
    f.Answer(start, OutcomeKind::kCompleted, Reason::kNone, 6);
    CHECK(sink->data == "abcdef");
    CHECK(sink->begins == 1);
    CHECK(sink->status == 200);
    CHECK(sink->type == (stream ? "text/event-stream" : "application/json"));
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(f.link.Count<CallAck>() == 1);
    f.core.BeginDrain();
    CHECK(f.core.Drained());
    CHECK(f.control.draining);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against a retry that is not needed, not allowed or sent to the same runner.
TEST_CASE("a call that was not run is tried on another runner") {
  struct Case {
    const char* name;
    bool order;
    OutcomeKind kind;
    Reason reason;
    size_t starts;
    OutcomeKind end;
  };
  const std::vector<Case> cases = {
      {"not granted", false, OutcomeKind::kNotRun, Reason::kNotGranted, 2, OutcomeKind::kCompleted},
      {"queue full", false, OutcomeKind::kNotRun, Reason::kQueueFull, 2, OutcomeKind::kCompleted},
      {"order not run", true, OutcomeKind::kNotRun, Reason::kDraining, 2, OutcomeKind::kCompleted},
      {"connection lost", false, OutcomeKind::kFailed, Reason::kConnectionLost, 2,
       OutcomeKind::kCompleted},
      {"unknown", false, OutcomeKind::kUnknown, Reason::kConnectionLost, 2,
       OutcomeKind::kCompleted},
      {"order failed", true, OutcomeKind::kFailed, Reason::kConnectionLost, 1,
       OutcomeKind::kFailed},
      {"order unknown", true, OutcomeKind::kUnknown, Reason::kConnectionLost, 1,
       OutcomeKind::kUnknown},
      {"key reused", true, OutcomeKind::kNotRun, Reason::kKeyReused, 1, OutcomeKind::kNotRun},
      {"backend error", false, OutcomeKind::kFailed, Reason::kBackendError, 1,
       OutcomeKind::kFailed},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    RouterFixture f;
    f.Start();
    const auto sink =
        f.Submit(c.order ? RouterFixture::OrderRequest("k") : RouterFixture::ModelRequest());
    const auto first = f.LastStart();
    f.Answer(first, c.kind, c.reason);
    REQUIRE(f.link.Count<CallStart>() == c.starts);
    if (c.starts == 2) {
      const auto second = f.LastStart();
      CHECK(second.first != first.first);
      CHECK(second.second.attempt == Attempt(2));
      f.Frame(first, 0, "superseded");
      f.Frame(second, 0, "ok");
      f.Answer(second, OutcomeKind::kCompleted, Reason::kNone, 2);
      CHECK(sink->data == "ok");
    }
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == c.end);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against a call that fails while its slot moves, because the grant has not yet reached the
// agent.
TEST_CASE("a call whose only runner lacks the grant is tried again there") {
  RouterFixture f(1);
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kNotGranted);
  CHECK(sink->ends == 0);
  f.Run(Millis(300));
  REQUIRE(f.link.Count<CallStart>() == 2);
  f.Answer(f.LastStart(), OutcomeKind::kCompleted);
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
}

// Guards against an answer that mixes two attempts, when late frames of the first attempt arrive
// from the runner that also runs the second.
TEST_CASE("frames of an earlier attempt on the same runner are dropped") {
  RouterFixture f(1);
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest(true));
  const auto first = f.LastStart();
  f.Answer(first, OutcomeKind::kNotRun, Reason::kNotGranted);
  f.Run(Millis(1'000));
  const auto second = f.LastStart();
  REQUIRE(second.second.attempt == Attempt(2));
  f.Frame(first, 0, "old!");
  f.Frame(second, 0, "new!");
  f.Answer(second, OutcomeKind::kCompleted, Reason::kNone, 4);
  CHECK(sink->data == "new!");
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
}

// Guards against retries beyond the budget.
TEST_CASE("retries stop when the budget is spent") {
  RouterFixture f;
  f.Start();
  size_t refused = 0;
  for (int i = 0; i < 30; ++i) {
    const auto sink = f.Submit(RouterFixture::ModelRequest());
    f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kQueueFull);
    if (sink->ends == 0) {
      f.Answer(f.LastStart(), OutcomeKind::kCompleted);
      continue;
    }
    CHECK(sink->end.kind == OutcomeKind::kNotRun);
    CHECK(sink->end.reason == Reason::kRetryBudget);
    ++refused;
  }
  CHECK(f.link.Count<CallStart>() - 30 <= 13);
  CHECK(refused >= 17);
}

// Guards against answers lost with a silent connection, and against repeated bytes after a resume.
TEST_CASE("a call is resumed at its next offset on a new connection") {
  for (const bool order : {false, true}) {
    CAPTURE(order);
    RouterFixture f(1);
    f.Start();
    const auto sink =
        f.Submit(order ? RouterFixture::OrderRequest("k") : RouterFixture::ModelRequest(true));
    auto start = f.LastStart();
    f.Frame(start, 0, "abc");
    const ConnectionId old = start.first;
    f.heartbeating.clear();
    f.Run(Millis(2'600));
    CHECK_FALSE(f.link.IsOpen(old));
    REQUIRE(f.ConnectionTo(0) != ConnectionId(0));
    f.SendHello(0);
    const auto resumes = f.link.All<CallResume>();
    REQUIRE(resumes.size() == 1);
    CHECK(resumes[0].first == f.ConnectionTo(0));
    CHECK(resumes[0].second.offset == 3);
    CHECK(resumes[0].second.attempt == Attempt(1));
    start.first = f.ConnectionTo(0);
    f.Frame(start, 3, "def");
    f.Answer(start, OutcomeKind::kCompleted, Reason::kNone, 6);
    CHECK(sink->data == "abcdef");
    CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(f.link.Count<CallStart>() == 1);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against a second run of an order, an answer mixed from two attempts, and a repeatable call
// that is not retried, when the runner of a call is gone.
TEST_CASE("a call whose runner is gone is retried only if that is safe") {
  struct Case {
    const char* name;
    bool order;
    bool stream;
    bool frame;
    size_t starts;
    OutcomeKind end;
  };
  const std::vector<Case> cases = {
      {"repeatable", false, false, true, 2, OutcomeKind::kCompleted},
      {"stream without bytes", false, true, false, 2, OutcomeKind::kCompleted},
      {"stream with bytes", false, true, true, 1, OutcomeKind::kFailed},
      {"order", true, false, false, 1, OutcomeKind::kUnknown},
  };
  for (const char* how : {"unlisted", "silent", "restarted"}) {
    for (const Case& c : cases) {
      CAPTURE(how);
      CAPTURE(c.name);
      RouterFixture f;
      f.Start();
      const auto sink = f.Submit(c.order ? RouterFixture::OrderRequest("k", Millis(30'000))
                                         : RouterFixture::ModelRequest(c.stream, Millis(30'000)));
      const auto first = f.LastStart();
      if (c.frame) f.Frame(first, 0, "abc");
      const int n = f.ConnectionTo(0) == first.first ? 0 : 1;
      f.heartbeating.erase(n);
      if (std::string(how) == "unlisted") {
        f.instances.erase(f.instances.begin() + n);
        f.List();
        CHECK_FALSE(f.link.IsOpen(first.first));
      } else if (std::string(how) == "restarted") {
        f.core.OnDisconnect(first.first);
        f.Run(Millis(300));
        f.SendHello(n, 2);
      } else {
        f.Run(Millis(13'000));
      }
      f.Run(Millis(300));
      REQUIRE(f.link.Count<CallStart>() == c.starts);
      if (c.starts == 2) {
        const auto second = f.LastStart();
        CHECK(second.second.attempt == Attempt(2));
        f.Frame(second, 0, "xy");
        f.Answer(second, OutcomeKind::kCompleted, Reason::kNone, 2);
        CHECK(sink->data == "xy");
      }
      CHECK(sink->ends == 1);
      CHECK(sink->end.kind == c.end);
      if (c.end != OutcomeKind::kCompleted) CHECK(sink->end.reason == Reason::kConnectionLost);
      CHECK(f.invariants.TotalViolations() == 0);
    }
  }
}

// Guards against calls that outlive their deadline, and against outcomes that claim more than the
// router knows.
TEST_CASE("each call ends at its deadline") {
  struct Case {
    const char* name;
    bool order;
    bool connected;
    bool answer_cancel;
    OutcomeKind end;
  };
  const std::vector<Case> cases = {
      {"unsent", false, false, false, OutcomeKind::kNotRun},
      {"unsent order", true, false, false, OutcomeKind::kNotRun},
      {"queued", false, true, true, OutcomeKind::kNotRun},
      {"queued order", true, true, true, OutcomeKind::kNotRun},
      {"no answer", false, true, false, OutcomeKind::kFailed},
      {"no answer to an order", true, true, false, OutcomeKind::kUnknown},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    RouterFixture f;
    if (c.connected) f.Start();
    if (!c.connected) f.List();
    const Millis deadline(1'000);
    CallerRequest request = c.order ? RouterFixture::OrderRequest("k", deadline)
                                    : RouterFixture::ModelRequest(false, deadline);
    request.call_class = "premium";
    const auto sink = f.Submit(request);
    f.Run(Millis(880));
    CHECK(f.link.Count<CallCancel>() == 0);
    f.Run(Millis(60));
    CHECK(f.link.Count<CallCancel>() == (c.connected ? 1 : 0));
    CHECK(sink->ends == 0);
    if (c.answer_cancel) f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kCancelled);
    f.Run(Millis(80));
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == c.end);
    CHECK(sink->end.reason == Reason::kDeadline);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against cancelling a running call whose answer may still arrive in time.
TEST_CASE("a call that has sent data is not cancelled before its deadline") {
  RouterFixture f;
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest(true, Millis(1'000)));
  f.Frame(f.LastStart(), 0, "abc");
  f.Run(Millis(980));
  CHECK(f.link.Count<CallCancel>() == 0);
  f.Run(Millis(40));
  CHECK(f.link.Count<CallCancel>() == 1);
  CHECK(sink->end.kind == OutcomeKind::kFailed);
}

// Guards against an answer that stalls on a lost frame, or ends without its last bytes.
TEST_CASE("missing bytes are requested again") {
  RouterFixture f;
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest(true));
  const auto start = f.LastStart();
  f.Frame(start, 0, "ab");
  f.Frame(start, 4, "ef");
  f.Run(Millis(280));
  CHECK(f.link.Count<CallResume>() == 0);
  f.Run(Millis(60));
  REQUIRE(f.link.Count<CallResume>() == 1);
  CHECK(f.link.All<CallResume>()[0].second.offset == 2);
  f.Frame(start, 2, "cd");
  f.Answer(start, OutcomeKind::kCompleted, Reason::kNone, 8);
  CHECK(sink->ends == 0);
  f.Run(Millis(400));
  REQUIRE(f.link.Count<CallResume>() == 2);
  CHECK(f.link.All<CallResume>()[1].second.offset == 6);
  f.Frame(start, 6, "gh");
  CHECK(sink->data == "abcdefgh");
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
}

// Guards against a call that waits until its deadline because one message was lost.
TEST_CASE("a call without any message is resumed after 5 s") {
  RouterFixture f;
  f.Start();
  f.Submit(RouterFixture::ModelRequest(false, Millis(20'000)));
  f.Run(Millis(5'100));
  CHECK(f.link.Count<CallResume>() == 1);
}

// Guards against forwarding an answer as complete that is longer than the agent announced.
TEST_CASE("an answer longer than announced fails") {
  RouterFixture f;
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  f.Frame(f.LastStart(), 0, "abcdef");
  f.Answer(f.LastStart(), OutcomeKind::kCompleted, Reason::kNone, 3);
  CHECK(sink->end.kind == OutcomeKind::kFailed);
  CHECK(sink->data.empty());
  CHECK(f.invariants.violations(Invariant::kWholeAnswer) == 1);
}

// Guards against forwarding an agent's outcome "not run" although the call sent data.
TEST_CASE("an outcome of not run after data is reported as failed") {
  RouterFixture f;
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest(true));
  f.Frame(f.LastStart(), 0, "abc");
  f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kQueueFull);
  CHECK(sink->end.kind == OutcomeKind::kFailed);
  CHECK(f.invariants.violations(Invariant::kNotRunDidNotRun) == 1);
}

// Guards against work for callers that disconnected, and against a second outcome of their calls.
TEST_CASE("a caller that disconnects cancels its call") {
  struct Case {
    bool order;
    bool sent;
    OutcomeKind end;
  };
  for (const Case& c :
       {Case{false, true, OutcomeKind::kFailed}, Case{true, true, OutcomeKind::kUnknown},
        Case{false, false, OutcomeKind::kNotRun}}) {
    RouterFixture f;
    if (c.sent) f.Start();
    const auto sink =
        f.Submit(c.order ? RouterFixture::OrderRequest("k") : RouterFixture::ModelRequest());
    f.core.CancelByCaller(f.last_call);
    f.core.CancelByCaller(f.last_call);
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == c.end);
    CHECK(sink->end.reason == Reason::kCancelled);
    CHECK(f.link.Count<CallCancel>() == (c.sent ? 1 : 0));
    if (!c.sent) continue;
    f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kCancelled);
    CHECK(f.link.Count<CallAck>() == 1);
    CHECK(sink->ends == 1);
  }
}

// Guards against a replica choice that ignores the circuit breaker: a runner whose backend fails
// gets no more calls.
TEST_CASE("a runner with a failing backend is excluded") {
  RouterFixture f;
  f.Start();
  size_t to_first = 0;
  for (int i = 0; i < 60; ++i) {
    f.Submit(RouterFixture::ModelRequest());
    const auto start = f.LastStart();
    if (start.first == f.ConnectionTo(0)) {
      ++to_first;
      f.Answer(start, OutcomeKind::kFailed, Reason::kBackendError);
    } else {
      f.Answer(start, OutcomeKind::kCompleted);
    }
  }
  CHECK(to_first == CircuitBreaker::kFailureLimit);
}

// Guards against treating a call as sent although the transport refused its message.
TEST_CASE("a call that the transport refuses stays unsent and is sent later") {
  RouterFixture f;
  f.Start();
  f.link.SetFull(true);
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  CHECK(f.link.Count<CallStart>() == 0);
  f.link.SetFull(false);
  f.Run(Millis(40));
  CHECK(f.link.Count<CallStart>() == 1);
  CHECK(sink->ends == 0);
}

// Guards against a router that runs out of memory because of one endless answer.
TEST_CASE("a plain answer without end is refused") {
  RouterFixture f;
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  const std::string block(8U << 20U, 'x');
  for (uint64_t i = 0; i < 5; ++i) f.Frame(f.LastStart(), i * block.size(), block);
  CHECK(sink->ends == 1);
  CHECK(sink->end.kind == OutcomeKind::kFailed);
  CHECK(f.link.Count<CallCancel>() == 1);
}

// Guards against refusals based on guesses: only known facts about a runner may refuse a call.
TEST_CASE("the wait for a cold entry is predicted from its cache tier and observed loads") {
  RouterFixture f(1);
  f.load.loaded.clear();
  f.load.mean_service = Millis(100);
  f.Start();
  CHECK(f.Submit(RouterFixture::ModelRequest(true, Millis(2'000)))->end.reason ==
        Reason::kDeadline);
  f.load.cached_on_disk = {EntryId("m")};
  f.SendHeartbeat(0);
  const auto sink = f.Submit(RouterFixture::ModelRequest(true, Millis(20'000)));
  REQUIRE(f.link.Count<CallStart>() == 1);
  CHECK(f.control.demand.back().second);
  f.Run(Millis(6'000));
  f.Frame(f.LastStart(), 0, "a");
  f.Answer(f.LastStart(), OutcomeKind::kCompleted, Reason::kNone, 1);
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
  // The load took 6 s, so 5 s are not enough for another one.
  f.Run(Millis(2'000));
  CHECK(f.Submit(RouterFixture::ModelRequest(true, Millis(5'000)))->end.reason ==
        Reason::kDeadline);
  const auto joined = f.Submit(RouterFixture::ModelRequest(true, Millis(10'000)));
  CHECK(joined->ends == 0);
  // A call that arrives late in a load waits only for the rest of it.
  f.Run(Millis(4'000));
  CHECK(f.Submit(RouterFixture::ModelRequest(true, Millis(5'000)))->ends == 0);
}

// Guards against calls refused because a runner has not reported yet.
TEST_CASE("a runner without a report is assumed to be able to serve") {
  RouterFixture f(1);
  f.List();
  f.Run(Millis(40));
  const auto sink = f.Submit(RouterFixture::ModelRequest(true, Millis(1'000)));
  CHECK(sink->ends == 0);
  f.SendHello(0);
  CHECK(f.link.Count<CallStart>() == 1);
}

// Guards against calls sent to a slot that is being released, or with an old generation.
TEST_CASE("only active slots of the newest placement are used") {
  RouterFixture f;
  f.Start();
  ShardPlacement placement;
  placement.version = StoreVersion(2);
  placement.slots = {{EntryId("m"), RouterFixture::Runner(0), Generation(1), SlotState::kReleasing},
                     {EntryId("m"), RouterFixture::Runner(1), Generation(9), SlotState::kActive}};
  f.core.OnPlacement(placement);
  placement.version = StoreVersion(1);
  placement.slots.pop_back();
  f.core.OnPlacement(placement);
  for (int i = 0; i < 10; ++i) {
    f.Submit(RouterFixture::ModelRequest());
    CHECK(f.LastStart().first == f.ConnectionTo(1));
    CHECK(f.LastStart().second.slot_generation == Generation(9));
  }
}

// Guards against a status page that is not JSON or lacks what operators look for.
TEST_CASE("status and readiness follow configuration, runners and draining") {
  RouterFixture f;
  CHECK_FALSE(f.core.Ready());
  f.Start();
  CHECK(f.core.Ready());
  CallerRequest unknown = RouterFixture::ModelRequest();
  unknown.entry = EntryId("nobody");
  f.Submit(unknown);
  const auto status = nlohmann::json::parse(f.core.StatusJson());
  CHECK(status["config_revision"] == 7);
  CHECK(status["runners"].size() == 2);
  CHECK(status["runners"][0]["loaded"][0] == "m");
  CHECK(status["runners"][0]["loaded_why"]["m"] == "active slot, generation 1");
  CHECK(status["runners"][0]["connected"] == true);
  CHECK(status["refusals"]["unknown-entry"] == 1);
  CHECK(status["control"]["leases"] == 0);
  f.core.BeginDrain();
  CHECK_FALSE(f.core.Ready());
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  CHECK(sink->end.reason == Reason::kDraining);
}

}  // namespace
}  // namespace shallot
