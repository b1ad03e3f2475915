#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "servers/gateway/attempt_policy.h"
#include "servers/gateway/retry_share.h"

namespace shallot::gateway {
namespace {

struct Case {
  const char* name;
  CallKind kind;
  bool resumable;
  uint64_t runs;
  uint64_t max_attempts;
  bool answer_begun;
  int64_t left_ms;
  bool budget;
  AttemptFailure failure;
  NextStep expected;
};

// Guards against repeating a call that may have run, against reporting "not run" without proof, and
// against a truncated response that looks complete.
TEST_CASE("gateway: next step after a failed attempt") {
  constexpr CallKind kOnce = CallKind::kNonIdempotent;
  constexpr CallKind kSafe = CallKind::kIdempotent;
  constexpr CallKind kStream = CallKind::kStream;
  const std::vector<Case> cases = {
      {"refused connection", kOnce, false, 0, 1, false, 900, true, AttemptFailure::kNotConnected,
       NextStep::kRetry},
      {"rejected, not run", kOnce, false, 0, 1, false, 900, true, AttemptFailure::kNotExecuted,
       NextStep::kRetry},
      {"rejected, budget used up", kOnce, false, 0, 1, false, 900, false,
       AttemptFailure::kNotExecuted, NextStep::kRefuse},
      {"rejected, no time", kOnce, false, 0, 1, false, 10, true, AttemptFailure::kNotExecuted,
       NextStep::kRefuse},
      {"lost answer of a call that runs once", kOnce, false, 1, 2, false, 900, true,
       AttemptFailure::kLostAnswer, NextStep::kFail},
      {"runner's failure of a call that runs once", kOnce, false, 1, 2, false, 900, true,
       AttemptFailure::kServerError, NextStep::kPassOn},
      {"refusal without proof of a call that runs once", kOnce, false, 1, 2, false, 900, true,
       AttemptFailure::kUnprovenRefusal, NextStep::kFail},
      {"refusal without proof of a repeatable call", kSafe, false, 1, 2, false, 900, true,
       AttemptFailure::kUnprovenRefusal, NextStep::kRetry},
      {"refusal without proof, maximum number of runners tried", kSafe, false, 2, 2, false, 900,
       true, AttemptFailure::kUnprovenRefusal, NextStep::kFail},
      {"refusal without proof, budget used up", kSafe, false, 1, 2, false, 900, false,
       AttemptFailure::kUnprovenRefusal, NextStep::kFail},
      {"refusal without proof of a stream that may resume", kStream, true, 1, 2, true, 900, true,
       AttemptFailure::kUnprovenRefusal, NextStep::kRetry},
      {"refusal without proof of a stream that may not resume", kStream, false, 1, 2, true, 900,
       true, AttemptFailure::kUnprovenRefusal, NextStep::kCutOff},
      {"rejection after a run", kOnce, false, 1, 2, false, 900, true, AttemptFailure::kNotExecuted,
       NextStep::kFail},
      {"lost answer of a repeatable call", kSafe, false, 1, 2, false, 900, true,
       AttemptFailure::kLostAnswer, NextStep::kRetry},
      {"maximum number of runners tried", kSafe, false, 2, 2, false, 900, true,
       AttemptFailure::kLostAnswer, NextStep::kFail},
      {"failure after the maximum number of runners", kSafe, false, 2, 2, false, 900, true,
       AttemptFailure::kServerError, NextStep::kPassOn},
      {"broken stream that may resume", kStream, true, 1, 2, true, 900, true,
       AttemptFailure::kLostAnswer, NextStep::kRetry},
      {"broken stream that may not resume", kStream, false, 1, 2, true, 900, true,
       AttemptFailure::kLostAnswer, NextStep::kCutOff},
      {"resumption without budget", kStream, true, 1, 2, true, 900, false,
       AttemptFailure::kLostAnswer, NextStep::kCutOff},
      {"silent stream before its first event", kStream, true, 1, 2, false, 900, true,
       AttemptFailure::kSilent, NextStep::kRetry},
      {"silent stream that may not resume", kStream, false, 1, 1, false, 900, true,
       AttemptFailure::kSilent, NextStep::kFail},
      {"garbled answer of a call that runs once", kOnce, false, 1, 1, false, 900, true,
       AttemptFailure::kMalformed, NextStep::kFail},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    RetryContext context;
    context.kind = test.kind;
    context.resumable = test.resumable;
    context.runs = test.runs;
    context.max_attempts = test.max_attempts;
    context.answer_begun = test.answer_begun;
    context.time_left = Millis(test.left_ms);
    context.retry_allowed = test.budget;
    CHECK(std::string(NextStepName(DecideAfterFailure(context, test.failure))) ==
          NextStepName(test.expected));
  }
}

constexpr const char* kNoFailure = "none";

struct AnswerCase {
  const char* name;
  AnswerHeadFacts answer;
  const char* expected;
};

// Guards against a refusal that is believed without the runner's own statement, and against a
// statement that is not believed.
TEST_CASE("gateway: what the head of a runner's answer proves") {
  std::vector<AnswerCase> cases = {
      {"success", {200, true, false, true, false}, kNoFailure},
      {"success without proof of origin", {200, true, false, false, false}, "garbled"},
      {"success that names no call", {200, false, false, true, false}, "garbled"},
      {"the application's own 404", {404, true, false, true, false}, kNoFailure},
      {"redirection", {302, true, false, true, false}, kNoFailure},
      {"failed after a run", {500, true, false, true, false}, "server-error"},
      {"time budget exhausted", {504, true, false, true, false}, "server-error"},
      {"model absent", {421, true, true, false, false}, "model-absent"},
      {"other runner at the address", {421, true, true, false, true}, "wrong-instance"},
  };
  for (const int status : {400, 408, 429, 503}) {
    cases.push_back({"stated not run", {status, true, true, false, false}, "not-executed"});
    cases.push_back({"statement for no call", {status, false, true, false, false}, "garbled"});
  }
  for (const int status : {408, 421, 429, 503}) {
    for (const bool sealed : {false, true}) {
      cases.push_back(
          {"refusal without proof", {status, true, false, sealed, false}, "unproven-refusal"});
    }
  }
  for (const AnswerCase& test : cases) {
    CAPTURE(std::string(test.name));
    CAPTURE(test.answer.status);
    const std::optional<AttemptFailure> failure = FailureOfAnswer(test.answer);
    CHECK(std::string(failure ? AttemptFailureName(*failure) : kNoFailure) == test.expected);
  }
}

// Guards against gateways that together exceed the fleet's retry limit in some window, during a
// retry storm at all gateways.
TEST_CASE("gateway: retries of all gateways stay within the limit in every window") {
  GatewayPolicy policy;
  constexpr uint64_t kGateways = 6;
  std::vector<RetryShare> shares(kGateways, RetryShare(&policy));
  std::vector<SteadyTime> calls;
  std::vector<SteadyTime> retries;
  SteadyTime now{std::chrono::seconds(100)};
  for (int step = 0; step < 6'000; ++step) {
    now += Millis(10);
    RetryShare& share = shares[static_cast<size_t>(step) % kGateways];
    if (step % 4 == 0) {
      share.OnCall(now);
      calls.push_back(now);
    }
    // Every call fails several times.
    for (int retry = 0; retry < 3; ++retry) {
      if (share.TryRetry(now, kGateways)) retries.push_back(now);
    }
  }
  REQUIRE(!retries.empty());
  for (const SteadyTime& end : retries) {
    const auto count = [&](const std::vector<SteadyTime>& times) {
      return std::count_if(times.begin(), times.end(), [&](SteadyTime at) {
        return at <= end && end - at < Duration(policy.retry_window);
      });
    };
    const double limit =
        policy.retry_ratio * static_cast<double>(count(calls)) + policy.retry_slack;
    REQUIRE(static_cast<double>(count(retries)) <= limit);
  }
}

}  // namespace
}  // namespace shallot::gateway
