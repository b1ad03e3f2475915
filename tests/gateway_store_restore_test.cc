#include <string>
#include <utility>
#include <vector>

#include "tests/gateway_daemon_fixture.h"

namespace shallot::gateway {
namespace {

/// kConfig as another version, with one more route to the runner.
std::string ConfigWithRoute(int version, const std::string& prefix) {
  std::string config = kConfig;
  const std::string from = "{\"version\":1,\"routes\":[";
  const std::string route = R"({"name":"added","hostname":"h.example","path-prefix":")" + prefix +
                            R"(","kind":"idempotent","timeout-ms":20000,"target-latency-ms":100,)"
                            R"("service":"engine","max-attempts":1},)";
  config.replace(config.find(from), from.size(),
                 "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route);
  return config;
}

/// Writes that raise the store's revision.
std::vector<std::pair<std::string, std::string>> OtherWrites(int count) {
  std::vector<std::pair<std::string, std::string>> writes;
  for (int number = 0; number < count; ++number) writes.emplace_back("other/key", "value");
  return writes;
}

struct RestoreCase {
  const char* name;
  /// Writes between the copy and the restore, and after the configuration that follows it.
  int lost_writes;
  int writes_after;
};

// Guards against configuration changes that are never read, because a restored store has given out
// their revisions before.
TEST_CASE("gateway daemon: configuration written after a restore of the store is in force") {
  const std::vector<RestoreCase> cases = {
      {"the store's revision stays below that of before", 50, 0},
      {"the store's revision passes that of before", 5, 50},
      {"nothing was lost", 0, 0},
      {"nothing was lost, other writes follow", 0, 50},
  };
  for (const RestoreCase& test : cases) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    fixture.Configure("engine");
    REQUIRE(fixture.AwaitReady());
    fixture.platform_.CopyStore();
    for (const auto& [key, value] : OtherWrites(test.lost_writes)) {
      fixture.platform_.Put(key, value);
    }
    fixture.platform_.Put("op/config", ConfigWithRoute(2, "/lost/"));
    REQUIRE(fixture.Await([&] { return fixture.Call("/lost/x").status == 200; }));
    auto writes = OtherWrites(1);
    writes.emplace_back("op/config", ConfigWithRoute(3, "/new/"));
    for (auto& write : OtherWrites(test.writes_after)) writes.push_back(write);
    fixture.platform_.RestoreStore(writes);
    CHECK(fixture.Await([&] { return fixture.Call("/new/x").status == 200; }));
  }
}

}  // namespace
}  // namespace shallot::gateway
