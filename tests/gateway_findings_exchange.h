#ifndef TESTS_GATEWAY_FINDINGS_EXCHANGE_H_
#define TESTS_GATEWAY_FINDINGS_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/crash_quarantine.h"

namespace shallot::gateway {

/// The quarantines of simulated gateways, which read each other's findings with a delay.
class FindingsExchange {
 public:
  struct Delays {
    Millis settle;
    /// Longest time until findings are published, and until another gateway reads them.
    uint64_t publish_ms;
    uint64_t delivery_ms;
  };

  FindingsExchange(size_t gateways, const Delays& delays, Random* random)
      : delays_(delays), random_(random) {
    for (size_t index = 0; index < gateways; ++index) {
      Gateway& gateway = gateways_.emplace_back();
      gateway.id = InstanceId("front-" + std::to_string(index));
      gateway.quarantine = std::make_unique<CrashQuarantine>(gateway.id);
      gateway.quarantine->SetSettleTime(delays.settle);
    }
  }

  size_t size() const { return gateways_.size(); }
  CrashQuarantine& At(size_t gateway) { return *gateways_[gateway].quarantine; }
  /// A random gateway.
  CrashQuarantine& Any() { return At(random_->Below(size())); }
  uint64_t publications() const { return publications_; }

  /// Publishes and delivers what is due, and lets each gateway draw its conclusions.
  void Advance(SteadyTime now) {
    for (Gateway& gateway : gateways_) Publish(&gateway, now);
    std::erase_if(deliveries_, [&](const Delivery& delivery) {
      if (now < delivery.at) return false;
      At(delivery.to).Merge(delivery.from, *delivery.findings, now);
      return true;
    });
    for (Gateway& gateway : gateways_) gateway.quarantine->Update(now);
  }

 private:
  struct Gateway {
    InstanceId id;
    std::unique_ptr<CrashQuarantine> quarantine;
    std::optional<SteadyTime> publish_at;
  };
  struct Delivery {
    SteadyTime at;
    size_t to = 0;
    InstanceId from;
    std::shared_ptr<const CrashFindings> findings;
  };

  void Publish(Gateway* gateway, SteadyTime now) {
    if (gateway->quarantine->TakeChanged() && !gateway->publish_at) {
      gateway->publish_at = now + Millis(random_->Below(delays_.publish_ms));
    }
    if (!gateway->publish_at || now < *gateway->publish_at) return;
    gateway->publish_at.reset();
    ++publications_;
    const auto findings = std::make_shared<const CrashFindings>(gateway->quarantine->Own(now));
    for (size_t to = 0; to < size(); ++to) {
      if (gateways_[to].id == gateway->id) continue;
      deliveries_.push_back(
          {now + Millis(random_->Below(delays_.delivery_ms)), to, gateway->id, findings});
    }
  }

  Delays delays_;
  Random* random_;
  std::vector<Gateway> gateways_;
  std::vector<Delivery> deliveries_;
  uint64_t publications_ = 0;
};

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_FINDINGS_EXCHANGE_H_
