#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "servers/gateway/runner_picker.h"
#include "servers/gateway/waiting_policy.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

class PickerFixture {
 public:
  PickerFixture() : picker_(&policy_, &view_, FailureDomain("north")) {
    ModelSpec spec;
    spec.name = ModelName("m");
    spec.store_load = Millis(6'000);
    spec.disk_load = Millis(800);
    spec.memory_load = Millis(400);
    engine_.models[spec.name] = spec;
    call_.model = spec.name;
    call_.prompt_tokens = 3'800;
    call_.prompt = {{"shared", 3'000}, {"own", 800}};
  }

  void Add(const std::string& id, const std::string& domain, bool holds, uint64_t slots = 8) {
    RunnerEntry entry;
    entry.id = RunnerId(id);
    entry.backend = BackendName("engine");
    entry.domain = FailureDomain(domain);
    entry.slots = slots;
    entry.born = RunnerStartTime(1);
    if (holds) entry.holdings.models[ModelName("m")];
    view_.Apply(entry, kStart);
  }

  std::string Pick(PickError* problem = nullptr, const std::set<RunnerId>& tried = {},
                   const std::set<RunnerId>& excluded = {}) {
    PickError ignored = PickError::kNone;
    RunnerPicker::Query query;
    query.backend = BackendName("engine");
    query.engine = &engine_;
    query.call = &call_;
    query.tried = &tried;
    query.excluded = &excluded;
    query.target_latency = Millis(800);
    const auto picked = picker_.Pick(query, kStart, problem == nullptr ? &ignored : problem);
    return picked ? picked->runner.value() : "";
  }

  GatewayPolicy policy_;
  FleetView view_;
  EngineSpec engine_;
  CallRequest call_;
  RunnerPicker picker_;
};

// Guards against a picker that ignores a runner's prefix cache, queue, speed or failures when the
// replicas of one busy model differ.
TEST_CASE("gateway: the runner with the earliest predicted first event is chosen") {
  struct Case {
    const char* name;
    void (*prepare)(PickerFixture*);
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"own failure domain", [](PickerFixture*) {}, "near"},
      {"prompt cached at the far one",
       [](PickerFixture* fixture) {
         fixture->picker_.prefixes().Sent(RunnerId("far"), fixture->call_.PrefixScope(),
                                          fixture->call_.prompt);
       },
       "far"},
      {"prompts queued at the near one",
       [](PickerFixture* fixture) {
         fixture->picker_.health(RunnerId("near")).AddPending(0, 20'000);
       },
       "far"},
      {"near one is slow",
       [](PickerFixture* fixture) {
         for (int call = 0; call < 20; ++call) {
           fixture->picker_.health(RunnerId("near")).OnFirstEvent(0, 4, kStart);
         }
       },
       "far"},
      {"near one fails",
       [](PickerFixture* fixture) {
         fixture->picker_.health(RunnerId("near")).OnFailure(kStart, false);
       },
       "far"},
      {"near one is full",
       [](PickerFixture* fixture) { fixture->picker_.health(RunnerId("near")).in_flight = 8; },
       "far"},
      {"near one is unreachable",
       [](PickerFixture* fixture) {
         fixture->picker_.health(RunnerId("near")).OnUnreachable(kStart);
       },
       "far"},
      {"near one rejects the model",
       [](PickerFixture* fixture) {
         fixture->picker_.health(RunnerId("near")).OnModelRejected("m", kStart);
       },
       "far"},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    PickerFixture fixture;
    fixture.Add("near", "north", true);
    fixture.Add("far", "south", true);
    test.prepare(&fixture);
    CHECK(fixture.Pick() == test.expected);
  }
}

// Guards against sending a call again and again to a runner that cannot take it; one call was sent
// 951 times.
TEST_CASE("gateway: a call waits instead of trying an excluded or unreachable runner") {
  PickerFixture fixture;
  PickError problem = PickError::kNone;
  CHECK(fixture.Pick(&problem).empty());
  CHECK(problem == PickError::kNoRunner);
  fixture.Add("other", "north", false);
  CHECK(fixture.Pick(&problem).empty());
  CHECK(problem == PickError::kModelNotLoaded);
  fixture.Add("a", "north", true);
  CHECK(fixture.Pick(&problem, {}, {RunnerId("a")}).empty());
  CHECK(problem == PickError::kAllBusy);
  fixture.picker_.health(RunnerId("a")).OnUnreachable(kStart);
  CHECK(fixture.Pick(&problem).empty());
  CHECK(problem == PickError::kModelNotLoaded);
}

// Guards against excluding a runner for long because it was slow to respond a few times on a busy
// machine: with a pause that had grown to 8 s, it got no order for 10 s.
TEST_CASE("gateway: an unreachable runner is tried again soon") {
  RunnerHealth health;
  SteadyTime now = kStart;
  for (int round = 0; round < 4; ++round) {
    health.OnUnreachable(now);
    CHECK_FALSE(health.Available(now));
    now += RunnerHealth::kUnreachablePause;
    CHECK(health.Available(now));
  }
  health.OnUnreachable(now);
  health.OnReachable();
  CHECK(health.Available(now));
}

// Guards against a pause after rejections that never ends or never grows.
TEST_CASE("gateway: rejections of a model pause its calls for increasing times") {
  RunnerHealth health;
  SteadyTime now = kStart;
  Millis last{0};
  for (int round = 0; round < 6; ++round) {
    health.OnModelRejected("m", now);
    Millis pause{0};
    while (health.ModelPaused("m", now + pause)) pause += Millis(10);
    CHECK(pause >= last);
    CHECK(pause <= RunnerHealth::kMaxRejectionPause);
    last = pause;
    now += pause;
  }
  CHECK(last == RunnerHealth::kMaxRejectionPause);
  health.OnModelServed("m");
  health.OnModelRejected("m", now);
  CHECK_FALSE(health.ModelPaused("m", now + RunnerHealth::kFirstRejectionPause));
}

// Guards against calls that wait although no load can complete in time, and against refusing calls
// that a local copy could still serve.
TEST_CASE("gateway: a call waits for its model only when that can succeed") {
  struct Case {
    const char* name;
    bool in_memory;
    bool on_disk;
    int64_t left_ms;
    int64_t waited_ms;
    bool expected;
    const char* source;
  };
  const std::vector<Case> cases = {
      {"memory", true, true, 2'000, 0, true, "memory"},
      {"disk", false, true, 2'000, 0, true, "disk"},
      {"disk, too late", false, true, 900, 0, false, "disk"},
      {"store, time enough", false, false, 8'000, 0, true, "store"},
      {"store, too late", false, false, 5'000, 0, false, "store"},
      {"store, load under way", false, false, 5'000, 3'000, true, "store"},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    PickerFixture fixture;
    RunnerEntry entry;
    entry.id = RunnerId("a");
    entry.backend = BackendName("engine");
    if (test.in_memory) entry.holdings.in_memory.insert(ModelName("m"));
    if (test.on_disk) entry.holdings.on_disk.insert(ModelName("m"));
    fixture.view_.Apply(entry, kStart);
    const WaitDecision decision =
        DecideWaiting(fixture.view_, fixture.engine_, fixture.policy_, BackendName("engine"),
                      fixture.call_, Millis(test.left_ms), Millis(test.waited_ms));
    CHECK(decision.wait == test.expected);
    CHECK(std::string(decision.source) == test.source);
    CHECK(decision.retry_after >= kMinRetryAfter);
  }
}

// Guards against calls that all wait for a load that does not come, for example while there is no
// leader: each new caller was told that the load was about to end, and left unanswered.
TEST_CASE("gateway: an overdue load is expected to take as long again") {
  PickerFixture fixture;
  fixture.Add("a", "north", false);
  const auto decide = [&](int64_t waited_ms, int64_t left_ms) {
    return DecideWaiting(fixture.view_, fixture.engine_, fixture.policy_, BackendName("engine"),
                         fixture.call_, Millis(left_ms), Millis(waited_ms));
  };
  CHECK(decide(6'000, 1'000).wait);
  CHECK_FALSE(decide(12'000, 2'000).wait);
  CHECK(decide(12'000, 2'000).retry_after >= Millis(12'000));
  CHECK(decide(12'000, 20'000).wait);
}

// Replays a runner whose queue takes longer than callers wait. Guards against sending it further
// calls, which delay those in the queue, and against refused callers that return all at once.
TEST_CASE("gateway: a call is refused when its caller would leave before the first event") {
  struct Case {
    const char* name;
    int64_t predicted_ms;
    int64_t patience_ms;
    bool expected;
  };
  for (const Case& test : std::vector<Case>{{"short queue", 300, 2'000, false},
                                            {"just in time", 2'000, 2'000, false},
                                            {"too late", 2'100, 2'000, true},
                                            {"patience used up", 100, 0, true}}) {
    CAPTURE(std::string(test.name));
    std::set<Millis> retries;
    for (int caller = 0; caller < 20; ++caller) {
      const RefusalDecision decision =
          DecideRefusal(Millis(test.predicted_ms), Millis(test.patience_ms),
                        RequestId("call-" + std::to_string(caller)));
      CHECK(decision.refuse == test.expected);
      if (test.expected) CHECK(decision.retry_after >= kMinRetryAfter);
      retries.insert(decision.retry_after);
    }
    if (test.predicted_ms > 1'000 && test.expected) CHECK(retries.size() > 10);
  }
}

// Replays the restart of all gateways while the store is away. Guards against callers that are told
// to return so soon that their only retry is refused as well.
TEST_CASE("gateway: callers of a gateway without configuration return after the expected outage") {
  struct Case {
    int64_t since_start_ms;
    int64_t least_ms;
    int64_t most_ms;
  };
  for (const Case& test :
       {Case{0, 1'000, 1'500}, Case{2'000, 2'000, 3'000}, Case{60'000, 3'000, 4'500}}) {
    CAPTURE(test.since_start_ms);
    std::set<Millis> retries;
    for (int caller = 0; caller < 20; ++caller) {
      const Millis retry = RetryAfterWhileStarting(Millis(test.since_start_ms),
                                                   RequestId("call-" + std::to_string(caller)));
      CHECK(retry >= Millis(test.least_ms));
      CHECK(retry <= Millis(test.most_ms));
      retries.insert(retry);
    }
    CHECK(retries.size() > 10);
  }
}

// Guards against a prediction that counts calls which the runner serves later, and against a runner
// that is never tried again because it once was slow.
TEST_CASE("gateway: the queue ahead depends on urgency, and slowness fades") {
  RunnerHealth health;
  health.AddPending(0, 1'000);
  health.AddPending(3, 5'000);
  CHECK(health.TokensAhead(0, kStart) == 1'000);
  CHECK(health.TokensAhead(3, kStart) == 6'000);
  health.RemovePending(0, 1'000);
  CHECK(health.TokensAhead(0, kStart) == 0);
  for (int call = 0; call < 50; ++call) health.OnNoFirstEvent(3, 6, kStart);
  CHECK(health.Slowness(3, kStart) > 4);
  health.OnNoFirstEvent(3, 1, kStart);
  CHECK_MESSAGE(health.Slowness(0, kStart) == 1.0, "more urgent calls are served first");
  CHECK(health.Slowness(3, kStart) > 4);
  CHECK(health.Slowness(3, kStart + RunnerHealth::kSlownessHalfLife * 5) < 1.5);
}

// Guards against a stated pace that counts twice, in the prediction and as observed slowness.
TEST_CASE("gateway: observed slowness holds only what the stated pace does not") {
  PickerFixture fixture;
  fixture.Add("a", "north", true);
  const auto predict = [&fixture] {
    const std::set<RunnerId> none;
    PickError problem = PickError::kNone;
    RunnerPicker::Query query;
    query.backend = BackendName("engine");
    query.engine = &fixture.engine_;
    query.call = &fixture.call_;
    query.tried = &none;
    query.excluded = &none;
    query.target_latency = Millis(800);
    return *fixture.picker_.Pick(query, kStart, &problem);
  };
  const auto usual = static_cast<double>(predict().predicted.count());
  RunnerHealth& health = fixture.picker_.health(RunnerId("a"));
  for (int64_t at = -60'000; at <= 0; at += 100) {
    health.OnLoad(0, 0, 2.0, kStart + Duration(Millis(at)));
  }
  for (int call = 0; call < 50; ++call) {
    const PickedRunner picked = predict();
    CHECK(picked.pace == doctest::Approx(2).epsilon(0.05));
    const double observed = usual * 2;
    health.OnFirstEvent(
        0, observed * picked.slowness / static_cast<double>(picked.predicted.count()), kStart);
  }
  CHECK(health.Slowness(0, kStart) == doctest::Approx(1).epsilon(0.1));
  CHECK(static_cast<double>(predict().predicted.count()) ==
        doctest::Approx(usual * 2).epsilon(0.1));
}

// Guards against metrics that show an even load although one runner gets all calls, and against a
// last resort that a random choice prefers to a runner that can take the call.
TEST_CASE("gateway: the spread of calls and paces is summarized, and random choices are sound") {
  PickerFixture fixture;
  for (const char* id : {"a", "b", "c", "d"}) fixture.Add(id, "north", true);
  for (int call = 0; call < 8; ++call) fixture.picker_.health(RunnerId("a")).OnSent(kStart);
  for (int report = 0; report < 40; ++report) {
    fixture.picker_.health(RunnerId("b"))
        .OnLoad(0, 0, 2.0, kStart + Duration(Millis(report * 100)));
  }
  const BalanceSummary summary =
      fixture.picker_.Summarize(kStart + Duration(Millis(4'000))).at(BackendName("engine"));
  CHECK(summary.runners == 4);
  CHECK(summary.send_spread == doctest::Approx(4));
  CHECK(summary.slowest_pace > 1.6);
  CHECK(summary.mean_pace < 1.3);
  for (const ChoiceKind choice :
       {ChoiceKind::kLowest, ChoiceKind::kTwoRandom, ChoiceKind::kWeighted}) {
    fixture.policy_.choice = choice;
    for (int call = 0; call < 50; ++call) {
      CHECK(fixture.Pick(nullptr, {RunnerId("a"), RunnerId("b"), RunnerId("d")}) == "c");
    }
  }
}

// Guards against changed choices in deployments whose runners state no pace: all calls go to the
// runner with the lowest score, as before.
TEST_CASE("gateway: without stated paces the lowest score is chosen") {
  for (const bool paced : {false, true}) {
    CAPTURE(paced);
    PickerFixture fixture;
    for (const char* id : {"a", "b", "c"}) fixture.Add(id, "north", true);
    if (paced) fixture.picker_.health(RunnerId("a")).OnLoad(0, 0, 1.0, kStart);
    std::set<std::string> chosen;
    for (int call = 0; call < 60; ++call) chosen.insert(fixture.Pick());
    CHECK(chosen.size() == (paced ? 3 : 1));
  }
}

// Guards against a placement leader that does not hear of slow runners, and against reports that
// repeat what it knows.
TEST_CASE("gateway: lasting paces are reported when they change") {
  PickerFixture fixture;
  fixture.Add("a", "north", true);
  CHECK(fixture.picker_.TakePaceChanges(kStart).empty());
  RunnerHealth& health = fixture.picker_.health(RunnerId("a"));
  health.OnLoad(0, 0, 2.0, kStart);
  CHECK(fixture.picker_.TakePaceChanges(kStart).size() == 1);
  CHECK(fixture.picker_.TakePaceChanges(kStart).empty());
  SteadyTime now = kStart;
  for (int report = 0; report < 40; ++report) {
    now += Duration(Millis(500));
    health.OnLoad(0, 0, 3.0, now);
  }
  const auto changes = fixture.picker_.TakePaceChanges(now);
  REQUIRE(changes.size() == 1);
  CHECK(changes.at(RunnerId("a")) > 2.5);
}

// Guards against waiting for a backend without runners or for a model that is not configured.
TEST_CASE("gateway: a call does not wait without runners or for an unknown model") {
  PickerFixture fixture;
  const auto decide = [&] {
    return DecideWaiting(fixture.view_, fixture.engine_, fixture.policy_, BackendName("engine"),
                         fixture.call_, Millis(9'000), Millis(0));
  };
  CHECK_FALSE(decide().wait);
  fixture.Add("a", "north", false);
  CHECK(decide().wait);
  fixture.call_.model = ModelName("unknown");
  CHECK_FALSE(decide().wait);
}

// Guards against counting prompt parts as cached that follow a part that differs.
TEST_CASE("gateway: cached prompt tokens end at the first unknown part") {
  PrefixIndex index;
  const RunnerId runner("a");
  index.Sent(runner, "m/", {{"p1", 100}, {"p2", 50}, {"p3", 7}});
  CHECK(index.KeptTokens(runner, "m/", {{"p1", 100}, {"p2", 50}, {"new", 9}}) == 150);
  CHECK(index.KeptTokens(runner, "m/", {{"new", 9}, {"p2", 50}}) == 0);
  CHECK(index.KeptTokens(runner, "other/", {{"p1", 100}}) == 0);
  CHECK(index.KeptTokens(RunnerId("b"), "m/", {{"p1", 100}}) == 0);
  index.Forget(runner);
  CHECK(index.KeptTokens(runner, "m/", {{"p1", 100}}) == 0);
}

}  // namespace
}  // namespace shallot::gateway
