#include "servers/gateway/load_planner.h"

#include <algorithm>
#include <cmath>

#include "servers/gateway/call_traits.h"

namespace shallot::gateway {
namespace {

/// Duration of unloads and of adapter orders, which take effect within a few milliseconds.
constexpr Millis kShortOrderDuration{20};
/// Cost of each unload that has to free memory first: one more order and its report.
constexpr double kUnloadCostMs = 150;
/// Extra cost of unloading a model with running calls, because the unload waits for them.
constexpr double kRunningVictimCostMs = 3'000;
/// Extra cost of loading on a runner whose slots are all in use, in proportion to their use.
constexpr double kFullRunnerCostMs = 2'500;
/// Extra cost of unloading a model that was called recently.
constexpr double kRecentVictimCostMs = 400;
/// Maximum share of the runners that may preload from the weight store at the same time. Such a
/// load takes seconds, during which the runner takes no other order, not even for waiting calls.
constexpr double kStoreLoadShare = 0.34;
/// An overloaded model may displace models with at most this share of the calls that another
/// replica of it would get.
constexpr double kDisplacedTrafficShare = 0.5;
/// Extra cost of unloading a model, per call per second for it.
constexpr double kVictimRateCostMs = 50;
/// Time horizon in seconds for the probability that an unloaded model is called again.
constexpr double kReloadHorizonS = 10;

/// A replica for evenness is loaded from the weight store, which costs money, only if this many
/// times the present replicas are needed.
constexpr uint64_t kStoreLoadEvenness = 2;

}  // namespace

bool LoadPlanner::CanTakeOrder(const RunnerState& runner, SteadyTime now) const {
  const auto avoided = avoid_until_.find(runner.entry.id);
  if (avoided != avoid_until_.end() && now < avoided->second) return false;
  return runner.holdings_confirmed && tracker_->Idle(runner.entry.id);
}

bool LoadPlanner::Eligible(const RunnerState& runner) const {
  return runner.entry.backend == input_.backend && runner.Usable() && !runner.missing_since &&
         !input_.unreachable->contains(runner.entry.id);
}

const TotalDemand& LoadPlanner::DemandFor(const ModelName& model) const {
  static const TotalDemand kNone;
  const auto found = input_.demand->find({input_.backend, model, AdapterName()});
  return found == input_.demand->end() ? kNone : found->second;
}

void LoadPlanner::AllocateLimits() {
  if (input_.limits.empty()) return;
  std::set<ModelName> held_without_limit;
  for (const RunnerState* runner : fleet_.eligible) {
    if (input_.limits.contains(runner->entry.id)) continue;
    for (const auto& [model, adapters] : runner->entry.holdings.models) {
      held_without_limit.insert(model);
    }
  }
  for (const RunnerState* runner : fleet_.eligible) {
    const auto limit = input_.limits.find(runner->entry.id);
    if (limit == input_.limits.end()) continue;
    std::vector<LimitAllocation::HeldModel> held;
    for (const auto& [model, adapters] : runner->entry.holdings.models) {
      held.push_back({model, DemandFor(model).calls_per_s, held_without_limit.contains(model)});
    }
    fleet_.limits.Add(runner->entry.id, limit->second, held);
  }
}

bool LoadPlanner::Quarantined(const ModelName& model, const AdapterName& adapter,
                              SteadyTime now) const {
  return input_.quarantine != nullptr &&
         input_.quarantine->Match(TraitsOfEntry(input_.backend, model, adapter), now);
}

void LoadPlanner::UpdateFleetSummary() {
  fleet_ = FleetSummary();
  for (const auto& [name, spec] : input_.engine->models) {
    if (spec.adapters > 0) {
      fleet_.largest_adapter_mb = std::max(fleet_.largest_adapter_mb, spec.adapter_mb);
    }
  }
  for (const auto& [key, total] : *input_.demand) {
    if (key.backend != input_.backend || !key.adapter.empty()) continue;
    for (const auto& [runner, count] : total.in_flight_at) fleet_.in_flight[runner] += count;
  }
  for (const auto& [id, runner] : view_->runners()) {
    if (!Eligible(runner)) continue;
    const Holdings& holdings = runner.entry.holdings;
    fleet_.eligible.push_back(&runner);
    fleet_.local_copies.insert(holdings.in_memory.begin(), holdings.in_memory.end());
    fleet_.local_copies.insert(holdings.on_disk.begin(), holdings.on_disk.end());
    fleet_.most_free_mb = std::max(fleet_.most_free_mb, FreeMb(runner) - AdapterReserveMb(runner));
  }
  fleet_.balance =
      policy_->balance == BalanceScope::kAll ||
      std::any_of(fleet_.eligible.begin(), fleet_.eligible.end(), [&](const RunnerState* runner) {
        return input_.pace.contains(runner->entry.id);
      });
  AllocateLimits();
  std::map<ModelName, uint64_t> holders;
  for (const RunnerState* runner : fleet_.eligible) {
    for (const auto& [model, adapters] : runner->entry.holdings.models) {
      ++holders[model];
      const bool serves = fleet_.limits.Serves(runner->entry.id, model);
      if (serves && fleet_.limits.Sufficient(model)) ++fleet_.replicas[model];
    }
  }
  for (const RunnerState* runner : fleet_.eligible) {
    double& rate = fleet_.calls_per_s[runner->entry.id];
    for (const auto& [model, adapters] : runner->entry.holdings.models) {
      rate += DemandFor(model).calls_per_s / static_cast<double>(holders.at(model));
    }
    fleet_.mean_calls_per_s += rate / static_cast<double>(fleet_.eligible.size());
  }
  for (const Order& order : tracker_->PendingLoads()) {
    const RunnerState* runner = view_->Find(order.runner);
    if (runner == nullptr || !runner->Usable() || runner->entry.backend != input_.backend) continue;
    fleet_.loading.emplace(order.model, order.adapter);
  }
}

bool LoadPlanner::Loading(const ModelName& model, const AdapterName& adapter) const {
  return fleet_.loading.contains({model, adapter});
}

bool LoadPlanner::Reserved(const ModelName& model) const {
  return std::any_of(reservations_.begin(), reservations_.end(), [&](const auto& entry) {
    return entry.second.model == model && entry.second.backend == input_.backend;
  });
}

bool LoadPlanner::HasLocalCopy(const ModelName& model) const {
  return fleet_.local_copies.contains(model);
}

double LoadPlanner::FreeMb(const RunnerState& runner) const {
  double free = input_.engine->weights_mb;
  const auto adapter_mb = [&](const ModelName& name, size_t count) {
    const auto spec = input_.engine->models.find(name);
    return spec == input_.engine->models.end()
               ? 0.0
               : spec->second.adapter_mb * static_cast<double>(count);
  };
  for (const auto& [name, adapters] : runner.entry.holdings.models) {
    const auto spec = input_.engine->models.find(name);
    // The size of a model that is not in the configuration is unknown: assume that it fills the
    // memory.
    if (spec == input_.engine->models.end()) return 0;
    free -= spec->second.weights_mb + adapter_mb(name, adapters.size());
  }
  for (const auto& [name, adapters] : runner.entry.holdings.loading_adapters) {
    free -= adapter_mb(name, adapters.size());
  }
  return free;
}

double LoadPlanner::AdapterReserveMb(const RunnerState& runner) const {
  const uint64_t held = runner.entry.holdings.AdapterCount();
  const uint64_t open = input_.engine->adapter_slots - std::min(held, input_.engine->adapter_slots);
  return fleet_.largest_adapter_mb * static_cast<double>(open);
}

LoadTier LoadPlanner::TierOn(const RunnerState& runner, const ModelName& model) const {
  if (runner.entry.holdings.in_memory.contains(model)) return LoadTier::kMemory;
  if (runner.entry.holdings.on_disk.contains(model)) return LoadTier::kDisk;
  return LoadTier::kStore;
}

bool LoadPlanner::StoreAllows(SteadyTime now) const {
  uint64_t reserved = 0;
  for (const auto& [id, reservation] : reservations_) {
    const RunnerState* runner = view_->Find(id);
    if (runner != nullptr && TierOn(*runner, reservation.model) == LoadTier::kStore &&
        tracker_->Idle(id)) {
      ++reserved;
    }
  }
  if (tracker_->StoreLoadsUnderWay() + reserved >= policy_->store_loads_at_once) return false;
  const std::chrono::duration<double> window = policy_->store_load_window;
  const auto recent = std::count_if(store_loads_.begin(), store_loads_.end(), [&](SteadyTime at) {
    return now - at < Duration(policy_->store_load_window);
  });
  return static_cast<double>(recent) + 1 <= input_.engine->store_loads_per_s * window.count();
}

std::optional<double> LoadPlanner::VictimCost(const RunnerId& runner, const ModelName& model,
                                              const ModelName& wanted, Urgency urgency,
                                              SteadyTime now) const {
  if (urgency == Urgency::kFill) return std::nullopt;
  const auto loaded = loaded_at_.find({runner, model});
  if (loaded != loaded_at_.end() && now - loaded->second < Duration(kMinTimeLoaded)) {
    return std::nullopt;
  }
  const TotalDemand& demand = DemandFor(model);
  if (demand.waiting > 0) return std::nullopt;
  const uint64_t needed = urgency == Urgency::kEven
                              ? std::max(TargetReplicas(model), EvenReplicas(model))
                              : TargetReplicas(model);
  const bool surplus = Replicas(model) > needed;
  const bool recent = demand.since_last_call < policy_->idle_after;
  const bool running = demand.InFlightAt(runner) > 0;
  if (urgency == Urgency::kEven && !surplus) return std::nullopt;
  if (urgency == Urgency::kOverload && !surplus) {
    const double per_replica = DemandFor(wanted).calls_per_s /
                               static_cast<double>(std::max<uint64_t>(1, Replicas(wanted)));
    const double calls_for_load =
        fleet_.limits.Sufficient(wanted) ? per_replica : fleet_.limits.Excess(wanted);
    if (demand.calls_per_s > kDisplacedTrafficShare * calls_for_load) return std::nullopt;
  }
  // An unload waits for running calls, during which the runner takes no other order.
  const bool optional_load =
      urgency == Urgency::kReplica || urgency == Urgency::kPreload || urgency == Urgency::kEven;
  if (optional_load && (running || (!surplus && recent))) return std::nullopt;
  const double reload_ms = static_cast<double>(input_.engine->models.at(model).disk_load.count()) +
                           static_cast<double>(policy_->load_overhead.count());
  const double needed_soon = std::min(1.0, demand.calls_per_s * kReloadHorizonS);
  double cost = surplus ? 0 : reload_ms * needed_soon + demand.calls_per_s * kVictimRateCostMs;
  if (!surplus && recent) cost += kRecentVictimCostMs;
  if (running) cost += kRunningVictimCostMs;
  return cost;
}

std::optional<std::vector<ModelName>> LoadPlanner::Victims(const RunnerState& runner,
                                                           const ModelSpec& wanted, Urgency urgency,
                                                           SteadyTime now, double* cost_ms) const {
  const double need_mb = wanted.weights_mb;
  *cost_ms = 0;
  std::vector<ModelName> victims;
  double free = FreeMb(runner) - AdapterReserveMb(runner);
  if (free >= need_mb) return victims;
  std::vector<std::pair<double, ModelName>> candidates;
  for (const auto& [name, adapters] : runner.entry.holdings.models) {
    if (!input_.engine->models.contains(name)) continue;
    const std::optional<double> cost = VictimCost(runner.entry.id, name, wanted.name, urgency, now);
    if (cost) candidates.emplace_back(*cost, name);
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [cost, name] : candidates) {
    const ModelSpec& spec = input_.engine->models.at(name);
    free += spec.weights_mb;
    *cost_ms += cost + kUnloadCostMs;
    victims.push_back(name);
    if (free >= need_mb) return victims;
  }
  return std::nullopt;
}

bool LoadPlanner::CanSpareRunnerForStoreLoad() const {
  const uint64_t loading = tracker_->StoreLoadsUnderWay() + 1;
  return static_cast<double>(loading) <=
         kStoreLoadShare * static_cast<double>(fleet_.eligible.size());
}

double LoadPlanner::BusyCost(const RunnerId& runner) const {
  const auto found = fleet_.in_flight.find(runner);
  if (found == fleet_.in_flight.end()) return 0;
  const double share =
      static_cast<double>(found->second) / std::max(1.0, static_cast<double>(input_.engine->slots));
  return kFullRunnerCostMs * std::min(1.0, share);
}

bool LoadPlanner::HasUnloadedCopy(const RunnerState& runner) {
  const Holdings& holdings = runner.entry.holdings;
  const auto unloaded = [&](const ModelName& model) { return !holdings.models.contains(model); };
  return std::any_of(holdings.on_disk.begin(), holdings.on_disk.end(), unloaded) ||
         std::any_of(holdings.in_memory.begin(), holdings.in_memory.end(), unloaded);
}

bool LoadPlanner::AnyModelOrderPending(const ModelName& wanted) const {
  const double calls_per_s = DemandFor(wanted).calls_per_s;
  return std::any_of(fleet_.eligible.begin(), fleet_.eligible.end(),
                     [&](const RunnerState* runner) {
                       const RunnerId& id = runner->entry.id;
                       return fleet_.limits.HasRoom(id, calls_per_s) &&
                              (tracker_->ModelOrderPending(id) || reservations_.contains(id));
                     });
}

std::optional<LoadPlanner::Placement> LoadPlanner::BestRunner(const ModelSpec& model,
                                                              Urgency urgency,
                                                              SteadyTime now) const {
  std::optional<Placement> best;
  const bool store_allows = StoreAllows(now);
  const bool spare_runners = CanSpareRunnerForStoreLoad();
  for (const RunnerState* candidate : fleet_.eligible) {
    const RunnerState& runner = *candidate;
    const RunnerId& id = runner.entry.id;
    if (!CanTakeOrder(runner, now) || reservations_.contains(id)) continue;
    if (runner.entry.holdings.models.contains(model.name)) continue;
    if (!fleet_.limits.HasRoom(id, DemandFor(model.name).calls_per_s)) continue;
    const LoadTier tier = TierOn(runner, model.name);
    if (tier == LoadTier::kStore && !store_allows) continue;
    if (tier == LoadTier::kStore && urgency == Urgency::kEven &&
        EvenReplicas(model.name) < kStoreLoadEvenness * Replicas(model.name)) {
      continue;
    }
    if (tier == LoadTier::kStore && urgency != Urgency::kWaiting && !spare_runners &&
        HasUnloadedCopy(runner)) {
      continue;
    }
    double cost = 0;
    if (!Victims(runner, model, urgency, now, &cost)) continue;
    const Millis load = tier == LoadTier::kStore  ? model.store_load
                        : tier == LoadTier::kDisk ? model.disk_load
                                                  : model.memory_load;
    cost += static_cast<double>(load.count()) + BusyCost(id) + TrafficCost(id, model.name);
    if (best && cost >= best->cost_ms) continue;
    best = Placement{id, tier, cost};
  }
  // Waiting for a runner that is finishing an order may be cheaper than waiting for running calls
  // to end.
  if (best && best->cost_ms >= kRunningVictimCostMs && AnyModelOrderPending(model.name)) {
    return std::nullopt;
  }
  return best;
}

void LoadPlanner::Reserve(const ModelSpec& model, Urgency urgency, const char* reason,
                          SteadyTime now) {
  if (Quarantined(model.name, AdapterName(), now)) return;
  const std::optional<Placement> place = BestRunner(model, urgency, now);
  if (!place) return;
  reservations_[place->runner] =
      Reservation{input_.backend, model.name, urgency, now + kReservationTimeout, reason};
}

void LoadPlanner::DropStaleReservations(SteadyTime now) {
  std::erase_if(reservations_, [&](const auto& entry) {
    if (entry.second.backend != input_.backend) return false;
    const RunnerState* runner = view_->Find(entry.first);
    if (runner == nullptr || !Eligible(*runner)) return true;
    if (!tracker_->Idle(entry.first)) return false;
    return now >= entry.second.until || runner->entry.holdings.models.contains(entry.second.model);
  });
}

void LoadPlanner::ReserveForWaiting(SteadyTime now) {
  std::map<ModelName, Millis> waiting;
  for (const auto& [key, total] : *input_.demand) {
    if (key.backend != input_.backend || total.waiting == 0) continue;
    const auto [entry, added] = waiting.try_emplace(key.model, total.least_time_left);
    if (!added) entry->second = std::min(entry->second, total.least_time_left);
  }
  std::vector<std::pair<Millis, ModelName>> order;
  for (const auto& [model, left] : waiting) {
    if (Replicas(model) > 0 || Reserved(model)) continue;
    if (Loading(model, AdapterName())) continue;
    order.emplace_back(left, model);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [left, model] : order) {
    const auto spec = input_.engine->models.find(model);
    if (spec != input_.engine->models.end()) {
      Reserve(spec->second, Urgency::kWaiting, "calls-wait", now);
    }
  }
}

void LoadPlanner::ReservePreloads(SteadyTime now) {
  if (tracker_->StoreLoadsUnderWay() + 1 >= policy_->store_loads_at_once) return;
  for (const auto& [name, spec] : input_.engine->models) {
    if (Replicas(name) > 0 || HasLocalCopy(name) || Reserved(name)) continue;
    if (Loading(name, AdapterName())) continue;
    Reserve(spec, Urgency::kPreload, "no-copy", now);
    return;
  }
}

void LoadPlanner::ReserveFill(SteadyTime now) {
  std::vector<std::pair<double, ModelName>> absent;
  for (const auto& [name, spec] : input_.engine->models) {
    if (spec.weights_mb > fleet_.most_free_mb) continue;
    if (Replicas(name) > 0 || Reserved(name)) continue;
    if (Loading(name, AdapterName())) continue;
    absent.emplace_back(-DemandFor(name).calls_per_s, name);
  }
  std::sort(absent.begin(), absent.end());
  for (const auto& [rate, name] : absent) {
    Reserve(input_.engine->models.at(name), Urgency::kFill, "free-memory", now);
  }
}

Order LoadPlanner::MakeOrder(const RunnerState& runner, OrderKind kind, const ModelName& model,
                             const AdapterName& adapter) const {
  Order order;
  order.runner = runner.entry.id;
  order.kind = kind;
  order.model = model;
  order.adapter = adapter;
  order.expected = runner.sequence;
  order.born = runner.entry.born;
  order.duration = kShortOrderDuration;
  if (kind == OrderKind::kUnload || !adapter.empty()) {
    order.cannot_be_delayed = !adapter.empty() || DemandFor(model).InFlightAt(runner.entry.id) == 0;
    return order;
  }
  const ModelSpec& spec = input_.engine->models.at(model);
  order.tier = TierOn(runner, model);
  order.duration = order.tier == LoadTier::kStore  ? spec.store_load
                   : order.tier == LoadTier::kDisk ? spec.disk_load
                                                   : spec.memory_load;
  return order;
}

void LoadPlanner::ContinueReservations(SteadyTime now, std::vector<PlannedOrder>* plan) {
  for (const auto& [id, reservation] : reservations_) {
    if (reservation.backend != input_.backend) continue;
    const RunnerState* runner = view_->Find(id);
    if (runner == nullptr || !CanTakeOrder(*runner, now)) continue;
    const auto spec = input_.engine->models.find(reservation.model);
    if (spec == input_.engine->models.end()) continue;
    if (Quarantined(reservation.model, AdapterName(), now)) continue;
    double cost = 0;
    const auto victims = Victims(*runner, spec->second, reservation.urgency, now, &cost);
    if (!victims) continue;
    if (!victims->empty()) {
      plan->push_back({MakeOrder(*runner, OrderKind::kUnload, victims->front(), AdapterName()),
                       reservation.reason});
      continue;
    }
    PlannedOrder load{MakeOrder(*runner, OrderKind::kLoad, reservation.model, AdapterName()),
                      reservation.reason};
    if (load.order.tier == LoadTier::kStore) store_loads_.push_back(now);
    plan->push_back(load);
  }
  while (!store_loads_.empty() &&
         now - store_loads_.front() > Duration(policy_->store_load_window)) {
    store_loads_.pop_front();
  }
}

std::vector<PlannedOrder> LoadPlanner::Plan(const Input& input, SteadyTime now) {
  input_ = input;
  UpdateFleetSummary();
  UpdateMeanRates(now);
  std::vector<PlannedOrder> plan;
  DropStaleReservations(now);
  // An overloaded model loses more calls than a rare one that waits, and the rare ones would take
  // each runner as soon as it is free.
  ReserveReplicas(true, now);
  ReserveForWaiting(now);
  ReserveReplicas(false, now);
  ReservePreloads(now);
  ReserveFill(now);
  ReserveEven(now);
  ContinueReservations(now, &plan);
  PlanAdapters(now, &plan);
  return plan;
}

void LoadPlanner::OnLoaded(const Order& order, SteadyTime now) {
  if (order.kind != OrderKind::kLoad || !order.adapter.empty()) return;
  loaded_at_[{order.runner, order.model}] = now;
  std::erase_if(loaded_at_,
                [&](const auto& entry) { return now - entry.second > Duration(kMinTimeLoaded); });
  const auto reservation = reservations_.find(order.runner);
  if (reservation != reservations_.end() && reservation->second.model == order.model) {
    reservations_.erase(reservation);
  }
}

void LoadPlanner::OnOrderFailed(const RunnerId& runner, SteadyTime now) {
  avoid_until_[runner] = now + kAvoidAfterFailure;
  reservations_.erase(runner);
}

void LoadPlanner::Clear() {
  avoid_until_.clear();
  reservations_.clear();
  loaded_at_.clear();
  mean_rates_.clear();
  mean_rates_at_.clear();
}

}  // namespace shallot::gateway
