#ifndef BENCH_SIMULATED_ENGINE_H_
#define BENCH_SIMULATED_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/backend_server.h"

namespace shallot::bench {

/// Event queue of a simulation on a manual clock. Events run in order of time; events of the same
/// time run in the order in which they were added.
class EventQueue {
 public:
  explicit EventQueue(ManualClock* clock) : clock_(clock) {}

  const ManualClock& clock() const { return *clock_; }
  SteadyTime Now() const { return clock_->SteadyNow(); }
  void ScheduleAfter(Duration delay, std::function<void()> run);
  bool Empty() const { return events_.empty(); }
  SteadyTime NextTime() const { return events_.top().at; }
  /// Moves the clock to `time`, which must not be in the past.
  void AdvanceTo(SteadyTime time) { clock_->Advance(time - Now()); }
  /// Runs every event that is due at the current time.
  void RunDue();

 private:
  struct Event {
    SteadyTime at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  ManualClock* clock_;
  std::priority_queue<Event> events_;
  uint64_t next_sequence_ = 0;
};

/// The weight store that all engines of a fleet share. Up to 4 remote model loads and up to 32
/// adapter loads in flight run at full speed; beyond that, a new load takes longer in proportion to
/// the number in flight.
class SimulatedWeightStore {
 public:
  /// Starts a load and returns its duration. The load counts as in flight until FinishLoad() is
  /// called with the same arguments. Model loads that are not `remote` take no time here.
  Duration BeginLoad(LoadKind kind, uint64_t megabytes, bool remote);
  void FinishLoad(LoadKind kind, bool remote);

 private:
  uint64_t model_loads_ = 0;
  uint64_t adapter_loads_ = 0;
};

/// Model engine on simulated time, with checkpoint caches in host memory and on disk.
class SimulatedEngine final : public ModelEngine {
 public:
  SimulatedEngine(EventQueue* events, SimulatedWeightStore* weights, uint64_t memory_mb,
                  uint64_t host_memory_mb, uint64_t disk_mb);

  void StartCall(const Call& call, AnswerSink* sink) override;
  void CancelCall(const CallId& call, CancelCallback done) override;
  void Load(const EngineOrder& order, DoneCallback done) override;
  void Unload(const EngineOrder& order, DoneCallback done) override;
  void FetchInventory(InventoryCallback done) override;
  void FetchLoadReport(LoadReportCallback done) override;
  void FetchCacheEvents(uint64_t since, CacheEventsCallback done) override;
  void SetRole(EngineRole role, FencingNumber fencing, DoneCallback done) override;
  void ExportKvCache(const CallId& call, KvCallback done) override;
  void ImportKvCache(const CallId& call, const std::string& data, DoneCallback done) override;

  /// Body of a call with this service time. The engine reads the service time, in milliseconds,
  /// from the body.
  static std::string MakeBody(Millis service) { return std::to_string(service.count()); }
  /// Sets the number of concurrent calls that the engine reports; 64 by default.
  void SetConcurrency(uint64_t calls) { concurrency_ = calls; }
  /// Sets a hook that is called with each call when its execution starts.
  void SetStartHook(std::function<void(const CallId&)> hook) { start_hook_ = std::move(hook); }
  /// Accelerator hours for which entries were loaded without a running call, each entry weighted by
  /// its share of the memory. Counted since the last ResetIdle().
  double IdleAcceleratorHours();
  void ResetIdle();
  uint64_t loads() const { return loads_; }
  /// Number of loads that brought the entries held in memory above its capacity.
  uint64_t overcommits() const { return overcommits_; }

 private:
  struct HeldEntry {
    EngineOrder order;
    EntryPresence presence = EntryPresence::kLoading;
    uint64_t running = 0;
  };
  /// Least-recently-used cache of checkpoints, most recent first, with a capacity in megabytes.
  struct CheckpointCache {
    uint64_t capacity_mb = 0;
    std::list<std::pair<EntryId, uint64_t>> items;
    bool Contains(const EntryId& entry) const;
    void Put(const EntryId& entry, uint64_t megabytes);
  };

  /// Adds the idle time since the last call of this function.
  void AccumulateIdleTime();
  uint64_t HeldMegabytes() const;
  /// Adds `change` to the running calls of the call's entry and, for an adapter, of its base model.
  void AdjustRunning(const Call& call, int change);

  EventQueue* events_;
  SimulatedWeightStore* weights_;
  uint64_t memory_mb_;
  uint64_t concurrency_ = 64;
  CheckpointCache host_memory_;
  CheckpointCache disk_;
  std::map<EntryId, HeldEntry> held_;
  std::map<EntryId, EntryId> base_of_;
  std::function<void(const CallId&)> start_hook_;
  SteadyTime idle_counted_until_;
  double idle_megabyte_seconds_ = 0;
  uint64_t loads_ = 0;
  uint64_t overcommits_ = 0;
};

}  // namespace shallot::bench

#endif  // BENCH_SIMULATED_ENGINE_H_
