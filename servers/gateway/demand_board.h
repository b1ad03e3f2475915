#ifndef SERVERS_GATEWAY_DEMAND_BOARD_H_
#define SERVERS_GATEWAY_DEMAND_BOARD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// Demand for one model or adapter as one gateway sees it.
struct EntryDemand {
  BackendName backend;
  ModelName model;
  /// Empty: the model itself.
  AdapterName adapter;
  /// Calls that wait because no runner holds the entry.
  uint64_t waiting = 0;
  /// Least time left of those calls.
  Millis least_time_left{0};
  uint64_t in_flight = 0;
  double calls_per_s = 0;
  double prompt_tokens_per_s = 0;
  Millis since_last_call{0};
  /// Calls in flight by runner; an unload has to wait for them.
  std::map<RunnerId, uint64_t> in_flight_at;
};

/// All that one gateway reports to the placement leader; replaces its report before.
struct DemandReport {
  InstanceId gateway;
  /// "IP:port" where it takes the leader's notices.
  std::string address;
  std::vector<EntryDemand> entries;
  /// Runners that the gateway cannot reach.
  std::set<RunnerId> unreachable;
};

/// Counts a gateway's own calls by entry, with rates that fade over `kRateWindow`.
class DemandMeter {
 public:
  /// Time constant of the rates. Demand moves to another model within seconds, and with 4 s the
  /// second replica came after the queue at the first one had passed the callers' patience.
  static constexpr Millis kRateWindow{2'000};
  /// Entries without calls for this long are dropped.
  static constexpr Millis kForgetAfter{60'000};

  struct Entry {
    uint64_t in_flight = 0;
    std::map<RunnerId, uint64_t> in_flight_at;
    double calls_per_s = 0;
    double tokens_per_s = 0;
    SteadyTime updated{};
    SteadyTime last_call{};
  };
  struct Key {
    BackendName backend;
    ModelName model;
    AdapterName adapter;
    auto operator<=>(const Key&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  /// `tokens`: prompt tokens that a runner has to read.
  void OnCall(const Key& key, double tokens, SteadyTime now);
  void OnSent(const Key& key, const RunnerId& runner);
  void OnEnded(const Key& key, const RunnerId& runner);
  std::vector<EntryDemand> Snapshot(SteadyTime now);

 private:
  std::map<Key, Entry> entries_;
};

/// The demand for a model or adapter over all gateways.
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

/// The leader's collection of demand reports.
class DemandBoard {
 public:
  /// A gateway that has not reported for this long is left out; reports come every 250 ms.
  static constexpr Millis kReportAge{2'000};

  void Apply(const DemandReport& report, SteadyTime now);
  std::map<DemandMeter::Key, TotalDemand> Totals(SteadyTime now) const;
  /// Runners that most of the reporting gateways with a verdict cannot reach.
  std::set<RunnerId> Unreachable(SteadyTime now) const;
  /// Addresses of the gateways that report. One whose key in the store is gone still reports.
  std::map<InstanceId, std::string> Reporters(SteadyTime now) const;
  void Clear() { reports_.clear(); }

 private:
  std::map<InstanceId, std::pair<SteadyTime, DemandReport>> reports_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_DEMAND_BOARD_H_
