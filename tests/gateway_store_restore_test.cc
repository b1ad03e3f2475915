#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/gateway/peer_codec.h"
#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

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

struct FindingsCase {
  const char* name;
  bool copy_has_older_findings;
};

// Guards against findings that a restored store has lost: a gateway that starts then sends a
// limited runner too many calls, or calls that crash runners.
TEST_CASE("gateway daemon: findings are published again after a restore of the store") {
  for (const FindingsCase& test :
       {FindingsCase{"not in the copy", false}, FindingsCase{"older ones in the copy", true}}) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    std::atomic<int> limit = 5;
    RawServer runner([&](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find("POST /p/") == std::string::npos) return;
      connection->Send(
          AnswerHead(request, "Server-Seal: s\r\nServer-Limit: " + std::to_string(limit) +
                                  "\r\nContent-Length: 0\r\nConnection: close\r\n"));
    });
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", kConfig);
    REQUIRE(fixture.AwaitReady());
    const std::string key = fixture.codec_.FindingsPrefix() + fixture.settings_.instance.value();
    const auto published = [&](double calls_per_s) {
      const std::optional<std::string> value = fixture.platform_.StoreValue(key);
      if (!value) return false;
      const auto findings = DecodeFindings(*value);
      return IsOk(findings) && ValueOf(findings).limits.size() == 1 &&
             ValueOf(findings).limits[0].calls_per_s == calls_per_s;
    };
    const auto publish = [&](int calls_per_s) {
      limit = calls_per_s;
      return fixture.Await([&] {
        (void)fixture.Call("/p/x");
        return published(calls_per_s);
      });
    };
    if (!test.copy_has_older_findings) fixture.platform_.CopyStore();
    REQUIRE(publish(5));
    if (test.copy_has_older_findings) fixture.platform_.CopyStore();
    REQUIRE(publish(6));
    fixture.platform_.RestoreStore({});
    REQUIRE_FALSE(published(6));
    CHECK(fixture.Await([&] { return published(6); }));
  }
}

}  // namespace
}  // namespace shallot::gateway
