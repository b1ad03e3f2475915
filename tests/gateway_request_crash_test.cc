#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr const char* kOneEvent = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
/// The platform's rule: at most three calls reach runners later than this after the fifth crash.
/// Loads are held to the same.
constexpr Millis kReaction{3'000};
constexpr size_t kCrashesBefore = 5;
constexpr size_t kMaxLateArrivals = 3;
/// How long callers go on.
constexpr Millis kCallTime{5'500};

/// Two runners that hold m1 and crash when they begin to answer a call, or to carry out an order,
/// that has the text `deadly` in its head. A crashed runner restarts at once under its id, with a
/// later start time.
class CrashingRunners {
 public:
  CrashingRunners(GatewayFixture* fixture, std::string deadly)
      : fixture_(fixture), deadly_(std::move(deadly)) {
    for (size_t index = 0; index < runners_.size(); ++index) {
      runners_[index] = std::make_unique<RawServer>(
          [this, index](RawConnection* connection, int /*number*/) { Serve(index, connection); });
      Register(index);
    }
  }

  size_t Crashes() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_.size();
  }
  /// Number of deadly calls or orders that reached runners too long after the fifth crash.
  size_t LateArrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (arrivals_.size() < kCrashesBefore) return 0;
    const SteadyTime due = arrivals_[kCrashesBefore - 1] + kReaction;
    return static_cast<size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(), [&](SteadyTime at) { return at > due; }));
  }

 private:
  void Register(size_t index) {
    fixture_->AddRunner(runners_[index]->address(), "a-" + std::to_string(index), born_[index]);
  }

  void Serve(size_t index, RawConnection* connection) {
    while (true) {
      const std::string request = connection->ReadHead();
      if (request.empty()) return;
      if (request.find("/v1/report") != std::string::npos) {
        const std::string body = R"({"models":[{"name":"m1","version":1,"adapters":[]}],)"
                                 R"("busy":false,"seq":0,"born":)" +
                                 std::to_string(born_[index]) + "}";
        connection->Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        continue;
      }
      const bool order = request.find("/v1/order") != std::string::npos;
      if (!order && request.find("POST /s/") == std::string::npos) return;
      if (request.find(deadly_) != std::string::npos) {
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          arrivals_.push_back(clock_.SteadyNow());
        }
        if (order) connection->Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        ++born_[index];
        Register(index);
        return;
      }
      if (order) return;
      connection->Send(AnswerHead(request, kChunkedSealed) + kOneEvent);
    }
  }

  GatewayFixture* fixture_;
  std::string deadly_;
  std::array<std::atomic<uint64_t>, 2> born_ = {1, 1};
  SystemClock clock_;
  std::mutex mutex_;
  std::vector<SteadyTime> arrivals_;
  std::array<std::unique_ptr<RawServer>, 2> runners_;
};

// Guards against calls with one prompt part, or for one adapter, that crash one runner after the
// other.
TEST_CASE("gateway daemon: calls that crash their runners stop reaching runners") {
  struct Case {
    const char* name;
    const char* deadly;
    const char* model;
    const char* prompt;
  };
  for (const Case& test : {Case{"prompt part", ",dead:", "m1", "aa:10,bb:20,dead:5,"}}) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    fixture.ConfigureResumable();
    CrashingRunners runners(&fixture, test.deadly);
    REQUIRE(fixture.Await([&] { return fixture.Call("/s/1", "m1").status == 200; }));
    const SystemClock clock;
    const SteadyTime end = clock.SteadyNow() + kCallTime;
    for (int round = 0; clock.SteadyNow() < end; ++round) {
      const std::string own = std::to_string(round) + ":3";
      CHECK(fixture.Call("/s/1", "m1", "aa:10,bb:20," + own).status == 200);
      const Reply reply = fixture.Call("/s/1", test.model, test.prompt + own);
      CHECK(reply.status >= 500);
    }
    CHECK(runners.LateArrivals() <= kMaxLateArrivals);
    const Reply shown = fixture.Send(fixture.settings_.metrics_address, "GET", "/quarantine");
    CHECK(shown.status == 200);
    CHECK(shown.body.find("part:dead") != std::string::npos);
  }
}

// Guards against a model that crashes one runner after the other while they load it.
TEST_CASE("gateway daemon: a model that crashes the runners that load it is no longer loaded") {
  /// Each load is tried again a second after it failed.
  constexpr Millis kLoadTime{12'000};
  GatewayFixture fixture;
  fixture.ConfigureModels(
      {{"\"load-s\":30", "\"load-s\":1"}, {"\"loads-per-s\":2", "\"loads-per-s\":20"}});
  CrashingRunners runners(&fixture, "/v1/order");
  REQUIRE(fixture.Await([&] { return fixture.Call("/s/1", "m1").status == 200; }));
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + kLoadTime;
  while (clock.SteadyNow() < end) {
    CHECK(fixture.Call("/s/1", "m1").status == 200);
    CHECK(fixture.Call("/s/1", "m2").status == 503);
  }
  CHECK(runners.Crashes() >= 2);
  CHECK(runners.LateArrivals() <= kMaxLateArrivals);
}

/// A runner that holds m1 and closes the connection of a call without an answer if told to.
class DroppingRunner {
 public:
  explicit DroppingRunner(GatewayFixture* fixture)
      : fixture_(fixture), server_([this](RawConnection* connection, int /*number*/) {
          while (true) {
            const std::string request = connection->ReadHead();
            if (request.find("POST /s/") == std::string::npos || drop_) return;
            connection->Send(AnswerHead(request, kChunkedSealed) + kOneEvent);
          }
        }) {}

  void Register(uint64_t born, const char* state) {
    fixture_->AddRunner(server_.address(), "a-0", born, state);
  }
  std::atomic<bool> drop_{false};

 private:
  GatewayFixture* fixture_;
  RawServer server_;
};

// Guards against planned restarts of runners that are taken for crashes, because a connection to
// the runner was lost shortly before.
TEST_CASE("gateway daemon: a runner that leaves the list before it restarts has not crashed") {
  for (const bool drains : {true, false}) {
    CAPTURE(drains);
    GatewayFixture fixture;
    fixture.ConfigureModels({});
    DroppingRunner runner(&fixture);
    runner.Register(1, "ready");
    REQUIRE(fixture.AwaitReady());
    const auto call = [&fixture] { return fixture.Call("/s/1", "m1", "aa:10,bb:20,cc:30").status; };
    const SystemClock clock;
    runner.drop_ = true;
    for (uint64_t born = 1; born <= 3; ++born) {
      // Crashes in one failure domain at the same time count as one.
      const SteadyTime next = clock.SteadyNow() + kCommonCause;
      REQUIRE(fixture.Await([&] { return call() == 502; }));
      drains ? runner.Register(born, "draining") : fixture.platform_.Remove("servers/a-0");
      REQUIRE(fixture.Await([&] { return call() == 503; }));
      runner.Register(born + 1, "ready");
      REQUIRE(fixture.Await([&] { return clock.SteadyNow() > next; }));
    }
    runner.drop_ = false;
    CHECK(fixture.Await([&] { return call() == 200; }));
  }
}

}  // namespace
}  // namespace shallot::gateway
