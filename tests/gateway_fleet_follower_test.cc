#include "drivers/gateway/fleet_follower.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "drivers/gateway/config_driver.h"
#include "platform/platform_codec.h"

namespace shallot::gateway {
namespace {

/// Changes of the entries of as many runners.
std::vector<StoreItem> RunnerChanges(size_t count) {
  std::vector<StoreItem> items;
  for (size_t number = 0; number < count; ++number) {
    StoreItem item;
    item.key = "servers/i-" + std::to_string(number);
    item.value =
        R"({"service":"engine","address":"127.0.0.1:1","zone":"north","version":"v1","slots":8,)"
        R"("seq":1,"state":"ready","born":1})";
    item.position = {StoreEra(1), StoreRevision(number + 1)};
    items.push_back(item);
  }
  return items;
}

// Guards against a gateway that does nothing else for a long time, because it goes over all waiting
// calls after each of the hundreds of changes in one answer of the store.
TEST_CASE("gateway: the changes of one answer are acted on once") {
  struct Case {
    const char* name;
    size_t changes;
    int expected;
  };
  for (const Case& test :
       {Case{"none", 0, 0}, Case{"one", 1, 1}, Case{"several hundred", 300, 1}}) {
    CAPTURE(std::string(test.name));
    const platform::PlatformCodec codec;
    const SystemClock clock;
    MetricsRegistry metrics;
    GatewayContext context(GatewaySettings(), &codec, &clock, &metrics);
    ConfigDriver config(&context, [] {});
    int acted = 0;
    size_t known = 0;
    FleetFollower follower(&context, &config, [&] {
      ++acted;
      known = context.view.UsableRunners(BackendName("engine")).size();
    });
    follower.OnChanges(RunnerChanges(test.changes));
    CHECK(acted == test.expected);
    CHECK(known == test.changes);
  }
}

}  // namespace
}  // namespace shallot::gateway
