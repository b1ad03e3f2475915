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

/// Events in order of time on a manual clock.
class EventQueue {
 public:
  explicit EventQueue(ManualClock* clock) : clock_(clock) {}

  const ManualClock& clock() const { return *clock_; }
  SteadyTime Now() const { return clock_->SteadyNow(); }
  void After(Duration delay, std::function<void()> run);
  bool Empty() const { return events_.empty(); }
  SteadyTime NextTime() const { return events_.top().at; }
  /// Moves the clock to `time`, which must not be in the past.
  void AdvanceTo(SteadyTime time) { clock_->Advance(time - Now()); }
  /// Runs the events that are due.
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

/// The weight store of a fleet: at most four model loads at full speed, shared beyond that, and
/// adapters at full speed while at most 32 are in flight.
class SimulatedWeightStore {
 public:
  /// Duration of a load that starts now, and counts it as in flight until Finished.
  Duration Begin(LoadKind kind, uint64_t megabytes, bool remote);
  void Finished(LoadKind kind, bool remote);

 private:
  uint64_t model_loads_ = 0;
  uint64_t adapter_loads_ = 0;
};

/// A model engine with host-memory and disk caches of checkpoints, on simulated time.
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

  /// Service time of a call; it travels in the call's body as milliseconds.
  static std::string BodyOf(Millis service) { return std::to_string(service.count()); }
  /// Calls that the engine reports to run at once; 64 unless set.
  void SetConcurrency(uint64_t calls) { concurrency_ = calls; }
  /// Called with each call at the moment its execution starts.
  void OnStart(std::function<void(const CallId&)> hook) { start_hook_ = std::move(hook); }
  /// Accelerator hours that loaded entries were held without running calls, in proportion to the
  /// share of memory that they held.
  double IdleAcceleratorHours();
  void ResetIdle();
  uint64_t loads() const { return loads_; }
  /// Times that the loaded entries exceeded the memory.
  uint64_t overcommits() const { return overcommits_; }

 private:
  struct Held {
    EngineOrder order;
    EntryPresence presence = EntryPresence::kLoading;
    uint64_t running = 0;
  };
  /// Checkpoints in order of use, newest first, within a number of megabytes.
  struct Cache {
    uint64_t capacity_mb = 0;
    std::list<std::pair<EntryId, uint64_t>> items;
    bool Contains(const EntryId& entry) const;
    void Put(const EntryId& entry, uint64_t megabytes);
  };

  void CountIdle();
  uint64_t HeldMegabytes() const;
  void Track(const Call& call, int change);

  EventQueue* events_;
  SimulatedWeightStore* weights_;
  uint64_t memory_mb_;
  uint64_t concurrency_ = 64;
  Cache host_memory_;
  Cache disk_;
  std::map<EntryId, Held> held_;
  std::map<EntryId, EntryId> base_of_;
  std::function<void(const CallId&)> start_hook_;
  SteadyTime counted_until_;
  double idle_megabyte_seconds_ = 0;
  uint64_t loads_ = 0;
  uint64_t overcommits_ = 0;
};

}  // namespace shallot::bench

#endif  // BENCH_SIMULATED_ENGINE_H_
