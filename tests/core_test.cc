#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/hashing.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/service_kernel.h"

namespace shallot {
namespace {

// Guards against a ring that drops tasks silently when it is full.
TEST_CASE("a full ring rejects a task and keeps those it accepted") {
  int wakes = 0;
  TaskRing ring(2, [&] { ++wakes; });
  int ran = 0;
  CHECK(ring.TryPost([&] { ++ran; }));
  CHECK(ring.TryPost([&] { ++ran; }));
  CHECK_FALSE(ring.TryPost([&] { ++ran; }));
  CHECK(wakes == 2);
  CHECK(ring.RunPending(10) == 2);
  CHECK(ran == 2);
  CHECK(ring.TryPost([&] { ++ran; }));
}

// Guards against tasks that are lost or run twice when several threads post at once.
TEST_CASE("tasks posted by several threads run once each, in order per thread") {
  constexpr int kThreads = 4;
  constexpr int kTasks = 2000;
  TaskRing ring(64, [] {});
  std::vector<int> next(kThreads, 0);
  bool in_order = true;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kTasks; ++i) {
        ring.PostCompletion([&, t, i] { in_order = in_order && next[t]++ == i; });
      }
    });
  }
  size_t ran = 0;
  while (ran < size_t{kThreads} * kTasks) ran += ring.RunPending(16);
  for (std::thread& thread : threads) thread.join();
  CHECK(in_order);
  CHECK(ring.RunPending(1) == 0);
}

class FakeService final : public Service {
 public:
  FakeService(std::string name, bool fails, std::vector<std::string>* events)
      : name_(std::move(name)), fails_(fails), events_(events) {}
  std::string Name() const override { return name_; }
  Status Start(ServiceKernel& kernel) override {
    if (fails_) return Error{ErrorKind::kUnavailable, "port in use", "stop the other process"};
    found_first_ = kernel.Find<FakeService>("first") != nullptr;
    events_->push_back("start " + name_);
    return OkStatus();
  }
  void Stop() override { events_->push_back("stop " + name_); }
  bool found_first() const { return found_first_; }

 private:
  std::string name_;
  bool fails_;
  bool found_first_ = false;
  std::vector<std::string>* events_;
};

// Guards against services that keep running after another service failed to start.
TEST_CASE("when a service fails to start, the kernel stops the started ones in reverse order") {
  std::vector<std::string> events;
  ServiceKernel kernel;
  CHECK(IsOk(kernel.Add(std::make_unique<FakeService>("first", false, &events))));
  CHECK(IsOk(kernel.Add(std::make_unique<FakeService>("second", false, &events))));
  CHECK(IsOk(kernel.Add(std::make_unique<FakeService>("third", true, &events))));
  const Status duplicate = kernel.Add(std::make_unique<FakeService>("first", false, &events));
  CHECK(ErrorOf(duplicate).kind == ErrorKind::kConflict);
  const Status status = kernel.StartAll();
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).kind == ErrorKind::kUnavailable);
  CHECK(events ==
        std::vector<std::string>{"start first", "start second", "stop second", "stop first"});
  CHECK(kernel.Find<FakeService>("second")->found_first());
  CHECK(kernel.Find<FakeService>("absent") == nullptr);
}

TEST_CASE("suspending the machine advances the boot clock but not the steady clock") {
  ManualClock clock;
  const SteadyTime steady = clock.SteadyNow();
  const BootTime boot = clock.BootNow();
  clock.Advance(Seconds(2));
  clock.Suspend(Seconds(30));
  CHECK(clock.SteadyNow() - steady == Seconds(2));
  CHECK(clock.BootNow() - boot == Seconds(32));
}

// Guards against a violation that is not counted, or a check that cannot fail.
TEST_CASE("a violated invariant is counted and rendered") {
  InvariantMonitor monitor;
  CHECK(monitor.Check(Invariant::kWholeAnswer, true, ""));
  CHECK_FALSE(monitor.Check(Invariant::kWholeAnswer, false, "expected in this test"));
  CHECK(monitor.checks(Invariant::kWholeAnswer) == 2);
  CHECK(monitor.violations(Invariant::kWholeAnswer) == 1);
  CHECK(monitor.TotalViolations() == 1);
  CHECK(
      monitor.Render().find("shallot_invariant_violations_total{invariant=\"whole_answer\"} 1\n") !=
      std::string::npos);
}

struct QuantileCase {
  std::vector<int> latencies_us;
  double quantile;
  Duration expected;
};

TEST_CASE("a histogram quantile is the upper bound of the bucket that holds it") {
  using std::chrono::microseconds;
  const std::vector<QuantileCase> cases = {
      {{}, 0.5, Duration::zero()},
      {{50}, 0.5, microseconds(100)},
      {{100, 101, 400, 401}, 0.5, microseconds(200)},
      {{100, 101, 400, 401}, 1.0, microseconds(800)},
  };
  for (const QuantileCase& test : cases) {
    LatencyHistogram histogram;
    for (const int latency : test.latencies_us) histogram.Record(microseconds(latency));
    CHECK(histogram.Quantile(test.quantile) == test.expected);
  }
}

TEST_CASE("metrics are rendered with types, labels and cumulative buckets") {
  MetricsRegistry registry;
  registry.GetCounter("calls_total{class=\"status\"}").Add(3);
  registry.GetGauge("queued").Set(-1);
  registry.GetHistogram("wait_seconds{class=\"status\"}").Record(std::chrono::microseconds(150));
  const std::string text = registry.Render();
  for (const char* line :
       {"# TYPE calls_total counter\n", "calls_total{class=\"status\"} 3\n", "queued -1\n",
        "wait_seconds_bucket{class=\"status\",le=\"0.000100\"} 0\n",
        "wait_seconds_bucket{class=\"status\",le=\"+Inf\"} 1\n",
        "wait_seconds_count{class=\"status\"} 1\n"}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Guards against a hash that differs between builds, which would change the placement of shards.
TEST_CASE("hashes and seeded random numbers are stable") {
  CHECK(StableHash("") == 0x2d06800538d394c2ULL);
  CHECK(RendezvousWeight("key", "a") != RendezvousWeight("key", "b"));
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) CHECK(first.Next() == second.Next());
  for (int i = 0; i < 1000; ++i) {
    CHECK(first.Below(10) < 10);
    const double unit = first.Unit();
    CHECK(unit >= 0);
    CHECK(unit < 1);
  }
}

}  // namespace
}  // namespace shallot
