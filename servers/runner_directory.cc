#include "servers/runner_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/hashing.h"

namespace shallot {
uint64_t RunnerView::TotalOutstanding() const {
  uint64_t total = 0;
  for (const uint64_t count : outstanding) total += count;
  return total;
}

RunnerDirectory::RunnerDirectory(Options options, const Clock* clock, PeerLink* link,
                                 RunnerDirectoryListener* listener)
    : options_(std::move(options)),
      clock_(clock),
      link_(link),
      listener_(listener),
      random_(options_.seed) {}

void RunnerDirectory::SetInstances(const std::vector<InstanceRecord>& instances) {
  if (instances_received_ && instances == last_list_) return;
  last_list_ = instances;
  next_check_ = clock_->SteadyNow();
  std::map<RunnerId, InstanceRecord> listed_runners;
  std::map<InstanceId, InstanceRecord> listed_routers;
  listed_leaving_ = false;
  for (const InstanceRecord& record : instances) {
    if (record.role == PeerRole::kRouter) {
      if (record.id == options_.id) listed_leaving_ = record.leaving;
      if (record.id != options_.id) listed_routers[record.id] = record;
      continue;
    }
    // A replaced instance may still be listed along with its successor; prefer the one that is not
    // leaving.
    const auto [it, inserted] = listed_runners.emplace(record.runner, record);
    if (!inserted && (it->second.leaving || !record.leaving)) it->second = record;
  }
  instances_received_ = true;
  SetRunners(listed_runners);
  SetRouters(listed_routers);
  ChooseHomes();
  ChoosePeers();
}

void RunnerDirectory::SetRunners(const std::map<RunnerId, InstanceRecord>& listed) {
  std::vector<RunnerId> gone;
  for (const auto& [id, entry] : runners_) {
    const auto it = listed.find(id);
    if (it == listed.end() || it->second.id != entry.view.record.id) gone.push_back(id);
  }
  for (const RunnerId& id : gone) {
    DisconnectRunner(id);
    runners_.erase(id);
  }
  runner_ids_.clear();
  by_backend_.clear();
  for (const auto& [id, record] : listed) {
    RunnerEntry& entry = runners_[id];
    const bool moved =
        !entry.view.record.address.empty() && entry.view.record.address != record.address;
    entry.view.record = record;
    if (moved) DisconnectRunner(id);
    runner_ids_.push_back(id);
    by_backend_[record.backend].push_back(id);
  }
  for (const RunnerId& id : gone) listener_->OnRunnerRemoved(id);
}

void RunnerDirectory::SetRouters(const std::map<InstanceId, InstanceRecord>& listed) {
  for (auto it = routers_.begin(); it != routers_.end();) {
    const auto found = listed.find(it->first);
    if (found != listed.end() && found->second.address == it->second.record.address) {
      ++it;
      continue;
    }
    CloseConnection(&it->second.connection);
    it = routers_.erase(it);
  }
  for (const auto& [id, record] : listed) routers_[id].record = record;
}

int RunnerDirectory::Distance(const FailureDomain& domain, const Region& region,
                              const InstanceRecord& runner) {
  if (domain == runner.failure_domain) return 0;
  return region == runner.region ? 1 : 2;
}

void RunnerDirectory::CountRouters() {
  routers_in_domain_.clear();
  routers_in_region_.clear();
  const auto count = [this](const FailureDomain& domain, const Region& region) {
    ++routers_in_domain_[domain];
    ++routers_in_region_[region];
  };
  if (!draining_ && !listed_leaving_) count(options_.failure_domain, options_.region);
  for (const auto& [id, entry] : routers_) {
    if (!entry.record.leaving) count(entry.record.failure_domain, entry.record.region);
  }
}

bool RunnerDirectory::IsHomeOf(const InstanceRecord& runner) const {
  if (draining_ || listed_leaving_) return false;
  const auto count = [](const auto& counts, const auto& key) {
    const auto it = counts.find(key);
    return it == counts.end() ? size_t{0} : it->second;
  };
  const int own = Distance(options_.failure_domain, options_.region, runner);
  size_t nearer = 0;
  if (own == 1) nearer = count(routers_in_domain_, runner.failure_domain);
  if (own == 2) nearer = count(routers_in_region_, runner.region);
  // A router in another region is a home only when the runner's own region has no router.
  if (nearer >= kHomesPerRunner || (own == 2 && nearer > 0)) return false;
  const uint64_t weight = RendezvousWeight(runner.runner.value(), options_.id.value());
  size_t rank = nearer;
  for (const auto& [id, entry] : routers_) {
    const InstanceRecord& other = entry.record;
    if (other.leaving || Distance(other.failure_domain, other.region, runner) != own) continue;
    if (RendezvousWeight(runner.runner.value(), id.value()) > weight) ++rank;
  }
  return rank < kHomesPerRunner;
}

void RunnerDirectory::ChooseHomes() {
  CountRouters();
  for (auto& [id, entry] : runners_) entry.connection.keep = IsHomeOf(entry.view.record);
}

void RunnerDirectory::ChoosePeers() {
  std::map<FailureDomain, std::pair<uint64_t, InstanceId>> best;
  for (auto& [id, entry] : routers_) {
    const FailureDomain& domain = entry.record.failure_domain;
    entry.connection.keep = domain == options_.failure_domain;
    if (entry.connection.keep || entry.record.leaving) continue;
    const uint64_t weight = RendezvousWeight(options_.id.value(), id.value());
    auto& candidate = best[domain];
    if (candidate.second.empty() || weight > candidate.first) candidate = {weight, id};
  }
  for (const auto& [domain, candidate] : best) routers_[candidate.second].connection.keep = true;
}

void RunnerDirectory::SetOwnState(ConfigRevision revision, bool draining, uint64_t running,
                                  uint64_t queued) {
  const bool drain_began = draining && !draining_;
  revision_ = revision;
  draining_ = draining;
  own_load_.running = running;
  own_load_.queued = queued;
  if (!drain_began) return;
  next_check_ = clock_->SteadyNow();
  const SteadyTime now = clock_->SteadyNow();
  for (auto& [id, entry] : runners_) entry.connection.next_heartbeat = now;
  for (auto& [id, entry] : routers_) entry.connection.next_heartbeat = now;
  for (auto& [id, entry] : incoming_) entry.next_heartbeat = now;
}

bool RunnerDirectory::SendToRunner(const RunnerId& runner, const Message& message) {
  const auto it = runners_.find(runner);
  if (it == runners_.end()) return false;
  EnsureConnected(runner);
  if (!it->second.view.up) return false;
  return IsOk(link_->Send(*it->second.connection.id, message));
}

bool RunnerDirectory::SendToRouter(const InstanceId& router, const Message& message) {
  const auto it = routers_.find(router);
  if (it != routers_.end() && it->second.connection.hello_received) {
    it->second.connection.last_used = clock_->SteadyNow();
    return IsOk(link_->Send(*it->second.connection.id, message));
  }
  const std::pair<const ConnectionId, Incoming>* latest = nullptr;
  for (const auto& each : incoming_) {
    if (each.second.router != router) continue;
    if (latest == nullptr || each.second.last_received > latest->second.last_received) {
      latest = &each;
    }
  }
  if (latest != nullptr) return IsOk(link_->Send(latest->first, message));
  if (it == routers_.end()) return false;
  Connection& connection = it->second.connection;
  connection.last_used = clock_->SteadyNow();
  if (!connection.id.has_value() && clock_->SteadyNow() >= connection.next_dial) {
    Dial(&connection, it->second.record.address, {.runner = {}, .router = router});
  }
  return false;
}

void RunnerDirectory::SendToConnectedRouters(const Message& message) {
  std::set<InstanceId> connected;
  for (const auto& [id, entry] : routers_) {
    if (entry.connection.hello_received) connected.insert(id);
  }
  for (const auto& [connection, incoming] : incoming_) connected.insert(incoming.router);
  for (const InstanceId& router : connected) SendToRouter(router, message);
}

void RunnerDirectory::EnsureConnected(const RunnerId& runner) {
  const auto it = runners_.find(runner);
  if (it == runners_.end()) return;
  Connection& connection = it->second.connection;
  const SteadyTime now = clock_->SteadyNow();
  connection.last_used = now;
  if (connection.id.has_value() || now < connection.next_dial) return;
  Dial(&connection, it->second.view.record.address, {.runner = runner, .router = {}});
}

RunnerView* RunnerDirectory::Find(const RunnerId& runner) {
  const auto it = runners_.find(runner);
  return it == runners_.end() ? nullptr : &it->second.view;
}

const RunnerView* RunnerDirectory::Find(const RunnerId& runner) const {
  const auto it = runners_.find(runner);
  return it == runners_.end() ? nullptr : &it->second.view;
}

const std::vector<RunnerId>& RunnerDirectory::RunnersOf(const BackendName& backend) const {
  static const std::vector<RunnerId> kNone;
  const auto it = by_backend_.find(backend);
  return it == by_backend_.end() ? kNone : it->second;
}

bool RunnerDirectory::IsUsable(const RunnerView& view) {
  return !view.record.leaving && !view.draining && view.load.serving;
}

bool RunnerDirectory::IsSuspect(const RunnerView& view) const {
  const SteadyTime now = clock_->SteadyNow();
  if (view.failed_at.has_value() && now - *view.failed_at < kFailureExpiry) return true;
  return view.up && view.reported_at.has_value() && now - *view.reported_at > kReportTimeout;
}

bool RunnerDirectory::IsHome(const RunnerId& runner) const {
  const auto it = runners_.find(runner);
  return it != runners_.end() && it->second.connection.keep;
}

Hello RunnerDirectory::OwnHello() const {
  Hello hello;
  hello.sender = options_.id;
  hello.incarnation = options_.incarnation;
  hello.role = PeerRole::kRouter;
  hello.failure_domain = options_.failure_domain;
  hello.config_revision = revision_;
  hello.draining = draining_;
  return hello;
}

void RunnerDirectory::Dial(Connection* connection, const std::string& address, const Owner& owner) {
  const SteadyTime now = clock_->SteadyNow();
  connection->id = link_->Connect(address);
  connection->hello_received = false;
  connection->last_received = now;
  connection->next_heartbeat = now + kHeartbeatInterval;
  by_connection_[*connection->id] = owner;
  link_->Send(*connection->id, OwnHello());
}

void RunnerDirectory::CloseConnection(Connection* connection) {
  if (!connection->id.has_value()) return;
  link_->Close(*connection->id);
  by_connection_.erase(*connection->id);
  connection->id.reset();
  connection->hello_received = false;
}

void RunnerDirectory::DisconnectRunner(const RunnerId& runner) {
  RunnerEntry& entry = runners_[runner];
  const bool was_up = entry.view.up;
  CloseConnection(&entry.connection);
  entry.view.up = false;
  entry.view.reported_at.reset();
  if (!was_up) return;
  entry.view.lost_at = clock_->SteadyNow();
  listener_->OnRunnerDisconnected(runner);
}

void RunnerDirectory::ScheduleReconnect(Connection* connection) {
  // Jitter prevents many routers from reconnecting to a restarted peer at the same moment.
  const double factor = 0.75 + 0.5 * random_.Unit();
  connection->next_dial =
      clock_->SteadyNow() + std::chrono::duration_cast<Duration>(connection->backoff * factor);
  connection->backoff = std::min<Duration>(connection->backoff * 2, kMaxBackoff);
}

void RunnerDirectory::SendHeartbeat(ConnectionId connection, uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.config_revision = revision_;
  heartbeat.draining = draining_;
  heartbeat.load = own_load_;
  link_->Send(connection, heartbeat);
}

}  // namespace shallot
