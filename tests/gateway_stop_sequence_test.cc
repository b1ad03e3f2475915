#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "servers/gateway/stop_sequence.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStopped{std::chrono::seconds(1'000)};
constexpr Millis kLimit{7'400};

// Guards against an exit while calls can still arrive: it follows only on a decision in which no
// connection could be made any more and none was open.
TEST_CASE("gateway: course of a planned stop") {
  struct Case {
    const char* name;
    int64_t after_ms;
    Millis limit;
    StopSequence::Progress progress;
    StopActions expected;
  };
  const StopSequence::Progress busy{true, true, true};
  const StopSequence::Progress quiet{false, true, true};
  const std::vector<Case> cases = {
      {"just told", 0, kLimit, busy, {}},
      {"nothing in progress, still in use", 2'300, kLimit, {false, true, false}, {}},
      {"calls in progress", 2'500, kLimit, busy, {true}},
      {"no calls", 2'500, kLimit, quiet, {true, false, true}},
      {"no calls, no connections, accepting",
       2'500,
       kLimit,
       {false, true, false},
       {true, false, true}},
      {"a call came with the last connections", 2'600, kLimit, {true, false, true}, {true}},
      {"connections remain", 2'600, kLimit, {false, false, true}, {true, false, true}},
      {"nothing remains", 2'600, kLimit, {false, false, false}, {true, false, true, false, true}},
      {"new calls no longer in time", 3'100, kLimit, busy, {true, true}},
      {"final answers", 7'200, kLimit, busy, {true, true, false, true}},
      {"final answers given", 7'200, kLimit, quiet, {true, true, true, true}},
      {"short grace, before the final answers", 1'700, Millis(2'000), busy, {}},
      {"short grace, final answers", 1'800, Millis(2'000), busy, {false, true, false, true}},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    StopSequence stop;
    stop.Begin(kStopped);
    const StopActions actions =
        stop.Decide(kStopped + Millis(test.after_ms), test.limit, test.progress);
    CHECK(actions.close_idle == test.expected.close_idle);
    CHECK(actions.refuse == test.expected.refuse);
    CHECK(actions.stop_accepting == test.expected.stop_accepting);
    CHECK(actions.final_answers == test.expected.final_answers);
    CHECK(actions.exit == test.expected.exit);
  }
}

}  // namespace
}  // namespace shallot::gateway
