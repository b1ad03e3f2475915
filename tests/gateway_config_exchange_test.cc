#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/gateway/config_exchange.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};
constexpr Millis kTick{20};
/// Time in which the store's watch brings a version to the gateways that it reaches.
constexpr uint64_t kWatchMs = 900;
/// A store that turns single gateways away stretches the time to apply a configuration to this.
constexpr Millis kBound{7'000};

struct Fleet {
  const char* name;
  size_t gateways;
  /// Share of the gateways that the store turns away.
  double turned_away;
  /// Time between two versions.
  Millis change;
};

/// Gateways that hear of each version from the store, unless it turns them away, and compare their
/// versions with each other. Messages arrive at the next tick.
class ExchangingFleet {
 public:
  ExchangingFleet(const Fleet& fleet, uint64_t seed) : fleet_(fleet), random_(seed) {
    for (size_t index = 0; index < fleet.gateways; ++index) {
      ids_.emplace_back("front-" + std::to_string(index));
      exchanges_.emplace_back(ids_.back());
      turned_away_.push_back(random_.Unit() < fleet.turned_away);
      known_.insert(ids_.back());
    }
  }

  void Play(Millis time) {
    const SteadyTime end = now_ + Duration(time);
    for (; now_ < end; now_ += Duration(kTick)) {
      if (now_ >= next_change_) Change();
      std::erase_if(deliveries_, [&](const Delivery& delivery) {
        if (delivery.at > now_) return false;
        Apply(delivery.to, delivery.version);
        return true;
      });
      for (size_t index = 0; index < ids_.size(); ++index) Compare(index);
      for (size_t index = 0; index < ids_.size(); ++index) Check(index);
    }
  }

  Millis longest_behind() const { return longest_behind_; }
  uint64_t copies() const { return copies_; }
  uint64_t comparisons() const { return comparisons_; }

 private:
  struct Delivery {
    SteadyTime at;
    size_t to = 0;
    uint64_t version = 0;
  };

  void Change() {
    next_change_ = now_ + Duration(fleet_.change);
    acknowledged_.push_back(now_);
    for (size_t index = 0; index < ids_.size(); ++index) {
      // All have the first version when the store begins to turn gateways away.
      if (acknowledged_.size() == 1) Apply(index, 1);
      if (turned_away_[index]) continue;
      deliveries_.push_back({now_ + Millis(random_.Below(kWatchMs)), index, acknowledged_.size()});
    }
  }

  void Apply(size_t index, uint64_t version) {
    if (version > exchanges_[index].version().value()) {
      exchanges_[index].OnApplied(FleetVersion(version), now_);
    }
  }

  void Compare(size_t index) {
    if (!exchanges_[index].Due(now_)) return;
    for (const InstanceId& partner : exchanges_[index].TakePartners(known_, now_)) {
      ++comparisons_;
      const size_t other =
          static_cast<size_t>(std::find(ids_.begin(), ids_.end(), partner) - ids_.begin());
      Tell(index, other);
    }
  }

  void Tell(size_t from, size_t to) {
    const auto response = exchanges_[to].OnVersion(exchanges_[from].version(), now_);
    if (response == ConfigExchange::Response::kSendCopy) SendCopy(to, from);
    if (response == ConfigExchange::Response::kSendVersion &&
        exchanges_[from].OnVersion(exchanges_[to].version(), now_) ==
            ConfigExchange::Response::kSendCopy) {
      SendCopy(from, to);
    }
  }

  void SendCopy(size_t from, size_t to) {
    ++copies_;
    Apply(to, exchanges_[from].version().value());
  }

  void Check(size_t index) {
    const uint64_t version = exchanges_[index].version().value();
    if (version == acknowledged_.size()) return;
    // The first version that the gateway lacks.
    const Millis behind = std::chrono::duration_cast<Millis>(now_ - acknowledged_[version]);
    longest_behind_ = std::max(longest_behind_, behind);
  }

  Fleet fleet_;
  Random random_;
  SteadyTime now_ = kStart;
  SteadyTime next_change_ = kStart;
  std::vector<InstanceId> ids_;
  std::set<InstanceId> known_;
  std::vector<ConfigExchange> exchanges_;
  std::vector<bool> turned_away_;
  std::vector<Delivery> deliveries_;
  /// When each version was acknowledged.
  std::vector<SteadyTime> acknowledged_;
  Millis longest_behind_{0};
  uint64_t copies_ = 0;
  uint64_t comparisons_ = 0;
};

// Guards against gateways that the store turns away and that the others do not bring up to date in
// time, and against changes that all gateways copy from each other.
TEST_CASE("gateway: configurations reach gateways that the store turns away") {
  constexpr Millis kPlayed{30'000};
  for (const Fleet& fleet :
       {Fleet{"calm", 6, 0, Millis(1'000)}, Fleet{"6 gateways", 6, 0.35, Millis(2'000)},
        Fleet{"6 gateways, frequent changes", 6, 0.35, Millis(500)},
        Fleet{"100 gateways", 100, 0.35, Millis(2'000)},
        Fleet{"100 gateways, frequent changes", 100, 0.35, Millis(500)},
        Fleet{"340 gateways", 340, 0.5, Millis(1'000)}}) {
    for (const uint64_t seed : {1, 2, 3}) {
      CAPTURE(std::string(fleet.name));
      CAPTURE(seed);
      ExchangingFleet exchanging(fleet, seed);
      exchanging.Play(kPlayed);
      CHECK(exchanging.longest_behind() <= kBound);
      const uint64_t intervals = kPlayed / ConfigExchange::kInterval + 1;
      CHECK(exchanging.comparisons() <=
            fleet.gateways * (intervals + ConfigExchange::kPartnersAtStart));
      if (fleet.turned_away == 0) CHECK(exchanging.copies() == 0);
    }
  }
}

// Guards against two gateways that answer each other without end, and against gateways that have
// just started and are left without a configuration.
TEST_CASE("gateway: a gateway answers another one's version") {
  struct Case {
    const char* name;
    uint64_t own;
    uint64_t other;
    Millis in_force;
    ConfigExchange::Response response;
  };
  using Response = ConfigExchange::Response;
  const Millis old = ConfigExchange::kWatchTime;
  for (const Case& test : {Case{"the same", 3, 3, old, Response::kNone},
                           Case{"none at either", 0, 0, old, Response::kNone},
                           Case{"older", 3, 2, old, Response::kSendCopy},
                           Case{"older, the watch may bring it", 3, 2, Millis(0), Response::kNone},
                           Case{"just started", 3, 0, Millis(0), Response::kSendCopy},
                           Case{"newer", 2, 3, old, Response::kSendVersion}}) {
    CAPTURE(std::string(test.name));
    ConfigExchange exchange(InstanceId("front-1"));
    if (test.own > 0) exchange.OnApplied(FleetVersion(test.own), kStart);
    CHECK(exchange.OnVersion(FleetVersion(test.other), kStart + Duration(test.in_force)) ==
          test.response);
  }
}

}  // namespace
}  // namespace shallot::gateway
