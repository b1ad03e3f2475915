#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "servers/gateway/stop_sequence.h"
#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

std::string Answer(const std::string& request, const std::string& status,
                   const std::string& fields) {
  std::string answer = AnswerHead(request, fields + "Content-Length: 0\r\n");
  return answer.replace(answer.find("200 OK"), 6, status);
}

// Guards against a second run of a call that must run once: the runner that took over an address
// refuses a call for the former one, is sent the call itself, and repeats its refusal late.
TEST_CASE("gateway daemon: a refusal that arrives again at a reused address proves nothing") {
  std::atomic<int> runs = 0;
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    std::string refusal;
    while (true) {
      const std::string request = connection->ReadHead();
      if (request.empty()) return;
      if (request.find(" /p/") == std::string::npos) {
        connection->Send(Answer(request, "404 Not Found", ""));
      } else if (request.find("Expect-Instance: a-0") != std::string::npos) {
        refusal = Answer(request, "421 Misdirected", "Instance-Id: b-0\r\n");
        connection->Send(refusal);
      } else {
        ++runs;
        connection->Send(refusal + Answer(request, "200 OK", "Server-Seal: s\r\n"));
      }
    }
  });
  GatewayFixture fixture;
  std::string config = kConfig;
  config.replace(config.find("\"idempotent\""), 12, "\"non_idempotent\"");
  fixture.AddRunner(runner.address(), "a-0");
  fixture.AddRunner(runner.address(), "b-0");
  fixture.platform_.Put("op/config", config);
  REQUIRE(fixture.AwaitReady());
  const Reply reply = fixture.Send(fixture.settings_.caller_address, "GET", "/p/1");
  CHECK(reply.status == 200);
  CHECK(runs == 1);
}

struct GivenUp {
  const char* name;
  /// What the runner sends before it goes silent.
  const char* begun;
};

// Guards against a stream that goes on at another runner while the one before still works on it: a
// server may take the end of its peer's stream for a caller that has only finished sending.
TEST_CASE("gateway daemon: an attempt that is given up ends its run") {
  const std::vector<GivenUp> cases = {
      {"silent from the start", ""},
      {"silent after its head", "head"},
      {"silent between two events", "event"},
      {"not a valid answer", "garbage"},
  };
  for (const GivenUp& test : cases) {
    CAPTURE(std::string(test.name));
    std::atomic<int> begun_runs = 0;
    std::atomic<int> reset = 0;
    std::atomic<int> ran_on = 0;
    RawServer stalled([&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find(" /s/") == std::string::npos) return;
      ++begun_runs;
      const std::string begun = test.begun;
      if (begun == "garbage") connection->Send("no answer\r\n\r\n");
      if (begun == "head" || begun == "event") {
        connection->Send(AnswerHead(request, kChunkedSealed));
      }
      if (begun == "event") connection->Send("f\r\nid: 1\ndata: a\n\n\r\n");
      ++(connection->WorkUntilReset(std::chrono::seconds(5)) ? reset : ran_on);
    });
    RawServer other([&](RawConnection* connection, int /*number*/) {
      while (true) {
        const std::string request = connection->ReadHead();
        if (request.find(" /s/") == std::string::npos) return;
        connection->Send(AnswerHead(request, kChunkedSealed) +
                         "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
      }
    });
    GatewayFixture fixture;
    fixture.AddRunner(stalled.address(), "a-0");
    fixture.AddRunner(other.address(), "b-0");
    fixture.ConfigureResumable();
    REQUIRE(fixture.AwaitReady());
    // Which runner a call goes to first is the gateway's choice.
    while (begun_runs == 0) REQUIRE(fixture.Call("/s/1", "m1").status == 200);
    REQUIRE(fixture.Await([&] { return reset + ran_on > 0; }));
    CHECK(ran_on == 0);
  }
}

struct Arrival {
  const char* name;
  const char* kind;
  /// Whether the runner answers the first arrival.
  bool answers;
  int first_status;
  int second_status;
  int runs;
};

// Guards against a second run when a client library or a proxy delivers a request again, because
// its connection ended without an answer.
TEST_CASE("gateway daemon: a call that arrives again runs once") {
  const std::vector<Arrival> cases = {
      {"after its answer", "non_idempotent", true, 200, 502, 1},
      {"after its answer was lost", "non_idempotent", false, 502, 502, 1},
      {"may be repeated", "idempotent", true, 200, 200, 2},
  };
  for (const Arrival& test : cases) {
    CAPTURE(std::string(test.name));
    std::atomic<int> runs = 0;
    RawServer runner([&](RawConnection* connection, int /*number*/) {
      while (true) {
        const std::string request = connection->ReadHead();
        if (request.find(" /p/") == std::string::npos) return;
        ++runs;
        if (!test.answers) return;
        connection->Send(Answer(request, "200 OK", "Server-Seal: s\r\n"));
      }
    });
    GatewayFixture fixture;
    std::string config = kConfig;
    config.replace(config.find("\"idempotent\""), 12, fmt::format("\"{}\"", test.kind));
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", config);
    REQUIRE(fixture.AwaitReady());
    fixture.call_id_ = "again";
    CHECK(fixture.Call("/p/1").status == test.first_status);
    CHECK(fixture.Call("/p/1").status == test.second_status);
    CHECK(runs == test.runs);
  }
}

// Guards against a refusal that does not stay true.
TEST_CASE("gateway daemon: a call that was refused does not run when it arrives again") {
  std::atomic<int> runs = 0;
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    const std::string request = connection->ReadHead();
    if (request.find(" /p/") == std::string::npos) return;
    ++runs;
    connection->Send(Answer(request, "200 OK", "Server-Seal: s\r\n"));
  });
  GatewayFixture fixture;
  std::string config = kConfig;
  config.replace(config.find("\"idempotent\""), 12, "\"non_idempotent\"");
  fixture.platform_.Put("op/config", config);
  REQUIRE(fixture.AwaitReady());
  fixture.call_id_ = "again";
  REQUIRE(fixture.Call("/p/1").status == 503);
  fixture.AddRunner(runner.address());
  fixture.call_id_.clear();
  REQUIRE(fixture.Await([&] { return fixture.Call("/p/1").status == 200; }));
  runs = 0;
  fixture.call_id_ = "again";
  CHECK(fixture.Call("/p/1").status == 503);
  CHECK(runs == 0);
}

/// Configures a route of calls that must run once, to runners that the test has added before: the
/// gateway is ready once it has the configuration.
void ConfigureRunOnce(GatewayFixture* fixture) {
  std::string config = kConfig;
  config.replace(config.find("\"idempotent\""), 12, "\"non_idempotent\"");
  fixture->platform_.Put("op/config", config);
}

// Guards against "not run, and never will be" for a call that is at a runner, when it arrives again
// while there is no memory for its body; and against a later run of one that was refused so.
TEST_CASE("gateway daemon: no promise for a call that was sent before, without memory") {
  std::atomic<int> runs = 0;
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    const std::string request = connection->ReadHead();
    if (request.find(" /p/") == std::string::npos) return;
    ++runs;
    connection->Send(Answer(request, "200 OK", "Server-Seal: s\r\n"));
  });
  GatewayFixture fixture({}, 8);
  fixture.AddRunner(runner.address());
  ConfigureRunOnce(&fixture);
  REQUIRE(fixture.AwaitReady());
  const std::string body(600'000, 'x');
  const auto send = [&](const std::string& id, const std::string& path, const std::string& bytes) {
    fixture.call_id_ = id;
    return fixture.Send(fixture.settings_.caller_address, "POST", path, bytes);
  };
  REQUIRE(send("sent", "/p/1", "short").status == 200);
  {
    Poco::Net::StreamSocket upload{Poco::Net::SocketAddress(fixture.settings_.caller_address)};
    const std::string begin =
        "POST /p/2 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: upload\r\nDeadline-Ms: 9000\r\n"
        "Content-Length: 1500000\r\n\r\n";
    upload.sendBytes(begin.data(), static_cast<int>(begin.size()));
    REQUIRE(fixture.Await([&] { return Metric(&fixture, "buffered_body_bytes") == 1'500'000; }));
    const Reply again = send("sent", "/p/1", body);
    CHECK(again.status == 502);
    CHECK(again.retry_after.empty());
    CHECK(send("new", "/p/3", body).status == 503);
  }
  REQUIRE(fixture.Await([&] { return Metric(&fixture, "buffered_body_bytes") == 0; }));
  CHECK(send("new", "/p/3", body).status == 503);
  CHECK(runs == 1);
}

// Guards against "not run, and never will be" for a call that is at a runner, when it arrives again
// at a gateway that is stopping.
TEST_CASE("gateway daemon: no promise for a call that was sent before, while stopping") {
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    const std::string request = connection->ReadHead();
    if (request.find(" /p/") == std::string::npos) return;
    (void)connection->Pause(kConditionTimeout);
  });
  GatewayFixture fixture;
  fixture.AddRunner(runner.address());
  ConfigureRunOnce(&fixture);
  REQUIRE(fixture.AwaitReady());
  std::jthread first([&] {
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(fixture.settings_.caller_address)};
    const std::string request =
        "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: sent\r\nDeadline-Ms: 20000\r\n"
        "Content-Length: 0\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, 4'096> answer{};
    caller.setReceiveTimeout(Poco::Timespan(30, 0));
    (void)caller.receiveBytes(answer.data(), static_cast<int>(answer.size()));
  });
  REQUIRE(fixture.Await([&] { return Metric(&fixture, "calls_in_progress") == 1; }));
  const SystemClock clock;
  fixture.daemon_->BeginDrain("test");
  // The gateway notices the request to stop within one tick.
  const SteadyTime refuses = clock.SteadyNow() + StopSequence::kNewCallWindow + Millis(500);
  REQUIRE(fixture.Await([&] { return clock.SteadyNow() > refuses; }));
  const Reply refused = fixture.Call("/p/1");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("the gateway is stopping") != std::string::npos);
  fixture.call_id_ = "sent";
  const Reply again = fixture.Call("/p/1");
  CHECK(again.status == 502);
  CHECK(again.retry_after.empty());
}

}  // namespace
}  // namespace shallot::gateway
