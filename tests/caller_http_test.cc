#include "drivers/caller_http.h"

#include <doctest/doctest.h>

#include <functional>
#include <latch>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/admin_http.h"
#include "drivers/caller_protocol.h"
#include "drivers/http_connection.h"
#include "drivers/zmq_hub.h"

namespace shallot {
namespace {

constexpr Millis kTimeout{20'000};

/// A fake router that answers each call with a function of the test, and the event loop that it
/// runs on.
class FakeRouter final : public RouterApi, public AdminTarget, public HubListener {
 public:
  using Answer =
      std::function<void(FakeRouter*, const CallerRequest&, std::shared_ptr<CallerSink>)>;

  explicit FakeRouter(Answer answer) : answer_(std::move(answer)) {}
  ~FakeRouter() override { StopLoop(); }

  void StartLoop() {
    thread_ = std::thread([this] { hub_.Run(this); });
  }
  void StopLoop() {
    if (!thread_.joinable()) return;
    hub_.Stop();
    thread_.join();
  }
  TaskRing* ring() { return &hub_.ring(); }

  CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) override {
    requests.push_back(request);
    answer_(this, request, std::move(sink));
    return CallId("call-" + std::to_string(requests.size()));
  }
  void CancelByCaller(const CallId& call) override {
    if (cancelled.empty()) cancel_seen.count_down();
    cancelled.push_back(call.value());
  }
  std::vector<std::string> ModelNames() const override { return {"m1", "m2"}; }
  bool Ready() const override { return ready; }
  std::string StatusJson() const override { return R"({"part":"router"})"; }
  void BeginDrain(const std::string& reason) override {
    drain_reason = reason;
    drain_seen.count_down();
  }
  void OnMessage(ConnectionId /*connection*/, const Message& /*message*/) override {}
  void OnDisconnect(ConnectionId /*connection*/) override {}
  void OnTick() override {
    if (on_tick) on_tick();
  }

  std::vector<CallerRequest> requests;
  std::vector<std::string> cancelled;
  std::latch cancel_seen{1};
  std::latch drain_seen{1};
  std::string drain_reason;
  bool ready = false;
  std::function<void()> on_tick;

 private:
  Answer answer_;
  static HubOptions SmallRing() {
    HubOptions options;
    options.ring_capacity = 64;
    return options;
  }

  ZmqHub hub_{SmallRing()};
  std::thread thread_;
};

/// A CallerHttp on a free port with a FakeRouter behind it.
struct CallerHttpFixture {
  explicit CallerHttpFixture(FakeRouter::Answer answer, size_t answer_limit = 1U << 20U)
      : router(std::move(answer)),
        http({.address = "127.0.0.1:0", .threads = 4, .router = "r1", .answer_limit = answer_limit},
             router.ring(), &router, &metrics) {
    REQUIRE(IsOk(http.Start(kernel)));
    router.StartLoop();
  }
  ~CallerHttpFixture() {
    http.Stop();
    router.StopLoop();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(http.port()); }
  Result<HttpReply> Send(const HttpRequest& request) const {
    HttpConnection connection(address());
    return connection.Exchange(request, kTimeout);
  }

  MetricsRegistry metrics;
  ServiceKernel kernel;
  FakeRouter router;
  CallerHttp http;
};

HttpRequest Post(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.content_type = "application/json";
  request.body = body;
  return request;
}

Outcome Completed() {
  Outcome outcome;
  outcome.kind = OutcomeKind::kCompleted;
  return outcome;
}

const char* const kPlain = R"({"model":"m"})";
const char* const kStream = R"({"model":"m","stream":true})";

TEST_CASE("a whole answer is returned with status, content type, outcome and request id") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>& sink) {
        sink->OnBegin(200, "application/json");
        sink->OnData("{\"text\":1}");
        sink->OnEnd(Completed());
      });
  HttpRequest request = Post(kPlain);
  request.headers = {{"X-Request-Id", "mine"}, {"Idempotency-Key", "k"}};
  const Result<HttpReply> reply = fixture.Send(request);
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply).status == 200);
  CHECK(ValueOf(reply).body == "{\"text\":1}");
  CHECK(ValueOf(reply).content_type == "application/json");
  CHECK(ValueOf(reply).Header("X-Shallot-Outcome") == "completed");
  CHECK(ValueOf(reply).Header("X-Request-Id") == "mine");
  const Result<HttpReply> second = fixture.Send(Post(kPlain));
  REQUIRE(IsOk(second));
  CHECK(ValueOf(second).Header("X-Request-Id").starts_with("r1-"));
}

TEST_CASE("the response to a refused call has status, outcome, retry-after and a JSON error") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>& sink) {
        Outcome outcome;
        outcome.kind = OutcomeKind::kNotRun;
        outcome.reason = Reason::kQueueFull;
        outcome.retry_after = Millis(1200);
        sink->OnEnd(outcome);
      });
  for (const char* body : {kPlain, kStream}) {
    CAPTURE(body);
    const Result<HttpReply> reply = fixture.Send(Post(body));
    REQUIRE(IsOk(reply));
    CHECK(ValueOf(reply).status == 429);
    CHECK(ValueOf(reply).Header("X-Shallot-Outcome") == "not-run");
    CHECK(ValueOf(reply).Header("Retry-After") == "2");
    CHECK(ValueOf(reply).body.find("\"type\":\"queue-full\"") != std::string::npos);
  }
}

TEST_CASE("a streamed answer is forwarded") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest& request, const std::shared_ptr<CallerSink>& sink) {
        CHECK(request.stream);
        sink->OnBegin(200, "text/event-stream");
        sink->OnData("data: a\n\n");
        sink->OnData("data: [DONE]\n\n");
        sink->OnEnd(Completed());
      });
  const Result<HttpReply> reply = fixture.Send(Post(kStream));
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply).content_type == "text/event-stream");
  CHECK(ValueOf(reply).body == "data: a\n\ndata: [DONE]\n\n");
}

// Guards invariant 4: a truncated answer must not look complete.
TEST_CASE("a stream that fails in the middle ends with an error event") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>& sink) {
        sink->OnBegin(200, "text/event-stream");
        sink->OnData("data: a\n\n");
        Outcome outcome;
        outcome.kind = OutcomeKind::kFailed;
        outcome.reason = Reason::kBackendError;
        sink->OnEnd(outcome);
      });
  const Result<HttpReply> reply = fixture.Send(Post(kStream));
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply).body.starts_with("data: a\n\nevent: error\ndata: {\"error\":"));
  CHECK(ValueOf(reply).body.find("[DONE]") == std::string::npos);
}

// Guards against calls that keep running after their caller disconnected.
TEST_CASE("a caller that disconnects cancels its call") {
  for (const char* body : {kPlain, kStream}) {
    CAPTURE(body);
    std::latch submitted(1);
    std::shared_ptr<CallerSink> kept;
    CallerHttpFixture fixture(
        [&](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>& sink) {
          kept = sink;
          submitted.count_down();
        });
    HttpConnection connection(fixture.address());
    std::thread sender([&] { (void)connection.Exchange(Post(body), kTimeout); });
    submitted.wait();
    connection.Abort();
    fixture.router.cancel_seen.wait();
    sender.join();
    fixture.http.Stop();
    fixture.router.StopLoop();
    CHECK(fixture.router.cancelled == std::vector<std::string>{"call-1"});
  }
}

// Guards against unbounded memory use for the answer of a slow caller.
TEST_CASE("the call of a caller that does not read its answer is cancelled") {
  std::shared_ptr<CallerSink> kept;
  CallerHttpFixture fixture(
      [&](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>& sink) {
        sink->OnBegin(200, "text/event-stream");
        kept = sink;
      },
      64U << 10U);
  const std::string part(32U << 10U, 'x');
  // Sends an endless answer on the core's thread until the call is cancelled.
  fixture.router.ring()->PostCompletion([&] {
    fixture.router.on_tick = [&] {
      if (kept == nullptr) return;
      if (fixture.router.cancelled.empty()) {
        for (int i = 0; i < 64; ++i) kept->OnData(part);
        return;
      }
      Outcome outcome;
      outcome.kind = OutcomeKind::kFailed;
      outcome.reason = Reason::kCancelled;
      kept->OnEnd(outcome);
      kept.reset();
    };
  });
  HttpConnection connection(fixture.address());
  const Result<HttpReply> head = connection.Begin(Post(kStream), kTimeout);
  REQUIRE(IsOk(head));
  fixture.router.cancel_seen.wait();
  connection.Abort();
}

TEST_CASE("requests beyond the ring or the size limit are refused as not run") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>&) {});
  SUBCASE("body too large") {
    const Result<HttpReply> reply = fixture.Send(Post(std::string(kMaxCallerBody + 1, ' ')));
    REQUIRE(IsOk(reply));
    CHECK(ValueOf(reply).status == 413);
    CHECK(ValueOf(reply).Header("X-Shallot-Outcome") == "not-run");
    CHECK(fixture.router.requests.empty());
  }
  SUBCASE("ring full") {
    // Shared, because the task may still use them after this block ends.
    const auto release = std::make_shared<std::latch>(1);
    const auto blocked = std::make_shared<std::latch>(1);
    fixture.router.ring()->PostCompletion([release, blocked] {
      blocked->count_down();
      release->wait();
    });
    blocked->wait();
    while (fixture.router.ring()->TryPost([] {})) continue;
    const Result<HttpReply> reply = fixture.Send(Post(kPlain));
    release->count_down();
    REQUIRE(IsOk(reply));
    CHECK(ValueOf(reply).status == 503);
    CHECK(ValueOf(reply).Header("X-Shallot-Outcome") == "not-run");
  }
}

TEST_CASE("the models are listed in the OpenAI format") {
  CallerHttpFixture fixture(
      [](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>&) {});
  HttpRequest request;
  request.path = "/v1/models";
  const Result<HttpReply> reply = fixture.Send(request);
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply).body.find(R"({"id":"m2","object":"model")") != std::string::npos);
}

TEST_CASE("the admin interface answers from the core's thread") {
  FakeRouter router([](FakeRouter*, const CallerRequest&, const std::shared_ptr<CallerSink>&) {});
  MetricsRegistry metrics;
  metrics.GetCounter("shallot_test_total").Add(3);
  InvariantMonitor invariants;
  ServiceKernel kernel;
  AdminHttp admin("127.0.0.1:0", router.ring(), &router, &metrics, &invariants);
  REQUIRE(IsOk(admin.Start(kernel)));
  router.StartLoop();
  HttpConnection connection("127.0.0.1:" + std::to_string(admin.port()));
  const auto get = [&](const std::string& path) {
    HttpRequest request;
    request.path = path;
    return ValueOf(connection.Exchange(request, kTimeout));
  };
  CHECK(get("/healthz").status == 200);
  CHECK(get("/readyz").status == 503);
  CHECK(get("/status").body == R"({"part":"router"})");
  CHECK(get("/metrics").body.find("shallot_test_total 3") != std::string::npos);
  CHECK(get("/other").status == 404);
  HttpRequest drain = Post("moving house");
  drain.path = "/drain";
  CHECK(ValueOf(connection.Exchange(drain, kTimeout)).status == 202);
  router.drain_seen.wait();
  CHECK(router.drain_reason == "moving house");
  admin.Stop();
  router.StopLoop();
}

}  // namespace
}  // namespace shallot
