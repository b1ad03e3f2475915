#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// A runner of backend "engine" that holds m1 and counts the calls that it gets.
class CountingRunner {
 public:
  explicit CountingRunner(std::string id)
      : id_(std::move(id)), server_([this](RawConnection* connection, int /*number*/) {
          while (true) {
            const std::string request = connection->ReadHead();
            if (request.empty()) return;
            if (request.find("Expect-Instance: " + id_) == std::string::npos ||
                request.find("Attempt-Id: ") == std::string::npos) {
              return;
            }
            ++calls_;
            connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 13\r\n") +
                             "id: 1\ndata:\n\n");
          }
        }) {}

  int calls() const { return calls_; }
  std::string key() const { return "servers/" + id_; }
  void Heartbeat(FakePlatform* platform, uint64_t sequence) const {
    platform->Put(key(), fmt::format(R"({{"service":"engine","address":"{}","zone":"north",)"
                                     R"("version":"v1","slots":8,"seq":{},"state":"ready",)"
                                     R"("born":1,"models":[{{"name":"m1","version":1,)"
                                     R"("adapters":[]}}]}})",
                                     server_.address(), sequence));
  }

 private:
  std::string id_;
  std::atomic<int> calls_ = 0;
  RawServer server_;
};

struct LateCase {
  const char* name;
  const char* path;
  const char* model;
  uint64_t late_sequence;
};

// Guards against calls to a runner that has left, when the store carries out one of its heartbeats
// late (review/9).
TEST_CASE("gateway daemon: a late heartbeat does not bring a runner back that has left") {
  constexpr uint64_t kLastSequence = 5;
  constexpr int kCalls = 40;
  for (const LateCase& test : {LateCase{"plain call, earlier heartbeat", "/p/1", "", 3},
                               LateCase{"plain call, heartbeat sent last", "/p/1", "", 6},
                               LateCase{"stream, earlier heartbeat", "/s/1", "m1", 3},
                               LateCase{"stream, heartbeat sent last", "/s/1", "m1", 6}}) {
    CAPTURE(std::string(test.name));
    const CountingRunner leaver("a-0");
    const CountingRunner other("b-0");
    GatewayFixture fixture;
    const auto configure = [&](int version) {
      const std::string number = "\"version\":" + std::to_string(version) + ",\"routes\"";
      if (*test.model == '\0') {
        std::string config = kConfig;
        const std::string from = "\"version\":1,\"routes\"";
        fixture.platform_.Put("op/config", config.replace(config.find(from), from.size(), number));
      } else {
        fixture.ConfigureModels({{"\"version\":1,\"routes\"", number}});
      }
    };
    configure(1);
    leaver.Heartbeat(&fixture.platform_, kLastSequence);
    REQUIRE(fixture.AwaitReady());
    const auto call_until = [&](const CountingRunner& runner) {
      return fixture.Await([&] {
        (void)fixture.Call(test.path, test.model);
        return runner.calls() > 0;
      });
    };
    REQUIRE(call_until(leaver));
    fixture.platform_.Remove(leaver.key());
    other.Heartbeat(&fixture.platform_, 1);
    REQUIRE(call_until(other));
    const int before = leaver.calls();
    leaver.Heartbeat(&fixture.platform_, test.late_sequence);
    // The gateway has read the late heartbeat once it has read what was written after it.
    configure(2);
    REQUIRE(fixture.Await([&] { return Metric(&fixture, "config_version") == 2; }));
    for (int number = 0; number < kCalls; ++number) {
      CHECK(fixture.Call(test.path, test.model).status == 200);
    }
    CHECK(leaver.calls() == before);
  }
}

// Guards against a runner that is not used again after its entry has lapsed for a time.
TEST_CASE("gateway daemon: a runner that renews its entry after a lapse is used again") {
  const CountingRunner runner("a-0");
  GatewayFixture fixture;
  fixture.platform_.Put("op/config", kConfig);
  runner.Heartbeat(&fixture.platform_, 5);
  REQUIRE(fixture.AwaitReady());
  REQUIRE(fixture.Await([&] { return fixture.Call("/p/1").status == 200; }));
  fixture.platform_.Remove(runner.key());
  REQUIRE(fixture.Await([&] { return fixture.Call("/p/1").status == 503; }));
  runner.Heartbeat(&fixture.platform_, 9);
  runner.Heartbeat(&fixture.platform_, 10);
  CHECK(fixture.Await([&] { return fixture.Call("/p/1").status == 200; }));
}

}  // namespace
}  // namespace shallot::gateway
