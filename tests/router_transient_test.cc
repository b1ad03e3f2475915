#include <doctest/doctest.h>

#include <string>

#include "tests/router_fixture.h"

namespace shallot {
namespace {

/// Answers each new start as not run for the given reason, for `time` or until the call ends.
/// Returns the number of starts.
size_t RefuseFor(RouterFixture* f, const FakeSink& sink, Reason reason, Millis time) {
  size_t refused = 0;
  for (Millis done{0}; done <= time && sink.ends == 0; done += Millis(20)) {
    if (f->link.Count<CallStart>() > refused) {
      ++refused;
      f->Answer(f->LastStart(), OutcomeKind::kNotRun, reason);
    }
    f->Run(Millis(20));
  }
  return f->link.Count<CallStart>();
}

// Guards against calls that fail although nothing ran and a grant or another runner is about to
// become available: transient refusals must not use up the retry budget of an overloaded fleet.
TEST_CASE("transient refusals do not use the retry budget") {
  for (const Reason reason : {Reason::kNotGranted, Reason::kDraining}) {
    CAPTURE(ReasonName(reason));
    RouterFixture f;
    f.Start();
    for (int i = 0; i < 40; ++i) {
      CAPTURE(i);
      const auto sink = f.Submit(RouterFixture::ModelRequest());
      const size_t first = f.link.Count<CallStart>();
      f.Answer(f.LastStart(), OutcomeKind::kNotRun, reason);
      f.Answer(f.LastStart(), OutcomeKind::kNotRun, reason);
      CHECK(sink->ends == 0);
      f.Run(Millis(240));
      CHECK(f.link.Count<CallStart>() == first + 2);
      f.Answer(f.LastStart(), OutcomeKind::kCompleted);
      CHECK(sink->end.kind == OutcomeKind::kCompleted);
    }
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against a retry storm: after the second and each further refusal the call waits 200 ms.
TEST_CASE("attempts after the first transient retry are delayed") {
  RouterFixture f(4);
  f.Start();
  f.Submit(RouterFixture::ModelRequest());
  f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kNotGranted);
  CHECK(f.link.Count<CallStart>() == 2);
  for (size_t starts = 2; starts < 5; ++starts) {
    CAPTURE(starts);
    f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kNotGranted);
    f.Run(Millis(180));
    CHECK(f.link.Count<CallStart>() == starts);
    f.Run(Millis(40));
    CHECK(f.link.Count<CallStart>() == starts + 1);
  }
}

// Guards against endless attempts, and against a premium call that ends while it has time left.
TEST_CASE("lower classes give up after 8 attempts and premium at its deadline") {
  struct ClassCase {
    const char* call_class;
    bool ends_early;
  };
  for (const ClassCase& c : {ClassCase{"premium", false}, ClassCase{"status", true},
                             ClassCase{"interactive", true}, ClassCase{"batch", true}}) {
    CAPTURE(c.call_class);
    RouterFixture f;
    f.Start();
    CallerRequest request = RouterFixture::ModelRequest(false, Millis(10'000));
    request.call_class = c.call_class;
    const auto sink = f.Submit(request);
    const size_t starts = RefuseFor(&f, *sink, Reason::kNotGranted, Millis(9'000));
    CHECK(sink->ends == (c.ends_early ? 1 : 0));
    if (c.ends_early) {
      CHECK(starts == 8);
      CHECK(sink->end.kind == OutcomeKind::kNotRun);
      CHECK(sink->end.reason == Reason::kNotGranted);
      continue;
    }
    CHECK(starts > 30);
    f.Run(Millis(1'200));
    CHECK(sink->ends == 1);
    CHECK(f.invariants.TotalViolations() == 0);
  }
}

// Guards against a premium call that, after many transient refusals, has no attempt left when it is
// refused for another reason.
TEST_CASE("transient refusals do not count as attempts of a premium call") {
  RouterFixture f;
  f.Start();
  CallerRequest request = RouterFixture::ModelRequest(false, Millis(10'000));
  request.call_class = "premium";
  const auto sink = f.Submit(request);
  RefuseFor(&f, *sink, Reason::kDraining, Millis(4'000));
  f.Run(Millis(240));
  const size_t starts = f.link.Count<CallStart>();
  f.Answer(f.LastStart(), OutcomeKind::kNotRun, Reason::kQueueFull);
  CHECK(sink->ends == 0);
  f.Run(Millis(240));
  CHECK(f.link.Count<CallStart>() == starts + 1);
}

}  // namespace
}  // namespace shallot
