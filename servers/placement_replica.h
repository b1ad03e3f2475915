#ifndef SERVERS_PLACEMENT_REPLICA_H_
#define SERVERS_PLACEMENT_REPLICA_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/backoff.h"
#include "servers/platform_store.h"
#include "servers/slot.h"

namespace shallot {

/// Local copy of the placement of one shard, kept up to date by a watch. Must outlive its calls to
/// the store.
class PlacementReplica {
 public:
  using UpdateCallback = std::function<void(const ShardPlacement&)>;

  PlacementReplica(const Clock* clock, PlatformStore* store, ShardId shard, uint64_t seed,
                   UpdateCallback on_update);

  void OnTick();
  /// Requests a read that starts after this call and returns its ticket.
  uint64_t RequestRead();
  /// Returns true once the read with this ticket has completed; current() is then at least as new
  /// as the result of that read.
  bool ReadDone(uint64_t ticket) const { return completed_read_ >= ticket; }
  /// Applies a placement that this process wrote, if it is newer than the current one.
  void OnWritten(StoreVersion version, const std::vector<Slot>& slots);
  /// Newest known placement; version 0 if the key is absent or nothing was read yet.
  const ShardPlacement& current() const { return current_; }
  /// Text of the last read, watch or parse error; empty after a success.
  const std::string& last_error() const { return last_error_; }

 private:
  void Read();
  void Watch();
  bool ApplyRead(const Result<VersionedValue>& value);

  const Clock* clock_;
  PlatformStore* store_;
  StoreKey key_;
  ShardPlacement current_;
  Backoff backoff_;
  UpdateCallback on_update_;
  uint64_t started_read_ = 0;
  uint64_t completed_read_ = 0;
  uint64_t requested_read_ = 1;
  bool read_in_flight_ = false;
  bool watch_in_flight_ = false;
  std::string last_error_;
};

}  // namespace shallot

#endif  // SERVERS_PLACEMENT_REPLICA_H_
