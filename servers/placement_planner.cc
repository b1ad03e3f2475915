#include "servers/placement_planner.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/hashing.h"
#include "servers/placement_codec.h"

namespace shallot {
namespace {

/// Bonus for a runner that already has the checkpoint, as a fraction of its memory. A loaded entry
/// outweighs any imbalance below half of the memory.
constexpr double kLoadedBonus = 0.5;
constexpr double kInMemoryBonus = 0.3;
constexpr double kOnDiskBonus = 0.15;
/// Fixed cost per slot, which also spreads entries with little memory.
constexpr double kSlotCost = 0.01;
/// Memory assumed for a runner that has not reported its capacity, in bytes.
constexpr uint64_t kAssumedCapacityBytes = 80ULL << 30U;
/// A slot is moved for balance only if the other runner is cheaper by this fraction of the memory.
constexpr double kMinMoveGain = 0.3;

struct RunnerUsage {
  const PlannerRunner* runner = nullptr;
  uint64_t bytes = 0;
  uint64_t slots = 0;

  double UsageCost() const {
    const uint64_t known = runner->memory_capacity.value();
    const auto capacity = static_cast<double>(known == 0 ? kAssumedCapacityBytes : known);
    return static_cast<double>(bytes) / capacity + kSlotCost * static_cast<double>(slots);
  }
  bool AcceptsSlots() const {
    return runner->state == PlannerRunner::State::kLive && runner->serving;
  }
};

uint64_t FootprintBytes(const CatalogEntry& entry) {
  return entry.size.value() + entry.kv_cache.value();
}

double CacheBonus(const PlannerRunner& runner, const EntryId& entry) {
  if (runner.loaded.contains(entry)) return kLoadedBonus;
  if (runner.cached_in_memory.contains(entry)) return kInMemoryBonus;
  return runner.cached_on_disk.contains(entry) ? kOnDiskBonus : 0;
}

class Planner {
 public:
  explicit Planner(const PlannerInput& input) : input_(input) {}

  std::vector<Slot> Run() {
    IndexRunners();
    CarryOverSlots();
    // Models first: an adapter is placed only where its base model has a slot.
    for (const LoadKind kind : {LoadKind::kModel, LoadKind::kAdapter}) {
      for (const CatalogEntry* entry : entries_) {
        if (entry->kind == kind) PlanEntry(*entry);
      }
    }
    if (!changed_) MoveOneForBalance();
    return Collect();
  }

 private:
  using SlotList = std::vector<Slot>;

  void IndexRunners() {
    for (const PlannerRunner& runner : input_.runners) {
      const auto other = input_.other_shard_bytes.find(runner.id);
      usages_[runner.id] = {&runner, other == input_.other_shard_bytes.end() ? 0 : other->second,
                            0};
      by_backend_[runner.backend].push_back(runner.id);
    }
    for (auto& [backend, ids] : by_backend_) std::sort(ids.begin(), ids.end());
    for (const auto& [id, entry] : input_.config->entries) {
      if (ShardOf(entry.base, input_.config->shard_count) != input_.shard) continue;
      entries_.push_back(&entry);
      uint64_t& base_wanted = base_wanted_[entry.base];
      base_wanted = std::max(base_wanted, WantedReplicas(entry));
      const auto demand = input_.wanted.find(id);
      if (demand != input_.wanted.end() && demand->second > 0) in_demand_.insert(entry.base);
    }
  }

  void CarryOverSlots() {
    for (const Slot& slot : input_.slots) {
      Generation& highest = highest_generation_[slot.entry];
      highest = std::max(highest, slot.generation);
      const auto usage = usages_.find(slot.runner);
      if (usage == usages_.end()) {
        changed_ = true;
        continue;
      }
      SlotList& kept = slots_[slot.entry];
      kept.push_back(slot);
      changed_ = changed_ || slot.state == SlotState::kReleasing;
      AddUsage(slot.entry, &usage->second);
      if (slot.state == SlotState::kActive && !MayStay(slot, *usage->second.runner)) {
        Release(&kept.back());
      }
    }
  }

  void AddUsage(const EntryId& entry, RunnerUsage* usage) {
    const CatalogEntry* known = input_.config->FindEntry(entry);
    usage->bytes += known == nullptr ? 0 : FootprintBytes(*known);
    ++usage->slots;
  }

  /// Returns false if the entry must not stay on the runner.
  bool MayStay(const Slot& slot, const PlannerRunner& runner) const {
    const CatalogEntry* entry = input_.config->FindEntry(slot.entry);
    if (entry == nullptr || entry->backend != runner.backend) return false;
    if (ShardOf(entry->base, input_.config->shard_count) != input_.shard) return false;
    return runner.state != PlannerRunner::State::kLeaving;
  }

  /// Assigns a new generation, so that only an agent that saw the releasing slot can confirm the
  /// release. A confirmation with the old generation, for a slot that the runner had released on
  /// its own, does not match.
  void Release(Slot* slot) {
    Generation& highest = highest_generation_[slot->entry];
    highest = std::max(highest.Next(), input_.min_new_generation);
    slot->generation = highest;
    slot->state = SlotState::kReleasing;
    changed_ = true;
  }

  uint64_t WantedReplicas(const CatalogEntry& entry) const {
    const auto it = input_.wanted.find(entry.id);
    const uint64_t wanted = it == input_.wanted.end() ? 0 : it->second;
    return std::clamp(wanted, entry.policy.min_replicas, entry.policy.max_replicas);
  }

  /// A model needs as many replicas as its adapter with the highest demand.
  uint64_t TargetReplicas(const CatalogEntry& entry) const {
    if (entry.kind == LoadKind::kAdapter) return WantedReplicas(entry);
    return std::min(base_wanted_.at(entry.id), entry.policy.max_replicas);
  }

  void PlanEntry(const CatalogEntry& entry) {
    SlotList& slots = slots_[entry.id];
    if (entry.kind == LoadKind::kAdapter) ReleaseWithoutBase(entry, &slots);
    const uint64_t target = TargetReplicas(entry);
    while (CountServing(slots) < target && slots.size() < entry.policy.max_replicas) {
      if (!AddSlot(entry, &slots)) break;
    }
    // The replacement for a runner that does not serve stays within the maximum. The surplus is
    // released once that runner serves again or is gone.
    while (CountServing(slots) > target) ReleaseWorst(entry, &slots);
    while (CountActive(slots) > entry.policy.max_replicas) ReleaseWorst(entry, &slots);
  }

  void ReleaseWithoutBase(const CatalogEntry& entry, SlotList* slots) {
    for (Slot& slot : *slots) {
      if (slot.state == SlotState::kActive && !HasActive(entry.base, slot.runner)) Release(&slot);
    }
  }

  bool HasActive(const EntryId& entry, const RunnerId& runner) const {
    const auto it = slots_.find(entry);
    if (it == slots_.end()) return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const Slot& slot) {
      return slot.runner == runner && slot.state == SlotState::kActive;
    });
  }

  static uint64_t CountActive(const SlotList& slots) {
    return static_cast<uint64_t>(std::count_if(slots.begin(), slots.end(), [](const Slot& slot) {
      return slot.state == SlotState::kActive;
    }));
  }

  /// Number of active slots on runners that can serve them.
  uint64_t CountServing(const SlotList& slots) const {
    return static_cast<uint64_t>(std::count_if(slots.begin(), slots.end(), [&](const Slot& slot) {
      return slot.state == SlotState::kActive && usages_.at(slot.runner).AcceptsSlots();
    }));
  }

  /// Number of active slots in the failure domain of `runner`.
  uint64_t CountInDomain(const SlotList& slots, const PlannerRunner& runner) const {
    uint64_t count = 0;
    for (const Slot& slot : slots) {
      if (slot.state != SlotState::kActive) continue;
      count += usages_.at(slot.runner).runner->failure_domain == runner.failure_domain ? 1 : 0;
    }
    return count;
  }

  static bool HasSlot(const SlotList& slots, const RunnerId& runner) {
    return std::any_of(slots.begin(), slots.end(),
                       [&](const Slot& slot) { return slot.runner == runner; });
  }

  bool CanPlace(const CatalogEntry& entry, const SlotList& slots, const RunnerUsage& usage) const {
    if (!usage.AcceptsSlots() || usage.runner->backend != entry.backend) return false;
    if (HasSlot(slots, usage.runner->id)) return false;
    if (entry.kind == LoadKind::kAdapter && !HasActive(entry.base, usage.runner->id)) return false;
    const uint64_t capacity = usage.runner->memory_capacity.value();
    return capacity == 0 || FootprintBytes(entry) <= capacity;
  }

  static double CostOf(const CatalogEntry& entry, const RunnerUsage& usage) {
    return usage.UsageCost() - CacheBonus(*usage.runner, entry.id);
  }

  /// Limits the candidates of an adapter to the few runners of its base model, because most entries
  /// are adapters.
  std::vector<RunnerId> CandidatesFor(const CatalogEntry& entry) {
    if (entry.kind == LoadKind::kModel) return by_backend_[entry.backend];
    std::vector<RunnerId> runners;
    for (const Slot& slot : slots_[entry.base]) runners.push_back(slot.runner);
    return runners;
  }

  /// Returns the cheapest runner in the failure domain with the fewest slots of the entry, or null
  /// if no runner is eligible.
  RunnerUsage* ChooseRunner(const CatalogEntry& entry, const SlotList& slots) {
    RunnerUsage* best = nullptr;
    std::tuple<uint64_t, double, uint64_t> best_rank;
    for (const RunnerId& id : CandidatesFor(entry)) {
      RunnerUsage& usage = usages_.at(id);
      if (!CanPlace(entry, slots, usage)) continue;
      // The inverted rendezvous weight breaks ties in a different order for each entry.
      const std::tuple<uint64_t, double, uint64_t> rank{
          CountInDomain(slots, *usage.runner), CostOf(entry, usage),
          ~RendezvousWeight(entry.id.value(), id.value())};
      if (best != nullptr && rank >= best_rank) continue;
      best = &usage;
      best_rank = rank;
    }
    return best;
  }

  bool AddSlot(const CatalogEntry& entry, SlotList* slots) {
    RunnerUsage* usage = ChooseRunner(entry, *slots);
    if (usage == nullptr) return false;
    Generation& highest = highest_generation_[entry.id];
    highest = std::max(highest.Next(), input_.min_new_generation);
    slots->push_back(Slot{entry.id, usage->runner->id, highest, SlotState::kActive});
    AddUsage(entry.id, usage);
    changed_ = true;
    return true;
  }

  /// Releases the least useful slot. Prefers, in this order, a slot on a runner that does not
  /// serve, an entry that is not loaded, the failure domain with the most slots, and the runner
  /// with the highest cost.
  void ReleaseWorst(const CatalogEntry& entry, SlotList* slots) {
    Slot* worst = nullptr;
    std::tuple<bool, bool, uint64_t, double> worst_rank;
    for (Slot& slot : *slots) {
      const RunnerUsage& usage = usages_.at(slot.runner);
      if (slot.state != SlotState::kActive) continue;
      const std::tuple<bool, bool, uint64_t, double> rank{
          !usage.AcceptsSlots(), !usage.runner->loaded.contains(entry.id),
          CountInDomain(*slots, *usage.runner), CostOf(entry, usage)};
      if (worst != nullptr && rank <= worst_rank) continue;
      worst = &slot;
      worst_rank = rank;
    }
    if (worst != nullptr) Release(worst);
  }

  /// Releases one slot that is not loaded and for which another runner is much cheaper. The slot is
  /// released before its replacement exists, so only idle entries and entries with another active
  /// slot are moved.
  void MoveOneForBalance() {
    for (const CatalogEntry* entry : entries_) {
      if (entry->kind != LoadKind::kModel) continue;
      SlotList& slots = slots_[entry->id];
      for (Slot& slot : slots) {
        if (slot.state != SlotState::kActive || !HasCheaperRunner(*entry, slots, slot)) continue;
        Release(&slot);
        // In the same plan, so that no adapter stays active on a runner that releases its base.
        for (const CatalogEntry* adapter : entries_) {
          if (adapter->kind != LoadKind::kAdapter || adapter->base != entry->id) continue;
          ReleaseWithoutBase(*adapter, &slots_[adapter->id]);
        }
        return;
      }
    }
  }

  bool HasCheaperRunner(const CatalogEntry& entry, const SlotList& slots, const Slot& slot) {
    RunnerUsage& current = usages_.at(slot.runner);
    if (!current.AcceptsSlots() || current.runner->loaded.contains(entry.id)) return false;
    // Calls for an adapter need its base model too.
    if (in_demand_.contains(entry.id) && CountServing(slots) < 2) return false;
    // Evaluates the choice without the slot, as a later plan will after the release.
    SlotList others = slots;
    std::erase(others, slot);
    const RunnerUsage saved = current;
    current.bytes -= FootprintBytes(entry);
    --current.slots;
    const RunnerUsage* other = ChooseRunner(entry, others);
    const bool cheaper =
        other != nullptr && other != &current &&
        CountInDomain(others, *other->runner) <= CountInDomain(others, *current.runner) &&
        CostOf(entry, *other) + kMinMoveGain < CostOf(entry, current);
    current = saved;
    return cheaper;
  }

  std::vector<Slot> Collect() {
    std::vector<Slot> all;
    for (const auto& [entry, slots] : slots_) all.insert(all.end(), slots.begin(), slots.end());
    SortSlots(&all);
    return all;
  }

  const PlannerInput& input_;
  /// True if the plan differs from the input or any slot is releasing; no slot is moved for balance
  /// then.
  bool changed_ = false;
  std::vector<const CatalogEntry*> entries_;
  std::unordered_map<RunnerId, RunnerUsage> usages_;
  std::unordered_map<BackendName, std::vector<RunnerId>> by_backend_;
  std::unordered_map<EntryId, SlotList> slots_;
  std::unordered_map<EntryId, uint64_t> base_wanted_;
  /// Models with demand for themselves or for one of their adapters.
  std::unordered_set<EntryId> in_demand_;
  std::unordered_map<EntryId, Generation> highest_generation_;
};

}  // namespace

std::vector<Slot> PlanPlacement(const PlannerInput& input) { return Planner(input).Run(); }

}  // namespace shallot
