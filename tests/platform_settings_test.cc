#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform_settings.h"
#include "tests/platform_codec_fixture.h"

namespace shallot::platform {
namespace {

TEST_CASE("platform: the settings file is decoded and validated") {
  const std::string text =
      R"({"node":"front-regina-1","ip":"10.1.0.38","zone":"regina",
"listen":{"front":"10.1.0.38:8149","ready":"10.1.0.38:8141"},"port-range":[7380,7395],
"bounds":{"grace-s":8,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-slack":58,
"lease-ms":3000,"require-fencing":false,"ceiling-window-s":5,"config-apply-ms":3000,
"strict-revoke":true,"revoke-ms":5000,"quota-window-s":8,"quota-overshoot":0.1,
"quota-slack":110000},
"limits":{"memory-mb":512},
"contracts":["base","pressure"],
"platform":{"address":"10.200.1.7:8142","ttl-min-ms":1000},"new-field":[1]})";
  const auto decoded = DecodeSettings(text);
  REQUIRE(IsOk(decoded));
  const gateway::GatewaySettings& settings = ValueOf(decoded);
  CHECK(settings.caller_address == "10.1.0.38:8149");
  CHECK(settings.peer_address == "10.1.0.38:7380");
  CHECK(settings.store_address == "10.200.1.7:8142");
  CHECK(settings.stop_grace == Millis(8'000));
  CHECK_FALSE(settings.orders_fenced);
  CHECK(settings.policy.retry_slack == 58);
  CHECK(settings.policy.config_apply == Millis(3'000));
  CHECK(settings.policy.strict_revoke);
  CHECK(settings.policy.bound_runner_memory);
  CHECK(settings.policy.revoke_time == Millis(5'000));
  CHECK(settings.policy.quota_window == Millis(8'000));
  CHECK(settings.policy.quota_overshoot == doctest::Approx(0.1));
  CHECK(settings.policy.quota_slack == doctest::Approx(110'000));
  CHECK(settings.memory_mb == 512);
  const nlohmann::json good = nlohmann::json::parse(text);
  nlohmann::json other = good;
  other["contracts"] = {"base"};
  CHECK_FALSE(ValueOf(DecodeSettings(other.dump())).policy.bound_runner_memory);
  nlohmann::json changed = good;
  changed.erase("limits");
  CHECK(ValueOf(DecodeSettings(changed.dump())).memory_mb == 120);
  for (const nlohmann::json& limit : {nlohmann::json(0), nlohmann::json(-1), nlohmann::json("x")}) {
    changed["limits"]["memory-mb"] = limit;
    CHECK(KindOf(DecodeSettings(changed.dump())) == "invalid-argument");
  }
  for (const char* field : {"node", "zone", "ip", "listen", "port-range", "platform"}) {
    CAPTURE(std::string(field));
    nlohmann::json bad = good;
    bad.erase(field);
    CHECK(KindOf(DecodeSettings(bad.dump())) == "invalid-argument");
  }
}

}  // namespace
}  // namespace shallot::platform
