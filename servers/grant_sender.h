#ifndef SERVERS_GRANT_SENDER_H_
#define SERVERS_GRANT_SENDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/messages.h"
#include "servers/placement_replica.h"
#include "servers/slot.h"

namespace shallot {

/// Sends slot grants to the connected runners. A runner gets the grants of a shard only after a
/// placement read that started after its connection was established: an older read could grant a
/// restarted agent a slot that it had released and that was moved since.
class GrantSender {
 public:
  using SendFunction = std::function<void(const RunnerId&, const Message&)>;
  /// Grants with slots are repeated at this interval, in case one was lost.
  static constexpr Millis kRepeatInterval{20'000};

  GrantSender(const Clock* clock, SendFunction send);

  /// Adds a shard; the replica must outlive this object.
  void AddShard(ShardId shard, PlacementReplica* replica);
  void OnRunnerUp(const RunnerId& runner, Incarnation incarnation);
  void OnRunnerDown(const RunnerId& runner);
  /// Sends the grants of a shard with a newer placement.
  void OnPlacement(const ShardPlacement& placement);
  /// Sends all grants that are due.
  void OnTick();

 private:
  struct ShardState {
    /// Ticket of the read that must complete before the first grant.
    uint64_t ticket = 0;
    StoreVersion sent_version;
    bool sent = false;
    bool had_slots = false;
    SteadyTime sent_at;
  };
  struct Connection {
    Incarnation incarnation;
    std::map<ShardId, ShardState> shards;
  };

  using Outbox = std::vector<std::pair<RunnerId, SlotGrant>>;

  void AddIfDue(const RunnerId& runner, Connection* connection, ShardId shard, Outbox* outbox);
  void SendAll(const Outbox& outbox);
  static std::vector<Slot> SlotsOf(const RunnerId& runner, const std::vector<Slot>& slots);

  const Clock* clock_;
  SendFunction send_;
  std::map<ShardId, PlacementReplica*> replicas_;
  std::map<RunnerId, Connection> connections_;
};

}  // namespace shallot

#endif  // SERVERS_GRANT_SENDER_H_
