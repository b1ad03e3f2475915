#ifndef SERVERS_GATEWAY_CONFIG_EXCHANGE_H_
#define SERVERS_GATEWAY_CONFIG_EXCHANGE_H_

#include <cstddef>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// Decides which gateways this one compares its configuration with, and what it sends them. Load
/// pattern: operators change the configuration every second while the store turns a third of the
/// gateways away, has been restored from a copy that is older than the configuration in force, or
/// is reached over connections that have gone silent.
///
/// Usually the store's watch brings each version to all gateways, so in each interval a gateway
/// only tells one partner which version it has. Whoever has an older version gets the newer one,
/// but not while the watch may still bring it: a change must not be copied between all gateways.
class ConfigExchange {
 public:
  /// Time between two comparisons.
  static constexpr Millis kInterval{500};
  /// Number of gateways that a gateway compares with in turn: the first ones of GatewaysAfter().
  /// Limits the connections in a large fleet.
  static constexpr size_t kPartners = 6;
  /// A gateway that starts compares with this many at once.
  static constexpr size_t kPartnersAtStart = 3;
  /// The watch brings a version to all gateways that it reaches within this time.
  static constexpr Millis kWatchTime{1'000};

  enum class Response {
    kNone,
    kSendCopy,     ///< The other gateway has an older version.
    kSendVersion,  ///< The other gateway has a newer version, and sends it when it sees this one.
  };

  explicit ConfigExchange(InstanceId self) : self_(std::move(self)) {}

  /// A version came into force at this gateway.
  void OnApplied(FleetVersion version, SteadyTime now);
  /// Another gateway has told its version; 0 if it has none.
  Response OnVersion(FleetVersion other, SteadyTime now) const;
  /// Whether the version is to be told now.
  bool Due(SteadyTime now) const { return now >= next_; }
  /// The gateways to tell the version now; `gateways` are all that are known.
  std::vector<InstanceId> TakePartners(const std::set<InstanceId>& gateways, SteadyTime now);

  /// The version in force; 0 if there is none.
  FleetVersion version() const {
    return applied_.empty() ? FleetVersion() : applied_.back().version;
  }

 private:
  struct Applied {
    FleetVersion version;
    SteadyTime at;
  };
  /// Number of versions that are remembered; changes are not more frequent within kWatchTime.
  static constexpr size_t kMaxApplied = 32;

  InstanceId self_;
  /// The last versions, the one in force last.
  std::deque<Applied> applied_;
  SteadyTime next_{};
  /// Index of the next partner.
  size_t turn_ = 0;
  bool started_ = false;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_CONFIG_EXCHANGE_H_
