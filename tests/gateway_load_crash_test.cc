#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// As for calls that crash runners: at most three orders reach runners later than this after the
/// fifth crash.
constexpr Millis kReaction{3'000};
constexpr size_t kCrashesBefore = 5;
constexpr size_t kMaxLateOrders = 3;
/// How long callers go on.
constexpr Millis kCallTime{12'000};

/// Two runners that hold m1 and crash when they load m2. A crashed runner restarts at once under
/// its id, with a later start time.
class RunnersWithDeadlyModel {
 public:
  explicit RunnersWithDeadlyModel(GatewayFixture* fixture) : fixture_(fixture) {
    for (size_t index = 0; index < runners_.size(); ++index) {
      runners_[index] = std::make_unique<RawServer>(
          [this, index](RawConnection* connection, int /*number*/) { Serve(index, connection); });
      Register(index);
    }
  }

  size_t Orders() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return orders_.size();
  }
  /// Number of orders that reached runners too long after the fifth crash.
  size_t LateOrders() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (orders_.size() < kCrashesBefore) return 0;
    const SteadyTime due = orders_[kCrashesBefore - 1] + kReaction;
    return static_cast<size_t>(
        std::count_if(orders_.begin(), orders_.end(), [&](SteadyTime at) { return at > due; }));
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
      if (request.find("/v1/order") != std::string::npos) {
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          orders_.push_back(clock_.SteadyNow());
        }
        connection->Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        ++born_[index];
        Register(index);
        return;
      }
      if (request.find("POST /s/") == std::string::npos) return;
      connection->Send(AnswerHead(request, kChunkedSealed) +
                       "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    }
  }

  GatewayFixture* fixture_;
  std::array<std::atomic<uint64_t>, 2> born_ = {1, 1};
  SystemClock clock_;
  std::mutex mutex_;
  std::vector<SteadyTime> orders_;
  std::array<std::unique_ptr<RawServer>, 2> runners_;
};

// Guards against a model that crashes one runner after the other while they load it.
TEST_CASE("gateway daemon: a model that crashes the runners that load it is no longer loaded") {
  GatewayFixture fixture;
  fixture.ConfigureModels(
      {{"\"load-s\":30", "\"load-s\":1"}, {"\"loads-per-s\":2", "\"loads-per-s\":20"}});
  RunnersWithDeadlyModel runners(&fixture);
  REQUIRE(fixture.AwaitReady());
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + kCallTime;
  while (clock.SteadyNow() < end) {
    CHECK(fixture.Call("/s/1", "m1").status == 200);
    CHECK(fixture.Call("/s/1", "m2").status == 503);
  }
  CHECK(runners.Orders() >= 2);
  CHECK(runners.LateOrders() <= kMaxLateOrders);
}

}  // namespace
}  // namespace shallot::gateway
