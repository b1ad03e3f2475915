#include "servers/circuit_breaker.h"

#include <doctest/doctest.h>

namespace shallot {
namespace {

using State = CircuitBreaker::State;

void Fail(CircuitBreaker* breaker, uint64_t times, SteadyTime now) {
  for (uint64_t i = 0; i < times; ++i) breaker->OnFailure(now);
}

// Guards against a breaker that opens on scattered failures.
TEST_CASE("only consecutive failures open the breaker") {
  CircuitBreaker breaker;
  const SteadyTime now;
  Fail(&breaker, CircuitBreaker::kFailureLimit - 1, now);
  CHECK(breaker.state(now) == State::kClosed);
  breaker.OnSuccess();
  Fail(&breaker, CircuitBreaker::kFailureLimit - 1, now);
  CHECK(breaker.Allows(now));
  breaker.OnFailure(now);
  CHECK(breaker.state(now) == State::kOpen);
  CHECK_FALSE(breaker.Allows(now));
}

// Guards against a burst of calls to a runner that has just recovered, and against a probe without
// a result that excludes the runner forever.
TEST_CASE("a half-open breaker allows one probe") {
  CircuitBreaker breaker;
  SteadyTime now;
  Fail(&breaker, CircuitBreaker::kFailureLimit, now);
  now += CircuitBreaker::kFirstPause;
  CHECK(breaker.state(now) == State::kHalfOpen);
  CHECK(breaker.Allows(now));
  breaker.OnAttempt(now);
  CHECK_FALSE(breaker.Allows(now));
  SUBCASE("success closes it") {
    breaker.OnSuccess();
    CHECK(breaker.state(now) == State::kClosed);
  }
  SUBCASE("failure doubles the pause") {
    breaker.OnFailure(now);
    CHECK_FALSE(breaker.Allows(now + CircuitBreaker::kFirstPause));
    CHECK(breaker.Allows(now + 2 * CircuitBreaker::kFirstPause));
  }
  SUBCASE("after a probe without a result the next call may probe") {
    breaker.OnProbeEnded();
    CHECK(breaker.Allows(now));
  }
  SUBCASE("a lost probe expires") { CHECK(breaker.Allows(now + CircuitBreaker::kProbeTimeout)); }
}

// Guards against a pause that grows without a limit.
TEST_CASE("the pause is bounded") {
  CircuitBreaker breaker;
  SteadyTime now;
  Fail(&breaker, CircuitBreaker::kFailureLimit, now);
  for (int i = 0; i < 20; ++i) {
    now += CircuitBreaker::kLongestPause;
    breaker.OnFailure(now);
  }
  CHECK(breaker.Allows(now + CircuitBreaker::kLongestPause));
}

}  // namespace
}  // namespace shallot
