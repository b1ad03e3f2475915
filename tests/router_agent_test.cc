#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/fake_agent_env.h"
#include "tests/router_fixture.h"

namespace shallot {
namespace {

/// A router core and an agent core connected by fake links, with synchronized clocks.
class RouterWithAgent {
 public:
  explicit RouterWithAgent(bool with_engine = true) : agent(with_engine), router(0) {
    auto config = ParseFleetConfig(ConfigText(), "test", ConfigRevision(1));
    REQUIRE(IsOk(config));
    router.core.OnConfig(std::make_shared<FleetConfig>(ValueOf(config)));
    ShardPlacement placement;
    placement.version = StoreVersion(2);
    placement.slots = {{EntryId("m1"), RunnerId("runner-1"), Generation(1), SlotState::kActive}};
    router.core.OnPlacement(placement);
    InstanceRecord record = RouterFixture::Agent(0);
    record.id = InstanceId("agent-1");
    record.runner = RunnerId("runner-1");
    record.backend = BackendName(with_engine ? "gpu" : "desk");
    router.instances = {record};
    agent.agent->Start();
    router.List();
    Run(Millis(60));
    agent.agent->OnMessage(Connection(), agent_test::MakeConfigPush(ConfigText()));
    agent.agent->OnMessage(Connection(), agent.GrantOf({"m1"}));
    Run(Millis(600));
  }

  static std::string ConfigText() {
    return agent_test::ConfigText(
        "[route desk print]\nmethod = POST\npath = /orders\nrepeatable = false\n");
  }
  ConnectionId Connection() const { return router.ConnectionTo(0); }
  void Run(Millis time) {
    for (Millis passed(0); passed < time; passed += Millis(20)) {
      agent.clock.Advance(Millis(20));
      router.Run(Millis(20));
      agent.agent->OnTick();
      Exchange();
    }
  }
  /// Delivers messages in both directions until none is left; grants load permits.
  void Exchange() {
    bool moved = true;
    while (moved) {
      moved = false;
      for (const FakeLink::Sent& sent : router.link.Take()) {
        moved = true;
        if (silent.contains(sent.connection)) continue;
        if (std::holds_alternative<CallStart>(sent.message)) ++starts;
        if (std::holds_alternative<CallResume>(sent.message)) ++resumes;
        agent.agent->OnMessage(sent.connection, sent.message);
      }
      for (auto& [connection, messages] : std::exchange(agent.link.sent, {})) {
        for (const Message& message : messages) {
          moved = true;
          if (silent.contains(connection) || !router.link.IsOpen(connection)) continue;
          if (const auto* request = std::get_if<LoadPermitRequest>(&message)) {
            agent.agent->OnMessage(connection,
                                   LoadPermit{request->permit_id, request->runner, Millis(5'000)});
            continue;
          }
          router.core.OnMessage(connection, message);
        }
      }
    }
  }
  std::shared_ptr<FakeSink> SubmitModel(bool stream = false, Millis deadline = Millis(20'000)) {
    CallerRequest request = RouterFixture::ModelRequest(stream, deadline);
    request.entry = EntryId("m1");
    auto sink = router.Submit(request);
    Run(Millis(40));
    return sink;
  }

  agent_test::AgentFixture agent;
  RouterFixture router;
  /// Connections on which all messages are dropped.
  std::set<ConnectionId> silent;
  size_t starts = 0;
  size_t resumes = 0;
};

// Guards against a router and an agent that interpret the protocol differently.
TEST_CASE("a call on a cold entry passes through router and agent") {
  for (const bool stream : {false, true}) {
    CAPTURE(stream);
    RouterWithAgent f;
    const auto sink = f.SubmitModel(stream);
    REQUIRE(f.agent.engine.calls.running.contains(f.router.last_call));
    CHECK(f.agent.engine.loads[EntryId("m1")] == 1);
    f.agent.engine.calls.Complete(f.router.last_call, "hello");
    f.Run(Millis(40));
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(sink->data == "hello");
    f.router.core.BeginDrain();
    CHECK(f.router.core.Drained());
    CHECK(f.router.invariants.TotalViolations() == 0);
    CHECK(f.agent.invariants.TotalViolations() == 0);
  }
}

// Guards against a stream that is truncated or repeats bytes when its connection goes silent.
TEST_CASE("a stream survives a silent connection") {
  RouterWithAgent f;
  const auto sink = f.SubmitModel(true);
  f.agent.engine.calls.running.at(f.router.last_call).sink->OnBegin(200, "text/event-stream");
  f.agent.engine.calls.Data(f.router.last_call, "abc");
  f.Run(Millis(40));
  CHECK(sink->data == "abc");
  f.silent.insert(f.Connection());
  f.agent.engine.calls.Data(f.router.last_call, "def");
  f.Run(Millis(3'000));
  f.agent.engine.calls.Data(f.router.last_call, "ghi");
  f.agent.engine.calls.End(f.router.last_call, ExecutionEnd::kCompleted);
  f.Run(Millis(500));
  CHECK(sink->data == "abcdefghi");
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
  CHECK(f.starts == 1);
  CHECK(f.resumes >= 1);
}

// Guards against an engine error that reaches the caller as a successful event stream.
TEST_CASE("a streaming call begins with the status and content type of the backend server") {
  struct BeginCase {
    int status;
    const char* content_type;
  };
  for (const BeginCase& test : {BeginCase{400, "application/json"}, BeginCase{200, "text/plain"}}) {
    CAPTURE(test.status);
    RouterWithAgent f;
    const auto sink = f.SubmitModel(true);
    f.agent.engine.calls.running.at(f.router.last_call)
        .sink->OnBegin(test.status, test.content_type);
    f.agent.engine.calls.Data(f.router.last_call, "first");
    f.Run(Millis(40));
    CHECK(sink->begins == 1);
    CHECK(sink->status == test.status);
    CHECK(sink->type == test.content_type);
    f.agent.engine.calls.Data(f.router.last_call, "second");
    f.agent.engine.calls.End(f.router.last_call, ExecutionEnd::kCompleted);
    f.Run(Millis(40));
    CHECK(sink->begins == 1);
    CHECK(sink->data == "firstsecond");
    CHECK(sink->end.http_status == test.status);
  }
}

// Guards against a second OnBegin, or one without the status, when the first frame arrives late.
TEST_CASE("a stream that is resumed from its start keeps its status") {
  RouterWithAgent f;
  const auto sink = f.SubmitModel(true);
  f.silent.insert(f.Connection());
  f.agent.engine.calls.running.at(f.router.last_call).sink->OnBegin(429, "application/json");
  f.agent.engine.calls.Data(f.router.last_call, "busy");
  f.agent.engine.calls.End(f.router.last_call, ExecutionEnd::kCompleted);
  f.Run(Millis(3'500));
  CHECK(sink->begins == 1);
  CHECK(sink->status == 429);
  CHECK(sink->type == "application/json");
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
}

// Guards against a missing or wrong outcome when a queued call reaches its deadline.
TEST_CASE("a queued call that reaches its deadline did not run") {
  RouterWithAgent f;
  std::vector<std::shared_ptr<FakeSink>> running;
  for (uint64_t i = 0; i < f.agent.engine.concurrency; ++i) running.push_back(f.SubmitModel());
  const auto sink = f.SubmitModel(false, Millis(2'000));
  const CallId queued = f.router.last_call;
  CHECK_FALSE(f.agent.engine.calls.starts.contains(queued));
  f.Run(Millis(2'000));
  CHECK(sink->ends == 1);
  CHECK(sink->end.kind == OutcomeKind::kNotRun);
  CHECK(sink->end.reason == Reason::kDeadline);
  CHECK_FALSE(f.agent.engine.calls.starts.contains(queued));
}

// Guards against an order that is lost, or runs twice, between router and agent.
TEST_CASE("an order passes through router and agent") {
  RouterWithAgent f(false);
  CallerRequest order = RouterFixture::OrderRequest("key-1");
  SUBCASE("completed") {
    const auto sink = f.router.Submit(order);
    f.Run(Millis(40));
    REQUIRE(f.agent.service.calls.running.contains(f.router.last_call));
    f.agent.service.calls.Complete(f.router.last_call, "printed");
    f.Run(Millis(40));
    CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(sink->data == "printed");
    CHECK(f.agent.claims.answers.size() == 1);
  }
  SUBCASE("the connection is silent until the deadline") {
    order.deadline = Millis(1'500);
    const auto sink = f.router.Submit(order);
    f.Run(Millis(40));
    f.silent.insert(f.Connection());
    f.Run(Millis(1'600));
    CHECK(sink->end.kind == OutcomeKind::kUnknown);
    CHECK(f.starts == 1);
  }
  SUBCASE("the caller disconnects while it runs") {
    const auto sink = f.router.Submit(order);
    f.Run(Millis(40));
    const CallId id = f.router.last_call;
    REQUIRE(f.agent.service.calls.running.contains(id));
    f.router.core.CancelByCaller(id);
    f.Run(Millis(40));
    CHECK(sink->end.kind == OutcomeKind::kUnknown);
    CHECK(f.agent.service.calls.cancelled.empty());
    REQUIRE(f.agent.service.calls.running.contains(id));
    f.agent.service.calls.Complete(id, "printed");
    f.Run(Millis(40));
    CHECK(sink->ends == 1);
    CHECK(f.agent.claims.answers.at(IdempotencyKey("key-1")).body == "printed");
  }
  SUBCASE("the agent drains") {
    f.agent.agent->BeginDrain("test", Millis(5'000));
    f.Run(Millis(40));
    order.call_class = "status";
    const auto sink = f.router.Submit(order);
    f.Run(Millis(3'200));
    CHECK(sink->end.kind == OutcomeKind::kNotRun);
    CHECK(f.starts == 0);
  }
}

}  // namespace
}  // namespace shallot
