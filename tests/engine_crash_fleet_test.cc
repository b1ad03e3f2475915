#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/composed_fixture.h"

namespace shallot::composed {
namespace {

/// The limit that users set: at most three deadly calls reach engines later than this after the
/// fifth crash.
constexpr Millis kReaction{3'000};
constexpr size_t kCrashesBefore = 5;
constexpr int kMaxLateStarts = 3;
constexpr const char* kDeadly = "deadly";

/// A fleet whose engines crash when they begin to answer calls with the text kDeadly, or when they
/// load m3.
class CrashFleet {
 public:
  CrashFleet() {
    for (size_t engine = 0; engine < ComposedFleet::kService; ++engine) {
      fleet_.backend(engine).deadly_text = kDeadly;
      fleet_.backend(engine).deadly_entry = EntryId("m3");
    }
  }

  void Submit(const std::string& entry, const std::string& body,
              const std::vector<CallTrait>& traits) {
    CallerRequest request = router_test::RouterFixture::ModelRequest(false, Millis(2'000));
    request.entry = EntryId(entry);
    request.body = body;
    request.traits = traits;
    const auto call = fleet_.Submit(next_router_++ % ComposedFleet::kRouters, request);
    if (call != nullptr) (body == kDeadly ? deadly_ : sound_).push_back(call);
  }

  std::vector<SteadyTime> Crashes() {
    std::vector<SteadyTime> crashes;
    for (size_t engine = 0; engine < ComposedFleet::kService; ++engine) {
      const auto& at = fleet_.backend(engine).crashes;
      crashes.insert(crashes.end(), at.begin(), at.end());
    }
    std::sort(crashes.begin(), crashes.end());
    return crashes;
  }
  /// Deadly calls that crashed an engine too long after the fifth crash.
  int64_t LateCrashes() {
    const std::vector<SteadyTime> crashes = Crashes();
    if (crashes.size() < kCrashesBefore) return 0;
    const SteadyTime due = crashes[kCrashesBefore - 1] + kReaction;
    return std::count_if(crashes.begin(), crashes.end(), [&](SteadyTime at) { return at > due; });
  }

  ComposedFleet fleet_;
  std::vector<std::shared_ptr<SubmittedCall>> deadly_;
  std::vector<std::shared_ptr<SubmittedCall>> sound_;

 private:
  size_t next_router_ = 0;
};

struct DeadlyCase {
  const char* name;
  /// Entry and traits of the deadly calls.
  const char* entry;
  std::vector<CallTrait> traits;
  bool restarts_routers;
};

// Guards against calls with one message, or for one adapter or model, that crash one engine after
// the other, also when the routers that have learned of it restart.
TEST_CASE("own fleet: calls that crash engines stop reaching engines") {
  const CallTrait shared("message:shared");
  for (const DeadlyCase& test :
       {DeadlyCase{"one message", "m1", {CallTrait("message:deadly"), shared}, false},
        DeadlyCase{
            "one message, routers restart", "m1", {CallTrait("message:deadly"), shared}, true},
        DeadlyCase{"one adapter", "a1", {}, false},
        DeadlyCase{"one model's load", "m3", {}, false}}) {
    CAPTURE(std::string(test.name));
    CrashFleet crash;
    constexpr int kSteps = 1'500;
    constexpr int kStepsPerCall = 10;
    for (int step = 0; step < kSteps; ++step) {
      if (step % kStepsPerCall == 0) {
        crash.Submit(test.entry, kDeadly, test.traits);
        crash.Submit("m1", "sound", {shared});
      }
      if (test.restarts_routers && step == kSteps / 2) {
        for (size_t router = 0; router < ComposedFleet::kRouters; ++router) {
          crash.fleet_.KillRouter(router);
          crash.fleet_.Run(Millis(500));
          crash.fleet_.StartRouter(router);
          crash.fleet_.Run(Millis(1'000));
        }
      }
      crash.fleet_.Step();
    }
    CHECK(crash.Crashes().size() >= 2);
    CHECK(crash.LateCrashes() <= kMaxLateStarts);
    CHECK(crash.deadly_.back()->sink->end.reason == Reason::kCrashesRunners);
    // Sound calls with the shared message are served in the second half.
    const auto half = crash.sound_.begin() + static_cast<ptrdiff_t>(crash.sound_.size() / 2);
    const auto served = std::count_if(half, crash.sound_.end(), [](const auto& call) {
      return call->sink->end.kind == OutcomeKind::kCompleted;
    });
    CHECK(served * 10 >= (crash.sound_.end() - half) * 8);
    for (const std::string& violation : crash.fleet_.violations()) FAIL_CHECK(violation);
  }
}

}  // namespace
}  // namespace shallot::composed
