// Messages and CPU time of quotas, for each gateway and at the issuer: 16 teams, two of them large,
// whose demand is 1.2 times their quotas and comes evenly to all gateways. CPU time contains the
// decisions and the encoding of messages, but no sockets.
#include <ctime>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "drivers/gateway/peer_codec.h"
#include "tests/gateway_quota_fleet.h"

namespace shallot::bench {
namespace {

using namespace gateway;

constexpr int kTeams = 16;
constexpr int kLargeTeams = 2;
constexpr double kSmallRate = 29'000;
constexpr double kLargeRate = 330'000;
constexpr double kDemand = 1.2;
constexpr double kLengthS = 10;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

void Measure(size_t gateways) {
  QuotaFleetRun::Options options;
  options.gateways = gateways;
  for (int index = 0; index < kTeams; ++index) {
    const TeamName name("team" + std::to_string(index));
    const double rate = index < kLargeTeams ? kLargeRate : kSmallRate;
    options.teams[name] = {name, {}, {QuotaUnit::kTokens, rate, 2 * rate, 200}};
  }
  QuotaFleetRun run(options);
  Random random(1);
  const auto play = [&](double seconds) {
    const BootTime end = run.now() + Millis(static_cast<int64_t>(seconds * 1'000));
    while (run.now() < end) {
      for (const auto& [name, team] : options.teams) {
        constexpr double kMeanCost = (9'200 + 3 * 200) / 4.0;
        double left = team.quota.rate_per_s * kDemand * 0.01 / kMeanCost;
        while (random.Unit() < left) {
          left -= 1;
          const bool plain = random.Unit() < 0.75;
          run.Call(random.Below(gateways), name, plain ? 200 : 9'200, Millis(plain ? 100 : 1'500));
        }
      }
      run.Step();
    }
  };
  play(4);
  run.teams_asked = 0;
  std::fill(run.messages_by.begin(), run.messages_by.end(), 0);
  const double begin = CpuSeconds();
  play(kLengthS);
  const double cpu_s = CpuSeconds() - begin;

  const auto most = std::max_element(run.messages_by.begin(), run.messages_by.end());
  const size_t issuer = static_cast<size_t>(most - run.messages_by.begin());
  const std::string issuer_name = run.Name(issuer).value();
  uint64_t others = 0;
  for (const uint64_t sent : run.messages_by) others += sent;
  others -= *most;
  const double asks_per_s =
      static_cast<double>(others) / static_cast<double>(gateways - 1) / kLengthS;

  const double teams_of_request =
      static_cast<double>(run.teams_asked) / static_cast<double>(others);
  // One request and its response, with their encoding at one end each.
  QuotaAsk ask{InstanceId("front-1"), "10.0.0.1:7380", 1,        0,     BootTime(Seconds(1)),
               Duration(0),           Duration(0),     gateways, false, {}};
  QuotaGrant grant{InstanceId("front-2"), 1, BootTime(Seconds(1)), gateways, {}};
  for (const auto& [name, team] : options.teams) {
    if (static_cast<double>(ask.teams.size()) >= teams_of_request) break;
    ask.teams.push_back({name, {}, 400, 200});
    grant.teams.push_back({name, 400, 58'000, 0, 29'000, 58'000, 33'000});
  }
  ask.teams.front().costs = {9'200};
  constexpr int kRepetitions = 20'000;
  size_t bytes = 0;
  const double codec_begin = CpuSeconds();
  for (int i = 0; i < kRepetitions; ++i) {
    const std::string encoded = EncodePeerMessage(ask);
    bytes = encoded.size() + EncodePeerMessage(grant).size();
    (void)DecodePeerMessage(encoded);
  }
  const double codec_s = (CpuSeconds() - codec_begin) / kRepetitions;

  const std::string prefix = "quota_" + std::to_string(gateways) + "_";
  Print({prefix + "requests_of_a_gateway", asks_per_s, "messages/s", 0});
  Print(
      {prefix + "responses_of_the_issuer", static_cast<double>(*most) / kLengthS, "messages/s", 0});
  Print({prefix + "teams_of_a_request", teams_of_request, "teams", 0});
  Print({prefix + "request_and_response", static_cast<double>(bytes), "bytes", 0});
  Print({prefix + "codec_of_a_request", codec_s * 1e6, "cpu_us", 0});
  Print({prefix + "all_decisions", cpu_s * 1e6 / kLengthS, "cpu_us/s", 0});
  Print({prefix + "decisions_of_a_gateway_mean",
         cpu_s * 1e6 / kLengthS / static_cast<double>(gateways), "cpu_us/s", 0});
  // At the issuer alone: its requests, one after another.
  QuotaIssuer alone{InstanceId("front-2")};
  alone.SetQuotas(options.teams, options.tolerance, BootTime(Seconds(1)));
  alone.SetKnownGateways(gateways, BootTime(Seconds(1)));
  BootTime now{Seconds(1)};
  const double issue_begin = CpuSeconds();
  for (int i = 0; i < kRepetitions; ++i) {
    now += Duration(1'000'000'000) / (static_cast<int64_t>(gateways) * 2);
    ask.gateway = run.Name(static_cast<size_t>(i) % gateways);
    ask.number = static_cast<uint64_t>(i) + 1;
    ask.stamp = now;
    (void)alone.Issue(ask, now);
  }
  const double issue_s = (CpuSeconds() - issue_begin) / kRepetitions;
  Print({prefix + "issue", issue_s * 1e6, "cpu_us", 0});
  Print({prefix + "issuer_share", (issue_s + codec_s) * static_cast<double>(*most) / kLengthS * 100,
         "percent_of_a_core", 0});
}

}  // namespace
}  // namespace shallot::bench

int main() {
  for (const size_t gateways : {21, 100, 340}) shallot::bench::Measure(gateways);
  return 0;
}
