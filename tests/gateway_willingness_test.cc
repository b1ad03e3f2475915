#include "servers/gateway/runner_willingness.h"

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};
using State = Willingness::State;

RunnerEntry Entry(uint64_t born, uint64_t heartbeat) {
  RunnerEntry entry;
  entry.id = RunnerId("a");
  entry.backend = BackendName("engine");
  entry.slots = 4;
  entry.born = RunnerStartTime(born);
  entry.heartbeat = HeartbeatSequence(heartbeat);
  return entry;
}

struct LeavingCase {
  const char* name;
  void (*then)(FleetView* view);
  bool usable;
};

// Guards against calls to a runner that has said it is leaving, because of anything that is older
// or that does not know of it.
TEST_CASE("gateway: a runner that is leaving stays unusable until it has restarted") {
  const std::vector<LeavingCase> cases = {
      {"nothing else", [](FleetView*) {}, false},
      {"older entry", [](FleetView* view) { view->Apply(Entry(2, 4), kStart); }, false},
      {"newer entry that says ready", [](FleetView* view) { view->Apply(Entry(2, 6), kStart); },
       false},
      {"report",
       [](FleetView* view) {
         RunnerReport report;
         report.born = RunnerStartTime(2);
         view->ApplyReport(RunnerId("a"), report, kStart);
       },
       false},
      {"lapsed and listed again",
       [](FleetView* view) {
         view->Remove(RunnerId("a"), kStart);
         view->Apply(Entry(2, 6), kStart);
       },
       false},
      {"back from a copy of the store",
       [](FleetView* view) {
         view->Remove(RunnerId("a"), kStart);
         view->OnStoreRestored(kStart);
         view->Apply(Entry(2, 4), kStart);
       },
       false},
      {"restarted", [](FleetView* view) { view->Apply(Entry(3, 1), kStart); }, true},
  };
  for (const LeavingCase& test : cases) {
    CAPTURE(std::string(test.name));
    FleetView view;
    view.Apply(Entry(2, 5), kStart);
    CHECK_FALSE(view.MarkLeaving({RunnerId("a"), RunnerStartTime(1)}));
    CHECK(view.MarkLeaving({RunnerId("a"), RunnerStartTime(2)}));
    CHECK_FALSE(view.MarkLeaving({RunnerId("a"), RunnerStartTime(2)}));
    test.then(&view);
    CHECK(view.UsableRunners(BackendName("engine")).empty() != test.usable);
  }
}

struct ClosedCase {
  const char* name;
  std::vector<int64_t> closed_ms;
  int64_t checked_after_ms;
  Willingness expected;
};

// Guards against calls to a runner in the time for which it asked for none.
TEST_CASE("gateway: a runner that closed itself takes no call until the time has passed") {
  const int64_t longest = RunnerHealth::kLongestClosed.count();
  const std::vector<ClosedCase> cases = {
      {"not closed", {}, 0, {}},
      {"closed", {800}, 300, {State::kClosed, Millis(500)}},
      {"time has passed", {800}, 800, {}},
      {"a shorter time later on does not open it", {800, 100}, 300, {State::kClosed, Millis(500)}},
      {"a longer one counts", {100, 800}, 300, {State::kClosed, Millis(500)}},
      {"absurd time", {1'000'000'000'000}, longest - 1, {State::kClosed, Millis(1)}},
      {"absurd time has an end", {1'000'000'000'000}, longest, {}},
  };
  for (const ClosedCase& test : cases) {
    CAPTURE(std::string(test.name));
    RunnerState runner;
    RunnerHealth health;
    for (const int64_t time : test.closed_ms) health.Close(Millis(time), kStart);
    const SteadyTime at = kStart + Millis(test.checked_after_ms);
    CHECK(AssessWillingness(runner, health, nullptr, at) == test.expected);
  }
}

// Guards against waiting calls that all reach a runner in the moment in which it opens.
TEST_CASE("gateway: calls follow each other with a gap after a runner has opened") {
  RunnerHealth health;
  health.Close(Millis(100), kStart);
  SteadyTime now = kStart + Millis(100);
  CHECK(health.OnSent(now));
  CHECK_FALSE(health.OnSent(now));
  CHECK(health.ClosedFor(now) == RunnerHealth::kReopenGap);
  now += Duration(RunnerHealth::kReopenGap);
  CHECK(health.ClosedFor(now) == Millis(0));
  now = kStart + Millis(100) + RunnerHealth::kReopenTime;
  (void)health.OnSent(now);
  CHECK(health.ClosedFor(now) == Millis(0));
}

// Guards against new calls to a runner that has said in an answer that it is leaving, before the
// list of runners tells so.
TEST_CASE("gateway daemon: a runner that says it is leaving gets no further calls") {
  for (const char* status : {"200 OK", "500 Internal Server Error", "503 Busy"}) {
    CAPTURE(std::string(status));
    GatewayFixture fixture;
    std::atomic<int> calls = 0;
    RawServer runner([&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find("POST /p/") == std::string::npos) return;
      ++calls;
      std::string head = AnswerHead(
          request,
          "Server-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\nConnection: close\r\n");
      connection->Send(head.replace(head.find("200 OK"), 6, status));
    });
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", kConfig);
    REQUIRE(fixture.AwaitReady());
    REQUIRE(fixture.Await([&] {
      (void)fixture.Call("/p/x");
      return calls > 0;
    }));
    CHECK(fixture.Call("/p/x").status == 503);
    // A newer entry of the list that does not tell of it, and another runner.
    fixture.AddRunner(runner.address());
    fixture.platform_.PutRunner();
    CHECK(fixture.Await([&] { return fixture.Call("/p/x").status == 200; }));
    CHECK(fixture.Call("/p/x").status == 200);
    CHECK(calls == 1);
  }
}

struct TurnedAwayCase {
  const char* name;
  const char* retry_after;
  int status;
};

// Guards against calls to a runner that has turned one away and named a time, and against callers
// that wait for it although it opens too late for them.
TEST_CASE("gateway daemon: a call waits for a closed runner only if it opens in time") {
  const std::vector<TurnedAwayCase> cases = {
      {"decimal", "0.6", 200},
      {"whole seconds", "1", 200},
      {"unreadable", "soon", 200},
      {"a date", "Sat, 05 Dec 2026 09:00:00 GMT", 200},
      {"after the caller's deadline", "30", 503},
      {"absurd", "1e12", 503},
  };
  for (const TurnedAwayCase& test : cases) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    std::atomic<int> refused = 0;
    std::atomic<int> early = 0;
    const SystemClock clock;
    SteadyTime refused_at{};
    RawServer runner([&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find("POST /p/") == std::string::npos) return;
      std::string head =
          AnswerHead(request, "Server-Seal: s\r\nContent-Length: 0\r\nConnection: close\r\n");
      if (refused == 0) {
        refused_at = clock.SteadyNow();
        ++refused;
        head = AnswerHead(request, std::string("Not-Executed: 1\r\nContent-Length: 0\r\n"
                                               "Connection: close\r\nRetry-After: ") +
                                       test.retry_after + "\r\n");
        head.replace(head.find("200 OK"), 6, "503 Busy");
      } else if (clock.SteadyNow() - refused_at < Millis(550)) {
        ++early;
      }
      connection->Send(head);
    });
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", kConfig);
    REQUIRE(fixture.AwaitReady());
    REQUIRE(fixture.Await([&] {
      const Reply reply = fixture.Call("/p/x");
      if (refused > 0) CHECK(reply.status == test.status);
      if (refused > 0 && test.status == 503) CHECK(std::stod(reply.retry_after) >= 3);
      return refused > 0;
    }));
    CHECK(fixture.Call("/p/x").status == test.status);
    CHECK(early == 0);
  }
}

}  // namespace
}  // namespace shallot::gateway
