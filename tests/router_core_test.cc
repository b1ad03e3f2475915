#include "servers/router_core.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/router_fixture.h"

namespace shallot {
namespace {

// Guards against a broken path from a request to its answer: hello, start, frames, outcome, ack.
TEST_CASE("a call is sent, answered whole, acknowledged and ended once") {
  for (const bool stream : {false, true}) {
    CAPTURE(stream);
    RouterFixture f;
    f.Start();
    const auto sink = f.Submit(RouterFixture::ModelRequest(stream));
    REQUIRE(f.link.Count<CallStart>() == 1);
    const auto start = f.LastStart();
    f.Frame(start, 0, "abc");
    CHECK(sink->data == (stream ? "abc" : ""));
    f.Frame(start, 3, "def");
    f.Answer(start, OutcomeKind::kCompleted, Reason::kNone, 6);
    CHECK(sink->data == "abcdef");
    CHECK(sink->begins == 1);
    CHECK(sink->status == 200);
    CHECK(sink->type == (stream ? "text/event-stream" : "application/json"));
    CHECK(sink->ends == 1);
    CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(f.link.Count<CallAck>() == 1);
    f.core.BeginDrain();
    CHECK(f.core.Drained());
    CHECK(f.control.draining);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

}  // namespace
}  // namespace shallot
