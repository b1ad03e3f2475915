#include "drivers/engine_http.h"

#include <doctest/doctest.h>

#include <atomic>
#include <latch>
#include <optional>
#include <string>
#include <vector>

#include "drivers/service_http.h"
#include "tests/fake_http_server.h"

namespace shallot {
namespace {

/// Records an answer and checks the order of the events.
class RecordingSink final : public AnswerSink {
 public:
  void OnBegin(int http_status, const std::string& type) override {
    CHECK_FALSE(begun);
    begun = true;
    status = http_status;
    content_type = type;
  }
  void OnData(const std::string& payload) override {
    CHECK(begun);
    CHECK_FALSE(end.has_value());
    data += payload;
  }
  void OnEnd(ExecutionEnd execution_end, const std::string& text) override {
    CHECK_FALSE(end.has_value());
    end = execution_end;
    message = text;
  }

  bool begun = false;
  int status = 0;
  std::string content_type;
  std::string data;
  std::optional<ExecutionEnd> end;
  std::string message;
};

Call SampleCall() {
  Call call;
  call.id = CallId("call-1");
  call.entry = EntryId("proof");
  call.call_class = CallClass::kStatus;
  call.remaining = Millis(5000);
  call.method = "POST";
  call.path = "/v1/completions";
  call.content_type = "application/json";
  call.body = R"({"model":"proof"})";
  return call;
}

/// Runs SampleCall() on an engine until it ends.
RecordingSink RunCall(const std::string& address) {
  TestRing ring;
  EngineHttp engine(address, ring.get());
  RecordingSink sink;
  engine.StartCall(SampleCall(), &sink);
  ring.RunUntil([&] { return sink.end.has_value(); });
  engine.Stop();
  return sink;
}

TEST_CASE("a plain answer is received completely and the headers of the call are sent") {
  FakeRequest seen;
  FakeHttpServer server([&](const FakeRequest& request) {
    seen = request;
    return FakeReply{.body = R"({"text":"hello"})"};
  });
  const RecordingSink sink = RunCall(server.address());
  CHECK(sink.end == ExecutionEnd::kCompleted);
  CHECK(sink.status == 200);
  CHECK(sink.data == R"({"text":"hello"})");
  CHECK(seen.headers["X-Call-Id"] == "call-1");
  CHECK(seen.headers["X-Priority"] == "1");
  CHECK(seen.headers["X-Entry"] == "proof");
  CHECK(seen.body == SampleCall().body);
}

TEST_CASE("a streamed answer is received completely") {
  FakeHttpServer server([&](const FakeRequest&) {
    return FakeReply{.content_type = "text/event-stream", .chunks = {"data: a\n\n", "data: b\n\n"}};
  });
  const RecordingSink sink = RunCall(server.address());
  CHECK(sink.end == ExecutionEnd::kCompleted);
  CHECK(sink.content_type == "text/event-stream");
  CHECK(sink.data == "data: a\n\ndata: b\n\n");
}

struct InterruptionCase {
  const char* name;
  /// Replies in order: to the call, then to each resume request.
  std::vector<FakeReply> replies;
  ExecutionEnd expected;
  const char* data;
  std::vector<std::string> resumes;
};

// Guards invariants 4 and 5: no gap in an answer, and no "not started" once a byte was sent.
TEST_CASE("broken answers are resumed at the right offset or end as unknown") {
  const FakeReply disconnected{.disconnect = true};
  const FakeReply truncated{
      .content_type = "text/event-stream", .chunks = {"abc"}, .disconnect = true};
  const std::vector<InterruptionCase> cases = {
      {"broken once",
       {truncated, {.body = "def"}},
       ExecutionEnd::kCompleted,
       "abcdef",
       {"/streams/call-1?offset=3"}},
      {"broken before the head",
       {disconnected, {.chunks = {"abcdef"}}},
       ExecutionEnd::kCompleted,
       "abcdef",
       {"/streams/call-1?offset=0"}},
      {"broken twice",
       {truncated, truncated, {.body = "g"}},
       ExecutionEnd::kCompleted,
       "abcabcg",
       {"/streams/call-1?offset=3", "/streams/call-1?offset=6"}},
      {"stream forgotten",
       {truncated, {.status = 404}},
       ExecutionEnd::kUnknown,
       "abc",
       {"/streams/call-1?offset=3"}},
      {"never seen",
       {disconnected, {.status = 404}},
       ExecutionEnd::kUnknown,
       "",
       {"/streams/call-1?offset=0"}},
      {"server error", {{.status = 500, .body = "no"}}, ExecutionEnd::kFailed, "", {}},
      {"caller's error", {{.status = 400, .body = "bad"}}, ExecutionEnd::kCompleted, "bad", {}},
  };
  for (const InterruptionCase& test : cases) {
    CAPTURE(test.name);
    size_t next = 0;
    std::vector<std::string> resumes;
    FakeHttpServer server([&](const FakeRequest& request) {
      if (request.method == "GET") resumes.push_back(request.target);
      return next < test.replies.size() ? test.replies[next++] : FakeReply{.disconnect = true};
    });
    const RecordingSink sink = RunCall(server.address());
    CHECK(sink.end == test.expected);
    CHECK(sink.data == test.data);
    CHECK(resumes == test.resumes);
  }
}

// Guards against the engine's "not loaded" error reaching a caller as a completed answer.
TEST_CASE("a call is not started if the engine has not loaded the entry") {
  FakeHttpServer server([](const FakeRequest&) {
    return FakeReply{.status = 404, .body = R"({"error":"entry is not loaded"})"};
  });
  const RecordingSink sink = RunCall(server.address());
  CHECK(sink.end == ExecutionEnd::kNotStarted);
  CHECK(sink.data.empty());
}

TEST_CASE("a refused connection means the call was not started") {
  CHECK(RunCall(RefusingAddress()).end == ExecutionEnd::kNotStarted);
}

// Guards against endless resumes of a stream that breaks every time.
TEST_CASE("the number of resumes is bounded") {
  std::atomic<int> requests{0};
  FakeHttpServer server([&](const FakeRequest&) {
    ++requests;
    return FakeReply{.disconnect = true};
  });
  CHECK(RunCall(server.address()).end == ExecutionEnd::kUnknown);
  CHECK(requests == 5);
}

// Guards invariant 6: a service call that may have run is never reported as not started.
TEST_CASE("a service call whose connection breaks ends as unknown and is not repeated") {
  std::atomic<int> requests{0};
  FakeRequest seen;
  FakeHttpServer server([&](const FakeRequest& request) {
    ++requests;
    seen = request;
    return FakeReply{.disconnect = true};
  });
  TestRing ring;
  ServiceHttp service(server.address(), 2, ring.get());
  RecordingSink sink;
  Call call = SampleCall();
  call.path = "/orders?rush=1";
  call.idempotency_key = IdempotencyKey("k1");
  service.StartCall(call, &sink);
  ring.RunUntil([&] { return sink.end.has_value(); });
  service.Stop();
  CHECK(sink.end == ExecutionEnd::kUnknown);
  CHECK(requests == 1);
  CHECK(seen.target == "/orders?rush=1");
  CHECK(seen.headers["Idempotency-Key"] == "k1");
}

// Guards invariant 5: a call that was cancelled while it waited for a thread is never sent.
TEST_CASE("a queued call that is cancelled is not sent") {
  std::latch release(1);
  std::atomic<int> requests{0};
  FakeHttpServer server([&](const FakeRequest&) {
    ++requests;
    release.wait();
    return FakeReply{.body = "{}"};
  });
  TestRing ring;
  ServiceHttp service(server.address(), 1, ring.get());
  RecordingSink first;
  RecordingSink second;
  Call call = SampleCall();
  service.StartCall(call, &first);
  call.id = CallId("call-2");
  service.StartCall(call, &second);
  std::optional<Result<CancelResult>> cancelled;
  service.CancelCall(call.id, [&](const Result<CancelResult>& result) { cancelled = result; });
  ring.RunUntil([&] { return cancelled.has_value(); });
  release.count_down();
  ring.RunUntil([&] { return first.end.has_value() && second.end.has_value(); });
  service.Stop();
  CHECK(*cancelled == Result<CancelResult>(CancelResult::kStopped));
  CHECK(first.end == ExecutionEnd::kCompleted);
  CHECK(second.end == ExecutionEnd::kNotStarted);
  CHECK(requests == 1);
}

struct CancelCase {
  const char* name;
  FakeReply reply;
  Result<CancelResult> expected;
};

TEST_CASE("results of a cancellation") {
  const std::vector<CancelCase> cases = {
      {"stopped", {.body = R"({"result":"stopped"})"}, CancelResult::kStopped},
      {"ended", {.body = R"({"result":"already-ended"})"}, CancelResult::kAlreadyEnded},
      {"not found", {.status = 404}, CancelResult::kNotFound},
  };
  for (const CancelCase& test : cases) {
    CAPTURE(test.name);
    FakeHttpServer server([&](const FakeRequest& request) {
      CHECK(request.method == "DELETE");
      CHECK(request.target == "/streams/c%201");
      return test.reply;
    });
    TestRing ring;
    EngineHttp engine(server.address(), ring.get());
    std::optional<Result<CancelResult>> result;
    engine.CancelCall(CallId("c 1"), [&](const Result<CancelResult>& got) { result = got; });
    ring.RunUntil([&] { return result.has_value(); });
    CHECK(*result == test.expected);
  }
}

struct OrderCase {
  const char* name;
  FakeReply reply;
  const char* expected;
};

// Guards the memory ledger: a load whose outcome is unknown must keep its reservation.
TEST_CASE("each outcome of an order has its error kind") {
  const std::vector<OrderCase> cases = {
      {"done", {.status = 200}, "ok"},
      {"fenced", {.status = 409}, "fenced"},
      {"no memory", {.status = 507}, "resource-exhausted"},
      {"no entry", {.status = 404}, "not-found"},
      {"not done", {.status = 503}, "unavailable"},
      {"cut", {.disconnect = true}, "unknown-outcome"},
  };
  for (const OrderCase& test : cases) {
    CAPTURE(test.name);
    FakeRequest seen;
    FakeHttpServer server([&](const FakeRequest& request) {
      seen = request;
      return test.reply;
    });
    TestRing ring;
    EngineHttp engine(server.address(), ring.get());
    const EngineOrder order{EntryId("ad"), LoadKind::kAdapter, EntryId("base"),
                            "v2",          Bytes(100),         FencingNumber(7)};
    std::optional<Status> result;
    engine.Load(order, [&](const Status& got) { result = got; });
    ring.RunUntil([&] { return result.has_value(); });
    CHECK((IsOk(*result) ? "ok" : std::string(ErrorKindName(ErrorOf(*result).kind))) ==
          test.expected);
    CHECK(seen.target == "/admin/load");
    CHECK(seen.body ==
          R"({"base":"base","entry":"ad","fencing":7,"kind":"adapter","size_bytes":100,)"
          R"("version":"v2"})");
  }
}

TEST_CASE("inventory, load report and cache events are parsed") {
  const auto inventory = ParseInventory(
      R"({"memory_capacity":1000,"concurrency":4,"items":[{"entry":"a","kind":"adapter",
          "version":"v1","size_bytes":10,"presence":"host-memory"}]})");
  REQUIRE(IsOk(inventory));
  CHECK(ValueOf(inventory).memory_capacity == Bytes(1000));
  REQUIRE(ValueOf(inventory).items.size() == 1);
  CHECK(ValueOf(inventory).items[0].presence == EntryPresence::kInHostMemory);
  CHECK(ValueOf(inventory).items[0].kind == LoadKind::kAdapter);
  const auto report = ParseLoadReport(R"({"running":1,"waiting":2,"kv_cache_used":3,"age_ms":4})");
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).age == Millis(4));
  const auto events =
      ParseCacheEvents(R"([{"sequence":1,"entry":"a","prefix_hash":2,"stored":false}])");
  REQUIRE(IsOk(events));
  CHECK_FALSE(ValueOf(events)[0].stored);
}

// Guards against a partly parsed inventory: the memory ledger would free memory that is in use.
TEST_CASE("malformed engine answers are errors") {
  for (const char* bad :
       {"", "[]", "{}", R"({"memory_capacity":1,"concurrency":1,"items":[{"entry":"a",
        "size_bytes":1,"presence":"elsewhere"}]})"}) {
    CAPTURE(bad);
    CHECK_FALSE(IsOk(ParseInventory(bad)));
  }
  CHECK_FALSE(IsOk(ParseLoadReport("{}")));
  CHECK_FALSE(IsOk(ParseCacheEvents(R"([{}])")));
}

}  // namespace
}  // namespace shallot
