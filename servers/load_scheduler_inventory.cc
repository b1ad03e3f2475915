#include <algorithm>
#include <set>

#include "core/log.h"
#include "servers/load_scheduler.h"

namespace shallot {
namespace {

constexpr Millis kInventoryInterval{3000};
/// Interval after a failed request and while an entry is unsettled.
constexpr Millis kInventoryRetry{500};

bool IsHeldPresence(EntryPresence presence) {
  return presence == EntryPresence::kLoading || presence == EntryPresence::kLoaded ||
         presence == EntryPresence::kUnloading;
}

}  // namespace

void LoadScheduler::FetchInventory() {
  if (engine_ == nullptr) return;
  const SteadyTime now = clock_->SteadyNow();
  inventory_pending_ = true;
  inventory_requested_at_ = now;
  next_inventory_ = now + kInventoryInterval;
  const uint64_t request = ++inventory_request_;
  const uint64_t change_at_request = change_number_;
  const std::weak_ptr<LoadScheduler*> weak = self_;
  engine_->FetchInventory(
      [weak, request, change_at_request](const Result<EngineInventory>& result) {
        if (const auto self = weak.lock()) (*self)->OnInventory(request, change_at_request, result);
      });
}

void LoadScheduler::OnInventory(uint64_t request, uint64_t change_at_request,
                                const Result<EngineInventory>& result) {
  if (request != inventory_request_) return;
  inventory_pending_ = false;
  serving_ = IsOk(result);
  if (!serving_) {
    LogWarning("load", "inventory: " + FormatError(ErrorOf(result)));
    next_inventory_ = clock_->SteadyNow() + kInventoryRetry;
    host_->OnInventory(ErrorOf(result).kind == ErrorKind::kUnavailable);
    return;
  }
  const bool entries_lost = ApplyInventory(change_at_request, ValueOf(result));
  inventory_known_ = true;
  host_->OnInventory(entries_lost);
}

bool LoadScheduler::ApplyInventory(uint64_t change_at_request, const EngineInventory& inventory) {
  ledger_.SetCapacity(inventory.memory_capacity);
  concurrency_ = inventory.concurrency;
  cached_in_memory_.clear();
  cached_on_disk_.clear();
  std::set<EntryId> held;
  for (const InventoryItem& item : inventory.items) {
    if (item.presence == EntryPresence::kInHostMemory) cached_in_memory_.push_back(item.entry);
    if (item.presence == EntryPresence::kOnDisk) cached_on_disk_.push_back(item.entry);
    if (!IsHeldPresence(item.presence)) continue;
    held.insert(item.entry);
    Entry& entry = GetOrAdd(item.entry);
    // The answer is outdated for an entry whose order started or ended after the request.
    if (entry.last_change <= change_at_request) ApplyItem(entry, item);
  }
  bool unsettled = false;
  bool entries_lost = false;
  for (auto& [id, entry] : entries_) {
    const bool absent = !held.contains(id) && entry.last_change <= change_at_request;
    if (absent && ApplyAbsence(entry)) entries_lost = true;
    unsettled = unsettled || entry.phase == Phase::kUnsettled;
  }
  if (unsettled) next_inventory_ = std::min(next_inventory_, clock_->SteadyNow() + kInventoryRetry);
  return entries_lost;
}

void LoadScheduler::ApplyItem(Entry& entry, const InventoryItem& item) {
  if (entry.phase == Phase::kLoading || entry.phase == Phase::kUnloading) return;
  const bool loaded = item.presence == EntryPresence::kLoaded;
  if (entry.phase == Phase::kLoaded && loaded) return;
  if (entry.phase == Phase::kAbsent || entry.phase == Phase::kWaiting) {
    // The engine holds an entry that this incarnation of the agent did not load.
    entry.info.kind = item.kind;
    entry.info.size = std::max(entry.info.size, item.size);
    entry.last_used = clock_->SteadyNow();
    ledger_.Adopt(item.entry, Footprint(entry));
    metrics_->GetCounter("shallot_agent_adopted_entries_total").Add();
  }
  entry.info.version = item.version;
  // `last_change` stays unchanged: the inventory caused this change, not an order.
  entry.phase = loaded ? Phase::kLoaded : Phase::kUnsettled;
  entry.phase_since = clock_->SteadyNow();
  if (!loaded) return;
  entry.failures = 0;
  entry.retry_at = clock_->SteadyNow();
  host_->OnLoaded(item.entry);
}

bool LoadScheduler::ApplyAbsence(Entry& entry) {
  const bool was_loaded = entry.phase == Phase::kLoaded;
  if (entry.phase == Phase::kUnsettled || was_loaded) {
    // The engine lost the entry, or an order with an unknown outcome left it unloaded.
    OnUnloaded(entry);
  }
  return was_loaded;
}

std::vector<EntryId> LoadScheduler::Loaded() const {
  std::vector<EntryId> result;
  for (const auto& [id, entry] : entries_) {
    if (entry.phase == Phase::kLoaded && !entry.retiring) result.push_back(id);
  }
  return result;
}

std::map<EntryId, std::string> LoadScheduler::Phases() const {
  static const std::map<Phase, std::string> kNames = {{Phase::kWaiting, "waiting-for-permit"},
                                                      {Phase::kLoading, "loading"},
                                                      {Phase::kLoaded, "loaded"},
                                                      {Phase::kUnloading, "unloading"},
                                                      {Phase::kUnsettled, "unsettled"}};
  std::map<EntryId, std::string> result;
  for (const auto& [id, entry] : entries_) {
    if (entry.phase == Phase::kAbsent) continue;
    result[id] =
        entry.phase == Phase::kLoaded && entry.retiring ? "retiring" : kNames.at(entry.phase);
  }
  return result;
}

void LoadScheduler::CountIdleTime() {
  const SteadyTime now = clock_->SteadyNow();
  const Millis passed = std::chrono::floor<Millis>(now - idle_counted_until_);
  idle_counted_until_ += passed;
  for (const auto& [id, entry] : entries_) {
    if (entry.phase != Phase::kLoaded || IsAdapter(entry) || !IsIdleGroup(id)) continue;
    metrics_->GetCounter("shallot_agent_idle_milliseconds_total")
        .Add(static_cast<uint64_t>(passed.count()));
  }
}

void LoadScheduler::UpdateGauges() {
  metrics_->GetGauge("shallot_agent_memory_reserved_bytes")
      .Set(static_cast<int64_t>(ledger_.reserved().value()));
  metrics_->GetGauge("shallot_agent_memory_capacity_bytes")
      .Set(static_cast<int64_t>(ledger_.capacity().value()));
  metrics_->GetGauge("shallot_agent_loaded_entries").Set(static_cast<int64_t>(Loaded().size()));
}

}  // namespace shallot
