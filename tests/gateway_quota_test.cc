#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "servers/gateway/quota/quota_exchange.h"

namespace shallot::gateway {
namespace {

constexpr BootTime kStart{Seconds(1'000)};
constexpr Millis kTick{20};
const TeamName kTeam("t");
const InstanceId kSelf("front-1");
const InstanceId kOther("front-2");
const QuotaTolerance kTolerance{Seconds(8), 0.1, 1'000};
using State = QuotaVerdict::State;

std::map<TeamName, Team> Teams(double rate, double burst) {
  return {{kTeam, {kTeam, {}, {QuotaUnit::kTokens, rate, burst, 1}}}};
}

/// A gateway that is its own issuer and a member of it.
struct Lone {
  explicit Lone(double rate, double burst, uint64_t listed = 1) : fleet{{}, listed} {
    exchange.SetQuotas(Teams(rate, burst), kTolerance, now);
    Pass(Seconds(3));
  }
  void Pass(Duration time) {
    for (const BootTime end = now + time; now < end; now += kTick) (void)exchange.Tick(fleet, now);
  }
  /// The verdict when it is no longer to wait.
  QuotaVerdict Call(double cost, Millis target) {
    const QuotaTicket ticket = exchange.account().NewTicket();
    for (int tick = 0; tick < 100; ++tick) {
      const QuotaVerdict verdict = exchange.account().Admit(kTeam, ticket, cost, target, now);
      if (verdict.state != State::kWait) return verdict;
      Pass(kTick);
    }
    return {State::kWait, Millis(0)};
  }
  BootTime now = kStart;
  QuotaFleet fleet;
  QuotaExchange exchange{kSelf, kStart};
};

// Guards against a Retry-After after which the call is refused again, or long before which it would
// have run.
TEST_CASE("gateway: a refusal states when the quota has room") {
  for (const double cost : {300.0, 1'000.0, 1'100.0}) {
    CAPTURE(cost);
    Lone gateway(1'000, 1'000);
    REQUIRE(gateway.Call(1'000, Millis(1'000)).state == State::kAdmitted);
    const QuotaVerdict refused = gateway.Call(cost, Millis(100));
    REQUIRE(refused.state == State::kRefused);
    const Millis exact(static_cast<int64_t>(std::min(cost, 1'000.0)));
    CHECK(refused.wait <= exact);
    CHECK(refused.wait >= exact - Millis(100));
    gateway.Pass(refused.wait / 2);
    CHECK(gateway.Call(cost, Millis(100)).state == State::kRefused);
    gateway.Pass(refused.wait / 2);
    CHECK(gateway.Call(cost, Millis(100)).state == State::kAdmitted);
  }
}

// Guards against calls that can never run because they cost more than a gateway's share of the
// burst.
TEST_CASE("gateway: a call that costs more than its bucket holds can run") {
  for (const double cost : {150.0, 400.0, 700.0}) {
    CAPTURE(cost);
    Lone gateway(1'000, 1'000, 10);
    size_t admitted = 0;
    const BootTime end = gateway.now + Seconds(80);
    while (gateway.now < end) {
      if (gateway.Call(cost, Millis(100)).state == State::kAdmitted) ++admitted;
      gateway.Pass(kTick);
    }
    const double used = static_cast<double>(admitted) * cost / 80;
    CHECK(used > 50);
    CHECK(used < 120);
  }
}

// Guards against tokens of calls that did not run: lost, or used on top of those of a later time.
TEST_CASE("gateway: a call that has not run gives its tokens back for a short time") {
  struct Case {
    Millis after;
    State expected;
  };
  for (const Case& test : {Case{Millis(0), State::kAdmitted}, Case{Millis(100), State::kAdmitted},
                           Case{Millis(1'100), State::kRefused}}) {
    CAPTURE(test.after.count());
    Lone gateway(100, 1'000);
    gateway.Pass(Seconds(10));
    REQUIRE(gateway.Call(1'000, Millis(1'000)).state == State::kAdmitted);
    const BootTime admitted = gateway.now;
    gateway.Pass(test.after);
    gateway.exchange.account().Refund(kTeam, 1'000, admitted, gateway.now);
    CHECK(gateway.Call(900, Millis(100)).state == test.expected);
  }
}

// Guards against tokens that are used although they were asked for long ago, come twice, or were
// asked for before a limit was lowered.
TEST_CASE("gateway: late, repeated and outdated grants are void") {
  struct Case {
    const char* name;
    Millis delay;
    uint64_t number;
    bool lowered;
    double expected;
  };
  for (const Case& test : std::vector<Case>{{"in time", Millis(50), 0, false, 10},
                                            {"late", Millis(1'000), 0, false, 0},
                                            {"another number", Millis(50), 7, false, 0},
                                            {"lowered", Millis(50), 0, true, 0}}) {
    CAPTURE(std::string(test.name));
    QuotaAccount account(kSelf, kStart);
    account.SetQuotas(Teams(100, 100), kStart);
    BootTime now = kStart + Seconds(2);
    const auto first = account.TakeAsk(kOther, 2, now);
    REQUIRE(first);
    CHECK_FALSE(first->stamp);
    CHECK(account.OnGrant({kOther, first->number, now, 2, {}}, now));
    const auto ask = account.TakeAsk(kOther, 2, now);
    REQUIRE(ask);
    CHECK(ask->stamp);
    if (test.lowered) account.SetQuotas(Teams(50, 100), now + Millis(10));
    now += test.delay;
    const QuotaGrant grant{
        kOther, ask->number + test.number, now, 2, {{kTeam, 10, 0, 0, 50, 0, 0}}};
    (void)account.OnGrant(grant, now);
    CHECK(account.Balance(kTeam, now) == test.expected);
    CHECK_FALSE(account.OnGrant(grant, now));
    CHECK(account.Balance(kTeam, now) == test.expected);
    CHECK(account.Balance(kTeam, now + Millis(951)) == 0);
  }
}

// Guards against a gateway that two issuers count, and against one that asks no more.
TEST_CASE("gateway: an issuer counts gateways that have proved to ask it alone") {
  struct Case {
    const char* name;
    Millis held;
    Millis joins_in;
    uint64_t at_once;
    uint64_t after_half;
    uint64_t after_one;
  };
  for (const Case& test :
       std::vector<Case>{{"now", Millis(0), Millis(0), 1, 1, 0},
                         {"asked some time ago", Millis(-600), Millis(0), 1, 0, 0},
                         {"asked long ago", Millis(-1'000), Millis(0), 0, 0, 0},
                         {"of another issuer", Millis(0), Millis(400), 0, 1, 0}}) {
    CAPTURE(std::string(test.name));
    QuotaIssuer issuer(kSelf);
    issuer.SetQuotas(Teams(100, 100), kTolerance, kStart);
    issuer.SetKnownGateways(2, kStart);
    QuotaAsk ask{
        kOther, "", 1, 0, std::nullopt, Duration(0), test.joins_in, 2, false, {{kTeam, {5}, 0, 0}}};
    const BootTime now = kStart + Seconds(10);
    CHECK(issuer.Issue(ask, now).teams.empty());
    CHECK(issuer.Members(now) == 0);
    ask.number = 2;
    ask.stamp = now + test.held;
    CHECK(issuer.Issue(ask, now).stamp == now);
    CHECK(issuer.Members(now) == test.at_once);
    CHECK(issuer.Members(now + Millis(500)) == test.after_half);
    CHECK(issuer.Members(now + Millis(1'000)) == test.after_one);
  }
}

// Guards against a silent issuer that is kept, and against gateways that return to an issuer which
// responds only now and then.
TEST_CASE("gateway: the issuer is the first candidate that responds") {
  std::set<InstanceId> candidates;
  for (int index = 0; index < 10; ++index)
    candidates.insert(InstanceId("c" + std::to_string(index)));
  IssuerChoice choice(kSelf);
  choice.SetCandidates(candidates);
  BootTime now = kStart;
  const InstanceId first = choice.Current(now);
  std::set<InstanceId> silent;
  const auto pass = [&](Millis time) {
    for (const BootTime end = now + time; now < end; now += kTick) {
      const InstanceId current = choice.Current(now);
      choice.OnAsked(current, now);
      if (!silent.contains(current)) choice.OnAnswered(current, now);
      for (const InstanceId& probe : choice.TakeProbes(now)) {
        if (!silent.contains(probe)) choice.OnAnswered(probe, now);
      }
    }
  };
  pass(Millis(1'000));
  CHECK(choice.Current(now) == first);
  silent.insert(first);
  pass(Millis(360));
  const InstanceId second = choice.Current(now);
  CHECK(second != first);
  CHECK(second != kSelf);
  silent.clear();
  pass(Millis(1'500));
  CHECK(choice.Current(now) == second);
  pass(Millis(4'000));
  CHECK(choice.Current(now) == first);
  silent = candidates;
  pass(Millis(2'000));
  CHECK(choice.Current(now) == kSelf);
  silent.clear();
  pass(Millis(4'000));
  CHECK(choice.Current(now) == first);
}

// Guards against shares that are too large because gateways are missing from the list for a while.
TEST_CASE("gateway: the number of gateways is the largest of the last minute") {
  GatewayCount count;
  count.OnListed(20, kStart);
  count.OnListed(5, kStart + Seconds(1));
  count.OnListed(7, kStart + Seconds(2));
  CHECK(count.Most() == 20);
  count.OnListed(6, kStart + Seconds(61));
  CHECK(count.Most() == 7);
  count.OnListed(6, kStart + Seconds(63));
  CHECK(count.Most() == 6);
}

}  // namespace
}  // namespace shallot::gateway
