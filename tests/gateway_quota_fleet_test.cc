#include "tests/gateway_quota_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

const TeamName kSmall("small");
const TeamName kLarge("large");
constexpr double kSmallRate = 29'000;
constexpr double kLargeRate = 330'000;
constexpr Seconds kWarmUp{4};

std::map<TeamName, Team> Teams(double factor) {
  std::map<TeamName, Team> teams;
  teams[kSmall] = {
      kSmall, {}, {QuotaUnit::kTokens, kSmallRate * factor, 2 * kSmallRate * factor, 200}};
  teams[kLarge] = {kLarge, {}, {QuotaUnit::kTokens, kLargeRate * factor, kLargeRate * factor, 200}};
  return teams;
}

/// Demand of one team, in multiples of its rate.
struct Demand {
  TeamName team;
  double rate = 0;
  double factor = 1;
};

enum class Spread { kEven, kUneven, kOne };

size_t Pick(Spread spread, size_t gateways, Random* random) {
  if (spread == Spread::kOne) return gateways / 2;
  // Half of the calls come to a tenth of the gateways.
  if (spread == Spread::kUneven && random->Unit() < 0.5) {
    return random->Below(std::max<size_t>(1, gateways / 10));
  }
  return random->Below(gateways);
}

/// Mean cost of the calls that are not plain.
constexpr double kLargeCall = 9'200;

/// One call of about 9,200 tokens for each three plain ones.
void Play(QuotaFleetRun* run, size_t gateways, Spread spread, const std::vector<Demand>& demands,
          Duration length, Random* random, const std::function<void(Duration)>& change = {}) {
  const Duration end = run->elapsed() + length;
  while (run->elapsed() < end) {
    if (change) change(run->elapsed());
    for (const Demand& demand : demands) {
      constexpr double kMeanCost = (9'200 + 3 * 200) / 4.0;
      const double calls = demand.rate * demand.factor *
                           std::chrono::duration<double>(run->kStep).count() / kMeanCost;
      double left = calls;
      while (random->Unit() < left) {
        left -= 1;
        const bool plain = random->Unit() < 0.75;
        const double cost = plain ? 200 : 4'600 + random->Unit() * 9'200;
        run->Call(Pick(spread, gateways, random), demand.team, cost,
                  plain ? Millis(100) : Millis(1'500));
      }
    }
    run->Step();
  }
}

double Allowed(const TeamName& team, double factor = 1) {
  return QuotaTolerance{Seconds(8), 0.1, 110'000}.Allowed(Teams(factor).at(team).quota);
}

// Guards against quotas that are not used although the demand is there, against calls that are
// refused within the quota, and against calls beyond it, in calm conditions.
TEST_CASE("gateway: fleets of any size use a quota and keep it") {
  struct Case {
    const char* name;
    size_t gateways;
    Spread spread;
    double factor;
  };
  for (const Case& test : std::vector<Case>{{"1, excess", 1, Spread::kOne, 3},
                                            {"1, below", 1, Spread::kOne, 0.6},
                                            {"21, even, excess", 21, Spread::kEven, 1.5},
                                            {"21, even, below", 21, Spread::kEven, 0.6},
                                            {"21, uneven, excess", 21, Spread::kUneven, 2},
                                            {"21, uneven, below", 21, Spread::kUneven, 0.6},
                                            {"21, one, excess", 21, Spread::kOne, 1.5},
                                            {"21, one, below", 21, Spread::kOne, 0.6},
                                            {"21, far too much", 21, Spread::kEven, 7.5},
                                            {"100, even, excess", 100, Spread::kEven, 1.5},
                                            {"100, even, below", 100, Spread::kEven, 0.6},
                                            {"100, one, below", 100, Spread::kOne, 0.6},
                                            {"100, far too much", 100, Spread::kUneven, 7.5}}) {
    for (const uint64_t seed : {1, 2}) {
      if (seed == 2 && test.gateways == 100) continue;
      CAPTURE(std::string(test.name));
      CAPTURE(seed);
      QuotaFleetRun::Options options;
      options.gateways = test.gateways;
      options.teams = Teams(1);
      options.seed = seed;
      QuotaFleetRun run(options);
      Random random(seed);
      Play(&run, test.gateways, test.spread, {}, kWarmUp, &random);
      const BootTime from = run.now();
      constexpr Seconds kLength{24};
      Play(&run, test.gateways, test.spread,
           {{kSmall, kSmallRate, test.factor}, {kLarge, kLargeRate, test.factor}}, kLength,
           &random);
      for (const auto& [team, rate] :
           {std::pair(kSmall, kSmallRate), std::pair(kLarge, kLargeRate)}) {
        CAPTURE(team.value());
        const auto& result = run.results[team];
        const double used = run.UnitsBetween(team, from, run.now());
        CHECK(run.MostInWindow(team) <= Allowed(team));
        if (test.factor > 1) {
          CHECK(used >= 0.95 * rate * static_cast<double>(kLength.count()));
        } else {
          CHECK(static_cast<double>(result.refused) <= 0.01 * static_cast<double>(result.calls));
        }
      }
    }
  }
}

/// When the faults begin and end.
constexpr Millis kBegin{6'000};
constexpr Millis kEnd{20'000};

using Change = std::function<void(QuotaFleetRun*, size_t gateways, Duration at)>;

/// Applies `change` once, at `when`.
bool Once(Duration at, Millis when) { return at >= when && at < when + QuotaFleetRun::kStep; }

/// The issuer that most gateways use.
size_t MainIssuer(QuotaFleetRun* run, size_t gateways) {
  std::map<InstanceId, size_t> users;
  for (size_t index = 0; index < gateways; ++index) ++users[run->exchange(index).current()];
  const auto most = std::max_element(
      users.begin(), users.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return std::stoul(most->first.value().substr(6));
}

// Guards against calls beyond a quota while gateways are cut off, suspended, restarted or added,
// and while messages are late or lost, and against a quota that stays unused after that.
TEST_CASE("gateway: fleets keep a quota through faults") {
  struct Case {
    const char* name;
    Change change;
    Millis most_delay{10};
    double lost = 0;
    /// Least share of the quotas that is used while the fault lasts. That of the small team is
    /// lower where a gateway's share is less than one call.
    double small_during = 0;
    double large_during = 0;
    /// The same after the fault, when conditions are calm again. One call less counts as enough,
    /// because the last one of the time that is measured may be run just after it.
    double after = 0.95;
  };
  size_t issuer = 0;
  const std::vector<Case> cases{
      {"two halves",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (Once(at, kBegin)) {
           run->reaches = [gateways](size_t a, size_t b) {
             return (a < gateways / 2) == (b < gateways / 2);
           };
         }
         if (Once(at, kEnd)) run->reaches = [](size_t, size_t) { return true; };
       },
       Millis(10), 0, 0.85, 0.85},
      {"one direction",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (Once(at, kBegin)) {
           run->reaches = [gateways](size_t a, size_t b) {
             return a < gateways / 2 || b >= gateways / 2;
           };
         }
         if (Once(at, kEnd)) run->reaches = [](size_t, size_t) { return true; };
       },
       Millis(10), 0, 0.75, 0.85},
      {"each alone",
       [](QuotaFleetRun* run, size_t, Duration at) {
         if (Once(at, kBegin)) run->reaches = [](size_t, size_t) { return false; };
         if (Once(at, kEnd)) run->reaches = [](size_t, size_t) { return true; };
       },
       Millis(10), 0, 0.1, 0.3},
      {"halves that change each second",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (at % Seconds(1) < run->kStep && at > kBegin && at < kEnd) {
           const size_t first = static_cast<size_t>(at / Seconds(1)) * 7;
           run->reaches = [=](size_t a, size_t b) {
             return ((a + first) % gateways < gateways / 2) ==
                    ((b + first) % gateways < gateways / 2);
           };
         }
         if (Once(at, kEnd)) run->reaches = [](size_t, size_t) { return true; };
       }},
      {"a suspended issuer",
       [&issuer](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (Once(at, kBegin)) {
           issuer = MainIssuer(run, gateways);
           run->Suspend(issuer, true);
         }
         if (Once(at, kEnd)) run->Suspend(issuer, false);
       },
       Millis(10), 0, 0.8, 0.85},
      {"an issuer that is suspended for half of each second",
       [&issuer](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (Once(at, kBegin)) issuer = MainIssuer(run, gateways);
         if (at >= kBegin && at < kEnd) run->Suspend(issuer, at % Seconds(1) < Millis(500));
         if (Once(at, kEnd)) run->Suspend(issuer, false);
       }},
      {"suspended gateways",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         for (size_t index = 0; index < gateways; index += 2) {
           if (at < kBegin || at >= kEnd) {
             run->Suspend(index, false);
           } else {
             run->Suspend(index, (at / Millis(700) + static_cast<int64_t>(index)) % 2 == 0);
           }
         }
       }},
      {"gateways restart one after another",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (at < kBegin || at >= kEnd || at % Millis(700) >= run->kStep) return;
         run->Restart(static_cast<size_t>(at / Millis(700)) % gateways);
       },
       Millis(10), 0, 0.9, 0.9},
      {"the issuer restarts often",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (at < kBegin || at >= kEnd || at % Millis(3'000) >= run->kStep) return;
         run->Restart(MainIssuer(run, gateways));
       },
       Millis(10), 0, 0.85, 0.9},
      {"all gateways are killed",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (!Once(at, kBegin) && !Once(at, kBegin + Millis(3'000))) return;
         for (size_t index = 0; index < gateways; ++index) run->Restart(index);
       },
       Millis(10), 0, 0.6, 0.75},
      {"late and lost messages", [](QuotaFleetRun*, size_t, Duration) {}, Millis(200), 0.1, 0.2,
       0.45, 0.2},
      {"a fifth of the gateways is not listed at first",
       [](QuotaFleetRun* run, size_t gateways, Duration at) {
         if (at == Duration(0)) {
           for (size_t index = 0; index < gateways; index += 5) run->unlisted.insert(index);
         }
         if (Once(at, kBegin)) run->unlisted.clear();
       },
       Millis(10), 0, 0.9, 0.95}};
  for (const size_t gateways : {1, 21, 100}) {
    for (const Case& test : cases) {
      for (const uint64_t seed :
           gateways == 21 ? std::vector<uint64_t>{1, 2} : std::vector<uint64_t>{1}) {
        CAPTURE(std::string(test.name));
        CAPTURE(gateways);
        CAPTURE(seed);
        QuotaFleetRun::Options options;
        options.gateways = gateways;
        options.teams = Teams(1);
        options.seed = seed;
        options.most_delay = test.most_delay;
        options.lost = test.lost;
        QuotaFleetRun run(options);
        Random random(seed);
        const BootTime start = run.now();
        Play(&run, gateways, Spread::kEven, {{kSmall, kSmallRate, 3}, {kLarge, kLargeRate, 1.5}},
             Seconds(30), &random, [&](Duration at) { test.change(&run, gateways, at); });
        for (const auto& [team, rate] :
             {std::pair(kSmall, kSmallRate), std::pair(kLarge, kLargeRate)}) {
          CAPTURE(team.value());
          const double during = run.UnitsBetween(team, start + kBegin, start + kEnd) / (rate * 14);
          const double after =
              run.UnitsBetween(team, start + kEnd + Seconds(4), run.now()) / (rate * 6);
          CHECK(run.MostInWindow(team) <= Allowed(team));
          if (gateways < 21) continue;
          CHECK(during >= (team == kSmall ? test.small_during : test.large_during));
          const double one_call = test.lost > 0 ? 0 : kLargeCall / (rate * 6);
          CHECK(after >= test.after - one_call);
        }
      }
    }
  }
}

// Guards against a lowered limit that old tokens, or an issuer that does not know it, still exceed.
TEST_CASE("gateway: a lowered limit binds after one window") {
  for (const size_t gateways : {1, 21, 100}) {
    CAPTURE(gateways);
    QuotaFleetRun::Options options;
    options.gateways = gateways;
    options.teams = Teams(1);
    QuotaFleetRun run(options);
    Random random(1);
    const std::vector<Demand> demands{{kSmall, kSmallRate, 2}, {kLarge, kLargeRate, 1.5}};
    Play(&run, gateways, Spread::kEven, demands, Seconds(12), &random);
    run.SetTeams(Teams(0.25));
    run.results.clear();
    Play(&run, gateways, Spread::kEven, demands, Seconds(16), &random);
    for (const TeamName& team : {kSmall, kLarge}) {
      CAPTURE(team.value());
      CHECK(run.MostInWindow(team) <= Allowed(team, 0.25));
    }
  }
}

}  // namespace
}  // namespace shallot::gateway
