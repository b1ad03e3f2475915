#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/router_sim.h"

namespace shallot {
namespace {

struct Tracked {
  CallId id;
  CallerRequest request;
  std::shared_ptr<FakeSink> sink;
  SteadyTime deadline;
};

/// True when `data` is one whole answer of one attempt on one agent.
bool IsOneAnswer(const Tracked& call, const std::string& data) {
  for (uint64_t attempt = 1; attempt <= 20; ++attempt) {
    for (size_t agent = 0; agent < 3; ++agent) {
      Call sent;
      sent.id = call.id;
      sent.attempt = Attempt(attempt);
      if (data == RouterSim::AnswerOf(sent, agent)) return true;
    }
  }
  return false;
}

bool WasStarted(const RouterSim& sim, const CallId& id) {
  for (const auto& [call, attempt] : sim.started) {
    if (call == id) return true;
  }
  return false;
}

void RandomFault(RouterSim* sim, Random* random) {
  const size_t n = random->Below(3);
  switch (random->Below(7)) {
    case 0:
      sim->Restart(n, true);
      return;
    case 1:
      sim->Restart(n, false);
      return;
    case 2:
      sim->DropMessages(n, true, true);
      return;
    case 3:
      sim->DropMessages(n, true, false);
      return;
    case 4:
      sim->DropMessages(n, false, true);
      return;
    case 5:
      sim->Replace(n);
      return;
    default:
      sim->SetDraining(n, random->Below(2) == 0);
      return;
  }
}

Tracked SubmitOne(RouterSim* sim, Random* random, int number) {
  Tracked call;
  const Millis deadline(300 + random->Below(15'000));
  const bool order = random->Below(3) == 0;
  call.request = order ? RouterFixture::OrderRequest("key-" + std::to_string(number), deadline)
                       : RouterFixture::ModelRequest(random->Below(2) == 0, deadline);
  call.deadline = sim->f.clock.SteadyNow() + deadline;
  call.sink = sim->f.Submit(call.request);
  call.id = sim->f.last_call;
  return call;
}

void CheckCall(const RouterSim& sim, const Tracked& call) {
  const FakeSink& sink = *call.sink;
  CAPTURE(call.id.value());
  CHECK(sink.ends == 1);
  if (sink.end.kind == OutcomeKind::kCompleted) CHECK(IsOneAnswer(call, sink.data));
  if (sink.end.kind != OutcomeKind::kCompleted && !call.request.stream) CHECK(sink.data.empty());
  if (sink.end.kind == OutcomeKind::kNotRun) CHECK_FALSE(WasStarted(sim, call.id));
}

// Guards against dropped calls, mixed answers, orders that run twice, and false outcomes of "not
// run" when connections lose, duplicate and reorder messages while agents restart, go silent, drain
// and are replaced.
TEST_CASE("random faults break no invariant") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RouterSim sim(
        {.agents = 3, .concurrency = 4, .service = Millis(150), .exponential = true, .seed = seed},
        {.loss = 0.05, .duplication = 0.05, .jitter = Millis(60)});
    Random random(seed + 1'000);
    std::vector<Tracked> calls;
    for (int step = 0; step < 6'000; ++step) {
      sim.Step();
      if (random.Below(10) == 0) {
        calls.push_back(SubmitOne(&sim, &random, static_cast<int>(calls.size())));
      }
      if (random.Below(150) == 0) RandomFault(&sim, &random);
      for (const Tracked& call : calls) {
        if (call.sink->ends > 0) continue;
        REQUIRE(sim.f.clock.SteadyNow() <= call.deadline + Millis(20));
      }
    }
    sim.Run(Millis(16'000));
    size_t completed = 0;
    for (const Tracked& call : calls) {
      CheckCall(sim, call);
      completed += call.sink->end.kind == OutcomeKind::kCompleted ? 1 : 0;
    }
    for (const auto& [key, runs] : sim.runs) {
      CAPTURE(key.value());
      CHECK(runs == 1);
    }
    CHECK(completed > calls.size() / 4);
    CHECK(sim.f.invariants.TotalViolations() == 0);
    sim.f.core.BeginDrain();
    CHECK(sim.f.core.Drained());
  }
}

// Guards against calls that fail because of a single lost agent while the network is healthy.
TEST_CASE("a lost agent fails no repeatable plain call that has time for a second attempt") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RouterSim sim({.agents = 3, .concurrency = 4, .service = Millis(500), .seed = seed}, {});
    sim.Run(Millis(200));
    std::vector<Tracked> calls;
    for (int i = 0; i < 12; ++i) {
      Tracked call;
      call.request = RouterFixture::ModelRequest(false, Millis(20'000));
      call.sink = sim.f.Submit(call.request);
      call.id = sim.f.last_call;
      calls.push_back(call);
    }
    sim.Run(Millis(100));
    if (seed % 2 == 0) sim.Replace(0);
    if (seed % 2 == 1) sim.Restart(0, true);
    sim.Run(Millis(20'000));
    for (const Tracked& call : calls) CHECK(call.sink->end.kind == OutcomeKind::kCompleted);
  }
}

// Guards against a call that a paused router does not end after it resumes, and against counting a
// call that expired during the pause as dropped by the router.
TEST_CASE("a router that was paused past a deadline ends the call when it runs again") {
  RouterFixture f(1);
  f.Start();
  const auto sink = f.Submit(RouterFixture::ModelRequest(false, Millis(2'000)));
  f.Run(Millis(200));
  f.clock.Advance(Seconds(12));
  SUBCASE("by a tick") { f.Run(Millis(100)); }
  SUBCASE("by a message that waited") { f.Answer(f.LastStart(), OutcomeKind::kCompleted); }
  CHECK(sink->ends == 1);
  f.core.OnTick();
  CHECK(f.invariants.checks(Invariant::kNoSilentDrop) == 1);
  CHECK(f.invariants.TotalViolations() == 0);
  CHECK(f.metrics.GetCounter("shallot_router_pauses_total").value() == 1);
}

// Guards against calls that fail because more calls lost their runner at once than the retry budget
// has tokens; they wait for a token instead.
TEST_CASE("many calls that lose their runner at once are all answered") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    RouterSim sim({.agents = 2, .concurrency = 4, .service = Millis(500), .seed = seed}, {});
    sim.Run(Millis(200));
    std::vector<std::shared_ptr<FakeSink>> sinks;
    for (int i = 0; i < 60; ++i) {
      sinks.push_back(sim.f.Submit(RouterFixture::ModelRequest(false, Millis(60'000))));
    }
    sim.Run(Millis(100));
    sim.Replace(0);
    sim.Run(Millis(60'000));
    for (const auto& sink : sinks) CHECK(sink->end.kind == OutcomeKind::kCompleted);
    CHECK(sim.f.invariants.TotalViolations() == 0);
  }
}

}  // namespace
}  // namespace shallot
