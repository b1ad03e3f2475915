#include <algorithm>

#include "core/log.h"
#include "core/test_defects.h"
#include "servers/load_scheduler.h"

namespace shallot {
namespace {

constexpr Millis kUnloadRetry{1000};

}  // namespace

bool LoadScheduler::HasAdapters(const EntryId& base) const {
  return std::any_of(entries_.begin(), entries_.end(), [&base](const auto& item) {
    const Entry& entry = item.second;
    return IsAdapter(entry) && entry.info.base == base && entry.phase != Phase::kAbsent;
  });
}

/// Returns true if no call uses or waits for the entry and no load or unload of it is pending. For
/// a base model the same must hold for its adapters.
bool LoadScheduler::IsIdleGroup(const EntryId& id) const {
  return std::all_of(entries_.begin(), entries_.end(), [this, &id](const auto& item) {
    const Entry& entry = item.second;
    if (entry.info.id != id && entry.info.base != id) return true;
    if (entry.wanted_pass == pass_ || host_->RunningCalls(entry.info.id) > 0) return false;
    return entry.phase == Phase::kLoaded || entry.phase == Phase::kAbsent;
  });
}

/// Reload cost times the estimated probability of reuse, which falls with the idle time. The entry
/// with the lowest score is evicted first.
double LoadScheduler::EvictionScore(const Entry& entry) const {
  const std::chrono::duration<double> idle = clock_->SteadyNow() - entry.last_used;
  const std::chrono::duration<double> reload = EstimatedLoadTime(entry);
  return reload.count() / (1.0 + idle.count());
}

uint64_t LoadScheduler::BytesBeingFreed() const {
  uint64_t bytes = 0;
  for (const auto& [id, entry] : entries_) {
    const bool leaving =
        entry.phase == Phase::kUnloading || (entry.phase == Phase::kLoaded && entry.retiring);
    if (leaving) bytes += ledger_.ReservedFor(id).value();
  }
  return bytes;
}

void LoadScheduler::EvictFor(uint64_t needed) {
  std::vector<const Entry*> candidates;
  uint64_t evictable = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.phase != Phase::kLoaded || entry.retiring || !IsIdleGroup(id)) continue;
    candidates.push_back(&entry);
    evictable += ledger_.ReservedFor(id).value();
  }
  uint64_t available_soon = ledger_.available().value() + BytesBeingFreed();
  // Evicts nothing if the idle entries are not enough; running calls may end in time.
  if (available_soon + evictable < needed) return;
  std::sort(candidates.begin(), candidates.end(), [this](const Entry* a, const Entry* b) {
    return EvictionScore(*a) < EvictionScore(*b);
  });
  for (const Entry* victim : candidates) {
    if (available_soon >= needed) return;
    if (victim->retiring) continue;
    const uint64_t before = BytesBeingFreed();
    RetireGroup(victim->info.id);
    available_soon += BytesBeingFreed() - before;
    metrics_->GetCounter("shallot_agent_evictions_total").Add();
  }
}

void LoadScheduler::RetireGroup(const EntryId& id) {
  for (auto& [other, entry] : entries_) {
    if (entry.phase != Phase::kLoaded) continue;
    if (other == id || entry.info.base == id) entry.retiring = true;
  }
}

bool LoadScheduler::MustRetire(const Entry& entry) const {
  const EntryId& id = entry.info.id;
  if (entry.retiring || releasing_all_ || host_->MustUnload(id)) return true;
  const bool adapter = IsAdapter(entry);
  if (adapter && host_->MustUnload(entry.info.base)) return true;
  const CatalogEntry* configured = config_->FindEntry(id);
  if (configured != nullptr && configured->version != entry.info.version) return true;
  if (entry.wanted_pass == pass_ || host_->RunningCalls(id) > 0) return false;
  if (!adapter && HasAdapters(id)) return false;
  return clock_->SteadyNow() - entry.last_used > host_->KeepAlive(id);
}

void LoadScheduler::UnloadRetired() {
  for (auto& [id, entry] : entries_) {
    if (entry.phase == Phase::kLoaded && MustRetire(entry)) RetireGroup(id);
  }
  const SteadyTime now = clock_->SteadyNow();
  for (auto& [id, entry] : entries_) {
    if (entry.phase != Phase::kLoaded || !entry.retiring || now < entry.retry_at) continue;
    if (host_->RunningCalls(id) > 0) continue;
    if (HasAdapters(id)) continue;
    StartUnload(entry);
  }
}

void LoadScheduler::StartUnload(Entry& entry) {
  metrics_->GetCounter("shallot_agent_unloads_total").Add();
  SetPhase(entry, Phase::kUnloading);
  const EntryId id = entry.info.id;
  if (HasDefect(TestDefect::kReleaseMemoryEarly)) ledger_.Release(id);
  const std::weak_ptr<LoadScheduler*> weak = self_;
  engine_->Unload(OrderFor(entry), [weak, id](const Status& status) {
    if (const auto self = weak.lock()) (*self)->OnUnloadDone(id, status);
  });
}

void LoadScheduler::OnUnloadDone(const EntryId& id, const Status& status) {
  Entry& entry = GetOrAdd(id);
  if (entry.phase != Phase::kUnloading) return;
  if (IsOk(status)) {
    OnUnloaded(entry);
    return;
  }
  LogWarning("load", "unload of " + id.value() + ": " + FormatError(ErrorOf(status)));
  const ErrorKind kind = ErrorOf(status).kind;
  const bool not_unloaded = kind == ErrorKind::kUnavailable || kind == ErrorKind::kFenced ||
                            kind == ErrorKind::kResourceExhausted;
  if (not_unloaded) {
    SetPhase(entry, Phase::kLoaded);
    entry.retry_at = clock_->SteadyNow() + kUnloadRetry;
    return;
  }
  // Also applies to kNotFound: only the inventory proves that the memory is free.
  SetPhase(entry, Phase::kUnsettled);
  next_inventory_ = clock_->SteadyNow();
}

void LoadScheduler::OnUnloaded(Entry& entry) {
  ledger_.Release(entry.info.id);
  entry.retiring = false;
  SetPhase(entry, Phase::kAbsent);
}

}  // namespace shallot
