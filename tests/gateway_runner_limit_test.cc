#include <doctest/doctest.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr const char* kOneEvent = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
constexpr double kCallsPerSecond = 2;
// The platform's rule: from kReaction after the limit was first named, a runner gets at most one
// and a half times what it allows in any kWindow, and kSlack calls.
constexpr Millis kReaction{3'000};
constexpr Millis kWindow{4'000};
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
/// How long callers go on.
constexpr Millis kCallTime{8'000};

/// A runner that holds m1 and names a limit in each answer.
class LimitedRunner {
 public:
  explicit LimitedRunner(GatewayFixture* fixture)
      : server_([this](RawConnection* connection, int /*number*/) { Serve(connection); }) {
    fixture->AddRunner(server_.address());
  }

  /// The most calls that arrived within any window after the reaction time.
  size_t MostInWindow() {
    const std::lock_guard<std::mutex> lock(mutex_);
    size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      if (*first < arrivals_.front() + kReaction) continue;
      const auto last = std::upper_bound(first, arrivals_.end(), *first + kWindow);
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

 private:
  void Serve(RawConnection* connection) {
    while (true) {
      const std::string request = connection->ReadHead();
      if (request.find("GET /s/") == std::string::npos) return;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back(clock_.SteadyNow());
      }
      connection->Send(AnswerHead(request, std::string("Server-Limit: ") +
                                               std::to_string(kCallsPerSecond) + "\r\n" +
                                               kChunkedSealed) +
                       kOneEvent);
    }
  }

  SystemClock clock_;
  std::mutex mutex_;
  std::vector<SteadyTime> arrivals_;
  RawServer server_;
};

// Guards against a runner that gets more calls than the limit that it names in its answers.
TEST_CASE("gateway daemon: a runner gets no more calls than the limit that it has named") {
  GatewayFixture fixture;
  fixture.ConfigureModels({});
  LimitedRunner runner(&fixture);
  REQUIRE(fixture.AwaitReady());
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + kCallTime;
  int served = 0;
  while (clock.SteadyNow() < end) {
    const Reply reply = fixture.Send(fixture.settings_.caller_address, "GET", "/s/1", "", "m1");
    if (reply.status == 200) ++served;
  }
  const double seconds = static_cast<double>(kWindow.count()) / 1000.0;
  CHECK(static_cast<double>(runner.MostInWindow()) <= kFactor * kCallsPerSecond * seconds + kSlack);
  const Reply shown = fixture.Send(fixture.settings_.metrics_address, "GET", "/limits");
  CHECK(shown.body.find("\"calls_per_s\":2.0") != std::string::npos);
  // The runner's capacity is used, too.
  CHECK(served >= static_cast<int>(kCallsPerSecond * seconds));
}

}  // namespace
}  // namespace shallot::gateway
