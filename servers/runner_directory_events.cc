#include <variant>

#include "core/log.h"
#include "servers/runner_directory.h"

namespace shallot {
namespace {

std::unordered_set<EntryId> ToSet(const std::vector<EntryId>& entries) {
  return {entries.begin(), entries.end()};
}

}  // namespace

void RunnerDirectory::OnMessage(ConnectionId connection, const Message& message) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) {
    OnIncoming(connection, message);
    return;
  }
  const Owner owner = it->second;
  if (!owner.runner.empty()) {
    OnRunnerMessage(owner.runner, message);
    return;
  }
  OnRouterMessage(owner.router, message);
}

void RunnerDirectory::OnRunnerMessage(const RunnerId& id, const Message& message) {
  RunnerEntry& entry = runners_[id];
  entry.connection.last_received = clock_->SteadyNow();
  if (const auto* hello = std::get_if<Hello>(&message)) {
    OnRunnerHello(id, &entry, *hello);
    return;
  }
  if (!entry.view.up) return;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnRunnerReport(id, &entry, *heartbeat);
    return;
  }
  listener_->OnRunnerMessage(id, message);
}

void RunnerDirectory::OnRunnerHello(const RunnerId& id, RunnerEntry* entry, const Hello& hello) {
  if (hello.role != PeerRole::kAgent || hello.runner != id) {
    LogWarning("router", "closing connection to " + entry->view.record.address +
                             ": expected runner " + id.value() + " but " + hello.sender.value() +
                             " answered; check the instance list");
    CloseConnection(&entry->connection);
    ScheduleReconnect(&entry->connection);
    return;
  }
  const bool restarted = entry->view.up && entry->view.incarnation != hello.incarnation;
  if (entry->view.up && !restarted) return;
  if (restarted) listener_->OnRunnerDisconnected(id);
  if (entry->view.incarnation != hello.incarnation) {
    // The load of a new process is empty or unknown until its first heartbeat.
    entry->view.load = LoadSummary{};
    entry->view.loaded.clear();
    entry->view.cached_in_memory.clear();
    entry->view.cached_on_disk.clear();
    entry->view.reported_at.reset();
  }
  entry->view.up = true;
  entry->view.draining = hello.draining;
  entry->view.incarnation = hello.incarnation;
  entry->connection.hello_received = true;
  entry->connection.backoff = kMinBackoff;
  // The connection works again, so the breaker closes; a failing backend opens it again.
  entry->view.breaker.OnSuccess();
  entry->view.failed_at.reset();
  entry->view.lost_at.reset();
  listener_->OnRunnerConnected(id, hello.incarnation);
}

void RunnerDirectory::OnRunnerReport(const RunnerId& id, RunnerEntry* entry,
                                     const Heartbeat& heartbeat) {
  RunnerView& view = entry->view;
  view.draining = heartbeat.draining;
  // Most heartbeats repeat the same entries, so the sets are rebuilt only when a list changed.
  if (view.load.loaded != heartbeat.load.loaded) view.loaded = ToSet(heartbeat.load.loaded);
  if (view.load.cached_in_memory != heartbeat.load.cached_in_memory) {
    view.cached_in_memory = ToSet(heartbeat.load.cached_in_memory);
  }
  if (view.load.cached_on_disk != heartbeat.load.cached_on_disk) {
    view.cached_on_disk = ToSet(heartbeat.load.cached_on_disk);
  }
  view.load = heartbeat.load;
  view.reported_at = clock_->SteadyNow();
  view.outstanding_at_report = view.TotalOutstanding();
  listener_->OnRunnerHeartbeat(id, heartbeat);
}

void RunnerDirectory::OnRouterMessage(const InstanceId& id, const Message& message) {
  Connection& connection = routers_[id].connection;
  connection.last_received = clock_->SteadyNow();
  if (const auto* hello = std::get_if<Hello>(&message)) {
    connection.hello_received = hello->role == PeerRole::kRouter;
    connection.backoff = kMinBackoff;
    if (connection.hello_received) listener_->OnPeerConnected(id);
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    listener_->OnPeerHeartbeat(id, *heartbeat);
    return;
  }
  listener_->OnPeerMessage(id, message);
}

void RunnerDirectory::OnIncoming(ConnectionId connection, const Message& message) {
  const SteadyTime now = clock_->SteadyNow();
  if (const auto* hello = std::get_if<Hello>(&message)) {
    if (hello->role != PeerRole::kRouter) return;
    Incoming& incoming = incoming_[connection];
    incoming.router = hello->sender;
    incoming.last_received = now;
    incoming.next_heartbeat = now + kHeartbeatInterval;
    link_->Send(connection, OwnHello());
    listener_->OnPeerConnected(hello->sender);
    return;
  }
  const auto it = incoming_.find(connection);
  if (it == incoming_.end()) return;
  it->second.last_received = now;
  const InstanceId router = it->second.router;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    listener_->OnPeerHeartbeat(router, *heartbeat);
    return;
  }
  listener_->OnPeerMessage(router, message);
}

void RunnerDirectory::OnDisconnect(ConnectionId connection) {
  incoming_.erase(connection);
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return;
  const Owner owner = it->second;
  if (!owner.runner.empty()) {
    RunnerEntry& entry = runners_[owner.runner];
    ScheduleReconnect(&entry.connection);
    entry.view.breaker.OnFailure(clock_->SteadyNow());
    entry.view.failed_at = clock_->SteadyNow();
    DisconnectRunner(owner.runner);
    return;
  }
  Connection& router = routers_[owner.router].connection;
  ScheduleReconnect(&router);
  CloseConnection(&router);
}

void RunnerDirectory::OnTick() {
  const SteadyTime now = clock_->SteadyNow();
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  for (auto& [id, entry] : runners_) TickRunner(id, &entry);
  for (auto& [id, entry] : routers_) TickRouter(&entry);
  TickIncoming();
}

bool RunnerDirectory::NeedsConnection(const RunnerEntry& entry) const {
  return entry.connection.keep || entry.view.TotalOutstanding() > 0;
}

/// Treats a runner as usable again `kFailureExpiry` after its connection ended. Without it the
/// router does not learn that the runner serves again, and a router that is not its home connects
/// only to runners that it considers usable.
void RunnerDirectory::ExpireLastReport(RunnerView* view) const {
  if (!view->lost_at.has_value()) return;
  if (clock_->SteadyNow() - *view->lost_at < kFailureExpiry) return;
  view->lost_at.reset();
  view->draining = false;
  view->load.serving = true;
}

void RunnerDirectory::TickRunner(const RunnerId& id, RunnerEntry* entry) {
  Connection& connection = entry->connection;
  const SteadyTime now = clock_->SteadyNow();
  if (!connection.id.has_value()) {
    ExpireLastReport(&entry->view);
    if (!NeedsConnection(*entry) || now < connection.next_dial) return;
    Dial(&connection, entry->view.record.address, {.runner = id, .router = {}});
    return;
  }
  if (now - connection.last_received >= kConnectionTimeout) {
    LogWarning("router", "connection to runner " + id.value() + " is silent; reconnecting");
    ScheduleReconnect(&connection);
    entry->view.breaker.OnFailure(now);
    entry->view.failed_at = now;
    DisconnectRunner(id);
    return;
  }
  if (!NeedsConnection(*entry) && now - connection.last_used >= kIdleTimeout) {
    DisconnectRunner(id);
    return;
  }
  if (now < connection.next_heartbeat) return;
  connection.next_heartbeat = now + kHeartbeatInterval;
  SendHeartbeat(*connection.id, ++connection.sequence);
}

void RunnerDirectory::TickRouter(RouterEntry* entry) {
  Connection& connection = entry->connection;
  const SteadyTime now = clock_->SteadyNow();
  if (!connection.id.has_value()) {
    if (!connection.keep || now < connection.next_dial) return;
    Dial(&connection, entry->record.address, {.runner = {}, .router = entry->record.id});
    return;
  }
  if (now - connection.last_received >= kConnectionTimeout) {
    ScheduleReconnect(&connection);
    CloseConnection(&connection);
    return;
  }
  if (!connection.keep && now - connection.last_used >= kIdleTimeout) {
    CloseConnection(&connection);
    return;
  }
  if (now < connection.next_heartbeat) return;
  connection.next_heartbeat = now + kHeartbeatInterval;
  SendHeartbeat(*connection.id, ++connection.sequence);
}

void RunnerDirectory::TickIncoming() {
  const SteadyTime now = clock_->SteadyNow();
  for (auto it = incoming_.begin(); it != incoming_.end();) {
    Incoming& incoming = it->second;
    if (now - incoming.last_received >= kConnectionTimeout) {
      link_->Close(it->first);
      it = incoming_.erase(it);
      continue;
    }
    if (now >= incoming.next_heartbeat) {
      incoming.next_heartbeat = now + kHeartbeatInterval;
      SendHeartbeat(it->first, ++incoming.sequence);
    }
    ++it;
  }
}

}  // namespace shallot
