#ifndef SERVERS_GATEWAY_ACCESS_CONFIG_PROOF_H_
#define SERVERS_GATEWAY_ACCESS_CONFIG_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/gateway_policy.h"
#include "servers/gateway/store_position.h"

namespace shallot::gateway {

/// Ages of the proof from which a gateway does something about it.
struct ProofTimes {
  /// From this age, other gateways are asked for theirs.
  Millis ask_age{0};
  /// From this age, the configuration's key is read from the store.
  Millis read_age{0};
};

/// The times that keep the proof below the ages at which calls would be refused.
ProofTimes ProofTimesOf(const GatewayPolicy& policy);

/// Knows the time as of which the configuration in force was shown to be the latest: it includes
/// every version that the store had acknowledged by then. Load pattern: a third of the gateways is
/// turned away by the store or cut off, others are suspended and resume with old calls in progress,
/// the store is restored from a copy with a removed key, and operators write versions every second.
///
/// A store call proves the configuration as of the time at which it was sent, once all that it
/// brought is in force. Another gateway's proof counts as of this gateway's own time of asking less
/// the age that the other one states, so that no two clocks are compared. A version that comes into
/// force is higher than the one before and so keeps the proof. All times are boot times, because a
/// proof must grow old while the gateway is suspended.
class ConfigProof {
 public:
  /// After a restore, the store may have a removed key until the operators have written their
  /// configuration again. Store calls sent within this time after the new era was noticed prove
  /// nothing.
  static constexpr Millis kSettleTime{3'000};
  /// Minimum time between two requests to other gateways. A response takes two ticks of 20 ms.
  static constexpr Millis kAskInterval{200};
  /// The time between two requests after each of kMaxPartners has been asked in vain, as in an
  /// outage of the store for all gateways.
  static constexpr Millis kAskIntervalInOutage{600};
  /// Number of gateways that are asked in turn. Limits the connections in a large fleet; if the
  /// store turns a third of the gateways away, one of twelve nearly always helps.
  static constexpr size_t kMaxPartners = 12;
  /// Number of requests in a row to a gateway with a higher version, which sends a copy when the
  /// version is a second old. If none has arrived by then, its messages do not come through.
  static constexpr size_t kMaxAheadResponses = 10;
  /// Pause after a read of the key that proved nothing. It doubles up to the maximum, because each
  /// store call costs money.
  static constexpr Millis kMinReadPause{500};
  static constexpr Millis kMaxReadPause{2'000};

  /// `first_number` must differ between runs of a gateway: a late response to a request of an
  /// earlier run must not be taken for one of this run.
  ConfigProof(InstanceId self, uint64_t first_number)
      : self_(std::move(self)), last_number_(first_number) {}

  /// This version is in force.
  void OnApplied(FleetVersion version);
  /// The store is in this era.
  void OnEra(StoreEra era, BootTime now);
  /// The store has this configuration at this position; absent if it cannot be decoded, 0 if the
  /// key was removed. To be called after OnApplied().
  void OnStoreConfig(StorePosition position, std::optional<FleetVersion> version);
  /// Everything that a read of all items, or the watch that follows it, brought is in force.
  /// `complete`: nothing was left out because it was unreadable or too much.
  void OnUpToDate(BootTime sent_at, bool complete, BootTime now);

  /// Whether the key of the configuration is to be read now; one read is in progress at a time.
  bool TakeRead(const ProofTimes& times, BootTime now);
  /// The read of the key ended; `version` as in OnStoreConfig().
  void OnKeyRead(BootTime sent_at, std::optional<FleetVersion> version, BootTime now);
  void OnKeyReadFailed(BootTime now);

  struct Ask {
    InstanceId gateway;
    /// Echoed in the response.
    uint64_t number = 0;
    BootTime sent_at{};
  };
  /// Whether another gateway is to be asked now.
  bool AskDue(const ProofTimes& times, BootTime now) const;
  /// The gateway to ask for its proof now, if any; `gateways` are all that the store lists. One
  /// that helped is asked again, otherwise the next one in the order of GatewaysAfter().
  std::optional<Ask> TakeAsk(const std::set<InstanceId>& gateways, const ProofTimes& times,
                             BootTime now);
  /// A gateway's response, with its version and the age of its proof, if it has one. That of a
  /// higher version counts once this version is in force. Returns whether the proof became newer.
  bool OnResponse(const InstanceId& gateway, uint64_t number, FleetVersion version,
                  std::optional<Millis> age, const ProofTimes& times, BootTime now);

  /// As of when the version in force was the latest; absent if that was never shown.
  std::optional<BootTime> proved_at() const { return proved_at_; }
  /// Age of the proof, rounded up.
  std::optional<Millis> Age(BootTime now) const;
  FleetVersion version() const { return version_; }

 private:
  bool OlderThan(Millis age, BootTime now) const;
  /// A store call that was sent at this time shows that the version in force is the latest. Returns
  /// false if it does not count.
  bool ProveByStore(BootTime sent_at);
  bool Prove(BootTime at);
  void DelayRead(BootTime now);

  /// Number of requests whose responses are still expected.
  static constexpr size_t kMaxAsks = 16;

  InstanceId self_;
  FleetVersion version_;
  std::optional<BootTime> proved_at_;
  std::optional<StoreEra> era_;
  /// Store calls sent before this time prove nothing.
  BootTime settled_at_ = BootTime::min();
  /// Position of the store's newest known configuration.
  StorePosition store_position_;
  /// That configuration could not be decoded, so the one in force is not the latest.
  bool undecodable_ = false;
  /// The watch missed items that could be the configuration; noticed at this time.
  std::optional<BootTime> gap_;

  bool reading_ = false;
  BootTime next_read_ = BootTime::min();
  Millis read_pause_ = kMinReadPause;

  std::deque<Ask> asks_;
  uint64_t last_number_;
  BootTime next_ask_ = BootTime::min();
  /// The last proof that another gateway had of a version higher than the one in force.
  struct Ahead {
    FleetVersion version;
    BootTime proved_at{};
  };
  std::optional<Ahead> ahead_;
  /// Index of the gateway to ask.
  size_t turn_ = 0;
  /// Number of requests since one that helped.
  size_t in_vain_ = 0;
  /// Number of responses in a row of the gateway to ask that had a recent proof of a higher
  /// version.
  size_t ahead_responses_ = 0;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ACCESS_CONFIG_PROOF_H_
