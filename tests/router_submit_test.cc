#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "tests/router_fixture.h"

namespace shallot {
namespace {

// Guards against forwarding requests that cannot be served, and against refusals that do not name
// the reason.
TEST_CASE("bad requests are refused as not run") {
  CallerRequest unknown_class = RouterFixture::ModelRequest();
  unknown_class.call_class = "urgent";
  CallerRequest unknown_entry = RouterFixture::ModelRequest();
  unknown_entry.entry = EntryId("nobody");
  CallerRequest no_key = RouterFixture::OrderRequest("");
  CallerRequest no_route = RouterFixture::OrderRequest("k");
  no_route.service = BackendName("other");
  struct Case {
    const char* name;
    CallerRequest request;
    Reason reason;
    const char* mentions;
  };
  const std::vector<Case> cases = {
      {"unknown class", unknown_class, Reason::kInvalidRequest, "urgent"},
      {"unknown entry", unknown_entry, Reason::kUnknownEntry, "nobody"},
      {"order without key", no_key, Reason::kInvalidRequest, "Idempotency-Key"},
      {"unknown service", no_route, Reason::kUnknownEntry, "other"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    RouterFixture f;
    f.Start();
    const auto sink = f.Submit(c.request);
    CHECK(sink->ends == 1);
    CHECK(sink->begins == 0);
    CHECK(sink->end.kind == OutcomeKind::kNotRun);
    CHECK(sink->end.reason == c.reason);
    CHECK(sink->end.message.find(c.mentions) != std::string::npos);
    CHECK(f.link.Count<CallStart>() == 0);
    CHECK(f.metrics.Render().find(std::string("shallot_router_refusals_total{reason=\"") +
                                  ReasonName(c.reason) + "\"} 1") != std::string::npos);
  }
}

// Guards against a late replay of an order whose claim has expired, which would run it twice.
TEST_CASE("an order whose key may outlive its claim is refused") {
  struct KeyCase {
    const char* name;
    std::optional<Millis> age;
    bool accepted;
  };
  const Millis day(24 * 3'600'000);
  const std::vector<KeyCase> cases = {
      {"no key time", std::nullopt, true},
      {"new", Millis(0), true},
      {"clock of the caller ahead", Millis(-60'000), true},
      {"its deadline ends with the window", day - Millis(10'000), true},
      {"the window ends before its deadline", day - Millis(9'000), false},
      {"older than the window", day + Millis(1'000), false},
  };
  for (const KeyCase& c : cases) {
    CAPTURE(c.name);
    RouterFixture f;
    f.Start();
    CallerRequest order = RouterFixture::OrderRequest("k", Millis(10'000));
    if (c.age.has_value()) order.key_time = f.clock.WallNow() - *c.age;
    const auto sink = f.Submit(order);
    CHECK(f.link.Count<CallStart>() == (c.accepted ? 1 : 0));
    CHECK(sink->ends == (c.accepted ? 0 : 1));
    if (c.accepted) continue;
    CHECK(sink->end.kind == OutcomeKind::kNotRun);
    CHECK(sink->end.reason == Reason::kInvalidRequest);
    CHECK(sink->end.message.find("X-Shallot-Key-Time") != std::string::npos);
  }
}

TEST_CASE("the key time applies to orders only") {
  RouterFixture f;
  f.Start();
  CallerRequest call = RouterFixture::ModelRequest();
  call.key_time = WallTime{};
  f.Submit(call);
  CHECK(f.link.Count<CallStart>() == 1);
}

// Guards against a wrong class: the caller's wins over the route's, which wins over the default.
TEST_CASE("the class comes from the caller, the route or the default") {
  struct Case {
    CallerRequest request;
    const char* asked;
    CallClass expected;
  };
  CallerRequest status = RouterFixture::OrderRequest("");
  status.method = "GET";
  status.path = "/state";
  for (const Case& c :
       {Case{RouterFixture::ModelRequest(), "", CallClass::kInteractive},
        Case{RouterFixture::ModelRequest(), "batch", CallClass::kBatch},
        Case{status, "", CallClass::kStatus}, Case{status, "manuscript", CallClass::kManuscript},
        Case{RouterFixture::OrderRequest("k"), "", CallClass::kPremium}}) {
    RouterFixture f;
    f.Start();
    CallerRequest request = c.request;
    request.call_class = c.asked;
    f.Submit(request);
    REQUIRE(f.link.Count<CallStart>() == 1);
    CHECK(f.LastStart().second.call_class == c.expected);
  }
}

}  // namespace
}  // namespace shallot
