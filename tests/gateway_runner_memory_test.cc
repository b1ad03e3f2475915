#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "servers/gateway/memory/runner_memory.h"

namespace shallot::gateway {
namespace {

constexpr uint64_t kCapacity = 243'171;

/// Many gateways that send long prompts to a few runners. Messages between gateways take 20 to
/// 40 ms and some are lost; the issuer's reports of the runners are 200 ms old.
class MemoryFleet {
 public:
  struct Options {
    size_t gateways = 21;
    size_t runners = 3;
    uint64_t least_tokens = 1'000;
    uint64_t most_tokens = 50'000;
    double lost = 0.02;
    /// Only this many gateways have calls.
    size_t busy_gateways = 1'000;
  };

  explicit MemoryFleet(const Options& options) : options_(options), gateways_(options.gateways) {
    for (Gateway& gateway : gateways_) {
      gateway.memory.SetIssuerKnown(true);
      gateway.memory.SetGateways(options.gateways);
    }
    issuer_.SetGateways(options.gateways);
    issuer_.Start(Now() - Seconds(10));
    used_.resize(options.runners);
  }

  /// Runs with `backlog` calls waiting at each busy gateway all the time.
  void Run(Millis time, size_t backlog) {
    const Millis end = time_ + time;
    for (; time_ < end; time_ += kStep) {
      Deliver();
      EndCalls();
      if (time_.count() % 100 == 0) Report();
      for (size_t index = 0; index < gateways_.size(); ++index) Tick(index, backlog);
      Measure();
    }
  }

  void NewLeader() { issuer_.Start(Now()); }
  void Suspend(size_t gateway, Millis time) { gateways_[gateway].suspended_until = time_ + time; }
  void ResetMeasures() {
    used_sum_ = 0;
    measures_ = 0;
  }

  uint64_t peak() const { return peak_; }
  double MeanUse() const {
    return used_sum_ / static_cast<double>(measures_) / static_cast<double>(kCapacity);
  }
  /// Longest time that a call that was sent has waited.
  Millis longest_wait() const { return longest_wait_; }
  uint64_t sent() const { return sent_; }

 private:
  static constexpr Millis kStep{20};

  struct Waiting {
    uint64_t tokens;
    Millis since;
  };
  struct Gateway {
    RunnerMemory memory;
    std::deque<Waiting> waiting;
    uint64_t number = 0;
    Millis suspended_until{0};
  };
  struct Call {
    size_t gateway;
    size_t runner;
    uint64_t tokens;
    Millis ends;
  };

  SteadyTime Now() const { return SteadyTime(Duration(Seconds(100)) + Duration(time_)); }
  static RunnerRun Run(size_t runner) {
    return {RunnerId("r-" + std::to_string(runner)), RunnerStartTime(1)};
  }
  uint64_t Draw(uint64_t least, uint64_t most) { return least + random_() % (most - least + 1); }

  void Post(std::function<void()> message) {
    if (static_cast<double>(random_() % 1'000) < options_.lost * 1'000) return;
    const Millis delay(static_cast<int64_t>(Draw(20, 40)));
    messages_.emplace(time_ + delay, std::move(message));
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= time_) {
      const auto message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      message();
    }
  }

  void EndCalls() {
    std::erase_if(calls_, [this](const Call& call) {
      if (call.ends > time_) return false;
      // A suspended gateway notices later; the runner's memory is free at once.
      gateways_[call.gateway].memory.OnEnded(Run(call.runner), call.tokens);
      used_[call.runner] -= call.tokens;
      return true;
    });
  }

  void Report() {
    for (size_t runner = 0; runner < used_.size(); ++runner) {
      // Reports count half of the output, which is not generated yet.
      const uint64_t tokens = used_[runner] * 9 / 10;
      messages_.emplace(time_ + Millis(200), [this, runner, tokens] {
        issuer_.OnReport(Run(runner), tokens, kCapacity, Now());
      });
    }
  }

  void Tick(size_t index, size_t backlog) {
    Gateway& gateway = gateways_[index];
    if (time_ < gateway.suspended_until) return;
    while (index < options_.busy_gateways && gateway.waiting.size() < backlog) {
      gateway.waiting.push_back({Draw(options_.least_tokens, options_.most_tokens), time_});
    }
    std::erase_if(gateway.waiting, [&](const Waiting& call) { return Send(index, call); });
    const std::vector<MemoryAsk> asks = gateway.memory.TakeAsks(++gateway.number, Now());
    if (asks.empty()) return;
    Post([this, index, asks, number = gateway.number] {
      std::vector<MemoryGrant> grants;
      for (const MemoryAsk& ask : asks) {
        grants.push_back(issuer_.Issue(Name(index), ask, kCapacity, Now()));
      }
      Post([this, index, number, grants] {
        gateways_[index].memory.OnGrants(number, grants, Now());
      });
    });
  }

  static InstanceId Name(size_t index) { return InstanceId("front-" + std::to_string(index)); }

  bool Send(size_t index, const Waiting& call) {
    RunnerMemory& memory = gateways_[index].memory;
    size_t best = 0;
    for (size_t runner = 0; runner < used_.size(); ++runner) {
      if (memory.HasRoom(Run(runner), kCapacity, call.tokens, Now())) {
        memory.OnSent(Run(runner), call.tokens);
        calls_.push_back(
            {index, runner, call.tokens, time_ + Millis(static_cast<int64_t>(Draw(1'000, 4'000)))});
        used_[runner] += call.tokens;
        longest_wait_ = std::max(longest_wait_, time_ - call.since);
        ++sent_;
        return true;
      }
      if (memory.ExpectedFree(Run(runner), kCapacity) > memory.ExpectedFree(Run(best), kCapacity)) {
        best = runner;
      }
    }
    memory.Want(Run(best), call.tokens);
    return false;
  }

  void Measure() {
    uint64_t sum = 0;
    for (const uint64_t used : used_) {
      peak_ = std::max(peak_, used);
      sum += used;
    }
    used_sum_ += static_cast<double>(sum) / static_cast<double>(used_.size());
    ++measures_;
  }

  Options options_;
  std::vector<Gateway> gateways_;
  MemoryIssuer issuer_;
  std::multimap<Millis, std::function<void()>> messages_;
  std::vector<Call> calls_;
  std::vector<uint64_t> used_;
  Millis time_{0};
  uint64_t peak_ = 0;
  double used_sum_ = 0;
  uint64_t measures_ = 0;
  uint64_t sent_ = 0;
  Millis longest_wait_{0};
  std::mt19937_64 random_{11};
};

// Guards against gateways that together send a runner more than its memory, on reports that are
// 200 ms old, and against memory that stays unused while calls wait for it.
TEST_CASE("runner memory: bursts of long prompts stay below the capacity and use it") {
  struct Case {
    size_t gateways;
    uint64_t least_tokens;
    uint64_t most_tokens;
    size_t busy_gateways;
  };
  for (const Case& test :
       {Case{1, 1'000, 50'000, 1}, Case{21, 1'000, 50'000, 21}, Case{100, 1'000, 50'000, 100},
        Case{21, 50'000, 50'000, 21}, Case{100, 4'000, 9'200, 100}, Case{100, 1'000, 50'000, 3}}) {
    CAPTURE(test.gateways);
    CAPTURE(test.least_tokens);
    CAPTURE(test.busy_gateways);
    MemoryFleet fleet(
        {test.gateways, 3, test.least_tokens, test.most_tokens, 0.02, test.busy_gateways});
    fleet.Run(Seconds(2), test.gateways == 1 ? 40 : 8);
    fleet.ResetMeasures();
    fleet.Run(Seconds(20), test.gateways == 1 ? 40 : 8);
    MESSAGE("gateways=" << test.gateways << " use=" << fleet.MeanUse() << " peak=" << fleet.peak()
                        << " sent=" << fleet.sent());
    CHECK(fleet.peak() <= kCapacity);
    CHECK(fleet.MeanUse() >= 0.8);
  }
}

// Guards against a new leader that grants what is in use already, and against a gateway that uses
// its old grant after it was suspended.
TEST_CASE("runner memory: changes of the leader and suspended gateways") {
  for (const size_t gateways : {21, 100}) {
    CAPTURE(gateways);
    MemoryFleet fleet({gateways, 3, 1'000, 50'000, 0.02, 1'000});
    for (int round = 0; round < 6; ++round) {
      fleet.Run(Seconds(2), 4);
      fleet.Suspend(static_cast<size_t>(round), Seconds(round + 1));
      fleet.Run(Seconds(1), 4);
      fleet.NewLeader();
    }
    CHECK(fleet.peak() <= kCapacity);
  }
}

// Guards against a small call that always takes the memory that a large one waits for.
TEST_CASE("runner memory: a large call gets its turn beside many small ones") {
  MemoryIssuer issuer;
  issuer.Start(SteadyTime{});
  issuer.SetGateways(2);
  const RunnerRun run{RunnerId("r"), RunnerStartTime(1)};
  SteadyTime now{Duration(Seconds(100))};
  const InstanceId small("small");
  const InstanceId large("large");
  CHECK(issuer.Issue(small, {run, 0, {115'000, 115'000}, 0}, kCapacity, now).limit >= 230'000);
  CHECK(issuer.Issue(large, {run, 0, {50'000}, 0}, kCapacity, now).limit < 50'000);
  now += Duration(Millis(1'100));
  (void)issuer.Issue(large, {run, 0, {50'000}, 0}, kCapacity, now);
  // The small calls end one after the other; what they free is kept for the large one.
  CHECK(issuer.Issue(small, {run, 196'000, {1'000, 1'000}, 0}, kCapacity, now).limit == 196'000);
  CHECK(issuer.Issue(small, {run, 187'000, {1'000, 1'000}, 0}, kCapacity, now).limit == 188'000);
  CHECK(issuer.Issue(large, {run, 0, {50'000}, 0}, kCapacity, now).limit >= 50'000);
}

// Guards against gateways without a leader that send nothing, or more than their share on no
// report.
TEST_CASE("runner memory: without an issuer") {
  struct Case {
    const char* name;
    uint64_t gateways;
    std::optional<uint64_t> reported;
    uint64_t tokens;
    bool room;
  };
  for (const Case& test : {Case{"within the equal share", 21, std::nullopt, 11'000, true},
                           Case{"above the equal share", 21, std::nullopt, 12'000, false},
                           Case{"a half empty runner", 21, 100'000, 50'000, true},
                           Case{"a busy runner", 21, 150'000, 50'000, false},
                           Case{"a full runner", 1, 235'000, 5'000, false},
                           Case{"without tokens", 21, 243'000, 0, true}}) {
    CAPTURE(std::string(test.name));
    RunnerMemory memory;
    memory.SetGateways(test.gateways);
    const RunnerRun run{RunnerId("r"), RunnerStartTime(1)};
    const SteadyTime now{Duration(Seconds(100))};
    if (test.reported) memory.OnReport(run, *test.reported, 0, now);
    CHECK(memory.HasRoom(run, kCapacity, test.tokens, now) == test.room);
    // A report must outlive the ticks until the next one.
    (void)memory.TakeAsks(1, now + Duration(Millis(20)));
    CHECK(memory.HasRoom(run, kCapacity, test.tokens, now + Duration(Millis(20))) == test.room);
    CHECK(memory.HasRoom(run, 0, test.tokens, now));
  }
}

}  // namespace
}  // namespace shallot::gateway
