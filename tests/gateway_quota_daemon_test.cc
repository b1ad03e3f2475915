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

}  // namespace
}  // namespace shallot::gateway
