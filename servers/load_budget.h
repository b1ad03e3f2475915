#ifndef SERVERS_LOAD_BUDGET_H_
#define SERVERS_LOAD_BUDGET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/fleet_config.h"
#include "servers/messages.h"

namespace shallot {

/// A permit and the router through which its request came; empty when the agent is connected here.
struct BudgetGrant {
  LoadPermit permit;
  InstanceId via;

  bool operator==(const BudgetGrant&) const = default;
};

/// The budget of the weight store: loads of models by rate and number in flight, loads of adapters
/// by number in flight. Requests are granted in order of deadline; permits expire.
class LoadBudget {
 public:
  static constexpr Millis kModelPermitTime{60'000};
  static constexpr Millis kAdapterPermitTime{5000};
  /// Requests that wait; beyond it new ones are dropped and come again.
  static constexpr size_t kMaxWaiting = 4096;

  explicit LoadBudget(const Clock* clock);

  /// Limits from the configuration.
  void SetLimits(const FleetConfig& config);
  /// A repeated request of a granted permit gets the permit again; a waiting one is updated.
  void Request(const LoadPermitRequest& request, const InstanceId& via);
  void Return(const RunnerId& runner, uint64_t permit_id);
  /// An agent runs as `incarnation`; takes back what earlier ones of its runner hold.
  void ForgetEarlier(const RunnerId& runner, Incarnation incarnation);
  /// Takes back the permits of runners that are gone and will not return them.
  void ForgetRunners(const std::function<bool(const RunnerId&)>& gone);
  /// Permits to send now.
  std::vector<BudgetGrant> Take();
  /// Forgets everything; for when another router holds the budget.
  void Clear();

  size_t waiting() const { return waiting_.size(); }
  uint64_t models_in_flight() const { return models_in_flight_; }
  uint64_t adapters_in_flight() const { return adapters_in_flight_; }

 private:
  using PermitKey = std::pair<RunnerId, uint64_t>;
  struct Waiting {
    SteadyTime deadline;
    uint64_t arrival = 0;
    LoadKind kind = LoadKind::kModel;
    InstanceId via;
  };
  struct Granted {
    SteadyTime expiry;
    LoadKind kind = LoadKind::kModel;
  };

  /// Takes back the permits of the agent that it no longer counts as open.
  void ForgetClosed(const LoadPermitRequest& request);
  void Expire(SteadyTime now);
  void Refill(SteadyTime now);
  bool HasRoom(LoadKind kind) const;
  void Grant(const PermitKey& key, const Waiting& waiting, SteadyTime now);
  uint64_t& InFlight(LoadKind kind);

  const Clock* clock_;
  double loads_per_second_ = 2;
  uint64_t max_models_ = 4;
  uint64_t max_adapters_ = 32;
  /// Model loads that may start now; starts empty, because the previous holder may just have
  /// granted some.
  double tokens_ = 0;
  SteadyTime refilled_;
  uint64_t arrivals_ = 0;
  uint64_t models_in_flight_ = 0;
  uint64_t adapters_in_flight_ = 0;
  std::map<PermitKey, Waiting> waiting_;
  std::map<PermitKey, Granted> granted_;
  /// Newest incarnation that asked, of each runner with permits or requests.
  std::map<RunnerId, Incarnation> incarnations_;
  std::vector<BudgetGrant> outbox_;
};

}  // namespace shallot

#endif  // SERVERS_LOAD_BUDGET_H_
