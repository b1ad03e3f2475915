#include "servers/crash_quarantine.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "drivers/gateway/peer_codec.h"
#include "servers/gateway/call_traits.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};
/// Time between two crashes, and from a crash to the conclusion.
constexpr Millis kStep{400};

using Calls = std::vector<std::vector<CallTrait>>;

/// Traits from a text such as "dead s1 f1".
std::vector<CallTrait> Traits(const std::string& text) {
  std::vector<CallTrait> traits;
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = std::min(text.find(' ', at), text.size());
    traits.emplace_back(text.substr(at, end - at));
    at = end + 1;
  }
  return traits;
}

Calls CallsOf(const std::vector<std::string>& texts) {
  Calls calls;
  for (const std::string& text : texts) calls.push_back(Traits(text));
  return calls;
}

/// One gateway's quarantine and its clock. Each crash is at another runner.
class QuarantineFixture {
 public:
  explicit QuarantineFixture(const std::string& name = "front-1") : quarantine_(InstanceId(name)) {}

  void Crash(const std::vector<std::string>& calls, const std::string& domain = "") {
    ++crashes_;
    const RunnerRun id{RunnerId("r" + std::to_string(crashes_)), RunnerStartTime(crashes_)};
    const std::string place = domain.empty() ? "d" + std::to_string(crashes_) : domain;
    quarantine_.OnCrash(id, FailureDomain(place), CallsOf(calls), now_);
    Advance(kStep);
  }
  void Serve(const std::string& traits) { quarantine_.OnAnswerBegun(Traits(traits), now_); }
  bool Refuses(const std::string& traits) const {
    return quarantine_.Match(Traits(traits), now_).has_value();
  }
  void Advance(Duration time) {
    now_ += time;
    quarantine_.Update(now_);
  }
  /// Passes the findings on as the store and the peers do.
  void SendTo(QuarantineFixture* other, const std::string& name = "front-1") const {
    const auto report =
        DecodeFindings(EncodeFindings({InstanceId(name), quarantine_.Own(now_), {}}));
    REQUIRE(IsOk(report));
    other->quarantine_.Merge(ValueOf(report).gateway, ValueOf(report).crashes, other->now_);
    other->Advance(CrashQuarantine::kSettleDirect);
  }

  CrashQuarantine quarantine_;
  SteadyTime now_ = kStart;
  uint64_t crashes_ = 0;
};

// Guards against calls that crash runners and are not recognized, and against sound calls that are
// refused because they were lost in the same crashes.
TEST_CASE("gateway: the calls that crash runners are refused and no others") {
  struct Case {
    const char* name;
    void (*play)(QuarantineFixture*);
    std::vector<std::string> refused;
    std::vector<std::string> admitted;
  };
  const std::vector<Case> cases = {
      {"one crash decides nothing",
       [](QuarantineFixture* f) { f->Crash({"dead s1 f1"}); },
       {},
       {"dead s1 f1"}},
      {"a call and its retry: only calls with all that they have in common",
       [](QuarantineFixture* f) {
         f->Crash({"dead s1 f1"});
         f->Crash({"dead s1 f1"});
       },
       {"dead s1 f1"},
       {"s1 f1", "s2 f1", "dead s2 f2"}},
      {"a second call leaves the part that both have",
       [](QuarantineFixture* f) {
         f->Crash({"dead s1 f1"});
         f->Crash({"dead s1 f1"});
         f->Crash({"dead s2 f2"});
       },
       {"dead s1 f1", "dead s3 f3"},
       {"s1 f1", "s2 f2"}},
      {"calls that were lost beside it",
       [](QuarantineFixture* f) {
         f->Serve("f1 f2");
         f->Crash({"dead s1 f1", "s2 f2", "s3 f1"});
         f->Crash({"dead s4 f2", "s5 f2", "s6 f1"});
       },
       {"dead s7 f3"},
       {"s1 f1", "s2 f2", "s5 f2", "s7 f3"}},
      {"traits that were served before",
       [](QuarantineFixture* f) {
         f->Serve("s1 f1");
         f->Crash({"dead s1 f1"});
         f->Crash({"dead s1 f1"});
       },
       {"dead s2 f2"},
       {"s1 f1"}},
      {"traits that were served in between",
       [](QuarantineFixture* f) {
         f->Crash({"s1 f1"});
         f->Serve("s1 f1");
         f->Crash({"s1 f1"});
       },
       {},
       {"s1 f1"}},
      {"a sound call that was lost twice beside it waits for the third crash",
       [](QuarantineFixture* f) {
         f->Crash({"dead s1", "s2 f2"});
         f->Crash({"dead s1", "s2 f2"});
       },
       {},
       {"dead s1", "s2 f2"}},
      {"the third crash decides",
       [](QuarantineFixture* f) {
         f->Crash({"dead s1", "s2 f2"});
         f->Crash({"dead s1", "s2 f2"});
         f->Crash({"dead s3"});
       },
       {"dead s3"},
       {"s2 f2"}},
      {"if it does not, both are held for a short time",
       [](QuarantineFixture* f) {
         for (int crash = 0; crash < 3; ++crash) f->Crash({"dead s1", "s2 f2"});
       },
       {"dead s1", "s2 f2"},
       {"s1", "f2"}},
      {"after the hold, one of them is served and is sound",
       [](QuarantineFixture* f) {
         for (int crash = 0; crash < 3; ++crash) f->Crash({"dead s1", "s2 f2"});
         f->Advance(CrashQuarantine::kUndecidedHold);
         f->Serve("s2 f2");
         f->Crash({"dead s1"});
       },
       {"dead s1"},
       {"s2 f2"}},
      {"an adapter or model that crashes every runner",
       [](QuarantineFixture* f) {
         f->Crash({"p1 adapter:e/m/a model:e/m"});
         f->Crash({"p2 adapter:e/m/a model:e/m"});
         f->Serve("p3 model:e/m");
       },
       {"p4 adapter:e/m/a model:e/m"},
       {"p3 model:e/m"}},
      {"runners of one failure domain that end together",
       [](QuarantineFixture* f) {
         f->Crash({"s1 f1"}, "rack");
         f->Crash({"s1 f1"}, "rack");
       },
       {},
       {"s1 f1"}},
      {"a trait that used to be served needs four crashes",
       [](QuarantineFixture* f) {
         f->Serve("s1 f1");
         for (int crash = 0; crash < 3; ++crash) f->Crash({"s1 f1"});
       },
       {},
       {"s1 f1"}},
      {"and is recognized at the fourth",
       [](QuarantineFixture* f) {
         f->Serve("s1 f1");
         for (int crash = 0; crash < 4; ++crash) f->Crash({"s1 f1"});
       },
       {"s1 f1"},
       {"s2 f1"}},
      {"a quarantine that another cause explains is lifted",
       [](QuarantineFixture* f) {
         f->Crash({"s2 f2", "dead s1"});
         f->Crash({"s2 f2"});
         CHECK(f->Refuses("s2 f2"));
         f->Crash({"dead s3"});
         f->Crash({"dead s4"});
         // The second crash had the deadly call too, as another gateway tells.
         CrashFindings other;
         other.crashes.push_back({{RunnerId("r2"), RunnerStartTime(2)},
                                  FailureDomain("d2"),
                                  CallsOf({"dead s1"}),
                                  {},
                                  {}});
         f->quarantine_.Merge(InstanceId("front-2"), other, f->now_);
         f->Advance(kStep);
       },
       {"dead s5"},
       {"s2 f2"}},
  };
  for (const Case& test : cases) {
    CAPTURE(std::string(test.name));
    QuarantineFixture fixture;
    test.play(&fixture);
    for (const std::string& traits : test.refused) {
      CAPTURE(traits);
      CHECK(fixture.Refuses(traits));
    }
    for (const std::string& traits : test.admitted) {
      CAPTURE(traits);
      CHECK_FALSE(fixture.Refuses(traits));
    }
  }
}

// Guards against a quarantine that never ends, and against crashes that go on after it.
TEST_CASE("gateway: a quarantine ends, and the next crash renews it for longer") {
  QuarantineFixture fixture;
  for (int crash = 0; crash < 2; ++crash) fixture.Crash({"dead s1"});
  Duration expected = CrashQuarantine::kFirstQuarantine;
  for (int round = 0; round < 6; ++round) {
    CAPTURE(round);
    REQUIRE(fixture.Refuses("dead s1"));
    const auto remaining = fixture.quarantine_.Match(Traits("dead s1"), fixture.now_)->remaining;
    CHECK(remaining <= expected);
    CHECK(remaining > expected - Duration(kStep) * 2);
    fixture.Advance(remaining);
    CHECK_FALSE(fixture.Refuses("dead s1"));
    fixture.Crash({"dead s1"});
    expected = std::min<Duration>(expected * 2, CrashQuarantine::kLongestQuarantine);
  }
  fixture.Advance(CrashQuarantine::kLongestQuarantine);
  fixture.Serve("dead s1");
  fixture.Advance(kStep);
  fixture.Crash({"dead s1"});
  CHECK_FALSE(fixture.Refuses("dead s1"));
}

// Guards against gateways that each need crashes of their own, and against a restarted gateway that
// has forgotten them.
TEST_CASE("gateway: gateways combine their findings about crashes") {
  QuarantineFixture first("front-1");
  QuarantineFixture second("front-2");
  first.Crash({"dead s1 f1"});
  second.crashes_ = 1;
  second.Crash({"dead s2 f2"});
  CHECK_FALSE(first.Refuses("dead s3"));
  second.SendTo(&first, "front-2");
  CHECK(first.Refuses("dead s3"));
  CHECK_FALSE(first.Refuses("s1 f1"));

  QuarantineFixture restarted("front-1");
  first.SendTo(&restarted, "front-1");
  CHECK(restarted.Refuses("dead s3"));
  // It passes on what its earlier run had found.
  QuarantineFixture third("front-3");
  restarted.SendTo(&third, "front-1");
  CHECK(third.Refuses("dead s3"));
  // The evidence expires before the quarantine does, and is then still told.
  restarted.Advance(CrashEvidence::kLifetime + Seconds(1));
  QuarantineFixture late("front-4");
  restarted.SendTo(&late, "front-1");
  CHECK(late.Refuses("dead s3"));
}

// Guards against a quarantine that ends at a gateway whose own evidence also fits a narrower one:
// until the next report, calls of the wider one reach runners again.
TEST_CASE("gateway: a reported quarantine outlasts narrower conclusions") {
  QuarantineFixture fixture;
  fixture.Crash({"dead s1 f1"});
  fixture.quarantine_.Merge(InstanceId("front-2"), {{}, {{{CallTrait("dead")}, 0, Seconds(60)}}},
                            fixture.now_);
  for (int crash = 0; crash < 2; ++crash) {
    fixture.Crash({"dead s1 f1"});
    CHECK(fixture.Refuses("dead s2 f2"));
  }
}

// Guards against sound calls that are refused because only one gateway knows that they are served.
TEST_CASE("gateway: a call that one gateway served is sound for all") {
  QuarantineFixture first("front-1");
  QuarantineFixture second("front-2");
  first.Crash({"s1 f1"});
  first.SendTo(&second, "front-1");
  second.Serve("s1 f1");
  CHECK(second.quarantine_.TakeChanged());
  second.SendTo(&first, "front-2");
  first.Crash({"s1 f1"});
  CHECK_FALSE(first.Refuses("s1 f1"));
}

// Guards against findings that grow with the number of crashes and lost calls.
TEST_CASE("gateway: the size of findings is bounded") {
  QuarantineFixture fixture;
  for (int crash = 0; crash < 100; ++crash) {
    Calls calls;
    for (int call = 0; call < 100; ++call) {
      CallRequest request;
      request.model = ModelName(std::string(200, 'm'));
      request.adapter = AdapterName(std::string(200, 'a'));
      for (int part = 0; part < 50; ++part) {
        request.prompt.push_back(
            {std::to_string(crash) + "-" + std::to_string(call) + std::string(100, 'p'), 1});
      }
      calls.push_back(TraitsOf(BackendName("e"), request, {"POST", "/p/", ""}));
      CHECK(calls.back().size() <= kMaxTraitsPerCall);
    }
    fixture.quarantine_.OnCrash({RunnerId("r" + std::to_string(crash)), RunnerStartTime(1)},
                                FailureDomain("d"), calls, fixture.now_);
    fixture.Advance(Millis(100));
  }
  CHECK(fixture.quarantine_.crashes() <= CrashEvidence::kMaxCrashes);
  const std::string record =
      EncodeFindings({InstanceId("front-1"), fixture.quarantine_.Own(fixture.now_), {}});
  CHECK(record.size() < 131'072);
}

}  // namespace
}  // namespace shallot::gateway
