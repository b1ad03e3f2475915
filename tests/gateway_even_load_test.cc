#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/settings.h"
#include "drivers/gateway/policy_settings.h"
#include "servers/gateway/balance/runner_pace.h"
#include "tests/gateway_balance_model.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

struct EvenCase {
  int gateways;
  int holders;
  double calls_per_s_per_holder;
  double first_pace;
  double rare_share;
  /// Most calls of the busiest runner over the mean, and least share of cached tokens.
  double busiest;
  double kept;
};

// Guards against many gateways that send their calls to the same runner because their reports are
// old or missing, and against evenness that loses cached prefixes. With the lowest score of reports
// alone, the busiest runner got up to 11 times the mean. Few calls are uneven by chance.
TEST_CASE("gateway: many gateways spread calls evenly and keep cached prefixes") {
  for (const EvenCase& test : std::vector<EvenCase>{{1, 10, 3, 1, 0, 1.3, 0.8},
                                                    {21, 2, 3, 1, 0, 1.2, 0.8},
                                                    {21, 10, 0.5, 1, 0, 2.0, 0.6},
                                                    {21, 10, 3, 1, 0, 1.3, 0.8},
                                                    {31, 56, 0.5, 1, 0, 2.1, 0.6},
                                                    {31, 56, 3, 1, 0, 1.35, 0.78},
                                                    {31, 56, 8, 1, 0, 1.25, 0.8},
                                                    {100, 56, 3, 1, 0, 1.35, 0.78},
                                                    {31, 10, 3, 3, 0, 1.35, 0.78},
                                                    {31, 10, 3, 1, 0.5, 1.25, 0.75}}) {
    CAPTURE(test.gateways);
    CAPTURE(test.holders);
    CAPTURE(test.calls_per_s_per_holder);
    BalanceSetup setup;
    setup.gateways = test.gateways;
    setup.holders = test.holders;
    setup.calls_per_s_per_holder = test.calls_per_s_per_holder;
    setup.first_pace = test.first_pace;
    setup.rare_share = test.rare_share;
    const BalanceResult lowest = BalanceModel(setup).Run();
    const GatewayPolicy defaults;
    setup.choice = defaults.choice;
    setup.estimate = defaults.load_estimate;
    setup.send_surplus_cost = defaults.send_surplus_cost;
    setup.load_surplus_cost = defaults.load_surplus_cost;
    const BalanceResult even = BalanceModel(setup).Run();
    CHECK(even.busiest <= test.busiest);
    CHECK(even.kept >= test.kept);
    if (test.first_pace > 1) CHECK(even.first < 0.7);
    if (test.gateways > 1 && test.calls_per_s_per_holder < 8) {
      CHECK(even.busiest < 0.85 * lowest.busiest);
    }
  }
}

// Guards against a runner on which a neighbour interferes for half a second that counts as slow
// afterwards, one that is always slow that counts as usual, and one that is never tried again.
TEST_CASE("gateway: a lasting pace differs from interference") {
  struct Case {
    const char* name;
    double (*stated)(int64_t at_ms);
    double least_after;
    double most_after;
  };
  for (const Case& test : std::vector<Case>{
           {"as usual", [](int64_t) { return 1.0; }, 1.0, 1.0},
           {"always slow", [](int64_t) { return 2.0; }, 1.95, 2.0},
           {"changes many times a second", [](int64_t at) { return at / 40 % 2 == 0 ? 1.0 : 3.0; },
            1.7, 2.2},
           {"interference", [](int64_t at) { return at >= 18'000 && at < 18'500 ? 3.0 : 1.0; }, 1.0,
            1.15},
           {"interference at present", [](int64_t at) { return at >= 19'700 ? 3.0 : 1.0; }, 1.2,
            1.7},
           {"absurd", [](int64_t) { return 1e300; }, 6.0, 8.0}}) {
    CAPTURE(std::string(test.name));
    RunnerPace pace;
    for (int64_t at = 0; at < 20'000; at += 40) {
      for (int same = 0; same < 3; ++same) {
        pace.OnReport(test.stated(at), kStart + Duration(Millis(at)));
      }
    }
    const SteadyTime now = kStart + Duration(Millis(20'000));
    CHECK(pace.Expected(Millis(2'000), now) >= test.least_after);
    CHECK(pace.Expected(Millis(2'000), now) <= test.most_after);
    CHECK(pace.Expected(Millis(2'000), now + Duration(Millis(200'000))) < 1.1);
  }
}

// Guards against a lasting pace that is known only after many calls: a gateway with little traffic
// gets one report in several seconds.
TEST_CASE("gateway: a few reports show a slow runner") {
  RunnerPace pace;
  for (int64_t at = 0; at < 20'000; at += 4'000) {
    pace.OnReport(3, kStart + Duration(Millis(at)));
  }
  CHECK(pace.Expected(Millis(2'000), kStart + Duration(Millis(20'000))) > 2);
}

// Guards against counting a call twice, in a report and as sent, and against a call that is counted
// nowhere because a report was written before it arrived.
TEST_CASE("gateway: own calls are added to a report that cannot contain them") {
  RunnerHealth health;
  const auto at = [](int64_t ms) { return kStart + Duration(Millis(ms)); };
  const auto send = [&](int64_t ms) {
    health.OnSent(at(ms));
    ++health.in_flight;
  };
  send(0);
  send(1);
  health.OnLoad(5, 1, std::nullopt, at(100));
  CHECK(health.CallsAt(0, at(100)) == 6);
  send(100);
  CHECK(health.CallsAt(0, at(100)) == 7);
  health.OnLoad(7, 0, std::nullopt, at(101));
  CHECK(health.CallsAt(0, at(101)) == 8);
  health.sends.OnEnded(at(0));
  --health.in_flight;
  CHECK(health.CallsAt(0, at(101)) == 7);
  health.sends.OnEnded(at(100));
  --health.in_flight;
  CHECK(health.CallsAt(0, at(101)) == 6);
  CHECK_MESSAGE(health.CallsAt(4, at(20'000)) == doctest::Approx(4), "an old report");
}

// Guards against a setting that is read as another one or not at all.
TEST_CASE("gateway: the choice is read from the settings") {
  const auto read = [](const std::string& text) {
    return ReadGatewayPolicy(ValueOf(ParseIni(text, "test.ini")), GatewayPolicy());
  };
  for (const std::string& name : ChoiceNames()) {
    const auto policy = read("[policy]\nchoice = " + name + "\nload_estimate = reported\n");
    REQUIRE(IsOk(policy));
    CHECK(ChoiceName(ValueOf(policy).choice) == name);
    CHECK(ValueOf(policy).load_estimate == LoadEstimate::kReported);
  }
  CHECK_FALSE(IsOk(read("[policy]\nchoice = best\n")));
}

}  // namespace
}  // namespace shallot::gateway
