#ifndef TESTS_GATEWAY_BALANCE_MODEL_H_
#define TESTS_GATEWAY_BALANCE_MODEL_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/hashing.h"
#include "servers/gateway/runner_picker.h"

namespace shallot::gateway {

struct BalanceSetup {
  int gateways = 21;
  int holders = 10;
  double calls_per_s_per_holder = 3;
  ChoiceKind choice = ChoiceKind::kLowest;
  LoadEstimate estimate = LoadEstimate::kReported;
  Millis send_surplus_cost{0};
  Millis load_surplus_cost{0};
  /// Pace of the first runner; the others run as usual.
  double first_pace = 1;
  /// Calls for a second model that only the first runner holds, as a share of a runner's calls.
  double rare_share = 0;
  uint64_t seed = 1;
};

struct BalanceResult {
  /// Calls of the busiest runner over the mean.
  double busiest = 0;
  /// Calls of the first runner over the mean.
  double first = 0;
  /// Prompt tokens that the runners had cached, as a share of all.
  double kept = 0;
  double mean_ms = 0;
  /// 99th percentile of the time to the first event.
  double p99_ms = 0;
};

/// Gateways with real pickers choose among model runners that process prompts one after the other,
/// then stream, and keep the 35 newest prefixes. A gateway hears of a runner only by the answers to
/// its own calls, 200 ms after the runner wrote them. Callers are spread unevenly over gateways.
/// Deterministic.
class BalanceModel {
 public:
  explicit BalanceModel(const BalanceSetup& setup) : setup_(setup), random_(setup.seed) {
    policy_.balance = BalanceScope::kAll;
    policy_.choice = setup.choice;
    policy_.load_estimate = setup.estimate;
    policy_.send_surplus_cost = setup.send_surplus_cost;
    policy_.load_surplus_cost = setup.load_surplus_cost;
    runners_.resize(static_cast<size_t>(setup.holders));
    for (int number = 0; number < setup.holders; ++number) {
      RunnerEntry entry;
      entry.id = RunnerId("r" + std::to_string(100 + number));
      entry.backend = BackendName("engine");
      entry.slots = 64;
      entry.holdings.models[ModelName("busy")];
      if (number == 0) entry.holdings.models[ModelName("rare")];
      view_.Apply(entry, SteadyTime());
      ids_[entry.id] = static_cast<size_t>(number);
    }
    runners_[0].pace = setup.first_pace;
    for (int number = 0; number < setup.gateways; ++number) {
      pickers_.push_back(std::make_unique<RunnerPicker>(&policy_, &view_, FailureDomain(), nullptr,
                                                        StableHash("g" + std::to_string(number))));
    }
  }

  BalanceResult Run() {
    double at = 0;
    const double per_s = setup_.calls_per_s_per_holder * (setup_.holders + setup_.rare_share);
    while ((at += random_.Exponential(1'000 / per_s)) < kEndMs) {
      events_.push({at, [this, at] { Arrive(at); }});
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      event.act();
    }
    return Result();
  }

 private:
  static constexpr double kEndMs = 60'000;
  static constexpr double kTokensPerMs = 38;
  static constexpr double kReportAgeMs = 200;
  static constexpr double kStreamMs = 1'500;
  static constexpr int kSystemPrompts = 12;
  static constexpr int kSessionsPerHolder = 15;

  struct Runner {
    double pace = 1;
    double free_at = 0;
    uint64_t running = 0;
    uint64_t waiting = 0;
    uint64_t calls = 0;
    std::list<std::string> cache;
  };
  struct Event {
    double at = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  static SteadyTime Time(double ms) {
    return SteadyTime(std::chrono::seconds(1000)) +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
  }

  /// Low numbers are more frequent.
  int Skewed(int count) { return static_cast<int>(std::pow(random_.Unit(), 2) * count); }

  bool Cached(Runner* runner, const std::string& prefix) {
    const auto found = std::find(runner->cache.begin(), runner->cache.end(), prefix);
    const bool cached = found != runner->cache.end();
    if (cached) runner->cache.erase(found);
    runner->cache.push_front(prefix);
    if (runner->cache.size() > 35) runner->cache.pop_back();
    return cached;
  }

  void Arrive(double at) {
    const double rare = setup_.rare_share / (setup_.holders + setup_.rare_share);
    CallRequest call;
    call.model = ModelName(random_.Unit() < rare ? "rare" : "busy");
    const int session = Skewed(kSessionsPerHolder * setup_.holders);
    const std::string system = "p" + std::to_string(session % kSystemPrompts);
    call.prompt = {{system, 2'000}, {"s" + std::to_string(session), 1'200}, {"own", 600}};
    call.prompt_tokens = 3'800;
    const auto gateway = static_cast<size_t>(
        std::pow(static_cast<double>(StableHash(call.prompt[1].id) % 1'000) / 1'000, 1.5) *
        setup_.gateways);
    RunnerPicker& picker = *pickers_[gateway];
    RunnerPicker::Query query;
    query.backend = BackendName("engine");
    query.engine = &engine_;
    query.call = &call;
    query.target_latency = Millis(800);
    PickError problem = PickError::kNone;
    const auto picked = picker.Pick(query, Time(at), &problem);
    if (!picked) return;
    const size_t index = ids_.at(picked->runner);
    Runner& runner = runners_[index];
    if (at > kEndMs / 3) ++runner.calls;
    RunnerHealth& health = picker.health(picked->runner);
    health.OnSent(Time(at));
    ++health.in_flight;
    const double pending = 3'800 - static_cast<double>(picked->kept_tokens);
    health.AddPending(0, pending);
    picker.prefixes().Sent(picked->runner, call.PrefixScope(), call.prompt);

    const std::string scope = call.PrefixScope();
    double kept = Cached(&runner, scope + system) ? 2'000 : 0;
    if (Cached(&runner, scope + call.prompt[1].id) && kept > 0) kept += 1'200;
    const double first_at =
        std::max(at, runner.free_at) + (3'800 - kept) / kTokensPerMs * runner.pace;
    runner.free_at = first_at;
    ++runner.waiting;
    if (at > kEndMs / 3) {
      kept_ += kept;
      firsts_.push_back(first_at - at);
    }
    const RunnerId id = picked->runner;
    const double predicted = static_cast<double>(picked->predicted.count()) / picked->slowness;
    events_.push({first_at, [=, this] {
                    FirstEvent(index, gateway, id, at, first_at, pending,
                               std::max(20.0, predicted));
                  }});
  }

  void FirstEvent(size_t index, size_t gateway, const RunnerId& id, double sent_at, double now,
                  double pending, double predicted) {
    Runner& runner = runners_[index];
    --runner.waiting;
    ++runner.running;
    const uint64_t running = runner.running;
    const uint64_t waiting = runner.waiting;
    const double pace = runner.pace;
    events_.push({now + kReportAgeMs, [=, this] {
                    RunnerHealth& health = pickers_[gateway]->health(id);
                    health.OnLoad(running, waiting, pace, Time(now + kReportAgeMs));
                    health.RemovePending(0, pending);
                    health.OnFirstEvent(0, (now - sent_at) / predicted, Time(now + kReportAgeMs));
                  }});
    const double load = 1 + static_cast<double>(running) / 30;
    const double end = now + kReportAgeMs + random_.Exponential(kStreamMs) * runner.pace * load;
    events_.push({end, [=, this] {
                    --runners_[index].running;
                    RunnerHealth& health = pickers_[gateway]->health(id);
                    --health.in_flight;
                    health.sends.OnEnded(Time(sent_at));
                  }});
  }

  BalanceResult Result() {
    double calls = 0;
    double most = 0;
    for (const Runner& runner : runners_) {
      calls += static_cast<double>(runner.calls);
      most = std::max(most, static_cast<double>(runner.calls));
    }
    const double mean = calls / setup_.holders;
    std::sort(firsts_.begin(), firsts_.end());
    double sum = 0;
    for (const double first : firsts_) sum += first;
    return {most / mean, static_cast<double>(runners_[0].calls) / mean, kept_ / (calls * 3'800),
            sum / calls, firsts_[firsts_.size() * 99 / 100]};
  }

  BalanceSetup setup_;
  Random random_;
  GatewayPolicy policy_;
  EngineSpec engine_;
  FleetView view_;
  std::map<RunnerId, size_t> ids_;
  std::vector<Runner> runners_;
  std::vector<std::unique_ptr<RunnerPicker>> pickers_;
  std::priority_queue<Event> events_;
  std::vector<double> firsts_;
  double kept_ = 0;
};

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_BALANCE_MODEL_H_
