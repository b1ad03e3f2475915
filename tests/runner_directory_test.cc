#include "servers/runner_directory.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "tests/router_fixture.h"

namespace shallot {
namespace {

// Guards against live connections that time out, and against silent ones that are not replaced.
TEST_CASE("heartbeats go out every 500 ms and a silent connection is replaced") {
  RouterFixture f(1);
  f.Start();
  CHECK(f.link.Count<Hello>() == 1);
  const ConnectionId first = f.ConnectionTo(0);
  f.Run(Millis(5'000));
  CHECK(f.link.Count<Heartbeat>() == 10);
  CHECK(f.link.IsOpen(first));
  CHECK(f.link.All<Heartbeat>().back().second.config_revision == ConfigRevision(7));
  f.heartbeating.clear();
  f.Run(Millis(2'040));
  CHECK_FALSE(f.link.IsOpen(first));
  CHECK(f.control.down.size() == 1);
  f.Run(Millis(300));
  CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) == 2);
  f.SendHello(0);
  CHECK(f.control.up.size() == 2);
}

// Guards against a busy loop of connection attempts to a runner that is down.
TEST_CASE("connection attempts back off") {
  RouterFixture f(1);
  f.List();
  for (int i = 0; i < 500; ++i) {
    f.Run(Millis(20));
    if (f.ConnectionTo(0) != ConnectionId(0)) f.core.OnDisconnect(f.ConnectionTo(0));
  }
  // 10 s: pauses of 0.1, 0.2, 0.4, 0.8 and 1.6 s, then 2 s each, with 25% jitter.
  CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) >= 6);
  CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) <= 12);
}

// Guards against an unnoticed agent restart on a connection that the transport reestablished.
TEST_CASE("a new incarnation on the same connection is reported down and up") {
  RouterFixture f(1);
  f.Start();
  f.SendHello(0, 2);
  REQUIRE(f.control.up.size() == 2);
  CHECK(f.control.down.size() == 1);
  CHECK(f.control.up[1].second == Incarnation(2));
}

// Guards against calls to a process that listens at the former address of another runner.
TEST_CASE("an agent of another runner is not accepted") {
  RouterFixture f(1);
  f.List();
  f.Run(Millis(40));
  Hello hello;
  hello.sender = InstanceId("agent-9");
  hello.role = PeerRole::kAgent;
  hello.runner = RunnerId("r9");
  const ConnectionId connection = f.ConnectionTo(0);
  f.core.OnMessage(connection, hello);
  CHECK_FALSE(f.link.IsOpen(connection));
  CHECK(f.control.up.empty());
}

/// Number of runners in failure domain `domain` of which each router is a home, by router id.
std::map<std::string, int> CountHomes(const std::vector<InstanceRecord>& routers, int runners,
                                      const std::string& domain) {
  std::map<std::string, int> homes;
  ManualClock clock;
  FakeLink link;
  for (const InstanceRecord& self : routers) {
    RouterFixture f(0);
    RunnerDirectory directory({.id = self.id,
                               .incarnation = Incarnation(1),
                               .failure_domain = self.failure_domain,
                               .region = self.region,
                               .seed = 1},
                              &clock, &link, nullptr);
    std::vector<InstanceRecord> instances = routers;
    for (int i = 0; i < runners; ++i) {
      instances.push_back(RouterFixture::Agent(i));
      instances.back().failure_domain = FailureDomain(domain);
    }
    directory.SetInstances(instances);
    for (int i = 0; i < runners; ++i) {
      homes[self.id.value()] += directory.IsHome(RouterFixture::Runner(i)) ? 1 : 0;
    }
  }
  return homes;
}

// Guards against runners without a home router, and against a full mesh.
TEST_CASE("each runner has two homes, first in its domain, then in its region") {
  const std::vector<InstanceRecord> routers = {
      RouterFixture::Router("a1", "d1"), RouterFixture::Router("a2", "d1"),
      RouterFixture::Router("a3", "d1"), RouterFixture::Router("b1", "d2")};
  SUBCASE("enough routers in the domain") {
    auto homes = CountHomes(routers, 60, "d1");
    CHECK(homes["a1"] + homes["a2"] + homes["a3"] == 120);
    CHECK(homes["a1"] > 20);
    CHECK(homes["a2"] > 20);
    CHECK(homes["a3"] > 20);
    CHECK(homes["b1"] == 0);
  }
  SUBCASE("one router in the domain") {
    auto homes = CountHomes(routers, 60, "d2");
    CHECK(homes["b1"] == 60);
    CHECK(homes["a1"] + homes["a2"] + homes["a3"] == 60);
  }
  SUBCASE("a leaving router is no home") {
    std::vector<InstanceRecord> leaving = routers;
    leaving[0].leaving = true;
    auto homes = CountHomes(leaving, 60, "d1");
    CHECK(homes["a1"] == 0);
    CHECK(homes["a2"] == 60);
    CHECK(homes["a3"] == 60);
  }
}

// Guards against a router that is not a runner's home and never reconnects to it because its last
// report said that it was draining or not serving.
TEST_CASE("the last report before a disconnect excludes a runner for only 5 s") {
  for (const bool draining : {true, false}) {
    CAPTURE(draining);
    RouterFixture f(1);
    f.instances.push_back(RouterFixture::Router("b1", "d9"));
    f.instances.push_back(RouterFixture::Router("b2", "d9"));
    f.instances[0].failure_domain = FailureDomain("d9");
    f.List();
    f.Submit(RouterFixture::ModelRequest());
    f.SendHello(0);
    f.load.serving = draining;
    f.SendHeartbeat(0, draining);
    f.core.OnDisconnect(f.ConnectionTo(0));
    f.Run(Millis(4'800));
    const size_t dials = f.link.ConnectCountTo(RouterFixture::Address(0));
    f.Submit(RouterFixture::ModelRequest());
    CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) == dials);
    f.Run(Millis(400));
    CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) == dials + 1);
    const size_t starts = f.link.Count<CallStart>();
    f.SendHello(0, 2);
    f.Run(Millis(100));
    CHECK(f.link.Count<CallStart>() > starts);
  }
}

// Guards against on-demand connections that are never closed, or that are closed during a call.
TEST_CASE("an on-demand connection is closed after 60 s without calls") {
  RouterFixture f(1);
  f.instances.push_back(RouterFixture::Router("b1", "d1"));
  f.instances.push_back(RouterFixture::Router("b2", "d1"));
  // Two nearer routers are the homes of a runner in another domain.
  f.instances[0].failure_domain = FailureDomain("d9");
  f.instances[1].failure_domain = FailureDomain("d9");
  f.instances[2].failure_domain = FailureDomain("d9");
  f.List();
  f.Run(Millis(100));
  CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) == 0);
  f.Submit(RouterFixture::ModelRequest(false, Millis(100'000)));
  REQUIRE(f.link.ConnectCountTo(RouterFixture::Address(0)) == 1);
  f.SendHello(0);
  f.heartbeating.insert(0);
  f.Run(Millis(70'000));
  CHECK(f.ConnectionTo(0) != ConnectionId(0));
  f.Answer(f.LastStart(), OutcomeKind::kCompleted);
  f.Run(Millis(59'000));
  CHECK(f.ConnectionTo(0) != ConnectionId(0));
  f.Run(Millis(1'100));
  CHECK(f.ConnectionTo(0) == ConnectionId(0));
  f.Run(Millis(5'000));
  CHECK(f.link.ConnectCountTo(RouterFixture::Address(0)) == 1);
}

// Guards against failure domains that receive no configuration, and against a full mesh of routers.
TEST_CASE("routers connect to their domain and to one router of each other domain") {
  RouterFixture f(0);
  for (const char* id : {"a1", "a2"}) f.instances.push_back(RouterFixture::Router(id, "d1"));
  for (const char* id : {"b1", "b2"}) f.instances.push_back(RouterFixture::Router(id, "d2"));
  for (const char* id : {"c1", "c2"}) f.instances.push_back(RouterFixture::Router(id, "d3"));
  f.List();
  f.Run(Millis(40));
  CHECK(f.link.ConnectCountTo("a1:1") == 1);
  CHECK(f.link.ConnectCountTo("a2:1") == 1);
  CHECK(f.link.ConnectCountTo("b1:1") + f.link.ConnectCountTo("b2:1") == 1);
  CHECK(f.link.ConnectCountTo("c1:1") + f.link.ConnectCountTo("c2:1") == 1);
  const ConnectionId a1 = f.link.OpenTo("a1:1");
  Hello hello;
  hello.sender = InstanceId("a1");
  f.core.OnMessage(a1, hello);
  f.core.OnMessage(a1, Heartbeat{});
  f.core.OnMessage(a1, ConfigPull{});
  CHECK(f.control.router_heartbeats == std::vector<InstanceId>{InstanceId("a1")});
  CHECK(f.control.router_messages == std::vector<InstanceId>{InstanceId("a1")});
  f.core.SendToRouter(InstanceId("a1"), ConfigPull{});
  CHECK(f.link.Count<ConfigPull>() == 1);
}

// Guards against incoming connections that are not answered, or that are kept when silent.
TEST_CASE("an incoming connection is assigned to a router by its Hello") {
  RouterFixture f(0);
  f.Start();
  const ConnectionId incoming(1'000);
  f.core.OnMessage(incoming, ConfigPull{});
  CHECK(f.control.router_messages.empty());
  Hello hello;
  hello.sender = InstanceId("far");
  f.core.OnMessage(incoming, hello);
  REQUIRE(f.link.Count<Hello>() == 1);
  CHECK(f.link.All<Hello>()[0].first == incoming);
  f.core.OnMessage(incoming, ConfigPull{});
  CHECK(f.control.router_messages == std::vector<InstanceId>{InstanceId("far")});
  f.core.SendToRouter(InstanceId("far"), ConfigPush{});
  REQUIRE(f.link.Count<ConfigPush>() == 1);
  CHECK(f.link.All<ConfigPush>()[0].first == incoming);
  f.Run(Millis(1'900));
  CHECK(f.link.Count<Heartbeat>() == 3);
  f.Run(Millis(1'000));
  f.core.SendToRouter(InstanceId("far"), ConfigPush{});
  CHECK(f.link.Count<ConfigPush>() == 1);
}

// Guards against control messages lost between a runner and the control plane.
TEST_CASE("runner messages reach the control plane and back") {
  RouterFixture f(1);
  f.Start();
  f.core.OnMessage(f.ConnectionTo(0), SlotReleased{});
  CHECK(f.control.runner_messages == std::vector<RunnerId>{RouterFixture::Runner(0)});
  CHECK(f.control.reports.size() == 1);
  f.core.SendToRunner(RouterFixture::Runner(0), SlotGrant{});
  CHECK(f.link.Count<SlotGrant>() == 1);
  f.core.SendToRunner(RunnerId("nobody"), SlotGrant{});
  CHECK(f.link.Count<SlotGrant>() == 1);
}

// Guards against a drain that is announced only with the next regular heartbeat.
TEST_CASE("a drain is announced at once") {
  RouterFixture f(1);
  f.Start();
  f.Run(Millis(600));
  f.link.Take();
  f.core.BeginDrain();
  f.core.OnTick();
  REQUIRE(f.link.Count<Heartbeat>() == 1);
  CHECK(f.link.All<Heartbeat>()[0].second.draining);
}

}  // namespace
}  // namespace shallot
