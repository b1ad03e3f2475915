#include "servers/admission.h"

#include <doctest/doctest.h>

#include <vector>

namespace shallot {
namespace {

// Guards against lower classes that use up the whole router, and against premium calls that are
// refused because of them.
TEST_CASE("calls in flight are bounded by class") {
  struct Case {
    CallClass filler;
    CallClass call_class;
    uint64_t expected;
  };
  const std::vector<Case> cases = {
      {CallClass::kBatch, CallClass::kBatch, 50},
      {CallClass::kManuscript, CallClass::kManuscript, 70},
      {CallClass::kInteractive, CallClass::kInteractive, 80},
      {CallClass::kStatus, CallClass::kStatus, 90},
      {CallClass::kPremium, CallClass::kPremium, 100},
      {CallClass::kBatch, CallClass::kPremium, 100},
      {CallClass::kStatus, CallClass::kPremium, 100},
      {CallClass::kBatch, CallClass::kInteractive, 30},
  };
  for (const Case& c : cases) {
    CAPTURE(CallClassName(c.filler));
    CAPTURE(CallClassName(c.call_class));
    Admission admission(100);
    if (c.filler != c.call_class) {
      while (admission.CheckInFlight(c.filler).admitted) admission.OnAdmitted(c.filler);
    }
    uint64_t admitted = 0;
    while (admission.CheckInFlight(c.call_class).admitted) {
      admission.OnAdmitted(c.call_class);
      ++admitted;
    }
    CHECK(admitted == c.expected);
    const AdmissionDecision decision = admission.CheckInFlight(c.call_class);
    CHECK(decision.reason == Reason::kOverload);
    CHECK(decision.retry_after > Millis(0));
    admission.OnEnded(c.call_class);
    CHECK(admission.CheckInFlight(c.call_class).admitted);
  }
}

// Guards against calls that are admitted and then miss their deadline, and against refusals of
// calls that would have been answered in time.
TEST_CASE("the predicted wait is compared with the time left") {
  struct Case {
    const char* name;
    WaitInput input;
    Millis remaining;
    bool admitted;
    Reason reason;
    Millis retry_after;
  };
  const Millis service(100);
  const std::vector<Case> cases = {
      {"idle", {CacheTier::kLoaded, 0, 4, service}, Millis(100), true, Reason::kNone, Millis(0)},
      {"service too long",
       {CacheTier::kLoaded, 0, 4, service},
       Millis(90),
       false,
       Reason::kDeadline,
       Millis(200)},
      {"last free concurrent slot",
       {CacheTier::kLoaded, 3, 4, service},
       Millis(100),
       true,
       Reason::kNone,
       Millis(0)},
      // 40 calls wait: 10 service times per concurrent slot, plus one standard deviation of 1.58.
      {"queue fits",
       {CacheTier::kLoaded, 43, 4, service},
       Millis(1'259),
       true,
       Reason::kNone,
       Millis(0)},
      {"queue just too long",
       {CacheTier::kLoaded, 43, 4, service},
       Millis(1'258),
       false,
       Reason::kOverload,
       Millis(200)},
      // 60 calls wait: 15 service times per concurrent slot, plus one standard deviation of 1.94.
      {"queue too long",
       {CacheTier::kLoaded, 63, 4, service},
       Millis(1'259),
       false,
       Reason::kOverload,
       Millis(535)},
      {"load too long",
       {CacheTier::kRemote, 0, 4, service},
       Millis(2'000),
       false,
       Reason::kDeadline,
       Millis(1'100)},
      {"load fits",
       {CacheTier::kDisk, 0, 4, service},
       Millis(5'000),
       true,
       Reason::kNone,
       Millis(0)},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Admission admission(100);
    const PredictedWait wait = admission.Predict(EntryId("m"), LoadKind::kModel, c.input);
    const AdmissionDecision decision = admission.CheckWait(wait, c.remaining);
    CHECK(decision.admitted == c.admitted);
    CHECK(decision.reason == c.reason);
    CHECK(decision.retry_after == c.retry_after);
  }
}

// Guards against predictions that ignore observed load times, or mix those of different tiers and
// kinds.
TEST_CASE("load times are recorded by entry, kind and tier") {
  const auto load_of = [](const Admission& admission, const char* entry, LoadKind kind,
                          CacheTier tier) {
    const WaitInput input{tier, 0, 4, Millis(100)};
    const Duration load = admission.Predict(EntryId(entry), kind, input).load;
    return std::chrono::round<Millis>(load);
  };
  Admission admission(100);
  const Millis remote = load_of(admission, "a", LoadKind::kModel, CacheTier::kRemote);
  const Millis adapter = load_of(admission, "x", LoadKind::kAdapter, CacheTier::kDisk);
  for (int i = 0; i < 20; ++i) {
    admission.RecordLoadTime(EntryId("a"), LoadKind::kModel, CacheTier::kDisk, Seconds(6));
  }
  CHECK(load_of(admission, "a", LoadKind::kModel, CacheTier::kDisk) == Seconds(6));
  // An entry without observations is estimated from the others of its kind.
  CHECK(load_of(admission, "b", LoadKind::kModel, CacheTier::kDisk) == Seconds(6));
  CHECK(load_of(admission, "a", LoadKind::kModel, CacheTier::kRemote) == remote);
  CHECK(load_of(admission, "x", LoadKind::kAdapter, CacheTier::kDisk) == adapter);
  admission.RecordLoadTime(EntryId("b"), LoadKind::kModel, CacheTier::kDisk, Seconds(2));
  CHECK(load_of(admission, "b", LoadKind::kModel, CacheTier::kDisk) == Seconds(2));
  CHECK(load_of(admission, "a", LoadKind::kModel, CacheTier::kDisk) == Seconds(6));
}

// Guards against an estimate that became too high and causes every later call to be refused.
TEST_CASE("some deadline refusals are admitted to correct the estimate") {
  Admission admission(100);
  const PredictedWait wait{.queue = Millis(0), .load = Seconds(60), .service = Millis(100)};
  uint64_t admitted = 0;
  for (uint64_t i = 0; i < 4 * Admission::kProbeInterval; ++i) {
    admitted += admission.CheckWait(wait, Seconds(10)).admitted ? 1 : 0;
  }
  CHECK(admitted == 4);
}

TEST_CASE("quantiles follow the newest samples") {
  DurationSamples samples;
  CHECK(samples.Quantile(0.9, Seconds(3)) == Seconds(3));
  for (int i = 1; i <= 10; ++i) samples.Add(Seconds(i));
  CHECK(samples.Quantile(0.9, Seconds(0)) == Seconds(10));
  CHECK(samples.Quantile(0.0, Seconds(0)) == Seconds(1));
  for (size_t i = 0; i < DurationSamples::kMaxSamples; ++i) samples.Add(Seconds(2));
  CHECK(samples.Quantile(0.9, Seconds(0)) == Seconds(2));
}

}  // namespace
}  // namespace shallot
