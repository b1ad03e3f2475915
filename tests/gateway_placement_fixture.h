#ifndef TESTS_GATEWAY_PLACEMENT_FIXTURE_H_
#define TESTS_GATEWAY_PLACEMENT_FIXTURE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "servers/gateway/load_planner.h"

namespace shallot::gateway {

/// A fleet of simulated runners that execute orders, for running the planner against given demand.
/// Each runner holds two models of 60 GB and has copies of others on its disk.
class PlacementFixture {
 public:
  static constexpr double kModelMb = 60'000;

  explicit PlacementFixture(int models, uint64_t adapter_slots = 2)
      : planner_(&policy_, &view_, &tracker_) {
    engine_.slots = 64;
    engine_.weights_mb = 2 * kModelMb + 1'000;
    engine_.adapter_slots = adapter_slots;
    engine_.store_loads_per_s = 2.1;
    for (int number = 0; number < models; ++number) {
      ModelSpec spec;
      spec.name = Model(number);
      spec.weights_mb = kModelMb;
      spec.adapter_mb = 10;
      spec.store_load = Millis(6'000);
      spec.disk_load = Millis(800);
      spec.memory_load = Millis(400);
      engine_.models[spec.name] = spec;
    }
  }

  static ModelName Model(int number) { return ModelName("m" + std::to_string(number)); }

  void AddRunner(const std::string& id, const std::vector<int>& held,
                 const std::vector<int>& on_disk) {
    RunnerEntry entry;
    entry.id = RunnerId(id);
    entry.backend = backend_;
    entry.address = "10.0.0.1:80";
    entry.slots = 64;
    entry.born = RunnerStartTime(1);
    view_.Apply(entry, now_);
    Runner runner;
    for (const int model : held) runner.holdings.models[Model(model)];
    for (const int model : on_disk) runner.holdings.on_disk.insert(Model(model));
    runners_[entry.id] = runner;
    Publish(entry.id);
  }

  void SetDraining(const std::string& id) {
    RunnerEntry entry = view_.Find(RunnerId(id))->entry;
    entry.draining = true;
    view_.Apply(entry, now_);
  }

  /// Makes the runner load an adapter without an order from this planner.
  void SetLoading(const std::string& id, int model, const std::string& adapter) {
    runners_.at(RunnerId(id)).holdings.loading_adapters[Model(model)].insert(AdapterName(adapter));
    Publish(RunnerId(id));
  }

  TotalDemand& Demand(int model, const std::string& adapter = "") {
    return demand_[{backend_, Model(model), AdapterName(adapter)}];
  }

  /// Plans once and sends the orders to the runners. `accept` false: no order reaches its runner
  /// and no answer comes back.
  std::vector<PlannedOrder> Step(bool accept = true) {
    const LoadPlanner::Input input{backend_, &engine_, &demand_, &unreachable_,
                                   limits_,  nullptr,  pace_};
    std::vector<PlannedOrder> plan = planner_.Plan(input, now_);
    for (const PlannedOrder& planned : plan) {
      tracker_.OnSent(planned.order, now_);
      history_.push_back(planned);
      if (accept) Accept(planned.order);
    }
    return plan;
  }

  /// Advances the clock; runners complete their orders and report.
  void Advance(Millis by) {
    now_ += by;
    for (auto& [id, runner] : runners_) {
      if (!runner.under_way || now_ < runner.done_at) continue;
      Complete(&runner);
      Publish(id);
    }
  }

  void Run(Millis duration, Millis step = Millis(25)) {
    for (Millis passed{0}; passed < duration; passed += step) {
      Step();
      Advance(step);
    }
  }

  bool Held(int model) const {
    for (const auto& [id, runner] : runners_) {
      if (view_.Find(id)->Usable() && runner.holdings.models.contains(Model(model))) return true;
    }
    return false;
  }

  double UsedMb(const RunnerId& id) const {
    return kModelMb * static_cast<double>(runners_.at(id).holdings.models.size());
  }

  uint64_t Count(OrderKind kind, int model) const {
    uint64_t count = 0;
    for (const PlannedOrder& planned : history_) {
      if (planned.order.kind == kind && planned.order.model == Model(model)) ++count;
    }
    return count;
  }

  const std::vector<PlannedOrder>& history() const { return history_; }
  const std::map<RunnerId, Holdings> AllHoldings() const {
    std::map<RunnerId, Holdings> all;
    for (const auto& [id, runner] : runners_) all[id] = runner.holdings;
    return all;
  }
  uint64_t StoreLoadsUnderWay() const { return tracker_.StoreLoadsUnderWay(); }
  GatewayPolicy& policy() { return policy_; }
  std::set<RunnerId>& unreachable() { return unreachable_; }
  std::map<RunnerId, double>& limits() { return limits_; }
  std::map<RunnerId, double>& pace() { return pace_; }
  bool overcommitted() const { return overcommitted_; }

 private:
  struct Runner {
    Holdings holdings;
    uint64_t sequence = 0;
    bool under_way = false;
    Order order;
    SteadyTime done_at{};
  };

  void Accept(const Order& order) {
    Runner& runner = runners_.at(order.runner);
    if (runner.under_way || order.expected.value() != runner.sequence) {
      tracker_.OnAnswer(order.runner, OrderAnswer::kBusy, now_);
      return;
    }
    ++runner.sequence;
    runner.order = order;
    runner.under_way = true;
    runner.done_at = now_ + order.duration;
    tracker_.OnAnswer(order.runner, OrderAnswer::kAccepted, now_);
  }

  void Complete(Runner* runner) {
    const Order& order = runner->order;
    runner->under_way = false;
    if (!order.adapter.empty()) {
      auto& adapters = runner->holdings.models[order.model];
      if (order.kind == OrderKind::kLoad) {
        adapters.insert(order.adapter);
      } else {
        adapters.erase(order.adapter);
      }
    } else if (order.kind == OrderKind::kLoad) {
      runner->holdings.models[order.model];
      runner->holdings.on_disk.insert(order.model);
    } else {
      runner->holdings.models.erase(order.model);
    }
    if (kModelMb * static_cast<double>(runner->holdings.models.size()) > engine_.weights_mb ||
        runner->holdings.AdapterCount() > engine_.adapter_slots) {
      overcommitted_ = true;
    }
  }

  void Publish(const RunnerId& id) {
    const Runner& runner = runners_.at(id);
    RunnerReport report;
    report.born = RunnerStartTime(1);
    report.sequence = OrderSequence(runner.sequence);
    report.order_under_way = runner.under_way;
    report.holdings = runner.holdings;
    const auto settled = tracker_.OnReport(id, report);
    view_.ApplyReport(id, report, now_);
    if (settled) planner_.OnLoaded(*settled, now_);
  }

  BackendName backend_{"engine"};
  GatewayPolicy policy_;
  EngineSpec engine_;
  FleetView view_;
  OrderTracker tracker_;
  LoadPlanner planner_;
  std::map<DemandMeter::Key, TotalDemand> demand_;
  std::set<RunnerId> unreachable_;
  std::map<RunnerId, double> limits_;
  std::map<RunnerId, double> pace_;
  std::map<RunnerId, Runner> runners_;
  std::vector<PlannedOrder> history_;
  SteadyTime now_{std::chrono::seconds(1000)};
  bool overcommitted_ = false;
};

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_PLACEMENT_FIXTURE_H_
