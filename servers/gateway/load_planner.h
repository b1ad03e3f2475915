#ifndef SERVERS_GATEWAY_LOAD_PLANNER_H_
#define SERVERS_GATEWAY_LOAD_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/crash_quarantine.h"
#include "servers/gateway/demand_aggregator.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/gateway_policy.h"
#include "servers/gateway/limit_allocation.h"
#include "servers/gateway/order_tracker.h"

namespace shallot::gateway {

/// An order to send now, and the reason that is logged with it.
struct PlannedOrder {
  Order order;
  const char* reason = "";
};

/// Decides which runner loads and unloads which model or adapter. Handles bursts of calls for many
/// rarely used models, demand that shifts to other models, the loss of runners that have local
/// copies of weights, busy models on runners that limit their calls, several busy models on one
/// runner while another idles, and models that crash the runners that load them. Plans at most one
/// order per runner at a time, never more memory than a runner has, and never more loads from the
/// weight store than its limits allow.
class LoadPlanner {
 public:
  /// How long a runner stays reserved for a model while other models are unloaded from it; an
  /// unload waits for running calls.
  static constexpr Millis kReservationTimeout{5'000};
  /// A model is not unloaded for this long after its load, so that the calls that waited for it can
  /// reach the runner.
  static constexpr Millis kMinTimeLoaded{1'000};

  LoadPlanner(const GatewayPolicy* policy, const FleetView* view, const OrderTracker* tracker)
      : policy_(policy), view_(view), tracker_(tracker) {}

  struct Input {
    BackendName backend;
    const EngineSpec* engine = nullptr;
    const std::map<DemandMeter::Key, TotalDemand>* demand = nullptr;
    const std::set<RunnerId>* unreachable = nullptr;
    /// Calls a second that limited runners take from all gateways.
    std::map<RunnerId, double> limits;
    /// Entries under quarantine are not loaded; may be null.
    const CrashQuarantine* quarantine = nullptr;
    /// Lasting pace of runners; others are as usual.
    std::map<RunnerId, double> pace = {};
  };

  /// Returns the orders to send now. Each must be sent and recorded in the tracker before the next
  /// call.
  std::vector<PlannedOrder> Plan(const Input& input, SteadyTime now);
  /// Records a completed load.
  void OnLoaded(const Order& order, SteadyTime now);
  /// Records that a runner could not take an order. It is given no other order for
  /// `kAvoidAfterFailure`, and its reservation ends.
  void OnOrderFailed(const RunnerId& runner, SteadyTime now);
  void Clear();

 private:
  static constexpr Millis kAvoidAfterFailure{1'000};

  struct Placement {
    RunnerId runner;
    LoadTier tier = LoadTier::kStore;
    double cost_ms = 0;
  };
  /// Which models a load may displace. kWaiting: any model without waiting calls of its own.
  /// kOverload: besides those of kReplica, models in use whose traffic is small beside that of the
  /// overloaded model. kReplica and kPreload: only models without running calls that are idle or
  /// have more replicas than they need. kEven: models that have more replicas than they need or
  /// have long been unused. kFill: none, it only uses free memory.
  enum class Urgency { kWaiting, kOverload, kReplica, kPreload, kEven, kFill };
  struct Reservation {
    BackendName backend;
    ModelName model;
    Urgency urgency = Urgency::kWaiting;
    SteadyTime until{};
    const char* reason = "";
  };

  bool Eligible(const RunnerState& runner) const;
  /// Decides which of their models limited runners serve. They are no replicas of the others.
  void AllocateLimits();
  /// Whether runners that load the entry would crash.
  bool Quarantined(const ModelName& model, const AdapterName& adapter, SteadyTime now) const;
  bool CanTakeOrder(const RunnerState& runner, SteadyTime now) const;
  const TotalDemand& DemandFor(const ModelName& model) const;
  /// Replicas that the current load of a model needs.
  double ReplicasForLoad(const ModelName& model) const;
  uint64_t TargetReplicas(const ModelName& model) const;
  uint64_t Replicas(const ModelName& model) const;
  /// Mean pace of the runners that hold the model: the time that its calls take there over the
  /// usual. 1 if none does.
  double HolderPace(const ModelName& model) const;
  /// Whether the replicas of a model carry so much more than they should, or its calls exceed the
  /// limits of all its runners so far, that other models' calls have to yield.
  bool Overloaded(const ModelName& model) const;
  /// Computes what all decisions of one plan share, so that they do not go over all runners and
  /// models again.
  void UpdateFleetSummary();
  bool Reserved(const ModelName& model) const;
  bool HasLocalCopy(const ModelName& model) const;
  bool Loading(const ModelName& model, const AdapterName& adapter) const;
  double FreeMb(const RunnerState& runner) const;
  /// Memory kept free for the adapter slots that are still open.
  double AdapterReserveMb(const RunnerState& runner) const;
  LoadTier TierOn(const RunnerState& runner, const ModelName& model) const;
  bool StoreAllows(SteadyTime now) const;
  /// Cost in ms of unloading `model` from `runner` in favour of `wanted`; absent if it must stay.
  std::optional<double> VictimCost(const RunnerId& runner, const ModelName& model,
                                   const ModelName& wanted, Urgency urgency, SteadyTime now) const;
  /// Models to unload from the runner to make room for `wanted`, cheapest first; absent if
  /// impossible. `cost_ms` receives their total cost.
  std::optional<std::vector<ModelName>> Victims(const RunnerState& runner, const ModelSpec& wanted,
                                                Urgency urgency, SteadyTime now,
                                                double* cost_ms) const;
  std::optional<Placement> BestRunner(const ModelSpec& model, Urgency urgency,
                                      SteadyTime now) const;
  /// Cost in ms of loading on a runner that is busy with calls.
  double BusyCost(const RunnerId& runner) const;
  /// Cost in ms of adding calls of the model to those that the runner gets for its other models,
  /// in proportion to the time that they take there.
  double TrafficCost(const RunnerId& runner, const ModelName& model) const;
  /// Updates the mean rates of calls.
  void UpdateMeanRates(SteadyTime now);
  /// Replicas with which none of them gets many more calls than the mean runner.
  uint64_t EvenReplicas(const ModelName& model) const;
  /// Reserves replicas for models whose runners get many more calls than others, where that costs
  /// little: mostly from local copies, and without displacing the last replica of any model.
  void ReserveEven(SteadyTime now);
  /// Whether another load from the weight store leaves enough runners available for waiting calls.
  bool CanSpareRunnerForStoreLoad() const;
  /// Whether the runner has a local copy of a model that is not loaded, so that it could load it
  /// quickly for a waiting call.
  static bool HasUnloadedCopy(const RunnerState& runner);
  /// Whether a runner that could hold `wanted` is finishing an order.
  bool AnyModelOrderPending(const ModelName& wanted) const;
  void Reserve(const ModelSpec& model, Urgency urgency, const char* reason, SteadyTime now);
  void DropStaleReservations(SteadyTime now);
  void ReserveForWaiting(SteadyTime now);
  void ReserveReplicas(bool overloaded, SteadyTime now);
  void ReserveReplica(const ModelSpec& model, Urgency urgency, SteadyTime now);
  void ReservePreloads(SteadyTime now);
  /// Reserves free memory, for example on new runners, for models that no runner holds.
  void ReserveFill(SteadyTime now);
  void ContinueReservations(SteadyTime now, std::vector<PlannedOrder>* plan);
  void PlanAdapters(SteadyTime now, std::vector<PlannedOrder>* plan);
  bool HasRoomForAdapter(const RunnerState& runner, const ModelSpec& model) const;
  std::optional<PlannedOrder> PlanAdapter(const ModelSpec& model, const AdapterName& adapter,
                                          SteadyTime now) const;
  Order MakeOrder(const RunnerState& runner, OrderKind kind, const ModelName& model,
                  const AdapterName& adapter) const;
  bool HasOrderFor(const std::vector<PlannedOrder>& plan, const RunnerId& runner) const;

  const GatewayPolicy* policy_;
  const FleetView* view_;
  const OrderTracker* tracker_;
  Input input_;
  /// Recomputed by each Plan() call.
  struct FleetSummary {
    std::vector<const RunnerState*> eligible;
    LimitAllocation limits;
    /// Calls in flight at each runner, for all its models.
    std::map<RunnerId, uint64_t> in_flight;
    /// The backend gets even load; see GatewayPolicy::balance.
    bool balance = false;
    /// Calls per second that each runner gets for all its models, and the mean over the runners.
    std::map<RunnerId, double> calls_per_s;
    double mean_calls_per_s = 0;
    /// The mean of the longer averages, which decides on replicas for evenness.
    double even_calls_per_s = 0;
    /// Number of eligible runners that hold each model and whose limits allow its calls.
    std::map<ModelName, uint64_t> replicas;
    /// Models with a copy in the memory or on the disk of an eligible runner.
    std::set<ModelName> local_copies;
    /// Entries that a pending order loads.
    std::set<std::pair<ModelName, AdapterName>> loading;
    double largest_adapter_mb = 0;
    /// Most memory that is free on one runner, without the reserve for adapters.
    double most_free_mb = 0;
  };
  FleetSummary fleet_;
  std::map<RunnerId, Reservation> reservations_;
  std::map<std::pair<RunnerId, ModelName>, SteadyTime> loaded_at_;
  std::map<RunnerId, SteadyTime> avoid_until_;
  std::deque<SteadyTime> store_loads_;
  /// Calls per second for each model, averaged over a longer time than in the demand.
  std::map<std::pair<BackendName, ModelName>, double> mean_rates_;
  std::map<BackendName, SteadyTime> mean_rates_at_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_LOAD_PLANNER_H_
