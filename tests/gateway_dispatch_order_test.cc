#include <doctest/doctest.h>

#include <vector>

#include "servers/gateway/dispatch_order.h"

namespace shallot::gateway {
namespace {

WaitingCall Call(uint64_t urgency, int64_t deadline_ms, bool late = false) {
  return {urgency, SteadyTime(Millis(deadline_ms)), late};
}

// Guards against free slots that go to calls which can wait longer, and against late calls that
// make all others late, too.
TEST_CASE("gateway: waiting calls are dispatched by urgency, then before they are late") {
  struct Case {
    const char* name;
    std::vector<WaitingCall> calls;
    std::vector<size_t> expected;
  };
  for (const Case& test : std::vector<Case>{
           {"none", {}, {}},
           {"earliest deadline first", {Call(2, 900), Call(2, 300), Call(2, 600)}, {1, 2, 0}},
           {"late calls last",
            {Call(2, 100, true), Call(2, 900), Call(2, 600), Call(2, 50, true)},
            {2, 1, 3, 0}},
           {"urgency before lateness", {Call(4, 900), Call(2, 100, true)}, {1, 0}},
           {"urgency before deadline", {Call(4, 100), Call(0, 900), Call(2, 500)}, {1, 2, 0}},
           {"equal calls keep their order", {Call(1, 5), Call(1, 5), Call(1, 5)}, {0, 1, 2}}}) {
    CAPTURE(std::string(test.name));
    CHECK(DispatchOrder(test.calls) == test.expected);
  }
}

}  // namespace
}  // namespace shallot::gateway
