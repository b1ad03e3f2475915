#include "servers/placement_replica.h"

#include <utility>

#include "core/log.h"
#include "servers/placement_codec.h"

namespace shallot {

PlacementReplica::PlacementReplica(const Clock* clock, PlatformStore* store, ShardId shard,
                                   uint64_t seed, UpdateCallback on_update)
    : clock_(clock),
      store_(store),
      key_(PlacementKey(shard)),
      backoff_(Millis(100), Millis(5000), seed),
      on_update_(std::move(on_update)) {
  current_.shard = shard;
}

uint64_t PlacementReplica::RequestRead() {
  requested_read_ = started_read_ + 1;
  return requested_read_;
}

void PlacementReplica::OnTick() {
  if (!backoff_.Ready(clock_->SteadyNow())) return;
  if (!read_in_flight_ && requested_read_ > started_read_) Read();
  if (!watch_in_flight_ && completed_read_ > 0 && backoff_.Ready(clock_->SteadyNow())) Watch();
}

void PlacementReplica::Read() {
  read_in_flight_ = true;
  const uint64_t ticket = ++started_read_;
  store_->Get(key_, [this, ticket](const Result<VersionedValue>& value) {
    read_in_flight_ = false;
    if (ApplyRead(value)) {
      completed_read_ = ticket;
    } else {
      requested_read_ = started_read_ + 1;
    }
  });
}

void PlacementReplica::Watch() {
  watch_in_flight_ = true;
  store_->Watch(key_, current_.version, [this](const Result<VersionedValue>& value) {
    watch_in_flight_ = false;
    ApplyRead(value);
  });
}

bool PlacementReplica::ApplyRead(const Result<VersionedValue>& value) {
  if (!IsOk(value)) {
    last_error_ = FormatError(ErrorOf(value));
    backoff_.RecordFailure(clock_->SteadyNow());
    return false;
  }
  const VersionedValue& read = ValueOf(value);
  if (read.version <= current_.version) {
    last_error_.clear();
    backoff_.RecordSuccess();
    return true;
  }
  const Result<std::vector<Slot>> slots = ParseSlots(read.value);
  if (!IsOk(slots)) {
    last_error_ = FormatError(ErrorOf(slots));
    LogError("placement", key_.value() + ": " + last_error_);
    backoff_.RecordFailure(clock_->SteadyNow());
    return false;
  }
  last_error_.clear();
  backoff_.RecordSuccess();
  OnWritten(read.version, ValueOf(slots));
  return true;
}

void PlacementReplica::OnWritten(StoreVersion version, const std::vector<Slot>& slots) {
  if (version <= current_.version) return;
  current_.version = version;
  current_.slots = slots;
  on_update_(current_);
}

}  // namespace shallot
