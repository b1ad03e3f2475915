#include "bench/simulated_engine.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace shallot::bench {
namespace {

constexpr uint64_t kBytesPerMegabyte = 1U << 20U;
/// Read speeds of a checkpoint by its location, in megabytes per second.
constexpr double kHostMemoryMbPerSecond = 20'000;
constexpr double kDiskMbPerSecond = 2'500;
constexpr double kRemoteMbPerSecond = 1'000;
/// Number of loads in flight up to which the weight store serves each at full speed.
constexpr uint64_t kFullSpeedModelLoads = 4;
constexpr uint64_t kFullSpeedAdapterLoads = 32;
constexpr double kAdapterLoadSeconds = 0.0075;
constexpr Millis kUnloadTime{200};

Duration FromSeconds(double seconds) { return Duration(static_cast<int64_t>(seconds * 1e9)); }

uint64_t Megabytes(const EngineOrder& order) { return order.size.value() / kBytesPerMegabyte; }

}  // namespace

void EventQueue::ScheduleAfter(Duration delay, std::function<void()> run) {
  events_.push({Now() + delay, next_sequence_++, std::move(run)});
}

void EventQueue::RunDue() {
  while (!events_.empty() && events_.top().at <= Now()) {
    const auto run = events_.top().run;
    events_.pop();
    run();
  }
}

Duration SimulatedWeightStore::BeginLoad(LoadKind kind, uint64_t megabytes, bool remote) {
  if (kind == LoadKind::kAdapter) {
    ++adapter_loads_;
    const double slowdown = static_cast<double>(adapter_loads_) / kFullSpeedAdapterLoads;
    return FromSeconds(kAdapterLoadSeconds * std::max(1.0, slowdown));
  }
  if (!remote) return Duration(0);
  ++model_loads_;
  const double slowdown = static_cast<double>(model_loads_) / kFullSpeedModelLoads;
  return FromSeconds(static_cast<double>(megabytes) / kRemoteMbPerSecond * std::max(1.0, slowdown));
}

void SimulatedWeightStore::FinishLoad(LoadKind kind, bool remote) {
  if (kind == LoadKind::kAdapter) {
    --adapter_loads_;
  } else if (remote) {
    --model_loads_;
  }
}

SimulatedEngine::SimulatedEngine(EventQueue* events, SimulatedWeightStore* weights,
                                 uint64_t memory_mb, uint64_t host_memory_mb, uint64_t disk_mb)
    : events_(events),
      weights_(weights),
      memory_mb_(memory_mb),
      host_memory_{host_memory_mb, {}},
      disk_{disk_mb, {}},
      idle_counted_until_(events->Now()) {}

bool SimulatedEngine::CheckpointCache::Contains(const EntryId& entry) const {
  return std::any_of(items.begin(), items.end(),
                     [&](const auto& item) { return item.first == entry; });
}

void SimulatedEngine::CheckpointCache::Put(const EntryId& entry, uint64_t megabytes) {
  items.remove_if([&](const auto& item) { return item.first == entry; });
  items.emplace_front(entry, megabytes);
  uint64_t used = 0;
  for (const auto& item : items) used += item.second;
  while (used > capacity_mb) {
    used -= items.back().second;
    items.pop_back();
  }
}

void SimulatedEngine::AccumulateIdleTime() {
  const double seconds =
      std::chrono::duration<double>(events_->Now() - idle_counted_until_).count();
  idle_counted_until_ = events_->Now();
  for (const auto& [entry, held] : held_) {
    if (held.presence != EntryPresence::kLoaded || held.running > 0) continue;
    idle_megabyte_seconds_ += seconds * static_cast<double>(Megabytes(held.order));
  }
}

double SimulatedEngine::IdleAcceleratorHours() {
  AccumulateIdleTime();
  return idle_megabyte_seconds_ / static_cast<double>(memory_mb_) / 3600;
}

void SimulatedEngine::ResetIdle() {
  AccumulateIdleTime();
  idle_megabyte_seconds_ = 0;
}

uint64_t SimulatedEngine::HeldMegabytes() const {
  uint64_t sum = 0;
  for (const auto& [entry, held] : held_) sum += Megabytes(held.order);
  return sum;
}

void SimulatedEngine::AdjustRunning(const Call& call, int change) {
  AccumulateIdleTime();
  const auto adjust = [&](const EntryId& id) {
    const auto found = held_.find(id);
    if (found != held_.end()) found->second.running += static_cast<uint64_t>(change);
  };
  adjust(call.entry);
  const auto base = base_of_.find(call.entry);
  if (base != base_of_.end()) adjust(base->second);
}

void SimulatedEngine::StartCall(const Call& call, AnswerSink* sink) {
  if (start_hook_) start_hook_(call.id);
  AdjustRunning(call, 1);
  events_->ScheduleAfter(Millis(std::stoll(call.body)), [this, call, sink] {
    AdjustRunning(call, -1);
    sink->OnBegin(200, "application/json");
    sink->OnData("{}");
    sink->OnEnd(ExecutionEnd::kCompleted, "");
  });
}

void SimulatedEngine::CancelCall(const CallId& /*call*/, CancelCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(CancelResult::kAlreadyEnded); });
}

void SimulatedEngine::Load(const EngineOrder& order, DoneCallback done) {
  AccumulateIdleTime();
  ++loads_;
  if (order.kind == LoadKind::kAdapter) base_of_[order.entry] = order.base;
  held_[order.entry] = {order, EntryPresence::kLoading, 0};
  if (HeldMegabytes() > memory_mb_) ++overcommits_;
  const uint64_t size = Megabytes(order);
  const bool in_memory = host_memory_.Contains(order.entry);
  const bool remote = !in_memory && !disk_.Contains(order.entry);
  Duration load_time = weights_->BeginLoad(order.kind, size, remote);
  if (order.kind == LoadKind::kModel && !remote) {
    load_time = FromSeconds(static_cast<double>(size) /
                            (in_memory ? kHostMemoryMbPerSecond : kDiskMbPerSecond));
  }
  host_memory_.Put(order.entry, size);
  disk_.Put(order.entry, size);
  events_->ScheduleAfter(load_time, [this, order, remote, done] {
    AccumulateIdleTime();
    weights_->FinishLoad(order.kind, remote);
    held_[order.entry].presence = EntryPresence::kLoaded;
    done(OkStatus());
  });
}

void SimulatedEngine::Unload(const EngineOrder& order, DoneCallback done) {
  AccumulateIdleTime();
  held_[order.entry].presence = EntryPresence::kUnloading;
  events_->ScheduleAfter(kUnloadTime, [this, order, done] {
    AccumulateIdleTime();
    held_.erase(order.entry);
    done(OkStatus());
  });
}

void SimulatedEngine::FetchInventory(InventoryCallback done) {
  EngineInventory inventory;
  inventory.memory_capacity = Bytes(memory_mb_ * kBytesPerMegabyte);
  inventory.concurrency = concurrency_;
  for (const auto& [entry, held] : held_) {
    inventory.items.push_back(
        {entry, held.order.kind, held.order.version, held.order.size, held.presence});
  }
  events_->ScheduleAfter(Duration(0), [inventory, done] { done(inventory); });
}

void SimulatedEngine::FetchLoadReport(LoadReportCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(EngineLoadReport{}); });
}

void SimulatedEngine::FetchCacheEvents(uint64_t /*since*/, CacheEventsCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(std::vector<CacheEvent>{}); });
}

void SimulatedEngine::SetRole(EngineRole /*role*/, FencingNumber /*fencing*/, DoneCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(OkStatus()); });
}

void SimulatedEngine::ExportKvCache(const CallId& /*call*/, KvCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(std::string()); });
}

void SimulatedEngine::ImportKvCache(const CallId& /*call*/, const std::string& /*data*/,
                                    DoneCallback done) {
  events_->ScheduleAfter(Duration(0), [done] { done(OkStatus()); });
}

}  // namespace shallot::bench
