#include "drivers/agent_daemon.h"

#include <doctest/doctest.h>

#include <atomic>
#include <latch>
#include <string>

#include "drivers/zmq_hub.h"
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

// Guards invariants 1 and 2: a second agent of a runner must not order anything from its engine.
TEST_CASE("an agent whose control port is taken does not touch the engine") {
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

// Guards against a process that cannot be stopped while its platform and engine are down.
TEST_CASE("an agent without platform and with a failing engine starts and stops") {
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

}  // namespace
}  // namespace shallot
