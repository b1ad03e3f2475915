#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"

namespace shallot::gateway {
namespace {

/// Bounds that the platform states: a disturbance excuses a gateway for the stable window, and a
/// store that turns single gateways away stretches the time to apply a configuration by the skew.
constexpr Millis kStableWindow{3'000};
constexpr Millis kConfigApply{2'000};
constexpr Millis kSkew{5'000};

/// Time until the gateway serves the added route.
Millis TimeUntilServed(GatewayFixture* fixture, const std::string& address) {
  const SystemClock clock;
  const SteadyTime since = clock.SteadyNow();
  CHECK(fixture->Await([&] { return fixture->Send(address, "POST", "/new/x").status == 200; }));
  return std::chrono::duration_cast<Millis>(clock.SteadyNow() - since);
}

// Guards against gateways that wait for a configuration on store connections that have gone silent
// for longer than the platform excuses it.
TEST_CASE("gateway daemon: a configuration is in force soon after store connections went silent") {
  struct Case {
    const char* name;
    /// Answers take this long before, so that calls overlap and several connections are kept.
    Millis delay;
    /// Number of watches that wait when the connections go silent.
    size_t watches;
  };
  constexpr size_t kSeveral = 3;
  for (const Case& test :
       {Case{"between two watches", Millis(0), 0}, Case{"while a watch waits", Millis(0), 1},
        Case{"with several kept connections", Millis(300), 0}}) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    FakePlatform& platform = fixture.platform_;
    fixture.Configure("engine");
    REQUIRE(fixture.AwaitReady());
    if (test.delay > Millis(0)) {
      StoreFaults slow;
      slow.delay = test.delay;
      platform.SetStoreFaults(slow);
      REQUIRE(fixture.Await([&] { return platform.StoreConnections() >= kSeveral; }));
      platform.SetStoreFaults({});
    }
    platform.Put("other/key", "value");
    REQUIRE(fixture.Await([&] { return platform.WaitingWatches() == test.watches; }));
    fixture.platform_.SilenceStoreConnections();
    fixture.platform_.Put("op/config", ConfigWithRoute(2, "/new/"));
    CHECK(TimeUntilServed(&fixture, fixture.settings_.caller_address) <= kStableWindow);
  }
}

// Guards against gateways that never learn of a configuration because the store serves the
// operators and the other gateways, but not them.
TEST_CASE("gateway daemon: a gateway that the store turns away takes the others' configuration") {
  struct Case {
    const char* name;
    bool busy;
  };
  for (const Case& test : {Case{"refused", true}, Case{"unanswered", false}}) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    fixture.Configure("engine");
    REQUIRE(fixture.AwaitReady());
    const SecondGateway second(fixture, fixture.platform_.side_entrance());
    const std::string& address = second.settings().caller_address;
    REQUIRE(fixture.Await([&] { return fixture.Send(address, "POST", "/p/x").status == 200; }));
    StoreFaults faults;
    faults.busy = test.busy;
    faults.silent = !test.busy;
    fixture.platform_.SetSideEntranceFaults(faults);
    fixture.platform_.Put("op/config", ConfigWithRoute(2, "/new/"));
    CHECK(TimeUntilServed(&fixture, address) <= kConfigApply + kSkew);
  }
}

// Guards against a gateway that starts after a restore of the store and uses the configuration of
// the copy, although the other gateways have a newer one in force.
TEST_CASE(
    "gateway daemon: a gateway that starts on a restored store takes the newer configuration") {
  GatewayFixture fixture;
  fixture.Configure("engine");
  REQUIRE(fixture.AwaitReady());
  const std::string& first = fixture.settings_.caller_address;
  fixture.platform_.CopyStore();
  fixture.platform_.Put("op/config", ConfigWithRoute(2, "/new/"));
  REQUIRE(TimeUntilServed(&fixture, first) <= kConditionTimeout);
  fixture.platform_.RestoreStore({});
  REQUIRE(fixture.platform_.StoreValue("op/config") == std::string(kConfig));
  const SecondGateway second(fixture, fixture.platform_.store_address());
  const std::string& address = second.settings().caller_address;
  REQUIRE(fixture.Await([&] { return fixture.Send(address, "POST", "/p/x").status == 200; }));
  CHECK(TimeUntilServed(&fixture, address) <= kStableWindow);
  CHECK(fixture.Send(first, "POST", "/new/x").status == 200);
}

// Guards against a configuration that a gateway of another deployment sends to an address that it
// knows from before.
TEST_CASE("gateway daemon: the configuration of another fleet is not taken") {
  for (const char* sender : {"front-1", "front-2"}) {
    CAPTURE(std::string(sender));
    GatewayFixture fixture;
    fixture.Configure("engine");
    REQUIRE(fixture.AwaitReady());
    PeerChannel foreign;
    const ConfigCopy copy{InstanceId(sender), FreeLoopbackAddress(),
                          R"({"version":9,"routes":[],"services":[]})"};
    REQUIRE(foreign.Send(fixture.settings_.peer_address, copy));
    const auto metrics = [&] {
      return fixture.Send(fixture.settings_.metrics_address, "GET", "/metrics").body;
    };
    REQUIRE(fixture.Await([&] {
      const std::string text = metrics();
      return text.find("config_version 9") != std::string::npos ||
             text.find("config_copies_rejected_total 1") != std::string::npos;
    }));
    CHECK(metrics().find("config_version 1\n") != std::string::npos);
    CHECK(fixture.Call("/p/x").status == 200);
  }
}

}  // namespace
}  // namespace shallot::gateway
