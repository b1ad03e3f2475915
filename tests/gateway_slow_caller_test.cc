#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr size_t kEventBytes = 4'096;
/// Longer than what the gateway and the operating system hold of an unread answer, which the
/// gateway used to close at 8 MB of its own.
constexpr int kManyEvents = 8'000;

std::string Event(int id) {
  std::string event = "id: " + std::to_string(id) + "\ndata: ";
  event.resize(kEventBytes - 2, 'x');
  return event + "\n\n";
}

std::string Chunk(const std::string& data) {
  std::array<char, 16> size{};
  (void)std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

/// Sends the events after the one that the request names, up to `last`. Returns false if the peer
/// did not take them.
bool SendEvents(RawConnection* connection, const std::string& request, int last) {
  const std::string name = "Last-Event-Id: ";
  const size_t at = request.find(name);
  int id = at == std::string::npos ? 0 : std::stoi(request.substr(at + name.size()));
  if (!connection->Send(AnswerHead(request, kChunkedSealed))) return false;
  while (++id <= last) {
    if (!connection->Send(Chunk(Event(id)))) return false;
  }
  return connection->Send("0\r\n\r\n");
}

/// A caller with a small receive buffer that sends a request and reads only on demand.
class SlowCaller {
 public:
  SlowCaller(const std::string& address, const std::string& path, int number,
             const std::string& body_length = "0") {
    socket_.init(AF_INET);
    socket_.setReceiveBufferSize(8'192);
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
    socket_.connect(Poco::Net::SocketAddress(address));
    const std::string request =
        "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow-" +
        std::to_string(number) +
        "\r\nDeadline-Ms: 15000\r\nModel-Name: m1\r\nConnection: close\r\n" +
        "Content-Length: " + body_length + "\r\n\r\n";
    socket_.sendBytes(request.data(), static_cast<int>(request.size()));
  }

  std::string ReadAll() {
    std::string received;
    std::array<char, 65'536> buffer{};
    socket_.setReceiveBufferSize(1'048'576);
    try {
      for (int count = 1; count > 0;) {
        count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count > 0) received.append(buffer.data(), static_cast<size_t>(count));
      }
    } catch (const Poco::Exception& error) {
      MESSAGE("the connection ended with: " << error.displayText());
    }
    return received;
  }

 private:
  Poco::Net::StreamSocket socket_;
};

/// The ids of the events in the order of arrival.
std::vector<int> EventIds(const std::string& received) {
  std::vector<int> ids;
  for (size_t at = received.find("id: "); at != std::string::npos; at = received.find("id: ", at)) {
    at += 4;
    ids.push_back(std::stoi(received.substr(at, 10)));
  }
  return ids;
}

std::vector<int> IdsUpTo(int last) {
  std::vector<int> ids;
  for (int id = 1; id <= last; ++id) ids.push_back(id);
  return ids;
}

// Guards against a stream that is closed because its caller reads slowly, against events lost or
// doubled around a pause, and against an answer cut off by its runner that looks complete.
TEST_CASE("gateway daemon: a stream whose caller reads late is paused") {
  struct Case {
    const char* name;
    bool cut;
    bool resumable;
  };
  for (const Case& test :
       {Case{"the runner waits", false, false}, Case{"the runner cuts a stream", true, false},
        Case{"the runner cuts a resumable stream", true, true}}) {
    CAPTURE(std::string(test.name));
    RawServerOptions options;
    if (test.cut) options.send_timeout = std::chrono::milliseconds(300);
    std::atomic<int> cut{0};
    std::atomic<int> streams{0};
    const auto script = [&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find(" /s/") == std::string::npos) return;
      ++streams;
      if (!SendEvents(connection, request, kManyEvents)) ++cut;
      connection->AwaitClose();
    };
    RawServer first(script, options);
    RawServer second(script);
    GatewayFixture fixture;
    if (test.resumable) {
      fixture.ConfigureResumable();
    } else {
      fixture.ConfigureModels({});
    }
    fixture.AddRunner(first.address());
    REQUIRE(fixture.AwaitReady());
    SlowCaller caller(fixture.settings_.caller_address, "/s/1", 1);
    REQUIRE(fixture.Await([&] { return Metric(&fixture, "answers_paused_total") > 0; }));
    fixture.AddRunner(second.address(), "b-0");
    if (test.cut) REQUIRE(fixture.Await([&] { return cut > 0; }));
    const std::string received = caller.ReadAll();
    const std::vector<int> ids = EventIds(received);
    const bool complete = received.ends_with("0\r\n\r\n");
    CHECK(complete == (!test.cut || test.resumable));
    if (complete) {
      const bool each_once = ids == IdsUpTo(kManyEvents);
      CHECK(each_once);
    } else {
      const bool none_lost = ids == IdsUpTo(static_cast<int>(ids.size()));
      CHECK(none_lost);
      CHECK(ids.size() < kManyEvents);
    }
    CHECK(streams == (test.resumable ? 2 : 1));
    CHECK(Metric(&fixture, "buffered_answer_bytes") < 1'000'000);
  }
}

// Guards against callers that do not read and together take the gateway's memory, delay other
// callers, or stay unnoticed when they leave.
TEST_CASE("gateway daemon: many callers that do not read") {
  constexpr int kCallers = 30;
  struct Case {
    const char* path;
    const char* pressure_metric;
  };
  for (const Case& test :
       {Case{"/s/", "answers_paused_total"}, Case{"/p/", "answers_passed_on_unbuffered_total"}}) {
    CAPTURE(std::string(test.path));
    const std::string body(3'000'000, 'x');
    RawServer runner([&](RawConnection* connection, int /*number*/) {
      while (true) {
        const std::string request = connection->ReadHead();
        if (request.empty()) return;
        if (request.find("/fast/") != std::string::npos) {
          connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 2\r\n") + "ok");
        } else if (request.find(" /s/") != std::string::npos) {
          if (!SendEvents(connection, request, kManyEvents)) return;
        } else {
          const std::string length = std::to_string(body.size());
          connection->Send(
              AnswerHead(request, "Server-Seal: s\r\nContent-Length: " + length + "\r\n"));
          connection->Send(body);
        }
      }
    });
    GatewayFixture fixture({}, 16);
    std::string config = kConfig;
    config.replace(config.find("\"service\":\"models\""), 18, "\"service\":\"engine\"");
    fixture.platform_.Put("op/config", config);
    fixture.platform_.Put("servers/a-0",
                          R"({"service":"engine","address":")" + runner.address() +
                              R"(","zone":"north","version":"v1","slots":100,"seq":1,)"
                              R"("state":"ready","born":1,"models":[]})");
    REQUIRE(fixture.AwaitReady());
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int number = 0; number < kCallers; ++number) {
      callers.push_back(std::make_unique<SlowCaller>(fixture.settings_.caller_address,
                                                     test.path + std::to_string(number), number));
    }
    REQUIRE(fixture.Await([&] { return Metric(&fixture, test.pressure_metric) > 0; }));
    const SystemClock clock;
    // The answers' share, one read of each call on top, and the bytes that frame their events.
    const int64_t limit = Metric(&fixture, "buffer_limit_bytes") / 2 + kCallers * 40'000;
    Duration slowest{0};
    int64_t most_held = 0;
    for (int call = 0; call < 40; ++call) {
      const SteadyTime begun = clock.SteadyNow();
      const Reply reply = fixture.Call("/p/fast/");
      slowest = std::max<Duration>(slowest, clock.SteadyNow() - begun);
      CHECK(reply.status == 200);
      CHECK(reply.body == "ok");
      most_held = std::max(most_held, Metric(&fixture, "buffered_answer_bytes"));
    }
    CHECK(slowest < Duration(Seconds(1)));
    CHECK(most_held > 0);
    CHECK(most_held <= limit);
    callers.clear();
    CHECK(fixture.Await([&] { return Metric(&fixture, "calls_in_progress") == 0; }));
    CHECK(fixture.Await([&] { return Metric(&fixture, "buffered_answer_bytes") == 0; }));
  }
}

// Guards against uploads that together take the gateway's memory.
TEST_CASE("gateway daemon: refuses a body that there is no memory for") {
  GatewayFixture fixture({}, 8);
  fixture.Configure("engine");
  REQUIRE(fixture.AwaitReady());
  std::vector<std::unique_ptr<SlowCaller>> uploads;
  uploads.push_back(
      std::make_unique<SlowCaller>(fixture.settings_.caller_address, "/p/1", 1, "1500000"));
  REQUIRE(fixture.Await([&] { return Metric(&fixture, "buffered_body_bytes") == 1'500'000; }));
  const std::string body(600'000, 'x');
  const Reply refused = fixture.Send(fixture.settings_.caller_address, "POST", "/p/2", body);
  CHECK(refused.status == 503);
  CHECK(refused.retry_after == "1.000");
  CHECK(refused.call_id == "call-" + std::to_string(fixture.calls_));
  CHECK(fixture.platform_.calls() == 0);
  CHECK(fixture.Send(fixture.settings_.caller_address, "POST", "/p/3", "short").status == 200);
  uploads.clear();
  REQUIRE(fixture.Await([&] { return Metric(&fixture, "buffered_body_bytes") == 0; }));
  CHECK(fixture.Send(fixture.settings_.caller_address, "POST", "/p/4", body).status == 200);
}

// Guards against calls that together exceed a runner's memory, which crashes it, against calls that
// wait for ever for memory that is free again, and against a call that no runner can hold.
TEST_CASE("gateway daemon: calls wait for the runner's memory") {
  GatewayPolicy policy;
  policy.bound_runner_memory = true;
  GatewayFixture fixture(policy);
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    while (true) {
      const std::string request = connection->ReadHead();
      if (request.empty()) return;
      if (request.find(" /s/") == std::string::npos) return;
      (void)connection->ReadBytes(4);
      most = std::max(most.load(), ++running);
      (void)connection->Pause(std::chrono::milliseconds(200));
      --running;
      if (!SendEvents(connection, request, 1)) return;
    }
  });
  fixture.AddRunner(runner.address());
  fixture.ConfigureModels(
      {{"\"weights-mb\":100", "\"kv-capacity-tokens\":10000,\"weights-mb\":100"}});
  REQUIRE(fixture.AwaitReady());
  const auto call = [&](int number, const std::string& tokens) {
    Poco::Net::HTTPClientSession session{
        Poco::Net::SocketAddress(fixture.settings_.caller_address)};
    session.setTimeout(Poco::Timespan(20, 0));
    Poco::Net::HTTPRequest request("POST", "/s/1", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Attempt-Id", "memory-" + std::to_string(number));
    request.set("Deadline-Ms", "15000");
    request.set("Model-Name", "m1");
    request.set("Token-Usage", tokens);
    request.setContentLength(4);
    session.sendRequest(request) << "body";
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(stream, body);
    return std::pair<int, std::string>(response.getStatus(), body);
  };
  std::atomic<int> served{0};
  {
    std::vector<std::jthread> callers;
    for (int number = 0; number < 6; ++number) {
      callers.emplace_back(
          [&, number] { served += call(number, "3000,1000").first == 200 ? 1 : 0; });
    }
  }
  CHECK(served == 6);
  CHECK(most <= 2);
  CHECK(Metric(&fixture, "runner_memory_held_tokens") == 0);
  const auto refused = call(100, "9000,2000");
  CHECK(refused.first == 400);
  CHECK(refused.second.find("11000 tokens") != std::string::npos);
}

}  // namespace
}  // namespace shallot::gateway
