#include "servers/load_scheduler.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace shallot {
namespace {

/// Interval at which a permit request is repeated. After this time without a permit, a load may use
/// the static share.
constexpr Millis kPermitRetryInterval{1000};
/// An inventory request without an answer is repeated after this time.
constexpr Millis kInventoryTimeout{3000};
constexpr Millis kInitialBackoff{500};
constexpr Millis kMaxBackoff{30'000};
/// Load times assumed until a load of the entry has been measured.
constexpr Millis kDefaultModelLoadTime{2000};
constexpr Millis kDefaultAdapterLoadTime{20};
/// Weight of the newest load in the smoothed load time, between 0 and 1.
constexpr double kLoadTimeWeight = 0.3;

Millis Backoff(uint64_t failures) {
  const uint64_t doublings = std::min<uint64_t>(failures, 8) - 1;
  return std::min(kMaxBackoff, kInitialBackoff * (int64_t{1} << doublings));
}

bool IsOutcomeUnknown(const Status& status) {
  if (IsOk(status)) return false;
  const ErrorKind kind = ErrorOf(status).kind;
  return kind == ErrorKind::kUnknownOutcome || kind == ErrorKind::kInternal ||
         kind == ErrorKind::kCancelled;
}

}  // namespace

LoadScheduler::LoadScheduler(Options options, const Clock* clock, ModelEngine* engine,
                             LoadSchedulerHost* host, MetricsRegistry* metrics,
                             InvariantMonitor* invariants)
    : options_(std::move(options)),
      clock_(clock),
      engine_(engine),
      host_(host),
      metrics_(metrics),
      invariants_(invariants),
      next_inventory_(clock->SteadyNow()),
      next_static_load_(clock->SteadyNow()),
      idle_counted_until_(clock->SteadyNow()),
      self_(std::make_shared<LoadScheduler*>(this)) {}

void LoadScheduler::OnConfig(std::shared_ptr<const FleetConfig> config) {
  config_ = std::move(config);
  for (auto& [id, entry] : entries_) {
    const CatalogEntry* configured = config_->FindEntry(id);
    if (configured == nullptr || *configured == entry.info) continue;
    // No order was sent yet; the next pass reserves memory for the new version and size.
    if (entry.phase == Phase::kWaiting) CancelWaiting(entry);
    // Keeps the loaded version: the difference to the configured one retires the entry.
    const std::string loaded_version = entry.info.version;
    const bool held = entry.phase != Phase::kAbsent;
    entry.info = *configured;
    if (held) entry.info.version = loaded_version;
    if (held && ledger_.ReservedFor(id) < Footprint(entry)) ledger_.Adopt(id, Footprint(entry));
  }
}

LoadScheduler::Entry& LoadScheduler::GetOrAdd(const EntryId& id) {
  const auto [found, added] = entries_.try_emplace(id);
  Entry& entry = found->second;
  if (!added) return entry;
  entry.info.id = id;
  entry.info.base = id;
  entry.last_used = clock_->SteadyNow();
  entry.phase_since = clock_->SteadyNow();
  entry.retry_at = clock_->SteadyNow();
  const CatalogEntry* configured = config_ ? config_->FindEntry(id) : nullptr;
  if (configured != nullptr) entry.info = *configured;
  return entry;
}

const LoadScheduler::Entry* LoadScheduler::Find(const EntryId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

Bytes LoadScheduler::Footprint(const Entry& entry) const {
  return Bytes(entry.info.size.value() + entry.info.kv_cache.value());
}

EngineOrder LoadScheduler::OrderFor(const Entry& entry) const {
  EngineOrder order;
  order.entry = entry.info.id;
  order.kind = entry.info.kind;
  if (entry.info.kind == LoadKind::kAdapter) order.base = entry.info.base;
  order.version = entry.info.version;
  order.size = entry.info.size;
  order.fencing = options_.fencing;
  return order;
}

void LoadScheduler::SetPhase(Entry& entry, Phase phase) {
  entry.phase = phase;
  entry.phase_since = clock_->SteadyNow();
  entry.last_change = ++change_number_;
}

Duration LoadScheduler::FallbackLoadTime(LoadKind kind, bool use_default) const {
  if (!use_default) return Duration(0);
  return kind == LoadKind::kModel ? kDefaultModelLoadTime : kDefaultAdapterLoadTime;
}

Duration LoadScheduler::EstimatedLoadTime(const Entry& entry, bool use_default) const {
  if (entry.load_time > Duration::zero()) return entry.load_time;
  return FallbackLoadTime(entry.info.kind, use_default);
}

bool LoadScheduler::IsUsable(const EntryId& id) const {
  const Entry* entry = Find(id);
  if (entry == nullptr || entry->phase != Phase::kLoaded || entry->retiring) return false;
  return !IsAdapter(*entry) || IsUsable(entry->info.base);
}

/// An adapter that is not in the catalogue has no known base model and is treated as a model.
bool LoadScheduler::IsAdapter(const Entry& entry) {
  return entry.info.kind == LoadKind::kAdapter && entry.info.base != entry.info.id;
}

bool LoadScheduler::HasFailed(const EntryId& id) const {
  const Entry* entry = Find(id);
  if (entry == nullptr) return false;
  if (entry->phase == Phase::kAbsent && entry->failures > 0) return true;
  return IsAdapter(*entry) && HasFailed(entry->info.base);
}

bool LoadScheduler::IsHeld(const EntryId& id) const {
  const Entry* entry = Find(id);
  return entry != nullptr && entry->phase != Phase::kAbsent;
}

bool LoadScheduler::LacksMemory(const EntryId& id) const {
  const Entry* entry = Find(id);
  if (entry == nullptr || entry->phase != Phase::kAbsent) return false;
  if (entry->lacks_memory) return true;
  return IsAdapter(*entry) && LacksMemory(entry->info.base);
}

bool LoadScheduler::Empty() const {
  return std::all_of(entries_.begin(), entries_.end(),
                     [](const auto& item) { return item.second.phase == Phase::kAbsent; });
}

Millis LoadScheduler::ExpectedWait(const EntryId& id, bool use_default) const {
  if (IsUsable(id)) return Millis(0);
  const Entry* entry = Find(id);
  const SteadyTime now = clock_->SteadyNow();
  if (entry == nullptr) {
    const CatalogEntry* configured = config_ ? config_->FindEntry(id) : nullptr;
    const LoadKind kind = configured == nullptr ? LoadKind::kModel : configured->kind;
    const Duration load = FallbackLoadTime(kind, use_default);
    const Duration base =
        kind == LoadKind::kModel ? Millis(0) : ExpectedWait(configured->base, use_default);
    return std::chrono::ceil<Millis>(load + base);
  }
  Duration wait = EstimatedLoadTime(*entry, use_default);
  if (entry->phase == Phase::kLoading) {
    wait = std::max(Duration(0), wait - (now - entry->phase_since));
  }
  if (entry->retry_at > now) wait += entry->retry_at - now;
  if (IsAdapter(*entry)) wait += ExpectedWait(entry->info.base, use_default);
  return std::chrono::ceil<Millis>(wait);
}

void LoadScheduler::Touch(const EntryId& id) {
  Entry& entry = GetOrAdd(id);
  entry.last_used = clock_->SteadyNow();
  if (IsAdapter(entry)) GetOrAdd(entry.info.base).last_used = entry.last_used;
}

void LoadScheduler::Advance(std::vector<LoadDemand> demands) {
  if (engine_ == nullptr) return;
  const SteadyTime now = clock_->SteadyNow();
  const bool overdue = inventory_pending_ && now - inventory_requested_at_ >= kInventoryTimeout;
  if (now >= next_inventory_ && (!inventory_pending_ || overdue)) FetchInventory();
  if (!inventory_known_ || !config_) return;
  CountIdleTime();
  ++pass_;
  std::stable_sort(demands.begin(), demands.end(), [](const LoadDemand& a, const LoadDemand& b) {
    return a.deadline < b.deadline;
  });
  for (const LoadDemand& demand : demands) {
    Entry& entry = GetOrAdd(demand.entry);
    entry.wanted_pass = pass_;
    if (IsAdapter(entry)) GetOrAdd(entry.info.base).wanted_pass = pass_;
  }
  for (const LoadDemand& demand : demands) EnsureLoaded(demand.entry, demand.deadline);
  for (auto& [id, entry] : entries_) {
    if (entry.phase == Phase::kWaiting && entry.wanted_pass != pass_) CancelWaiting(entry);
  }
  UnloadRetired();
  UpdateGauges();
}

void LoadScheduler::EnsureLoaded(const EntryId& id, SteadyTime deadline) {
  if (config_->FindEntry(id) == nullptr) {
    host_->OnLoadRefused(id, Reason::kUnknownEntry, Millis(0));
    return;
  }
  Entry& entry = GetOrAdd(id);
  entry.wanted_pass = pass_;
  if (entry.phase == Phase::kWaiting) {
    TryStart(entry, deadline);
    return;
  }
  if (entry.phase != Phase::kAbsent || clock_->SteadyNow() < entry.retry_at) return;
  if (releasing_all_ || !host_->MayLoad(id)) return;
  entry.info = *config_->FindEntry(id);
  if (!EnsureBaseLoaded(entry, deadline) || !ReserveFor(entry)) return;
  SetPhase(entry, Phase::kWaiting);
  entry.permit_id = 0;
  TryStart(entry, deadline);
}

bool LoadScheduler::EnsureBaseLoaded(const Entry& entry, SteadyTime deadline) {
  if (!IsAdapter(entry)) return true;
  const EntryId base = entry.info.base;
  if (!host_->MayLoad(base)) {
    host_->OnLoadRefused(entry.info.id, Reason::kNotGranted, Millis(0));
    return false;
  }
  EnsureLoaded(base, deadline);
  return IsUsable(base);
}

bool LoadScheduler::ReserveFor(Entry& entry) {
  const Bytes need = Footprint(entry);
  if (need > ledger_.capacity()) {
    host_->OnLoadRefused(entry.info.id, Reason::kNoMemory, Millis(0));
    return false;
  }
  entry.lacks_memory = !ledger_.Reserve(entry.info.id, need);
  if (entry.lacks_memory) {
    EvictFor(need.value());
    return false;
  }
  invariants_->Check(Invariant::kMemoryWithinCapacity, ledger_.reserved() <= ledger_.capacity(),
                     "reservation of " + entry.info.id.value());
  return true;
}

void LoadScheduler::TryStart(Entry& entry, SteadyTime deadline) {
  if (!host_->MayLoad(entry.info.id) || releasing_all_) {
    CancelWaiting(entry);
    return;
  }
  const SteadyTime now = clock_->SteadyNow();
  const bool first = entry.permit_id == 0;
  if (first) {
    entry.permit_id = ++next_permit_id_;
    entry.permit_first_requested_at = now;
  }
  bool connected = true;
  if (first || now - entry.permit_requested_at >= kPermitRetryInterval) {
    entry.permit_requested_at = now;
    SendPermitRequest(entry, deadline);
    connected = entry.permit_requested_at == now;
  }
  // The request may have been answered synchronously.
  if (entry.phase != Phase::kWaiting) return;
  if (connected && now - entry.permit_first_requested_at < kPermitRetryInterval) return;
  if (now < next_static_load_) return;
  next_static_load_ = now + options_.static_share_interval;
  metrics_->GetCounter("shallot_agent_static_share_loads_total").Add();
  StartLoad(entry);
}

void LoadScheduler::SendPermitRequest(Entry& entry, SteadyTime deadline) {
  const SteadyTime now = clock_->SteadyNow();
  LoadPermitRequest request;
  request.permit_id = entry.permit_id;
  request.runner = options_.runner;
  request.incarnation = options_.incarnation;
  request.entry = entry.info.id;
  request.kind = entry.info.kind;
  request.remaining = std::max(Millis(0), std::chrono::floor<Millis>(deadline - now));
  for (const auto& [id, other] : entries_) {
    const bool open =
        other.permit_held || other.phase == Phase::kWaiting || other.phase == Phase::kLoading;
    if (open && other.permit_id != 0) request.open_permits.push_back(other.permit_id);
  }
  // Without a connection the next pass repeats the request.
  if (!host_->RequestPermit(request)) entry.permit_requested_at = now - kPermitRetryInterval;
}

void LoadScheduler::OnPermit(const LoadPermit& permit) {
  for (auto& [id, entry] : entries_) {
    if (entry.permit_id != permit.permit_id) continue;
    if (entry.phase == Phase::kLoading) {
      // Sent again, or too late because the load has started from the static share. The permit
      // counts as used until the load ends.
      entry.permit_held = true;
      return;
    }
    if (entry.phase != Phase::kWaiting || !host_->MayLoad(id)) break;
    entry.permit_held = true;
    StartLoad(entry);
    return;
  }
  host_->ReturnPermit(permit.permit_id);
}

void LoadScheduler::StartLoad(Entry& entry) {
  invariants_->Check(Invariant::kReplicasWithinDecision, host_->MayLoad(entry.info.id),
                     "load of " + entry.info.id.value() + " without a slot");
  invariants_->Check(Invariant::kMemoryWithinCapacity,
                     ledger_.ReservedFor(entry.info.id) == Footprint(entry),
                     "load of " + entry.info.id.value() + " without its reservation");
  metrics_->GetCounter("shallot_agent_loads_total").Add();
  SetPhase(entry, Phase::kLoading);
  const EntryId id = entry.info.id;
  const std::weak_ptr<LoadScheduler*> weak = self_;
  engine_->Load(OrderFor(entry), [weak, id](const Status& status) {
    if (const auto self = weak.lock()) (*self)->OnLoadDone(id, status);
  });
}

void LoadScheduler::OnLoadDone(const EntryId& id, const Status& status) {
  Entry& entry = GetOrAdd(id);
  ReturnHeldPermit(entry);
  if (entry.phase != Phase::kLoading) return;
  if (IsOk(status)) {
    OnLoadSucceeded(entry);
    return;
  }
  LogWarning("load", id.value() + ": " + FormatError(ErrorOf(status)));
  if (IsOutcomeUnknown(status)) {
    host_->OnLoadLost(id, entry.phase_since);
    SetPhase(entry, Phase::kUnsettled);
    // Counts as a failure unless the inventory shows the entry as loaded.
    entry.retry_at = clock_->SteadyNow() + Backoff(++entry.failures);
    next_inventory_ = clock_->SteadyNow();
    return;
  }
  const bool out_of_memory = ErrorOf(status).kind == ErrorKind::kResourceExhausted;
  OnLoadFailed(entry, out_of_memory ? Reason::kNoMemory : Reason::kLoadFailed);
}

void LoadScheduler::OnLoadSucceeded(Entry& entry) {
  const SteadyTime now = clock_->SteadyNow();
  const Duration took = now - entry.phase_since;
  metrics_->GetHistogram("shallot_agent_load_seconds").Record(took);
  const auto weight = entry.load_time == Duration::zero() ? 1.0 : kLoadTimeWeight;
  entry.load_time =
      std::chrono::duration_cast<Duration>(entry.load_time * (1 - weight) + took * weight);
  host_->OnLoadMeasured(entry.info.id, std::chrono::ceil<Millis>(entry.load_time));
  entry.failures = 0;
  entry.retiring = false;
  entry.last_used = now;
  SetPhase(entry, Phase::kLoaded);
  host_->OnLoaded(entry.info.id);
}

void LoadScheduler::OnLoadFailed(Entry& entry, Reason reason) {
  metrics_->GetCounter("shallot_agent_load_failures_total").Add();
  ledger_.Release(entry.info.id);
  SetPhase(entry, Phase::kAbsent);
  ++entry.failures;
  const Millis backoff = Backoff(entry.failures);
  entry.retry_at = clock_->SteadyNow() + backoff;
  host_->OnLoadRefused(entry.info.id, reason, backoff);
}

void LoadScheduler::ReturnHeldPermit(Entry& entry) {
  if (!entry.permit_held) return;
  entry.permit_held = false;
  host_->ReturnPermit(entry.permit_id);
}

void LoadScheduler::CancelWaiting(Entry& entry) {
  ledger_.Release(entry.info.id);
  SetPhase(entry, Phase::kAbsent);
  // Withdraws the request; a permit that arrives later is returned too.
  host_->ReturnPermit(entry.permit_id);
  entry.permit_id = 0;
}

}  // namespace shallot
