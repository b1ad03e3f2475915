#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/platform_codec_fixture.h"

namespace shallot::platform {
namespace {

constexpr const char* kEntry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"regina","version":"v1","slots":64,
"state":"ready","cold-remaining-ms":0,"stage":"colocated","born":1787342823205,
"models":[{"name":"daka510000","version":1,"adapters":["a3"]}],
"at-hand":{"in-memory":["m1"],"on-disk":["m1","m2"]},"seq":4})";

TEST_CASE("platform: an entry of the runner list is decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRunner(RunnerId("i-1"), kEntry);
  REQUIRE(IsOk(decoded));
  const gateway::RunnerEntry& entry = ValueOf(decoded);
  CHECK(entry.backend == BackendName("huvo11a"));
  CHECK(entry.address == "10.128.0.9:8080");
  CHECK(entry.slots == 64);
  CHECK_FALSE(entry.draining);
  CHECK(entry.born == RunnerStartTime(1787342823205));
  CHECK(entry.heartbeat == gateway::HeartbeatSequence(4));
  CHECK(entry.holdings.Holds(gateway::ModelName("daka510000"), gateway::AdapterName("a3")));
  CHECK(entry.holdings.on_disk.size() == 2);
}

// Guards against accepting invalid runner entries, which other programs may write.
TEST_CASE("platform: invalid entries of the runner list are typed errors") {
  const PlatformCodec codec;
  const nlohmann::json good = nlohmann::json::parse(kEntry);
  const std::vector<std::pair<const char*, nlohmann::json>> changes = {
      {"service", nullptr}, {"service", 7},        {"address", "nowhere"}, {"address", 5},
      {"zone", nullptr},    {"slots", "many"},     {"slots", -1},          {"state", "asleep"},
      {"state", nullptr},   {"born", "yesterday"}, {"models", "m1"},       {"models", {{{"x", 1}}}},
      {"at-hand", 3}};
  for (const auto& [field, value] : changes) {
    CAPTURE(std::string(field) + " = " + value.dump());
    nlohmann::json entry = good;
    entry[field] = value;
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), entry.dump())) == "invalid-argument");
  }
  for (const char* address : {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:0",
                              "10.0.0.1:-1", "256.0.0.1:80", "10.0.0:80", "10.0.0.1:80:80"}) {
    CAPTURE(std::string(address));
    nlohmann::json entry = good;
    entry["address"] = address;
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), entry.dump())) == "invalid-argument");
  }
  for (const char* bytes : {"", "[]", "\xff\xfe", "{\"service\":"}) {
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), bytes)) == "invalid-argument");
  }
}

struct OddEntryCase {
  const char* name;
  const char* field;
  std::string value;
};

// Guards against a process that ends, or a duration that is undefined, because of one odd entry
// that another writer left among those of the runners.
TEST_CASE("platform: numbers out of range and deep nesting in a runner entry do no harm") {
  constexpr size_t kDepth = 400'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::vector<OddEntryCase> cases = {
      {"number beyond a double", "slots", "1e999"},
      {"number beyond 64 bits", "slots", "99999999999999999999999"},
      {"huge duration", "remaining-ms", "1e300"},
      {"negative duration", "remaining-ms", "-1e300"},
      {"huge heartbeat", "seq", "18446744073709551616"},
      {"nested list of models", "models", nested},
      {"nested unknown field", "x", nested},
      {"nested state", "state", nested},
  };
  const PlatformCodec codec;
  for (const OddEntryCase& test : cases) {
    CAPTURE(std::string(test.name));
    nlohmann::json entry = nlohmann::json::parse(kEntry);
    entry.erase(test.field);
    std::string text = entry.dump();
    text.insert(1, "\"" + std::string(test.field) + "\":" + test.value + ",");
    const auto decoded = codec.DecodeRunner(RunnerId("i-1"), text);
    if (!IsOk(decoded)) continue;
    CHECK(ValueOf(decoded).remaining.value_or(Millis(0)) >= Millis(0));
    CHECK(ValueOf(decoded).remaining.value_or(Millis(0)) <= std::chrono::hours(24 * 366));
  }
}

constexpr const char* kConfig =
    R"({"version":7,"routes":[
{"name":"r1","hostname":"Ficu95.example","path-prefix":"/pufi791/","kind":"stream","timeout-ms":15000,
"target-latency-ms":2500,"priority":1,"service":"huvo11a","max-attempts":1,"sticky":true,
"resumable":false,"gap-aim-ms":400},
{"name":"r2","hostname":"ficu95.example","path-prefix":"/lohu930/","kind":"idempotent",
"timeout-ms":5000,"target-latency-ms":800,"priority":1,"traffic-split":[{"service":"huvo11a",
"weight":90},{"service":"wuno96b","weight":10}],"max-attempts":2},
{"name":"r3","hostname":"ficu95.example","path-prefix":"/new/","kind":"kind-of-tomorrow",
"timeout-ms":5000,"service":"wuno96b"}],
"services":[{"name":"huvo11a","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv-capacity-tokens":243171,"weights-mb":220000.0,"adapter-slots":8,
"loads-per-s":2.1,"models":[{"name":"daka510000","weights-mb":65099.99999999999,"load-s":6.0,
"adapters":37,"adapter-mb":12.0,"warm-s":0.38,"disk-s":0.76}]}},
{"name":"wuno96b","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000}})";

TEST_CASE("platform: the operators' configuration is decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRoutes(kConfig);
  REQUIRE(IsOk(decoded));
  const gateway::FleetRoutes& fleet = ValueOf(decoded);
  CHECK(fleet.version == gateway::FleetVersion(7));
  REQUIRE(fleet.routes.size() == 3);
  CHECK(fleet.routes[0].host == "ficu95.example");
  CHECK(fleet.routes[0].kind == gateway::CallKind::kStream);
  CHECK(fleet.routes[0].gap_target == Millis(400));
  CHECK(fleet.routes[1].backends.size() == 2);
  CHECK(fleet.routes[1].backends[1].weight == 10);
  CHECK_MESSAGE(fleet.routes[2].kind == gateway::CallKind::kNonIdempotent,
                "an unknown kind is treated as non-idempotent");
  const gateway::EngineSpec* engine = fleet.Engine(BackendName("huvo11a"));
  REQUIRE(engine != nullptr);
  const gateway::ModelSpec& model = engine->models.at(gateway::ModelName("daka510000"));
  CHECK(model.store_load == Millis(6'000));
  CHECK(model.disk_load == Millis(760));
  CHECK(model.memory_load == Millis(380));
  CHECK(fleet.Engine(BackendName("wuno96b")) == nullptr);
  CHECK(KindOf(codec.DecodeRoutes(R"({"routes":[]})")) == "invalid-argument");
  CHECK(KindOf(codec.DecodeRoutes(R"({"version":1,"routes":[{"name":"r"}]})")) ==
        "invalid-argument");
}

// Guards against a confirmed configuration that is ignored because of fields that are not used.
TEST_CASE("platform: a configuration may hold more than the gateway uses") {
  const PlatformCodec codec;
  const std::string route =
      R"({"name":"r","hostname":"h.example","path-prefix":"/p/","kind":"idempotent","service":"s")";
  for (const std::string& text :
       {R"({"version":2,"routes":[)" + route +
            R"(,"public":true}],"tenants":[{"name":"t","api-keys":["k1","k2"],"priority":0,)"
            R"("rate-per-s":1.5,"burst":0,"unit":"tokens","plain-tokens":100}]})",
        R"({"version":2,"routes":[)" + route +
            R"(,"timeout-ms":null,"priority":null,"traffic-split":null}],"limits":null})",
        R"({"version":2.0,"routes":[)" + route + R"(,"timeout-ms":1500.5,"max-attempts":2.0}]})"}) {
    CAPTURE(text);
    const auto decoded = codec.DecodeRoutes(text);
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded).version == gateway::FleetVersion(2));
    CHECK(ValueOf(decoded).routes.size() == 1);
  }
}

/// A configuration with one public route, one other route and the given teams.
std::string ConfigWithTeams(const std::string& teams) {
  return R"({"version":3,"routes":[{"name":"r","hostname":"h.example","path-prefix":"/p/",)"
         R"("kind":"idempotent","service":"s","public":true},{"name":"q","hostname":"h.example",)"
         R"("path-prefix":"/q/","kind":"idempotent","service":"s"}],"tenants":)" +
         teams + "}";
}

TEST_CASE("platform: teams, their keys and quotas are decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRoutes(ConfigWithTeams(
      R"([{"name":"hule930","api-keys":["k1","k2"],"priority":1,"unit":"tokens",)"
      R"("plain-tokens":200,"rate-per-s":328517,"burst":1000},{"name":"b","api-keys":[]}])"));
  REQUIRE(IsOk(decoded));
  const gateway::FleetRoutes& fleet = ValueOf(decoded);
  CHECK(fleet.keys_required);
  CHECK(fleet.routes[0].is_public);
  CHECK_FALSE(fleet.routes[1].is_public);
  const gateway::Team* team = fleet.FindTeam("k2");
  REQUIRE(team != nullptr);
  CHECK(team->name == gateway::TeamName("hule930"));
  CHECK(team->rank == 1);
  CHECK(team->quota.unit == gateway::QuotaUnit::kTokens);
  CHECK(team->quota.rate_per_s == doctest::Approx(328'517));
  CHECK(team->quota.burst == doctest::Approx(1'000));
  CHECK(team->quota.plain_tokens == 200);
  CHECK(fleet.FindTeam("") == nullptr);
  CHECK(fleet.FindTeam("k3") == nullptr);
  const gateway::Team& other = fleet.teams.at(gateway::TeamName("b"));
  CHECK_FALSE(other.quota.limited());
  CHECK_FALSE(other.rank);
}

// Guards against treating a configuration whose last team was removed as one without keys, which
// would let every caller in.
TEST_CASE("platform: a configuration with an empty list of teams requires keys") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRoutes(ConfigWithTeams("[]"));
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).keys_required);
  CHECK_FALSE(ValueOf(codec.DecodeRoutes(kConfig)).keys_required);
}

// Guards against ignoring a configuration that the store accepted because one key is listed twice.
TEST_CASE("platform: a key that two teams have belongs to the first") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRoutes(
      ConfigWithTeams(R"([{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}])"));
  REQUIRE(IsOk(decoded));
  CHECK(ValueOf(decoded).FindTeam("k")->name == gateway::TeamName("a"));
}

TEST_CASE("platform: invalid teams are typed errors that do not show keys") {
  const PlatformCodec codec;
  for (const char* teams :
       {R"([{"api-keys":["secret"]}])", R"([{"name":"a","api-keys":["secret",7]}])",
        R"([{"name":"a","api-keys":"secret"}])", R"([{"name":"a","rate-per-s":-1}])",
        R"([{"name":"a"},{"name":"a"}])", R"(["secret"])", R"({"a":1})"}) {
    CAPTURE(std::string(teams));
    const auto decoded = codec.DecodeRoutes(ConfigWithTeams(teams));
    REQUIRE(KindOf(decoded) == "invalid-argument");
    CHECK(FormatError(ErrorOf(decoded)).find("secret") == std::string::npos);
  }
}

}  // namespace
}  // namespace shallot::platform
