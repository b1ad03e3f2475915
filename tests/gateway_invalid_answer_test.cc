#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_client.h"
#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// Sockets of a server as on a network; those of loopback take a long upload at once.
constexpr RawServerOptions kNetworkSockets{8'192, 1'460};
constexpr size_t kUploadBytes = 1'000'000;
constexpr const char* kSound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kUnframed = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr Millis kShortDelay{30};
/// The gateway has ended the exchange long before a server that stops reading closes its end.
constexpr Millis kUnreadTime{500};
/// Limit on one exchange; only an exchange that never ends reaches it.
constexpr Seconds kExchangeLimit{5};

std::string Post(size_t bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
         std::string(bytes, 'u');
}

/// Records how one exchange ended, and calls `done`.
class EndRecorder final : public ExchangeHandler {
 public:
  explicit EndRecorder(std::function<void()> done) : done_(std::move(done)) {}
  HeadVerdict OnHead(const HttpHead& /*head*/) override { return HeadVerdict::kAccept; }
  void OnBody(std::string /*data*/) override {}
  void OnComplete() override { End("complete"); }
  void OnFailure(ExchangeFailure failure, const std::string& /*detail*/) override {
    End(failure == ExchangeFailure::kMalformed ? "malformed" : "lost");
  }
  const std::string& end() const { return end_; }

 private:
  void End(const char* end) {
    end_ = end;
    done_();
  }

  std::function<void()> done_;
  std::string end_ = "none";
};

/// Makes one exchange after another on one client and returns how each ended.
std::vector<std::string> Exchanges(const std::string& address,
                                   const std::vector<std::string>& requests) {
  const SystemClock clock;
  EventLoop loop(&clock);
  HttpClient client(&loop);
  std::vector<std::unique_ptr<EndRecorder>> recorders;
  std::function<void()> next = [&] {
    if (recorders.size() == requests.size()) return loop.Stop();
    recorders.push_back(
        std::make_unique<EndRecorder>([&] { loop.After(Duration(0), [&] { next(); }); }));
    (void)client.Start(address, requests[recorders.size() - 1], {}, recorders.back().get());
  };
  loop.After(Duration(0), [&] { next(); });
  loop.After(kExchangeLimit, [&] { loop.Stop(); });
  loop.Run();
  std::vector<std::string> ends;
  for (const auto& recorder : recorders) ends.push_back(recorder->end());
  return ends;
}

/// How a server ends the connection after an unframed answer.
enum class Ending { kReset, kLateReset, kEndOfStream };

void End(RawConnection* connection, Ending ending) {
  if (ending == Ending::kEndOfStream) {
    connection->EndStream();
    // Without reading: the rest of the upload stays unsent.
    (void)connection->WorkUntilReset(kUnreadTime);
    return;
  }
  if (ending == Ending::kLateReset) (void)connection->Pause(kShortDelay);
  connection->Reset();
}

// Guards against a part of an answer that counts as whole because its server ended the connection
// while the gateway was still writing the request (docs/incidents/2026-12-07-impossible-status.md).
TEST_CASE("http client: an early unframed answer does not complete an unfinished upload") {
  for (const Ending ending : {Ending::kReset, Ending::kLateReset, Ending::kEndOfStream}) {
    for (const auto& [upload, read] :
         std::vector<std::pair<size_t, size_t>>{{kUploadBytes, 0},
                                                {kUploadBytes, 1},
                                                {kUploadBytes, 8'192},
                                                {kUploadBytes, 65'536},
                                                // As a server reads, the operating system takes
                                                // more of an upload ahead of it, here up to 700 kB.
                                                {4 * kUploadBytes, 300'000}}) {
      for (const bool kept : {false, true}) {
        CAPTURE(static_cast<int>(ending));
        CAPTURE(read);
        const std::string long_request = Post(upload);
        CAPTURE(kept);
        std::atomic<bool> answered = false;
        RawServer server(
            [&](RawConnection* connection, int /*number*/) {
              while (true) {
                const std::string head = connection->ReadHead();
                if (head.empty()) return;
                if (long_request.starts_with(head)) break;
                connection->Send(kSound);
              }
              if (connection->ReadBytes(read).size() < read) return;
              connection->Send(kUnframed);
              answered = true;
              End(connection, ending);
            },
            kNetworkSockets);
        std::vector<std::string> requests{long_request, Post(0)};
        if (kept) requests.insert(requests.begin(), Post(0));
        std::vector<std::string> expected{"lost", "complete"};
        if (kept) expected.insert(expected.begin(), "complete");
        CHECK(Exchanges(server.address(), requests) == expected);
        CHECK(answered);
      }
    }
  }
}

// Guards against a check so strict that sound answers which end with their connection fail.
TEST_CASE("http client: an unframed answer completes a request that was sent whole") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    RawServer server([&](RawConnection* connection, int /*number*/) {
      if (connection->ReadHead().empty()) return;
      (void)connection->ReadBytes(kUploadBytes);
      connection->Send(kUnframed);
      if (reset) connection->Reset();
    });
    CHECK(Exchanges(server.address(), {Post(kUploadBytes)}) ==
          std::vector<std::string>{reset ? "lost" : "complete"});
  }
}

// Guards against an impossible status that counts as interim, so that its caller waits out the
// whole time budget, or that is passed on (docs/incidents/2026-12-07-impossible-status.md).
TEST_CASE("http client: an answer with an impossible status is malformed at once") {
  for (const char* status : {"000", "001", "099", "101", "600", "999", "1000"}) {
    for (const char* fields : {"", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
      CAPTURE(std::string(status));
      CAPTURE(std::string(fields));
      RawServer server([&](RawConnection* connection, int number) {
        if (connection->ReadHead().empty()) return;
        connection->Send(
            number > 0 ? kSound : "HTTP/1.1 " + std::string(status) + " X\r\n" + fields + "\r\n");
        connection->AwaitClose();
      });
      CHECK(Exchanges(server.address(), {Post(0), Post(0)}) ==
            std::vector<std::string>{"malformed", "complete"});
    }
  }
}

// Guards against an answer of the store, a report or an order that is awaited until its time-out.
TEST_CASE("buffered calls: an answer with an impossible status is an error at once") {
  for (const char* status : {"000", "099", "101", "600"}) {
    CAPTURE(std::string(status));
    RawServer server([&](RawConnection* connection, int /*number*/) {
      if (connection->ReadHead().empty()) return;
      connection->Send("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n");
      connection->AwaitClose();
    });
    const SystemClock clock;
    EventLoop loop(&clock);
    HttpClient client(&loop);
    BufferedCalls calls(&loop, &client, [](const HttpHead& /*head*/) { return false; });
    HttpMessage request;
    request.head.method = "GET";
    request.head.target = "/";
    std::string error;
    const SteadyTime start = clock.SteadyNow();
    calls.Start(server.address(), request, kExchangeLimit, [&](const Result<HttpMessage>& answer) {
      error = IsOk(answer) ? "none" : ErrorOf(answer).message;
      loop.Stop();
    });
    loop.Run();
    CHECK(error.find("status") != std::string::npos);
    CHECK(clock.SteadyNow() - start < kExchangeLimit / 2);
  }
}

// Guards against interim answers that hold an exchange open: many small ones with pauses, or few
// large ones whose heads arrive in parts.
TEST_CASE("http client: interim answers without end are malformed") {
  struct Case {
    const char* name;
    std::string field;
    Millis pause;
    size_t parts;
  };
  for (const Case& test :
       {Case{"small, with pauses", "", Millis(5), 1},
        Case{"large, in parts", "X: " + std::string(50'000, 'x') + "\r\n", Millis(2), 2}}) {
    CAPTURE(std::string(test.name));
    std::atomic<int> sent = 0;
    RawServer server([&](RawConnection* connection, int /*number*/) {
      if (connection->ReadHead().empty()) return;
      const std::string answer = "HTTP/1.1 102 Processing\r\n" + test.field + "\r\n";
      const size_t last = test.parts > 1 ? answer.size() - 1 : 0;
      for (; sent < 10'000; ++sent) {
        if (!connection->Send(answer.substr(0, last)) || !connection->Pause(test.pause)) return;
        if (!connection->Send(answer.substr(last)) || !connection->Pause(test.pause)) return;
      }
    });
    CHECK(Exchanges(server.address(), {Post(0)}) == std::vector<std::string>{"malformed"});
    CHECK(sent < (test.parts > 1 ? 10 : 100));
  }
}

// Guards against limits so strict that a runner which reports progress on a call is cut off.
TEST_CASE("http client: some interim answers before the answer are skipped") {
  RawServer server([&](RawConnection* connection, int /*number*/) {
    if (connection->ReadHead().empty()) return;
    for (int count = 0; count < 20; ++count) connection->Send("HTTP/1.1 102 Processing\r\n\r\n");
    connection->Send(kSound);
    connection->AwaitClose();
  });
  CHECK(Exchanges(server.address(), {Post(0)}) == std::vector<std::string>{"complete"});
}

/// The routes on which a call is tested.
struct CallPath {
  const char* name;
  const char* path;
  const char* model;
};

constexpr CallPath kPaths[] = {{"plain", "/p/1", ""},
                               {"stream of a plain service", "/s/1", ""},
                               {"model call", "/p/1", "m1"},
                               {"stream of a model", "/s/1", "m1"}};

/// Puts a configuration in force whose route takes the call, with the runner as the only one.
void ConfigureFor(const CallPath& path, const std::string& runner, GatewayFixture* fixture) {
  if (*path.model != '\0') {
    fixture->ConfigureModels({});
  } else {
    std::string config = kConfig;
    const std::string from = "800,\"service\":\"models\"";
    config.replace(config.find(from), from.size(), "800,\"service\":\"engine\"");
    fixture->platform_.Put("op/config", config);
  }
  fixture->AddRunner(runner);
  REQUIRE(fixture->AwaitReady());
}

// Guards against a caller that gets a part of a runner's answer as a complete one.
TEST_CASE("gateway daemon: an early answer to a long upload never looks complete when cut off") {
  for (const CallPath& path : kPaths) {
    for (const Ending ending : {Ending::kReset, Ending::kLateReset, Ending::kEndOfStream}) {
      CAPTURE(std::string(path.name));
      CAPTURE(static_cast<int>(ending));
      std::atomic<int> uploads = 0;
      RawServer runner(
          [&](RawConnection* connection, int /*number*/) {
            const std::string request = connection->ReadHead();
            if (request.find(std::string(" ") + path.path) == std::string::npos) return;
            if (request.find("Content-Length: 1000000") == std::string::npos) {
              connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 9\r\n") +
                               "data: 2\n\n");
              return connection->AwaitClose();
            }
            ++uploads;
            connection->Send(AnswerHead(request, "Server-Seal: s\r\n") + "data: 1\n\n");
            End(connection, ending);
          },
          kNetworkSockets);
      GatewayFixture fixture;
      ConfigureFor(path, runner.address(), &fixture);
      const std::string received =
          fixture.CallRaw(path.path, path.model, std::string(kUploadBytes, 'u'));
      CAPTURE(received);
      CHECK(uploads > 0);
      const bool whole_stream = received.ends_with(kLastChunk);
      const bool accepted = received.starts_with("HTTP/1.1 200");
      CHECK_FALSE(whole_stream);
      if (path.path[1] == 'p') CHECK_FALSE(accepted);
      const Reply next = fixture.Call(path.path, path.model);
      CHECK(next.status == 200);
      CHECK(next.body == "data: 2\n\n");
    }
  }
}

// Guards against a call that waits out its time budget for an answer that can't come.
TEST_CASE(
    "gateway daemon: an impossible status is answered at once, by another runner if allowed") {
  struct Case {
    const char* status;
    bool repeatable;
  };
  for (const Case& test : {Case{"000", false}, Case{"099", true}, Case{"101", false},
                           Case{"600", true}, Case{"999", false}}) {
    CAPTURE(std::string(test.status));
    std::atomic<int> calls = 0;
    const auto script = [&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find(" /p/") == std::string::npos) return;
      std::string answer = AnswerHead(request, "Server-Seal: s\r\nContent-Length: 0\r\n");
      if (++calls == 1) answer.replace(answer.find("200"), 3, test.status);
      connection->Send(answer);
      connection->AwaitClose();
    };
    RawServer first(script);
    RawServer second(script);
    GatewayFixture fixture;
    std::string config = kConfig;
    const std::string from = "100,\"service\":\"engine\",\"max-attempts\":1";
    if (test.repeatable) {
      config.replace(config.find(from), from.size(),
                     "100,\"service\":\"engine\",\"max-attempts\":2");
    }
    fixture.AddRunner(first.address(), "a-0");
    fixture.AddRunner(second.address(), "a-1");
    fixture.platform_.Put("op/config", config);
    REQUIRE(fixture.AwaitReady());
    const SystemClock clock;
    const SteadyTime start = clock.SteadyNow();
    CHECK(fixture.Call("/p/1").status == (test.repeatable ? 200 : 502));
    CHECK(clock.SteadyNow() - start < Seconds(3));
    CHECK(calls == (test.repeatable ? 2 : 1));
  }
}

// Guards against interim answers that extend a call's time budget.
TEST_CASE("gateway daemon: slow interim answers without end leave the call's time budget") {
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    const std::string request = connection->ReadHead();
    if (request.find(" /p/") == std::string::npos) return;
    while (connection->Send("HTTP/1.1 102 Processing\r\n\r\n") && connection->Pause(Millis(200))) {
    }
  });
  GatewayFixture fixture;
  std::string config = kConfig;
  const std::string from = "\"timeout-ms\":20000";
  config.replace(config.find(from), from.size(), "\"timeout-ms\":1000");
  fixture.AddRunner(runner.address());
  fixture.platform_.Put("op/config", config);
  REQUIRE(fixture.AwaitReady());
  const SystemClock clock;
  const SteadyTime start = clock.SteadyNow();
  CHECK(fixture.Call("/p/1").status == 504);
  CHECK(clock.SteadyNow() - start < Seconds(3));
}

}  // namespace
}  // namespace shallot::gateway
