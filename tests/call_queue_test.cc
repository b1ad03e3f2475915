#include "servers/call_queue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot {
namespace {

const SteadyTime kNow = SteadyTime(Seconds(1000));

QueuedCall MakeCall(const std::string& id, CallClass call_class, Millis left = Millis(60'000)) {
  QueuedCall call;
  call.key = {CallId(id), Attempt(1)};
  call.call_class = call_class;
  call.latest_start = kNow + left;
  call.raise_at = call.latest_start - Millis(1000);
  return call;
}

std::string PopAll(CallQueue* queue, SteadyTime now) {
  std::string order;
  while (const auto key = queue->Pop(now, [](const QueuedCall&) { return true; })) {
    order += key->first.value();
  }
  return order;
}

struct OrderCase {
  const char* name;
  std::vector<QueuedCall> calls;
  const char* expected;
};

// Guards against a wrong priority, against reordering within a class and against starvation of a
// lower class past its deadline.
TEST_CASE("calls leave by priority, and those near their latest start are raised") {
  const std::vector<OrderCase> cases = {
      {"by class",
       {MakeCall("b", CallClass::kBatch), MakeCall("m", CallClass::kManuscript),
        MakeCall("i", CallClass::kInteractive), MakeCall("s", CallClass::kStatus),
        MakeCall("p", CallClass::kPremium)},
       "psimb"},
      {"first come, first served",
       {MakeCall("1", CallClass::kStatus, Millis(9000)), MakeCall("2", CallClass::kStatus)},
       "12"},
      {"a raised batch call precedes status and later premium calls",
       {MakeCall("s", CallClass::kStatus), MakeCall("p", CallClass::kPremium),
        MakeCall("b", CallClass::kBatch, Millis(500))},
       "bps"},
      {"a raised premium call precedes raised calls with earlier limits",
       {MakeCall("b", CallClass::kBatch, Millis(100)),
        MakeCall("i", CallClass::kInteractive, Millis(200)), MakeCall("q", CallClass::kPremium),
        MakeCall("p", CallClass::kPremium, Millis(900))},
       "pbiq"},
      {"raised calls by their latest start",
       {MakeCall("1", CallClass::kInteractive, Millis(900)),
        MakeCall("2", CallClass::kBatch, Millis(100))},
       "21"},
  };
  for (const OrderCase& test : cases) {
    CAPTURE(test.name);
    CallQueue queue;
    queue.SetBounds({9, 9, 9, 9, 9});
    for (const QueuedCall& call : test.calls) REQUIRE(queue.Push(call).accepted);
    CHECK(PopAll(&queue, kNow) == test.expected);
    CHECK(queue.size() == 0);
  }
}

struct FullCase {
  const char* name;
  CallClass arriving;
  bool accepted;
  const char* dropped;
};

// Guards against dropping a call of the same or a higher class, and against dropping an old call
// instead of the newest.
TEST_CASE("a full class drops the newest call of the lowest class below it") {
  const std::vector<FullCase> cases = {
      {"premium drops batch", CallClass::kPremium, true, "b2"},
      {"interactive drops batch", CallClass::kInteractive, true, "b2"},
      {"batch has nothing below", CallClass::kBatch, false, ""},
  };
  for (const FullCase& test : cases) {
    CAPTURE(test.name);
    CallQueue queue;
    queue.SetBounds({1, 1, 1, 1, 2});
    REQUIRE(queue.Push(MakeCall("p1", CallClass::kPremium)).accepted);
    REQUIRE(queue.Push(MakeCall("i1", CallClass::kInteractive)).accepted);
    REQUIRE(queue.Push(MakeCall("b1", CallClass::kBatch)).accepted);
    REQUIRE(queue.Push(MakeCall("b2", CallClass::kBatch)).accepted);
    const CallQueue::PushResult result = queue.Push(MakeCall("x", test.arriving));
    CHECK(result.accepted == test.accepted);
    CHECK((result.dropped ? result.dropped->first.value() : "") == test.dropped);
    CHECK(queue.size() == 4);
  }
}

// Guards against dropping a premium call in favour of any other call.
TEST_CASE("premium calls are never dropped") {
  CallQueue queue;
  queue.SetBounds({1, 1, 1, 1, 1});
  REQUIRE(queue.Push(MakeCall("p", CallClass::kPremium)).accepted);
  REQUIRE(queue.Push(MakeCall("s", CallClass::kStatus)).accepted);
  CHECK_FALSE(queue.Push(MakeCall("s2", CallClass::kStatus)).accepted);
  CHECK(queue.Push(MakeCall("p2", CallClass::kPremium)).dropped->first == CallId("s"));
  CHECK_FALSE(queue.Push(MakeCall("p3", CallClass::kPremium)).accepted);
  CHECK(queue.CountOf(CallClass::kPremium) == 2);
}

// Guards against head-of-line blocking by a call that cannot start yet.
TEST_CASE("a call that is not ready is skipped and keeps its position") {
  CallQueue queue;
  queue.SetBounds({9, 9, 9, 9, 9});
  queue.Push(MakeCall("1", CallClass::kPremium));
  queue.Push(MakeCall("2", CallClass::kBatch));
  const auto key =
      queue.Pop(kNow, [](const QueuedCall& call) { return call.key.first != CallId("1"); });
  REQUIRE(key);
  CHECK(key->first == CallId("2"));
  CHECK(queue.Remove({CallId("1"), Attempt(1)}));
  CHECK_FALSE(queue.Remove({CallId("1"), Attempt(1)}));
  CHECK(queue.CountAhead(CallClass::kBatch) == 0);
}

}  // namespace
}  // namespace shallot
