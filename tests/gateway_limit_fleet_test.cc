#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/gateway/runner_limits.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};
constexpr Millis kTick{20};
constexpr Seconds kLength{30};
constexpr Millis kDelivery{20};
/// Callers leave after this time.
constexpr Seconds kPatience{3};
// The platform's rule, from kReaction after the limit was named.
constexpr Seconds kReaction{3};
constexpr Seconds kWindow{4};
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;

const RunnerRun kRun{RunnerId("r1"), RunnerStartTime(1)};

/// Gateways with calls for one limited runner. The leader may be lost, and gateways may be cut off
/// from it or restart.
struct LimitedFleet {
  const char* name;
  size_t gateways;
  double calls_per_s;
  /// Calls a second of all callers.
  double demand;
  Seconds leader_lost_at;
  Seconds leader_back_at;
  /// Share of the gateways that cannot reach the leader.
  double cut;
  bool restarts;
  /// Least share of the limit that is used, in all and while the leader is lost.
  double least_used;
  double least_used_without = 0;
};

class LimitedFleetRun {
 public:
  LimitedFleetRun(const LimitedFleet& fleet, uint64_t seed) : fleet_(fleet), random_(seed) {
    for (size_t index = 0; index < fleet.gateways; ++index) Restart(index);
    issuer_.Start(now_);
  }

  void Play() {
    while (now_ < kStart + kLength) {
      if (random_.Unit() < fleet_.demand * 0.02) {
        // Demand is uneven: half of the calls come to a tenth of the gateways.
        const size_t busy = std::max<size_t>(1, gateways_.size() / 10);
        const size_t at =
            random_.Unit() < 0.5 ? random_.Below(busy) : random_.Below(gateways_.size());
        gateways_[at].waiting.push_back(now_);
      }
      if (fleet_.restarts && random_.Unit() < 0.02) {
        Restart(random_.Below(gateways_.size()));
      }
      const bool led =
          now_ < kStart + fleet_.leader_lost_at || now_ >= kStart + fleet_.leader_back_at;
      if (!led) issuer_.Start(now_);
      for (size_t index = 0; index < gateways_.size(); ++index) Work(index, led);
      now_ += kTick;
    }
  }

  size_t MostInWindow() const {
    size_t most = 0;
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      if (*first < kStart + kReaction) continue;
      most = std::max(most, static_cast<size_t>(
                                std::upper_bound(first, sent_.end(), *first + kWindow) - first));
    }
    return most;
  }
  size_t sent() const { return sent_.size(); }
  size_t SentWithoutLeader() const {
    return static_cast<size_t>(std::count_if(sent_.begin(), sent_.end(), [&](SteadyTime at) {
      return at >= kStart + fleet_.leader_lost_at && at < kStart + fleet_.leader_back_at;
    }));
  }
  uint64_t requests() const { return requests_; }

 private:
  struct Gateway {
    explicit Gateway(size_t index) : limits(InstanceId("front-" + std::to_string(index))) {}

    RunnerLimits limits;
    std::vector<SteadyTime> waiting;
  };

  void Restart(size_t index) {
    Gateway gateway(index);
    gateway.limits.SetGateways(fleet_.gateways);
    gateway.limits.Merge({{kRun, fleet_.calls_per_s}}, now_);
    if (index < gateways_.size()) {
      gateways_[index] = std::move(gateway);
    } else {
      gateways_.push_back(std::move(gateway));
    }
  }

  void Work(size_t index, bool led) {
    Gateway& gateway = gateways_[index];
    std::erase_if(gateway.waiting, [&](SteadyTime since) {
      if (now_ - since > kPatience) return true;
      if (gateway.limits.PermitWait(kRun.runner, now_) > Millis(0)) {
        gateway.limits.Want(kRun.runner);
        return false;
      }
      gateway.limits.OnSent(kRun.runner, now_);
      sent_.push_back(now_);
      return true;
    });
    const bool cut = static_cast<double>(index) < fleet_.cut * static_cast<double>(fleet_.gateways);
    for (const PermitWish& wish : gateway.limits.TakeWishes(now_)) {
      ++requests_;
      if (!led || cut) continue;
      const Permits permits =
          issuer_.Issue(InstanceId("front-" + std::to_string(index)), wish, now_);
      gateway.limits.OnPermits(permits, now_ - kDelivery, now_);
    }
  }

  LimitedFleet fleet_;
  Random random_;
  SteadyTime now_ = kStart;
  std::vector<Gateway> gateways_;
  PermitIssuer issuer_;
  std::vector<SteadyTime> sent_;
  uint64_t requests_ = 0;
};

// Guards against limited runners that get too many calls from all gateways together, and against
// limits that are not used because the demand is at other gateways.
TEST_CASE("gateway: fleets of any size keep a runner's limit and use it") {
  constexpr Seconds kNever{1'000};
  for (const LimitedFleet& fleet : std::vector<LimitedFleet>{
           {"6 gateways", 6, 1.6, 5, kNever, kNever, 0, false, 0.9},
           {"100 gateways", 100, 1.6, 5, kNever, kNever, 0, false, 0.9},
           {"100 gateways, high limit", 100, 20, 60, kNever, kNever, 0, false, 0.9},
           {"demand below the limit", 6, 5, 2, kNever, kNever, 0, false, 0.3},
           {"a lost leader", 6, 2, 10, Seconds(10), Seconds(14), 0, false, 0.8, 0.5},
           {"a leader that is frozen for a short time", 6, 1, 10, Seconds(10), Seconds(13), 0,
            false, 0.8, 0.5},
           {"no leader", 6, 2, 10, Seconds(0), kNever, 0, false, 0.4},
           {"no leader, a limit far above the demand", 6, 3'000, 45, Seconds(0), kNever, 0, false,
            0.014},
           {"half of the gateways are cut off", 6, 2, 10, kNever, kNever, 0.5, false, 0.9},
           {"gateways restart", 6, 2, 10, kNever, kNever, 0, true, 0.8},
           {"100 gateways restart, a lost leader", 100, 3, 30, Seconds(8), Seconds(12), 0.2, true,
            0.7}}) {
    for (const uint64_t seed : {1, 2, 3}) {
      CAPTURE(std::string(fleet.name));
      CAPTURE(seed);
      LimitedFleetRun run(fleet, seed);
      run.Play();
      const double allowed = kFactor * fleet.calls_per_s * static_cast<double>(kWindow.count());
      CHECK(static_cast<double>(run.MostInWindow()) <= allowed + kSlack);
      CHECK(static_cast<double>(run.sent()) >=
            fleet.least_used * fleet.calls_per_s * static_cast<double>(kLength.count()));
      const auto absence = std::min(fleet.leader_back_at, kLength) - fleet.leader_lost_at;
      CHECK(static_cast<double>(run.SentWithoutLeader()) >=
            fleet.least_used_without * fleet.calls_per_s * static_cast<double>(absence.count()));
      // At most one request for each gateway and pause.
      CHECK(run.requests() <=
            fleet.gateways * static_cast<uint64_t>(Millis(kLength) / RunnerLimits::kAskPause));
    }
  }
}

// Guards against limits that are forgotten, kept after their end, or taken from old answers.
TEST_CASE("gateway: a limit holds from the answer that names it to the answer that does not") {
  struct Case {
    const char* name;
    void (*play)(RunnerLimits*);
    double expected;
  };
  for (const Case& test : std::vector<Case>{
           {"named", [](RunnerLimits* l) { l->OnAnswer(kRun, 2.5, kStart, kStart); }, 2.5},
           {"changed",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart);
              l->OnAnswer(kRun, 1.5, kStart, kStart + Seconds(1));
            },
            1.5},
           {"ended by a later call's answer",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart);
              l->OnAnswer(kRun, std::nullopt, kStart + Seconds(1), kStart + Seconds(2));
            },
            0},
           {"not ended by an earlier call's answer",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart + Seconds(1));
              l->OnAnswer(kRun, std::nullopt, kStart, kStart + Seconds(2));
            },
            2.5},
           {"reported by another gateway",
            [](RunnerLimits* l) {
              l->Merge({{kRun, 2.5}}, kStart);
            },
            2.5},
           {"its end reported by another gateway",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart);
              l->Merge({{kRun, 0}}, kStart + Seconds(1));
            },
            0},
           {"a report that is older than the own answer without a limit",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart);
              l->OnAnswer(kRun, std::nullopt, kStart + Seconds(1), kStart + Seconds(2));
              l->Merge({{kRun, 2.5}}, kStart + Seconds(3));
            },
            0},
           {"not of an earlier run of the runner",
            [](RunnerLimits* l) {
              l->Merge({{{kRun.runner, RunnerStartTime(2)}, 4}}, kStart);
              l->OnAnswer(kRun, 2.5, kStart, kStart);
            },
            4},
           {"forgotten with the runner",
            [](RunnerLimits* l) {
              l->OnAnswer(kRun, 2.5, kStart, kStart);
              l->Forget(kRun.runner, kRun.born);
            },
            0}}) {
    CAPTURE(std::string(test.name));
    RunnerLimits limits(InstanceId("front-1"));
    test.play(&limits);
    const auto limited = limits.Limited();
    CHECK((limited.empty() ? 0 : limited.front().calls_per_s) == test.expected);
    CHECK((limits.PermitWait(kRun.runner, kStart + Seconds(5)) > Millis(0)) == (test.expected > 0));
  }
}

}  // namespace
}  // namespace shallot::gateway
