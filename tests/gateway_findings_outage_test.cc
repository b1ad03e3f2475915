#include <memory>
#include <string>
#include <variant>

#include "drivers/gateway/peer_channel.h"
#include "drivers/gateway/peer_codec.h"
#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// The platform's stable window: a gateway that was cut off must know by then what the others know.
constexpr Millis kStableWindow{3'000};

/// The peer channel of another gateway, which the store lists.
class PeerStandin {
 public:
  explicit PeerStandin(GatewayFixture* fixture) : settings_(fixture->settings_) {
    settings_.instance = InstanceId("front-2");
    settings_.peer_address = FreeLoopbackAddress();
    Open();
    fixture->platform_.Put(fixture->codec_.GatewaysPrefix() + settings_.instance.value(),
                           EncodeGatewayRecord(settings_));
  }

  /// Loses all messages that have not been received.
  void Reopen() {
    channel_.reset();
    Open();
  }
  /// Whether findings with a limited runner have arrived since the last call.
  bool HasFindings() {
    bool found = false;
    channel_->Receive(kMessages, [&](const PeerMessage& message) {
      heard_ = true;
      const auto* report = std::get_if<FindingsReport>(&message);
      found = found || (report != nullptr && report->limits.size() == 1);
    });
    return found;
  }
  /// Whether the gateway has sent anything yet.
  bool Heard() {
    (void)HasFindings();
    return heard_;
  }

 private:
  static constexpr size_t kMessages = 1'000;

  void Open() {
    channel_ = std::make_unique<PeerChannel>();
    REQUIRE(IsOk(channel_->Open(settings_.peer_address)));
  }

  GatewaySettings settings_;
  std::unique_ptr<PeerChannel> channel_;
  bool heard_ = false;
};

// Guards against gateways that return from a cut or a freeze while the store is away, and never
// hear of findings that the others sent before.
TEST_CASE("gateway daemon: findings are sent to the other gateways again while the store is away") {
  struct Case {
    const char* name;
    bool busy;
  };
  for (const Case& test : {Case{"the store refuses", true}, Case{"the store is silent", false}}) {
    CAPTURE(std::string(test.name));
    GatewayFixture fixture;
    RawServer runner([](RawConnection* connection, int /*number*/) {
      const std::string request = connection->ReadHead();
      if (request.find("POST /p/") == std::string::npos) return;
      connection->Send(AnswerHead(request,
                                  "Server-Seal: s\r\nServer-Limit: 5\r\nContent-Length: 0\r\n"
                                  "Connection: close\r\n"));
    });
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", kConfig);
    PeerStandin peer(&fixture);
    REQUIRE(fixture.AwaitReady());
    REQUIRE(fixture.Await([&] { return peer.Heard(); }));
    REQUIRE(fixture.Await([&] {
      (void)fixture.Call("/p/x");
      return peer.HasFindings();
    }));
    const std::string key = fixture.codec_.FindingsPrefix() + fixture.settings_.instance.value();
    REQUIRE(fixture.Await([&] { return fixture.platform_.StoreValue(key).has_value(); }));
    StoreFaults faults;
    faults.busy = test.busy;
    faults.silent = !test.busy;
    fixture.platform_.SetStoreFaults(faults);
    REQUIRE(fixture.Await([&] {
      return fixture.Send(fixture.settings_.metrics_address, "GET", "/metrics")
                 .body.find("store_calls_failed_total{") != std::string::npos;
    }));
    peer.Reopen();
    const SystemClock clock;
    const SteadyTime since = clock.SteadyNow();
    CHECK(fixture.Await([&] { return peer.HasFindings(); }));
    CHECK(clock.SteadyNow() - since <= kStableWindow);
  }
}

}  // namespace
}  // namespace shallot::gateway
