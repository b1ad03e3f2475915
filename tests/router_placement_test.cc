#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/router_fixture.h"

namespace shallot {
namespace {

// Guards against new work for a runner that is stopping, and against cutting its running calls.
TEST_CASE("a leaving or draining runner gets no new calls") {
  for (const char* how : {"leaving", "draining", "not serving"}) {
    CAPTURE(how);
    RouterFixture f;
    f.Start();
    const auto running = f.Submit(RouterFixture::ModelRequest());
    const auto first = f.LastStart();
    const int n = f.ConnectionTo(0) == first.first ? 0 : 1;
    f.heartbeating.clear();
    if (std::string(how) == "leaving") {
      f.instances[static_cast<size_t>(n)].leaving = true;
      f.List();
    } else if (std::string(how) == "draining") {
      f.SendHeartbeat(n, true);
    } else {
      f.load.serving = false;
      f.SendHeartbeat(n);
    }
    for (int i = 0; i < 10; ++i) {
      f.Submit(RouterFixture::ModelRequest());
      CHECK(f.LastStart().first != first.first);
    }
    f.Answer(first, OutcomeKind::kCompleted);
    CHECK(running->end.kind == OutcomeKind::kCompleted);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against calls that wait forever, or premium calls that end early, when no runner is
// usable.
TEST_CASE("without a runner a call waits for a limited time and is then refused") {
  struct Case {
    const char* call_class;
    Millis held;
  };
  for (const Case& c : {Case{"interactive", Millis(3'000)}, Case{"premium", Millis(10'000)}}) {
    CAPTURE(c.call_class);
    RouterFixture f(0);
    f.Start();
    CallerRequest request = RouterFixture::ModelRequest();
    request.call_class = c.call_class;
    const auto sink = f.Submit(request);
    f.Run(c.held - Millis(100));
    CHECK(sink->ends == 0);
    f.Run(Millis(200));
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == OutcomeKind::kNotRun);
    CHECK(f.control.demand.size() == 1);
    CHECK(f.control.demand[0].second);
  }
}

// Guards against a call that is refused although its runner is listed a moment later.
TEST_CASE("a waiting call goes to a runner that appears") {
  RouterFixture f(1);
  const auto sink = f.Submit(RouterFixture::ModelRequest());
  f.Run(Millis(500));
  f.Start();
  f.Run(Millis(100));
  REQUIRE(f.link.Count<CallStart>() == 1);
  CHECK(f.LastStart().second.remaining < Millis(9'500));
  f.Answer(f.LastStart(), OutcomeKind::kCompleted);
  CHECK(sink->end.kind == OutcomeKind::kCompleted);
}

// Guards against a call that waits for an unreachable runner while another one is available.
TEST_CASE("a call whose runner does not connect goes to another one in the same attempt") {
  RouterFixture f;
  f.List();
  f.Run(Millis(40));
  f.SendHello(1);
  f.heartbeating.insert(1);
  std::vector<std::shared_ptr<FakeSink>> sinks;
  for (int i = 0; i < 8; ++i) sinks.push_back(f.Submit(RouterFixture::ModelRequest()));
  f.Run(Millis(2'500));
  CHECK(f.link.Count<CallStart>() == 8);
  for (const auto& [connection, start] : f.link.All<CallStart>()) {
    CHECK(connection == f.ConnectionTo(1));
    CHECK(start.call.attempt == Attempt(1));
  }
}

// Guards against duplicates of an order that are sent to different agents by different routers.
TEST_CASE("orders with the same key go to one runner") {
  RouterFixture a(4);
  RouterFixture b(4);
  a.Start();
  b.Start();
  std::set<std::string> addresses;
  for (int i = 0; i < 20; ++i) {
    const CallerRequest order = RouterFixture::OrderRequest("key-" + std::to_string(i));
    b.Submit(RouterFixture::ModelRequest());
    a.Submit(order);
    b.Submit(order);
    const std::string address = a.link.AddressOf(a.LastStart().first);
    CHECK(address == b.link.AddressOf(b.LastStart().first));
    addresses.insert(address);
  }
  CHECK(addresses.size() > 1);
}

}  // namespace
}  // namespace shallot
