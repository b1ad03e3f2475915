#ifndef SERVERS_LOAD_SCHEDULER_H_
#define SERVERS_LOAD_SCHEDULER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "servers/backend_server.h"
#include "servers/fleet_config.h"
#include "servers/memory_ledger.h"
#include "servers/messages.h"

namespace shallot {

/// Interface of the agent that owns a load scheduler. Called on the core's thread.
class LoadSchedulerHost {
 public:
  virtual ~LoadSchedulerHost() = default;
  /// Returns true if the agent has an active slot for the entry.
  virtual bool MayLoad(const EntryId& entry) const = 0;
  /// Returns true if a slot grant requires that the runner does not hold the entry.
  virtual bool MustUnload(const EntryId& entry) const = 0;
  virtual uint64_t RunningCalls(const EntryId& entry) const = 0;
  /// Time that the entry stays loaded after its last call.
  virtual Millis KeepAlive(const EntryId& entry) const = 0;
  /// Returns false if no connection is available to send the request.
  virtual bool RequestPermit(const LoadPermitRequest& request) = 0;
  virtual void ReturnPermit(uint64_t permit_id) = 0;
  /// The entry cannot be loaded now. A `retry_after` of zero means that no retry time is known.
  virtual void OnLoadRefused(const EntryId& entry, Reason reason, Millis retry_after) = 0;
  /// Reports the smoothed load duration of the entry, after each successful load.
  virtual void OnLoadMeasured(const EntryId& entry, Millis load_time) = 0;
  /// The entry is loaded and can serve calls.
  virtual void OnLoaded(const EntryId& entry) = 0;
  /// The outcome of a load that began at `started` is not known.
  virtual void OnLoadLost(const EntryId& entry, SteadyTime started) = 0;
  /// The engine was asked for its inventory. `crashed`: it did not accept the connection, or it no
  /// longer holds an entry that it held.
  virtual void OnInventory(bool crashed) = 0;
};

/// An entry that queued calls are waiting for.
struct LoadDemand {
  EntryId entry;
  /// Earliest deadline of the waiting calls.
  SteadyTime deadline;
};

/// Loads and unloads entries on the engine of one runner: memory reservations, load permits,
/// eviction, keep-alive and reconciliation with the engine's inventory. Not thread-safe.
class LoadScheduler {
 public:
  struct Options {
    RunnerId runner;
    Incarnation incarnation;
    FencingNumber fencing;
    Millis static_share_interval{10'000};
  };

  LoadScheduler(Options options, const Clock* clock, ModelEngine* engine, LoadSchedulerHost* host,
                MetricsRegistry* metrics, InvariantMonitor* invariants);

  /// Requests the engine's inventory; Advance also calls this when a refresh is due.
  void FetchInventory();
  /// False until the first inventory has arrived.
  bool inventory_known() const { return inventory_known_; }
  /// False while the engine does not answer inventory requests.
  bool serving() const { return serving_; }
  uint64_t concurrency() const { return concurrency_; }

  void OnConfig(std::shared_ptr<const FleetConfig> config);
  void OnPermit(const LoadPermit& permit);
  /// Records that the entry was in use until now.
  void Touch(const EntryId& entry);
  /// Unloads each entry as soon as no call uses it, and loads nothing more.
  void ReleaseAll() { releasing_all_ = true; }
  /// Runs one scheduling pass for the entries that calls are waiting for.
  void Advance(std::vector<LoadDemand> demands);

  /// Returns true if a call for the entry can start now.
  bool IsUsable(const EntryId& entry) const;
  /// Returns true if the entry is loaded, waits for a permit, or has an order that is under way or
  /// unsettled.
  bool IsHeld(const EntryId& entry) const;
  /// Returns true if the entry, or its base model, could not reserve memory at its last attempt.
  bool LacksMemory(const EntryId& entry) const;
  /// Returns true if no entry is held; see IsHeld.
  bool Empty() const;
  /// Returns true if the last load of the entry or of its base model failed and no later load or
  /// inventory showed it as loaded.
  bool HasFailed(const EntryId& entry) const;
  /// Estimated time until the entry is usable; zero if it is. A load time that was never measured
  /// here is replaced by a default if `use_default` is true, and by zero otherwise.
  Millis ExpectedWait(const EntryId& entry, bool use_default = true) const;

  const MemoryLedger& ledger() const { return ledger_; }
  std::vector<EntryId> Loaded() const;
  const std::vector<EntryId>& cached_in_memory() const { return cached_in_memory_; }
  const std::vector<EntryId>& cached_on_disk() const { return cached_on_disk_; }
  /// Names of the phases by entry, for /status.
  std::map<EntryId, std::string> Phases() const;

 private:
  enum class Phase {
    kAbsent,
    kWaiting,  ///< Memory is reserved; the load waits for a permit.
    kLoading,  ///< A load order is under way.
    kLoaded,
    kUnloading,  ///< An unload order is under way.
    kUnsettled,  ///< The outcome of an order is unknown until the next inventory.
  };

  struct Entry {
    CatalogEntry info;
    Phase phase = Phase::kAbsent;
    /// Accepts no new calls; unloaded once the running ones have ended.
    bool retiring = false;
    /// True if the last attempt to reserve memory failed.
    bool lacks_memory = false;
    SteadyTime last_used;
    SteadyTime phase_since;
    SteadyTime retry_at;
    uint64_t failures = 0;
    /// Number of the last pass in which calls waited for the entry.
    uint64_t wanted_pass = 0;
    uint64_t permit_id = 0;
    bool permit_held = false;
    SteadyTime permit_requested_at;
    SteadyTime permit_first_requested_at;
    /// Value of `change_number_` at the last phase change that an order caused.
    uint64_t last_change = 0;
    /// Smoothed duration of its loads; zero if unknown.
    Duration load_time{0};
  };

  static bool IsAdapter(const Entry& entry);
  Entry& GetOrAdd(const EntryId& id);
  const Entry* Find(const EntryId& id) const;
  Bytes Footprint(const Entry& entry) const;
  EngineOrder OrderFor(const Entry& entry) const;
  void SetPhase(Entry& entry, Phase phase);
  Duration EstimatedLoadTime(const Entry& entry, bool use_default = true) const;
  Duration FallbackLoadTime(LoadKind kind, bool use_default) const;

  // load_scheduler.cc
  void EnsureLoaded(const EntryId& id, SteadyTime deadline);
  bool EnsureBaseLoaded(const Entry& entry, SteadyTime deadline);
  bool ReserveFor(Entry& entry);
  void TryStart(Entry& entry, SteadyTime deadline);
  void SendPermitRequest(Entry& entry, SteadyTime deadline);
  void StartLoad(Entry& entry);
  void OnLoadDone(const EntryId& id, const Status& status);
  void OnLoadSucceeded(Entry& entry);
  void OnLoadFailed(Entry& entry, Reason reason);
  void ReturnHeldPermit(Entry& entry);
  void CancelWaiting(Entry& entry);

  // load_scheduler_unload.cc
  bool MustRetire(const Entry& entry) const;
  bool HasAdapters(const EntryId& base) const;
  bool IsIdleGroup(const EntryId& id) const;
  double EvictionScore(const Entry& entry) const;
  uint64_t BytesBeingFreed() const;
  void EvictFor(uint64_t needed);
  void RetireGroup(const EntryId& id);
  void UnloadRetired();
  void StartUnload(Entry& entry);
  void OnUnloadDone(const EntryId& id, const Status& status);
  void OnUnloaded(Entry& entry);

  // load_scheduler_inventory.cc
  void OnInventory(uint64_t request, uint64_t change_at_request,
                   const Result<EngineInventory>& result);
  /// Returns true if the engine no longer holds an entry that was loaded.
  bool ApplyInventory(uint64_t change_at_request, const EngineInventory& inventory);
  void ApplyItem(Entry& entry, const InventoryItem& item);
  /// Returns true if the entry was loaded.
  bool ApplyAbsence(Entry& entry);
  void CountIdleTime();
  void UpdateGauges();

  Options options_;
  const Clock* clock_;
  ModelEngine* engine_;
  LoadSchedulerHost* host_;
  MetricsRegistry* metrics_;
  InvariantMonitor* invariants_;
  std::shared_ptr<const FleetConfig> config_;
  MemoryLedger ledger_;
  std::map<EntryId, Entry> entries_;
  std::vector<EntryId> cached_in_memory_;
  std::vector<EntryId> cached_on_disk_;
  bool inventory_known_ = false;
  bool serving_ = false;
  bool releasing_all_ = false;
  bool inventory_pending_ = false;
  uint64_t inventory_request_ = 0;
  SteadyTime inventory_requested_at_;
  SteadyTime next_inventory_;
  uint64_t concurrency_ = 0;
  uint64_t change_number_ = 0;
  uint64_t pass_ = 0;
  uint64_t next_permit_id_ = 0;
  SteadyTime next_static_load_;
  SteadyTime idle_counted_until_;
  /// Engine callbacks hold a weak pointer to this; they do nothing after the scheduler's
  /// destruction.
  std::shared_ptr<LoadScheduler*> self_;
};

}  // namespace shallot

#endif  // SERVERS_LOAD_SCHEDULER_H_
