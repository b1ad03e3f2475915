#include <doctest/doctest.h>

#include <string>

#include "tests/gateway_daemon_fixture.h"

namespace shallot::gateway {
namespace {

constexpr const char* kTenants =
    R"("tenants":[{"name":"limited","api-keys":["k1"],"rate-per-s":12,"burst":24,"unit":"calls"},
{"name":"free","api-keys":["k2"]}],"routes":[)";

// Guards against calls beyond a quota that run, against calls of other teams that are refused, and
// against refusals without a Retry-After. One gateway alone is taken for one of 12 at first.
TEST_CASE("gateway daemon: calls beyond a team's quota get 429") {
  GatewayFixture fixture;
  std::string config = kConfig;
  config.replace(config.find("\"routes\":["), 10, kTenants);
  fixture.platform_.Put("op/config", config);
  fixture.platform_.PutRunner();
  REQUIRE(fixture.AwaitReady());
  fixture.key_ = "k1";
  REQUIRE(fixture.Await([&] { return fixture.Call("/p/x").status == 200; }));
  const uint64_t before = fixture.platform_.calls();
  int admitted = 0;
  int refused = 0;
  for (int call = 0; call < 40; ++call) {
    const Reply reply = fixture.Call("/p/x");
    if (reply.status == 200) ++admitted;
    if (reply.status != 429) continue;
    ++refused;
    CHECK_FALSE(reply.retry_after.empty());
    CHECK(reply.call_id == "call-" + std::to_string(fixture.calls_));
  }
  CHECK(refused > 20);
  CHECK(admitted + refused == 40);
  CHECK(fixture.platform_.calls() - before == static_cast<uint64_t>(admitted));
  fixture.key_ = "k2";
  for (int call = 0; call < 20; ++call) CHECK(fixture.Call("/p/x").status == 200);
}

// Guards against tokens that do not reach the gateway with the demand: either gateway alone may use
// the whole burst, of which its equal share would be half.
TEST_CASE("gateway daemon: a gateway gets tokens from another one") {
  GatewayFixture fixture;
  GatewaySettings second_settings = fixture.settings_;
  second_settings.instance = InstanceId("front-2");
  const auto second = StartOnFreePorts(&second_settings, &fixture.codec_);
  REQUIRE(second != nullptr);
  std::string config = kConfig;
  config.replace(config.find("\"routes\":["), 10,
                 R"("tenants":[{"name":"limited","api-keys":["k1"],"rate-per-s":30,"burst":30,)"
                 R"("unit":"calls"}],"routes":[)");
  fixture.platform_.Put("op/config", config);
  fixture.platform_.PutRunner();
  REQUIRE(fixture.AwaitReady());
  const auto quotas = [&](const GatewaySettings& settings) {
    return fixture.Send(settings.metrics_address, "GET", "/quotas").body;
  };
  REQUIRE(fixture.Await([&] {
    for (const GatewaySettings* settings : {&fixture.settings_, &second_settings}) {
      const std::string shown = quotas(*settings);
      if (shown.find("\"known_gateways\":2,\"members\":2") != std::string::npos) return true;
    }
    return false;
  }));
  fixture.key_ = "k1";
  const SystemClock clock;
  for (const GatewaySettings* settings : {&fixture.settings_, &second_settings}) {
    CAPTURE(quotas(*settings));
    const SteadyTime full = clock.SteadyNow() + Millis(1'500);
    REQUIRE(fixture.Await([&] { return clock.SteadyNow() > full; }));
    int admitted = 0;
    for (int call = 0; call < 25; ++call) {
      if (fixture.Send(settings->caller_address, "POST", "/p/x", "b").status == 200) ++admitted;
    }
    CHECK(admitted == 25);
  }
  second->Stop();
}

// Guards against models that are loaded for calls which their team's quota refuses.
TEST_CASE("gateway daemon: refused calls are no demand for their model") {
  GatewayFixture fixture;
  const std::string begin = "{\"version\":1,\"routes\":[";
  // The quota never has room for a call, since a call costs 1.
  const std::string team =
      R"({"version":1,"tenants":[{"name":"limited","api-keys":["k1"],"rate-per-s":0.001,)"
      R"("burst":0.001,"unit":"calls"},{"name":"free","api-keys":["k2"]}],"routes":[)";
  fixture.ConfigureModels({{begin, team}});
  fixture.platform_.PutRunner();
  REQUIRE(fixture.AwaitReady());
  const auto demanded = [&] {
    const std::string metrics =
        fixture.Send(fixture.settings_.metrics_address, "GET", "/metrics").body;
    const std::string name = "\ncalls_demanded_total ";
    const size_t at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + name.size()));
  };
  fixture.key_ = "k1";
  CHECK(fixture.Call("/s/1", "m1").status == 429);
  CHECK(demanded() == 0);
  fixture.key_ = "k2";
  (void)fixture.Call("/s/1", "m1");
  CHECK(demanded() == 1);
}

}  // namespace
}  // namespace shallot::gateway
