#ifndef DRIVERS_GATEWAY_FINDINGS_DRIVER_H_
#define DRIVERS_GATEWAY_FINDINGS_DRIVER_H_

#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/gateway/fleet_follower.h"
#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Shares this gateway's findings with all gateways: writes them to its own key in the store, where
/// they outlast the process, and in small fleets also sends them to the others, which works while
/// the store is away. Receives the findings of the others in both ways.
class FindingsDriver final : public StoreItemListener, public StoreRestoreListener {
 public:
  static constexpr Millis kTickInterval{20};
  /// Minimum time between two publications, and the pause after a failed one. Each grows with the
  /// number of gateways, because all of them may have seen the same crashes.
  static constexpr Millis kPublishPause{100};
  static constexpr Millis kRetryPause{300};
  /// While the store is away, a gateway that missed findings cannot read them there, so they are
  /// sent again after this time.
  static constexpr Millis kRepeatPause{1'000};
  static constexpr size_t kGatewaysAtFullRate = 32;
  /// Fleets up to this size also exchange findings directly.
  static constexpr size_t kBroadcastGateways = 32;

  explicit FindingsDriver(GatewayContext* context);

  void Start();
  /// Prefix of the keys with the findings of all gateways.
  std::string Prefix() const { return context_->protocol->FindingsPrefix(); }
  void OnStoreRestored() override;
  void OnItem(const StoreItem& item) override;
  void OnSnapshot(const std::vector<StoreItem>& items) override;
  /// Another gateway sent its findings.
  void OnReport(const FindingsReport& report);

 private:
  void Tick();
  void Publish(const FindingsReport& report);
  void RepeatInOutage(SteadyTime now);
  FindingsReport OwnReport(uint64_t number, SteadyTime now) const;
  void SendToPeers(const FindingsReport& report);
  void Write(const std::string& value, LeaseId lease);
  void OnWritten(const Result<HttpMessage>& answer);
  void Fail(const std::string& reason);
  Millis ScaledPause(Millis pause) const;
  /// Publishes at a random time within the pause, so that not all gateways write at once.
  void PublishSoon();

  GatewayContext* context_;
  std::string key_;
  Random random_;
  /// Position of the own key as last read or written; its revision is 0 if it does not exist.
  StorePosition position_;
  /// The last publication of this gateway, and what arrived from all.
  FindingsNumber number_;
  FindingsOrder order_;
  bool due_ = false;
  /// The store may have older findings of this gateway, which even empty ones must replace.
  bool replace_ = false;
  bool writing_ = false;
  bool failing_ = false;
  SteadyTime next_{};
  SteadyTime next_repeat_{};
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_FINDINGS_DRIVER_H_
