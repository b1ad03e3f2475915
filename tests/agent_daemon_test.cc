#include "drivers/agent_daemon.h"

#include <doctest/doctest.h>

#include <atomic>
#include <latch>
#include <string>

#include "drivers/zmq_hub.h"
#include "tests/fake_agent_env.h"
#include "tests/fake_http_server.h"

namespace shallot {
namespace {

AgentSettings MakeSettings(const std::string& control, const std::string& engine) {
  AgentSettings settings;
  settings.process.id = InstanceId("a1");
  settings.process.failure_domain = FailureDomain("d1");
  settings.process.region = Region("r1");
  settings.runner = RunnerId("w1");
  settings.backend = BackendName("b1");
  settings.control_address = control;
  settings.admin_address = "127.0.0.1:0";
  settings.engine_address = engine;
  settings.platform_address = RefusingAddress();
  return settings;
}

// Guards invariants 1 and 2: a second agent of a runner must not send orders to the engine.
TEST_CASE("an agent whose control port is in use sends nothing to the engine") {
  std::atomic<int> requests{0};
  FakeHttpServer engine([&](const FakeRequest&) {
    ++requests;
    return FakeReply{.status = 503};
  });
  HubOptions options;
  options.listen_address = "127.0.0.1:0";
  ZmqHub first(options);
  REQUIRE(IsOk(first.Open()));
  AgentDaemon second(MakeSettings("127.0.0.1:" + std::to_string(first.port()), engine.address()));
  const Status started = second.Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(ErrorOf(started).kind == ErrorKind::kConflict);
  CHECK(requests == 0);
}

// Guards against a process that cannot be stopped while the platform and the engine are down.
TEST_CASE("an agent starts and stops while the platform is down and the engine fails") {
  std::latch asked(1);
  std::atomic<bool> first{true};
  FakeHttpServer engine([&](const FakeRequest& request) {
    if (request.target == "/admin/inventory" && first.exchange(false)) asked.count_down();
    return FakeReply{.status = 503};
  });
  AgentDaemon agent(MakeSettings("127.0.0.1:0", engine.address()));
  REQUIRE(IsOk(agent.Start()));
  asked.wait();
  CHECK(agent.control_port() > 0);
  CHECK(agent.admin_port() > 0);
  agent.Stop();
}

/// Ignores what the agent sends.
class IgnoringListener final : public HubListener {
 public:
  void OnMessage(ConnectionId, const Message&) override {}
  void OnDisconnect(ConnectionId) override {}
  void OnTick() override {}
};

// Guards against claims that expire after the default window although the active configuration sets
// another one: a late copy of an order could run again, or a key could be refused for too long.
TEST_CASE("orders are claimed for the window of the active configuration") {
  ZmqHub router{HubOptions{}};
  REQUIRE(IsOk(router.Open()));
  std::atomic<bool> first{true};
  std::string claim;
  FakeHttpServer platform([&](const FakeRequest& request) {
    if (request.method != "PUT") return FakeReply{.status = 404};
    if (first.exchange(false)) {
      claim = request.target;
      router.Stop();
    }
    return FakeReply{.status = 503};
  });
  AgentSettings settings = MakeSettings("127.0.0.1:0", "");
  settings.service_address = RefusingAddress();
  settings.platform_address = platform.address();
  AgentDaemon agent(settings);
  REQUIRE(IsOk(agent.Start()));
  const ConnectionId connection =
      router.Connect("127.0.0.1:" + std::to_string(agent.control_port()));
  CHECK(IsOk(router.Send(connection, Hello{})));
  const std::string text =
      "[fleet]\nname = f\n[defaults]\norder_window_ms = 61000\n[service b1]\ndescription = x\n";
  CHECK(IsOk(router.Send(connection, agent_test::MakeConfigPush(text))));
  Call order;
  order.id = CallId("c1");
  order.service = BackendName("b1");
  order.repeatable = false;
  order.idempotency_key = IdempotencyKey("k1");
  order.remaining = Millis(600'000);
  order.method = "POST";
  order.path = "/orders";
  CHECK(IsOk(router.Send(connection, CallStart{order})));
  IgnoringListener listener;
  router.Run(&listener);
  agent.Stop();
  CHECK(claim.find("orders") != std::string::npos);
  CHECK(claim.find("ttl_ms=61000") != std::string::npos);
}

}  // namespace
}  // namespace shallot
