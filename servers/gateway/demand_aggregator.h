#ifndef SERVERS_GATEWAY_DEMAND_AGGREGATOR_H_
#define SERVERS_GATEWAY_DEMAND_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/runner_run.h"

namespace shallot::gateway {

/// Demand for one entry (a model or an adapter) at one gateway.
struct EntryDemand {
  BackendName backend;
  ModelName model;
  /// Empty if the entry is the model itself.
  AdapterName adapter;
  /// Calls that wait because no runner holds the entry.
  uint64_t waiting = 0;
  /// Shortest time left among the waiting calls.
  Millis least_time_left{0};
  uint64_t in_flight = 0;
  double calls_per_s = 0;
  double prompt_tokens_per_s = 0;
  Millis since_last_call{0};
  /// Calls in flight per runner; an unload has to wait for them.
  std::map<RunnerId, uint64_t> in_flight_at;
};

/// One gateway's report to the placement leader.
struct DemandReport {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts notices from the leader.
  std::string address;
  std::vector<EntryDemand> entries;
  /// The report replaces the listed entries of the previous reports; otherwise it replaces all.
  bool changes_only = false;
  /// Runners that the gateway cannot reach.
  std::set<RunnerId> unreachable;
  /// Runs that have told the gateway that they are leaving.
  std::vector<RunnerRun> leaving;
  /// Lasting paces of runners that changed since the previous report.
  std::map<RunnerId, double> paces;
};

/// Tracks a gateway's own calls per entry. The rates are exponential averages that decay with the
/// time constant `kRateWindow`.
class DemandMeter {
 public:
  /// Time constant of the rates. Demand shifts to another model within seconds; with 4 s the second
  /// replica was added only after the queue at the first one had exceeded the callers' time limits.
  static constexpr Millis kRateWindow{2'000};
  /// Entries without calls for this long are removed.
  static constexpr Millis kEntryTimeout{60'000};

  struct Entry {
    uint64_t in_flight = 0;
    std::map<RunnerId, uint64_t> in_flight_at;
    double calls_per_s = 0;
    double tokens_per_s = 0;
    SteadyTime updated{};
    SteadyTime last_call{};
    /// A call began or ended since the last report.
    bool changed = false;
  };
  struct Key {
    BackendName backend;
    ModelName model;
    AdapterName adapter;
    auto operator<=>(const Key&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  /// `tokens`: prompt tokens that a runner has to process.
  void OnCall(const Key& key, double tokens, SteadyTime now);
  void OnSent(const Key& key, const RunnerId& runner);
  void OnEnded(const Key& key, const RunnerId& runner);
  /// All entries.
  std::vector<EntryDemand> Snapshot(SteadyTime now);
  /// Entries that changed since the last Snapshot() or Changes(), and those of `also`. The receiver
  /// lets the rates of the other entries decay by itself.
  std::vector<EntryDemand> Changes(const std::set<Key>& also, SteadyTime now);

 private:
  static EntryDemand Describe(const Key& key, const Entry& entry, SteadyTime now);

  std::map<Key, Entry> entries_;
};

/// Demand for one model or adapter, summed over all gateways.
struct TotalDemand {
  uint64_t waiting = 0;
  Millis least_time_left{Millis::max()};
  uint64_t in_flight = 0;
  double calls_per_s = 0;
  double prompt_tokens_per_s = 0;
  Millis since_last_call{Millis::max()};
  std::map<RunnerId, uint64_t> in_flight_at;

  uint64_t InFlightAt(const RunnerId& runner) const;
};

/// Aggregates the gateways' demand reports at the placement leader. The work for a report depends
/// on its entries, not on the number of gateways and models.
class DemandAggregator {
 public:
  using Key = DemandMeter::Key;
  /// Reports older than this are ignored; gateways report every 250 ms.
  static constexpr Millis kMaxReportAge{2'000};

  void Apply(const DemandReport& report, SteadyTime now);
  /// The demand for each entry. The reference is valid until the next call.
  const std::map<Key, TotalDemand>& Totals(SteadyTime now);
  /// Runners that at least a third of the reporting gateways cannot reach.
  std::set<RunnerId> Unreachable(SteadyTime now) const;
  /// Addresses of the gateways with a current report, including those whose key in the store is
  /// missing.
  std::map<InstanceId, std::string> Reporters(SteadyTime now) const;
  /// Gateways that have calls in flight or waiting for the model or one of its adapters, or had
  /// calls within `recent`.
  std::set<InstanceId> GatewaysUsing(const BackendName& backend, const ModelName& model,
                                     Millis recent, SteadyTime now) const;
  void Clear();

 private:
  struct Part {
    EntryDemand demand;
    SteadyTime at{};
  };
  struct Reporter {
    SteadyTime at{};
    std::string address;
    std::set<RunnerId> unreachable;
    std::set<Key> keys;
  };

  void RemoveParts(const InstanceId& gateway, Reporter* reporter);
  void DropSilentReporters(SteadyTime now);
  static TotalDemand Sum(const std::map<InstanceId, Part>& parts, SteadyTime now);

  std::map<InstanceId, Reporter> reporters_;
  std::map<Key, std::map<InstanceId, Part>> parts_;
  std::map<Key, TotalDemand> totals_;
  /// When the rates and ages of `totals_` were computed.
  SteadyTime totals_at_{};
  /// Entries whose sum has to be computed again.
  std::set<Key> changed_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_DEMAND_AGGREGATOR_H_
