#include "servers/gateway/findings_order.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

struct FindingsCase {
  const char* name;
  FindingsNumber before;
  FindingsNumber received;
  bool expected;
};

// Guards against quarantines and limits that have ended and come back with a copy of the store, and
// against ones that are prolonged each time the whole store is read.
TEST_CASE("gateway: findings that are not new are ignored") {
  const std::vector<FindingsCase> cases = {
      {"newer", {9, 2}, {9, 3}, true},
      {"read again", {9, 2}, {9, 2}, false},
      {"older, from a copy of the store", {9, 2}, {9, 1}, false},
      {"the gateway has restarted", {9, 2}, {4, 1}, true},
      {"of the run before, from a copy of the store", {9, 2}, {8, 6}, false},
      {"of a run that was not seen before", {9, 2}, {3, 1}, true},
      {"from a gateway that does not number them", {9, 2}, {0, 0}, true},
  };
  for (const FindingsCase& test : cases) {
    CAPTURE(std::string(test.name));
    FindingsOrder order;
    REQUIRE(order.TakeIfNew(InstanceId("a"), {8, 6}));
    REQUIRE(order.TakeIfNew(InstanceId("a"), test.before));
    CHECK(order.TakeIfNew(InstanceId("a"), test.received) == test.expected);
    CHECK(order.TakeIfNew(InstanceId("b"), test.received));
    CHECK_MESSAGE(order.TakeIfNew(InstanceId("a"), {test.before.run, test.before.number + 2}),
                  "the present run is not blocked");
  }
}

}  // namespace
}  // namespace shallot::gateway
