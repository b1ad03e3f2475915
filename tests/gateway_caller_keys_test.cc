#include <atomic>
#include <future>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/log.h"
#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr const char* kKey = "secret-key-1";
constexpr Millis kRevokeTime{3'000};

GatewayPolicy StrictPolicy() {
  GatewayPolicy policy;
  policy.strict_revoke = true;
  policy.revoke_time = kRevokeTime;
  policy.config_apply = Millis(3'000);
  return policy;
}

/// The beginning of kConfig as another version, with one team that has `key`.
std::string TeamConfigBegin(int version, const std::string& key) {
  return "{\"version\":" + std::to_string(version) +
         R"(,"tenants":[{"name":"gold","priority":0,"api-keys":[")" + key + "\"]}],\"routes\":[";
}

/// kConfig with one team, and with a public route to the runner.
std::string TeamConfig(int version, const std::string& key) {
  std::string config = ConfigWithRoute(version, "/open/");
  const std::string begin = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  config.replace(config.find(begin), begin.size(), TeamConfigBegin(version, key));
  const std::string route = "{\"name\":\"added\",";
  return config.replace(config.find(route), route.size(), route + "\"public\":true,");
}

/// Collects what is logged from the first line on, while no other thread logs at its begin and end.
class LogCapture {
 public:
  LogCapture() : before_(std::clog.rdbuf(&text_)) {
    InitLogging(LogLevel::kInfo, LogFormat::kText, "test");
  }
  ~LogCapture() {
    InitLogging(LogLevel::kWarning, LogFormat::kText, "test");
    std::clog.rdbuf(before_);
  }
  std::string text() const { return text_.str(); }

 private:
  std::stringbuf text_;
  std::streambuf* before_;
};

/// A runner that keeps the heads of the calls that it got.
class RecordingRunner {
 public:
  RecordingRunner()
      : server_([this](RawConnection* connection, int /*number*/) { Serve(connection); }) {}

  const std::string& address() const { return server_.address(); }
  std::vector<std::string> calls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
  }

 private:
  void Serve(RawConnection* connection) {
    const std::string request = connection->ReadHead();
    if (!request.starts_with("POST /p/") && !request.starts_with("POST /open/") &&
        !request.starts_with("POST /s/")) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      calls_.push_back(request);
    }
    connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 0\r\n"));
  }

  std::mutex mutex_;
  std::vector<std::string> calls_;
  RawServer server_;
};

// Guards against a key, or a team that the caller claims, in what runners get, logs and metrics.
TEST_CASE("gateway daemon: a key does not leave the gateway") {
  RecordingRunner runner;
  std::string metrics;
  LogCapture logs;
  {
    GatewayFixture fixture(StrictPolicy());
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", TeamConfig(1, kKey));
    REQUIRE(fixture.AwaitReady());
    const auto call = [&](const char* path, std::vector<std::pair<std::string, std::string>> sent) {
      fixture.fields_ = std::move(sent);
      const int status = fixture.Send(fixture.settings_.caller_address, "POST", path).status;
      fixture.fields_.clear();
      return status;
    };
    CHECK(call("/p/1", {{"Credential", kKey}, {"Tenant-Name", "claimed"}}) == 200);
    CHECK(call("/open/1", {{"Credential", kKey}}) == 200);
    CHECK(call("/open/2", {{"Credential", "secret-key-2"}, {"Tenant-Name", "claimed"}}) == 200);
    CHECK(call("/open/3", {}) == 200);
    CHECK(call("/p/2", {}) == 401);
    CHECK(call("/p/3", {{"Credential", "secret-key-2"}}) == 401);
    CHECK(call("/p/4", {{"Credential", kKey}, {"Credential", "secret-key-2"}}) == 401);
    CHECK(call("/none/", {{"Credential", kKey}}) == 404);
    // Errors about configurations must not quote them.
    fixture.platform_.Put("op/config", TeamConfig(2, kKey) + "}");
    fixture.platform_.Put("op/config", TeamConfig(3, "\\ud800secret-key-3"));
    const auto read_metrics = [&] {
      metrics = fixture.Send(fixture.settings_.metrics_address, "GET", "/metrics").body;
      return metrics;
    };
    REQUIRE(fixture.Await(
        [&] { return read_metrics().find("config_invalid_total") != std::string::npos; }));
    CHECK(metrics.find("calls_denied_total{reason=\"unknown-key\"} 3") != std::string::npos);
  }
  const std::vector<std::string> calls = runner.calls();
  REQUIRE(calls.size() == 4);
  for (size_t index = 0; index < calls.size(); ++index) {
    CAPTURE(calls[index]);
    CHECK(calls[index].find("secret") == std::string::npos);
    CHECK(calls[index].find("claimed") == std::string::npos);
    CHECK(calls[index].find("Credential") == std::string::npos);
    CHECK((calls[index].find("Tenant-Name: gold\r\n") != std::string::npos) == (index < 2));
  }
  CHECK(logs.text().find("event=end") != std::string::npos);
  CHECK(logs.text().find("secret") == std::string::npos);
  CHECK(metrics.find("secret") == std::string::npos);
}

// Guards against a removed key that still runs calls at a gateway that does not learn of its
// removal from the store, and against public calls that need the store.
TEST_CASE("gateway daemon: a removed key stops at a gateway that is cut off from the store") {
  struct Case {
    const char* name;
    bool busy;
    /// The other gateway is cut off as well.
    bool all;
  };
  for (const Case& test : {Case{"turned away", true, false}, Case{"unanswered", false, false},
                           Case{"all unanswered", false, true}}) {
    CAPTURE(std::string(test.name));
    const SystemClock clock;
    GatewayFixture fixture(StrictPolicy());
    fixture.platform_.Put("op/config", TeamConfig(1, kKey));
    fixture.platform_.PutRunner();
    REQUIRE(fixture.AwaitReady());
    const SecondGateway second(fixture, fixture.platform_.side_entrance());
    const std::string& address = second.settings().caller_address;
    fixture.fields_ = {{"Credential", kKey}};
    const auto call = [&](const char* path) { return fixture.Send(address, "POST", path); };
    REQUIRE(fixture.Await([&] { return call("/p/x").status == 200; }));
    StoreFaults faults;
    faults.busy = test.busy;
    faults.silent = !test.busy;
    fixture.platform_.SetSideEntranceFaults(faults);
    if (test.all) fixture.platform_.SetStoreFaults(faults);
    // The store holds the new version from here on.
    fixture.platform_.Put("op/config", TeamConfig(2, "secret-key-2"));
    REQUIRE(fixture.platform_.StoreValue("op/config") == TeamConfig(2, "secret-key-2"));
    const SteadyTime removed = clock.SteadyNow();
    Millis last_run{0};
    Reply last;
    while (clock.SteadyNow() < removed + kRevokeTime + Millis(1'500)) {
      const SteadyTime sent = clock.SteadyNow();
      last = call("/p/x");
      if (last.status == 200) last_run = std::chrono::duration_cast<Millis>(sent - removed);
    }
    CHECK(last_run <= kRevokeTime);
    CHECK(last.status != 200);
    CHECK(fixture.Await([&] {
      last = call("/p/x");
      return last.status == (test.all ? 503 : 401);
    }));
    CHECK(last.retry_after.empty() == !test.all);
    CHECK(call("/open/x").status == 200);
    // The new key is served again at a gateway that the other one informs.
    fixture.fields_ = {{"Credential", "secret-key-2"}};
    CHECK(fixture.Await([&] { return call("/p/x").status == (test.all ? 503 : 200); }));
  }
}

// Guards against a call that has waited while its key was removed and is then run.
TEST_CASE("gateway daemon: a waiting call whose key is removed is not run") {
  RecordingRunner runner;
  GatewayFixture fixture(StrictPolicy());
  fixture.platform_.RefuseOrders();
  const std::string begin = "{\"version\":1,\"routes\":[";
  fixture.ConfigureModels({{begin, TeamConfigBegin(1, kKey)}});
  fixture.platform_.PutRunner();
  REQUIRE(fixture.AwaitReady());
  fixture.fields_ = {{"Credential", kKey}};
  auto reply = std::async(std::launch::async, [&fixture, settings = fixture.settings_] {
    return fixture.Send(settings.caller_address, "POST", "/s/1", "", "m1");
  });
  // The leader tries to load the model for the call that waits.
  REQUIRE(fixture.Await([&fixture] { return fixture.platform_.orders() > 0; }));
  fixture.AddRunner(runner.address());
  fixture.ConfigureModels({{begin, TeamConfigBegin(2, "secret-key-2")}});
  CHECK(reply.get().status == 401);
  CHECK(runner.calls().empty());
}

}  // namespace
}  // namespace shallot::gateway
