#include "servers/grant_sender.h"

#include <utility>

namespace shallot {

GrantSender::GrantSender(const Clock* clock, SendFunction send)
    : clock_(clock), send_(std::move(send)) {}

void GrantSender::AddShard(ShardId shard, PlacementReplica* replica) {
  replicas_[shard] = replica;
  for (auto& [runner, connection] : connections_) {
    connection.shards[shard].ticket = replica->RequestRead();
  }
}

void GrantSender::OnRunnerUp(const RunnerId& runner, Incarnation incarnation) {
  Connection connection;
  connection.incarnation = incarnation;
  for (const auto& [shard, replica] : replicas_) {
    connection.shards[shard].ticket = replica->RequestRead();
  }
  connections_[runner] = std::move(connection);
}

void GrantSender::OnRunnerDown(const RunnerId& runner) { connections_.erase(runner); }

void GrantSender::OnPlacement(const ShardPlacement& placement) {
  Outbox outbox;
  for (auto& [runner, connection] : connections_) {
    AddIfDue(runner, &connection, placement.shard, &outbox);
  }
  SendAll(outbox);
}

void GrantSender::OnTick() {
  Outbox outbox;
  for (auto& [runner, connection] : connections_) {
    for (const auto& [shard, replica] : replicas_) AddIfDue(runner, &connection, shard, &outbox);
  }
  SendAll(outbox);
}

/// Sends outside the loops over the connections, because a failed send may erase a connection.
void GrantSender::SendAll(const Outbox& outbox) {
  for (const auto& [runner, grant] : outbox) send_(runner, grant);
}

std::vector<Slot> GrantSender::SlotsOf(const RunnerId& runner, const std::vector<Slot>& slots) {
  std::vector<Slot> own;
  for (const Slot& slot : slots) {
    if (slot.runner == runner) own.push_back(slot);
  }
  return own;
}

void GrantSender::AddIfDue(const RunnerId& runner, Connection* connection, ShardId shard,
                           Outbox* outbox) {
  const PlacementReplica* replica = replicas_.at(shard);
  ShardState& state = connection->shards[shard];
  if (!replica->ReadDone(state.ticket)) return;
  const ShardPlacement& placement = replica->current();
  const SteadyTime now = clock_->SteadyNow();
  const bool newer = !state.sent || placement.version > state.sent_version;
  if (!newer && (!state.had_slots || now - state.sent_at < kRepeatInterval)) return;
  std::vector<Slot> slots = SlotsOf(runner, placement.slots);
  // The first grant is sent even if it is empty: the agent may hold slots from an older one.
  const bool relevant = !state.sent || state.had_slots || !slots.empty();
  state.had_slots = !slots.empty();
  state.sent = true;
  state.sent_version = placement.version;
  state.sent_at = now;
  if (!relevant) return;
  outbox->emplace_back(
      runner, SlotGrant{shard, placement.version, connection->incarnation, std::move(slots)});
}

}  // namespace shallot
