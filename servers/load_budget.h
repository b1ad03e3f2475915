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

/// A permit and the router that forwarded its request; empty if the agent is connected to this
/// router.
struct BudgetGrant {
  LoadPermit permit;
  InstanceId via;

  bool operator==(const BudgetGrant&) const = default;
};

/// Limits the loads from the weight store: model loads by rate and number in flight, adapter loads
/// by number in flight. Requests are granted in order of deadline; permits expire.
class LoadBudget {
 public:
  static constexpr Millis kModelPermitLifetime{60'000};
  static constexpr Millis kAdapterPermitLifetime{5000};
  /// Maximum number of waiting requests. Further ones are dropped; agents repeat them.
  static constexpr size_t kMaxWaiting = 4096;

  explicit LoadBudget(const Clock* clock);

  /// Sets the limits from the configuration.
  void SetLimits(const FleetConfig& config);
  /// Adds a request. A repeated request gets its permit again if it was granted, and updates the
  /// waiting request otherwise.
  void Request(const LoadPermitRequest& request, const InstanceId& via);
  void Return(const RunnerId& runner, uint64_t permit_id);
  /// Revokes the permits and requests of a runner's agent from incarnations other than
  /// `incarnation`, the running one.
  void RevokeOtherIncarnations(const RunnerId& runner, Incarnation incarnation);
  /// Revokes the permits and requests of runners that are gone and will not return them.
  void RevokeRunners(const std::function<bool(const RunnerId&)>& gone);
  /// Grants what the limits allow and returns the permits to send.
  std::vector<BudgetGrant> GrantPermits();
  /// Drops all requests and permits, for a change of the router that holds the budget.
  void Clear();

  size_t waiting() const { return waiting_.size(); }
  uint64_t models_in_flight() const { return models_in_flight_; }
  uint64_t adapters_in_flight() const { return adapters_in_flight_; }

 private:
  using PermitKey = std::pair<RunnerId, uint64_t>;
  struct WaitingRequest {
    SteadyTime deadline;
    uint64_t arrival = 0;
    LoadKind kind = LoadKind::kModel;
    InstanceId via;
  };
  struct GrantedPermit {
    SteadyTime expiry;
    LoadKind kind = LoadKind::kModel;
  };

  /// Revokes earlier permits and requests of the agent that the request does not list as open.
  void RevokeClosed(const LoadPermitRequest& request);
  void Expire(SteadyTime now);
  void Refill(SteadyTime now);
  bool HasCapacity(LoadKind kind) const;
  void Grant(const PermitKey& key, const WaitingRequest& waiting, SteadyTime now);
  uint64_t& InFlight(LoadKind kind);

  const Clock* clock_;
  double loads_per_second_ = 2;
  uint64_t max_models_ = 4;
  uint64_t max_adapters_ = 32;
  /// Tokens for model loads. Starts empty, because the previous holder of the budget may have
  /// granted permits just before.
  double tokens_ = 0;
  SteadyTime refilled_;
  uint64_t arrivals_ = 0;
  uint64_t models_in_flight_ = 0;
  uint64_t adapters_in_flight_ = 0;
  std::map<PermitKey, WaitingRequest> waiting_;
  std::map<PermitKey, GrantedPermit> granted_;
  /// Last known agent incarnation of each runner.
  std::map<RunnerId, Incarnation> incarnations_;
  std::vector<BudgetGrant> outbox_;
};

}  // namespace shallot

#endif  // SERVERS_LOAD_BUDGET_H_
