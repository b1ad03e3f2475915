#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/gateway/access/caller_access.h"
#include "servers/gateway/config_exchange.h"
#include "tests/gateway_config_proof_fixture.h"

namespace shallot::gateway {
namespace {

/// Gateways before one store. Messages and calls take up to 60 ms; a frozen gateway handles what
/// arrives when it resumes.
struct Scenario {
  const char* name;
  size_t gateways = 21;
  /// Share of the gateways that the store turns away from the fifth second on.
  double turned_away = 0;
  Millis change{10'000};
  /// Time between two restores from a copy that is four versions old; zero: none. The operators
  /// write a new version within 2.5 s.
  Millis restore{0};
  double freezes = 0;
  /// The store answers nobody until this time.
  Millis store_from{0};
  /// Runners write to the store all the time, so that watches are answered at once.
  bool busy = true;
  /// The proof of every gateway that is not frozen must stay below this age; zero: not checked.
  Millis max_age{0};
  /// Number of reads of the key allowed for each gateway, over 60 s.
  uint64_t max_reads = 0;
};

class ProofFleet {
 public:
  ProofFleet(const Scenario& scenario, uint64_t seed) : scenario_(scenario), random_(seed) {
    for (size_t index = 0; index < scenario.gateways; ++index) {
      const InstanceId id("front-" + std::to_string(index));
      indexes_[id] = index;
      ids_.insert(id);
      gateways_.push_back(std::make_unique<Gateway>(id, random_.Next() >> 1U));
      gateways_.back()->turned_away = random_.Unit() < scenario.turned_away;
    }
    Write();
  }

  void Play(Millis time) {
    for (; now_ < kStart + time; now_ += kTick) {
      if (now_ >= next_change_) Write();
      if (scenario_.restore > Millis(0) && now_ >= next_restore_) Restore();
      auto due = events_.begin();
      while (due != events_.end() && due->first <= now_) {
        due->second();
        due = events_.erase(due);
      }
      for (size_t index = 0; index < gateways_.size(); ++index) Tick(index);
    }
  }

  bool sound() const { return sound_; }
  Millis oldest() const { return oldest_; }
  uint64_t reads() const { return reads_; }
  uint64_t asks() const { return asks_; }

 private:
  struct Gateway {
    Gateway(const InstanceId& id, uint64_t number) : proof(id, number), exchange(id) {}
    ConfigProof proof;
    ConfigExchange exchange;
    std::optional<uint64_t> era;
    BootTime frozen_until{};
    BootTime resumed_at{};
    BootTime next_watch{};
    bool turned_away = false;
    std::vector<std::function<void()>> held;
  };
  struct StoreState {
    uint64_t era = 1;
    uint64_t revision = 0;
    uint64_t version = 0;
  };

  Millis Latency() { return Millis(1 + static_cast<int64_t>(random_.Below(60))); }
  bool StoreServes(const Gateway& gateway) const {
    return now_ >= kStart + scenario_.store_from &&
           !(gateway.turned_away && now_ >= kStart + Millis(5'000));
  }
  void Write() {
    store_.version = ++last_version_;
    ++store_.revision;
    acknowledged_.push_back(now_);
    next_change_ = now_ + scenario_.change;
  }
  void Restore() {
    next_restore_ = now_ + scenario_.restore;
    ++store_.era;
    store_.version = store_.version > 4 ? store_.version - 4 : 1;
    next_change_ = now_ + Millis(500 + static_cast<int64_t>(random_.Below(2'000)));
  }
  /// Runs `handle` at the gateway after the latency and any freeze.
  void Deliver(size_t to, std::function<void()> handle) {
    events_.emplace(now_ + Latency(), [this, to, handle = std::move(handle)] {
      Gateway& gateway = *gateways_[to];
      if (now_ < gateway.frozen_until) {
        gateway.held.push_back(handle);
      } else {
        handle();
      }
    });
  }
  void Apply(Gateway* gateway, uint64_t version) {
    if (FleetVersion(version) <= gateway->proof.version()) return;
    gateway->proof.OnApplied(FleetVersion(version));
    gateway->exchange.OnApplied(FleetVersion(version), Steady());
  }
  /// A call that reaches the store after the latency, is held there for `wait`, and whose answer is
  /// used by `done` unless it belongs to an earlier era.
  void CallStore(size_t index, Millis wait, std::function<void(const StoreState*)> done) {
    events_.emplace(now_ + Latency() + wait, [this, index, done = std::move(done)] {
      const StoreState answer = store_;
      const bool served = StoreServes(*gateways_[index]);
      Deliver(index, [this, index, answer, served, done] {
        Gateway& gateway = *gateways_[index];
        if (!served || (gateway.era && answer.era < *gateway.era)) {
          done(nullptr);
          return;
        }
        gateway.era = answer.era;
        gateway.proof.OnEra(StoreEra(answer.era), now_);
        Apply(&gateway, answer.version);
        gateway.proof.OnStoreConfig(At(answer.era, answer.revision), FleetVersion(answer.version));
        done(&answer);
      });
    });
  }
  void Tick(size_t index) {
    Gateway& gateway = *gateways_[index];
    Check(gateway);
    if (now_ < gateway.frozen_until) return;
    if (!gateway.held.empty()) {
      const auto held = std::move(gateway.held);
      gateway.held.clear();
      gateway.resumed_at = now_;
      for (const auto& handle : held) handle();
    }
    if (random_.Unit() < scenario_.freezes * 0.02) {
      gateway.frozen_until = now_ + Millis(static_cast<int64_t>(random_.Below(9'000)));
      gateway.resumed_at = gateway.frozen_until;
    }
    if (now_ >= gateway.next_watch) Watch(index);
    const ProofTimes times = ProofTimesOf(policy_);
    if (gateway.proof.TakeRead(times, now_)) {
      ++reads_;
      CallStore(index, Millis(0), [this, &gateway, sent = now_](const StoreState* state) {
        if (state == nullptr) {
          gateway.proof.OnKeyReadFailed(now_);
        } else {
          gateway.proof.OnKeyRead(sent, FleetVersion(state->version), now_);
        }
      });
    }
    if (const auto ask = gateway.proof.TakeAsk(ids_, times, now_)) Ask(index, *ask);
  }
  void Watch(size_t index) {
    Gateway& gateway = *gateways_[index];
    gateway.next_watch = BootTime::max();
    // A gateway without a configuration reads all items first.
    const bool reads_all = gateway.proof.version() == FleetVersion();
    const Millis wait(scenario_.busy || reads_all ? 0 : 1'650);
    CallStore(index, wait, [this, &gateway, sent = now_](const StoreState* state) {
      if (state != nullptr) gateway.proof.OnUpToDate(sent, true, now_);
      gateway.next_watch = now_ + Millis(350);
    });
  }
  void Ask(size_t from, const ConfigProof::Ask& ask) {
    ++asks_;
    const size_t to = indexes_.at(ask.gateway);
    Deliver(to, [this, from, to, ask] {
      const Gateway& other = *gateways_[to];
      const FleetVersion version = other.proof.version();
      Deliver(from, [this, from, to, ask, version, age = other.proof.Age(now_)] {
        Gateway& gateway = *gateways_[from];
        (void)gateway.proof.OnResponse(ask.gateway, ask.number, version, age, ProofTimesOf(policy_),
                                       now_);
        if (version > gateway.proof.version()) RequestCopy(from, to);
      });
    });
  }
  void RequestCopy(size_t from, size_t to) {
    Deliver(to, [this, from, to, version = gateways_[from]->proof.version()] {
      const Gateway& other = *gateways_[to];
      if (other.exchange.OnVersion(version, Steady()) != ConfigExchange::Response::kSendCopy) {
        return;
      }
      Deliver(from, [this, from, newer = other.proof.version()] {
        Apply(gateways_[from].get(), newer.value());
      });
    });
  }
  SteadyTime Steady() const { return SteadyTime(now_.time_since_epoch()); }
  void Check(const Gateway& gateway) {
    const auto proved = gateway.proof.proved_at();
    if (proved) {
      // All versions that were acknowledged by then are in force.
      const auto later = std::lower_bound(acknowledged_.begin(), acknowledged_.end(), *proved);
      const auto needed = static_cast<uint64_t>(later - acknowledged_.begin());
      if (gateway.proof.version() < FleetVersion(needed)) sound_ = false;
    }
    constexpr Millis kWarmUp{1'500};
    const BootTime begin = kStart + scenario_.store_from + kWarmUp;
    if (now_ < begin || now_ < gateway.frozen_until + kWarmUp) return;
    if (now_ < gateway.resumed_at + kWarmUp) return;
    oldest_ = std::max(oldest_, gateway.proof.Age(now_).value_or(Millis(99'999)));
  }

  Scenario scenario_;
  Random random_;
  GatewayPolicy policy_ = StrictPolicy();
  BootTime now_ = kStart;
  StoreState store_;
  uint64_t last_version_ = 0;
  /// Index: version - 1.
  std::vector<BootTime> acknowledged_;
  BootTime next_change_{};
  BootTime next_restore_ = kStart + Millis(12'000);
  std::map<InstanceId, size_t> indexes_;
  std::set<InstanceId> ids_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::multimap<BootTime, std::function<void()>> events_;
  bool sound_ = true;
  Millis oldest_{0};
  uint64_t reads_ = 0;
  uint64_t asks_ = 0;
};

// Guards against a gateway that holds an outdated configuration for the latest one, which lets a
// removed key run or refuses an added one, and against gateways that lose their proof although the
// store or another gateway could give it, or that call the store needlessly.
TEST_CASE("gateway: proofs are sound and recent over cuts, freezes, restores and storms") {
  Scenario base;
  const auto with = [&base](const char* name, size_t gateways,
                            const std::function<void(Scenario*)>& change) {
    Scenario scenario = base;
    scenario.name = name;
    scenario.gateways = gateways;
    change(&scenario);
    return scenario;
  };
  std::vector<Scenario> scenarios;
  for (const size_t gateways : {1, 21, 100}) {
    scenarios.push_back(
        with("busy watch", gateways, [](Scenario* s) { s->max_age = Millis(900); }));
    scenarios.push_back(with("quiet watch", gateways, [](Scenario* s) {
      s->busy = false;
      s->max_age = kApply;
      s->max_reads = 40;
    }));
    scenarios.push_back(with("restores", gateways, [](Scenario* s) {
      s->restore = Millis(12'000);
      // Known keys are admitted all the time.
      s->max_age = RevokeBound(StrictPolicy());
      s->max_reads = 5;
    }));
    scenarios.push_back(with("freezes", gateways, [](Scenario* s) {
      s->freezes = 0.1;
      s->max_age = kApply;
      s->max_reads = 40;
    }));
    scenarios.push_back(with("storm and restores", gateways, [](Scenario* s) {
      s->change = Millis(1'000);
      s->restore = Millis(12'000);
      s->freezes = 0.05;
      s->max_reads = 40;
    }));
    scenarios.push_back(with("start without the store", gateways, [](Scenario* s) {
      s->store_from = Millis(10'000);
      s->max_age = kApply;
      s->max_reads = 12;
    }));
    if (gateways == 1) continue;
    scenarios.push_back(with("a third turned away", gateways, [](Scenario* s) {
      s->turned_away = 0.33;
      s->max_age = kApply;
      s->max_reads = 3;
    }));
    scenarios.push_back(with("a third turned away in a storm", gateways, [](Scenario* s) {
      s->turned_away = 0.33;
      s->change = Millis(1'000);
      s->freezes = 0.02;
      s->max_reads = 40;
    }));
  }
  for (const Scenario& scenario : scenarios) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(std::string(scenario.name));
      CAPTURE(scenario.gateways);
      CAPTURE(seed);
      ProofFleet fleet(scenario, seed);
      fleet.Play(Millis(60'000));
      CHECK(fleet.sound());
      if (scenario.max_age > Millis(0)) CHECK(fleet.oldest() <= scenario.max_age);
      CHECK(fleet.reads() <= scenario.max_reads * scenario.gateways);
      // At most 2.5 requests a second, also in an outage.
      CHECK(fleet.asks() <= 150 * scenario.gateways);
    }
  }
}

}  // namespace
}  // namespace shallot::gateway
