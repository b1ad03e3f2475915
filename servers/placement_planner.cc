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
constexpr uint64_t kAssumedCapacity = 80ULL << 30U;
/// A slot is moved for balance only if the other runner is cheaper by this fraction of the memory.
constexpr double kMoveGain = 0.3;

struct RunnerUse {
  const PlannerRunner* runner = nullptr;
  uint64_t bytes = 0;
  uint64_t slots = 0;

  double Load() const {
    const uint64_t known = runner->memory_capacity.value();
    const auto capacity = static_cast<double>(known == 0 ? kAssumedCapacity : known);
    return static_cast<double>(bytes) / capacity + kSlotCost * static_cast<double>(slots);
  }
  bool TakesNew() const { return runner->state == PlannerRunner::State::kLive && runner->serving; }
};

uint64_t FootprintOf(const CatalogEntry& entry) {
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
    KeepSlots();
    // Models first: an adapter is placed only where its base model has a slot.
    for (const LoadKind kind : {LoadKind::kModel, LoadKind::kAdapter}) {
      for (const CatalogEntry* entry : entries_) {
        if (entry->kind == kind) PlanEntry(*entry);
      }
    }
    if (!changed_) MoveOne();
    return Collect();
  }

 private:
  using SlotList = std::vector<Slot>;

  void IndexRunners() {
    for (const PlannerRunner& runner : input_.runners) {
      const auto other = input_.other_bytes.find(runner.id);
      uses_[runner.id] = {&runner, other == input_.other_bytes.end() ? 0 : other->second, 0};
      by_backend_[runner.backend].push_back(runner.id);
    }
    for (auto& [backend, ids] : by_backend_) std::sort(ids.begin(), ids.end());
    for (const auto& [id, entry] : input_.config->entries) {
      if (ShardOf(entry.base, input_.config->shard_count) != input_.shard) continue;
      entries_.push_back(&entry);
      uint64_t& base_wanted = base_wanted_[entry.base];
      base_wanted = std::max(base_wanted, WantedOf(entry));
      const auto demand = input_.wanted.find(id);
      if (demand != input_.wanted.end() && demand->second > 0) in_demand_.insert(entry.base);
    }
  }

  void KeepSlots() {
    for (const Slot& slot : input_.slots) {
      Generation& highest = highest_[slot.entry];
      highest = std::max(highest, slot.generation);
      const auto use = uses_.find(slot.runner);
      if (use == uses_.end()) {
        changed_ = true;
        continue;
      }
      SlotList& kept = slots_[slot.entry];
      kept.push_back(slot);
      changed_ = changed_ || slot.state == SlotState::kReleasing;
      Occupy(slot.entry, &use->second);
      if (slot.state == SlotState::kActive && !Belongs(slot, *use->second.runner)) {
        Release(&kept.back());
      }
    }
  }

  void Occupy(const EntryId& entry, RunnerUse* use) {
    const CatalogEntry* known = input_.config->FindEntry(entry);
    use->bytes += known == nullptr ? 0 : FootprintOf(*known);
    ++use->slots;
  }

  /// Returns false if the entry must not stay on the runner.
  bool Belongs(const Slot& slot, const PlannerRunner& runner) const {
    const CatalogEntry* entry = input_.config->FindEntry(slot.entry);
    if (entry == nullptr || entry->backend != runner.backend) return false;
    if (ShardOf(entry->base, input_.config->shard_count) != input_.shard) return false;
    return runner.state != PlannerRunner::State::kLeaving;
  }

  /// Assigns a new generation, so that only an agent that saw the releasing slot can confirm the
  /// release. A confirmation with the old generation, for a slot that the runner had released on
  /// its own, does not match.
  void Release(Slot* slot) {
    Generation& highest = highest_[slot->entry];
    highest = std::max(highest.Next(), input_.lowest_new_generation);
    slot->generation = highest;
    slot->state = SlotState::kReleasing;
    changed_ = true;
  }

  uint64_t WantedOf(const CatalogEntry& entry) const {
    const auto it = input_.wanted.find(entry.id);
    const uint64_t wanted = it == input_.wanted.end() ? 0 : it->second;
    return std::clamp(wanted, entry.policy.min_replicas, entry.policy.max_replicas);
  }

  /// A model needs as many replicas as its adapter with the highest demand.
  uint64_t TargetOf(const CatalogEntry& entry) const {
    if (entry.kind == LoadKind::kAdapter) return WantedOf(entry);
    return std::min(base_wanted_.at(entry.id), entry.policy.max_replicas);
  }

  void PlanEntry(const CatalogEntry& entry) {
    SlotList& slots = slots_[entry.id];
    if (entry.kind == LoadKind::kAdapter) ReleaseWithoutBase(entry, &slots);
    const uint64_t target = TargetOf(entry);
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
      if (slot.state == SlotState::kActive && !HoldsActive(entry.base, slot.runner)) Release(&slot);
    }
  }

  bool HoldsActive(const EntryId& entry, const RunnerId& runner) const {
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
      return slot.state == SlotState::kActive && uses_.at(slot.runner).TakesNew();
    }));
  }

  /// Number of active slots in the failure domain of `runner`.
  uint64_t InDomain(const SlotList& slots, const PlannerRunner& runner) const {
    uint64_t count = 0;
    for (const Slot& slot : slots) {
      if (slot.state != SlotState::kActive) continue;
      count += uses_.at(slot.runner).runner->failure_domain == runner.failure_domain ? 1 : 0;
    }
    return count;
  }

  static bool Holds(const SlotList& slots, const RunnerId& runner) {
    return std::any_of(slots.begin(), slots.end(),
                       [&](const Slot& slot) { return slot.runner == runner; });
  }

  bool MayTake(const CatalogEntry& entry, const SlotList& slots, const RunnerUse& use) const {
    if (!use.TakesNew() || use.runner->backend != entry.backend) return false;
    if (Holds(slots, use.runner->id)) return false;
    if (entry.kind == LoadKind::kAdapter && !HoldsActive(entry.base, use.runner->id)) return false;
    const uint64_t capacity = use.runner->memory_capacity.value();
    return capacity == 0 || FootprintOf(entry) <= capacity;
  }

  static double CostOf(const CatalogEntry& entry, const RunnerUse& use) {
    return use.Load() - CacheBonus(*use.runner, entry.id);
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
  RunnerUse* ChooseRunner(const CatalogEntry& entry, const SlotList& slots) {
    RunnerUse* best = nullptr;
    std::tuple<uint64_t, double, uint64_t> best_rank;
    for (const RunnerId& id : CandidatesFor(entry)) {
      RunnerUse& use = uses_.at(id);
      if (!MayTake(entry, slots, use)) continue;
      // The inverted rendezvous weight breaks ties in a different order for each entry.
      const std::tuple<uint64_t, double, uint64_t> rank{
          InDomain(slots, *use.runner), CostOf(entry, use),
          ~RendezvousWeight(entry.id.value(), id.value())};
      if (best != nullptr && rank >= best_rank) continue;
      best = &use;
      best_rank = rank;
    }
    return best;
  }

  bool AddSlot(const CatalogEntry& entry, SlotList* slots) {
    RunnerUse* use = ChooseRunner(entry, *slots);
    if (use == nullptr) return false;
    Generation& highest = highest_[entry.id];
    highest = std::max(highest.Next(), input_.lowest_new_generation);
    slots->push_back(Slot{entry.id, use->runner->id, highest, SlotState::kActive});
    Occupy(entry.id, use);
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
      const RunnerUse& use = uses_.at(slot.runner);
      if (slot.state != SlotState::kActive) continue;
      const std::tuple<bool, bool, uint64_t, double> rank{
          !use.TakesNew(), !use.runner->loaded.contains(entry.id), InDomain(*slots, *use.runner),
          CostOf(entry, use)};
      if (worst != nullptr && rank <= worst_rank) continue;
      worst = &slot;
      worst_rank = rank;
    }
    if (worst != nullptr) Release(worst);
  }

  /// Releases one slot that is not loaded and for which another runner is much cheaper. The slot is
  /// released before its replacement exists, so only idle entries and entries with another active
  /// slot are moved.
  void MoveOne() {
    for (const CatalogEntry* entry : entries_) {
      if (entry->kind != LoadKind::kModel) continue;
      SlotList& slots = slots_[entry->id];
      for (Slot& slot : slots) {
        if (slot.state != SlotState::kActive || !CheaperElsewhere(*entry, slots, slot)) continue;
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

  bool CheaperElsewhere(const CatalogEntry& entry, const SlotList& slots, const Slot& slot) {
    RunnerUse& now = uses_.at(slot.runner);
    if (!now.TakesNew() || now.runner->loaded.contains(entry.id)) return false;
    // Calls for an adapter need its base model too.
    if (in_demand_.contains(entry.id) && CountServing(slots) < 2) return false;
    // Evaluates the choice without the slot, as a later plan will after the release.
    SlotList others = slots;
    std::erase(others, slot);
    const RunnerUse before = now;
    now.bytes -= FootprintOf(entry);
    --now.slots;
    const RunnerUse* other = ChooseRunner(entry, others);
    const bool cheaper = other != nullptr && other != &now &&
                         InDomain(others, *other->runner) <= InDomain(others, *now.runner) &&
                         CostOf(entry, *other) + kMoveGain < CostOf(entry, now);
    now = before;
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
  std::unordered_map<RunnerId, RunnerUse> uses_;
  std::unordered_map<BackendName, std::vector<RunnerId>> by_backend_;
  std::unordered_map<EntryId, SlotList> slots_;
  std::unordered_map<EntryId, uint64_t> base_wanted_;
  /// Models with demand for themselves or for one of their adapters.
  std::unordered_set<EntryId> in_demand_;
  std::unordered_map<EntryId, Generation> highest_;
};

}  // namespace

std::vector<Slot> PlanPlacement(const PlannerInput& input) { return Planner(input).Run(); }

}  // namespace shallot
