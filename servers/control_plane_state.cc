#include "servers/control_plane_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "core/hashing.h"

namespace shallot {
namespace {

constexpr Millis kListInterval{1000};
/// Number of routers in each failure domain that watch `config/head`.
constexpr size_t kWatchersPerDomain = 2;
/// Duration and interval of the announcements of a new revision to the failure domain.
constexpr Millis kAnnounceDuration{6000};
constexpr Millis kAnnounceInterval{1500};
constexpr Millis kConfigRequestInterval{1000};
/// Interval at which a release confirmation is forwarded until the slot is gone from the placement.
constexpr Millis kForwardInterval{1000};
/// Time that a confirmation with a matching slot is kept after its last arrival.
constexpr Seconds kReleaseLifetime{60};
/// Time that a confirmation without a matching slot is kept, because it may arrive before the
/// placement that it refers to.
constexpr Seconds kUnmatchedReleaseLifetime{5};
/// After this time without a permit, requests are sent to the candidates in turn.
constexpr Seconds kBudgetRouterLifetime{5};
constexpr const char* kBudgetKey = "budget/weights";
constexpr const char* kRouterPrefix = "router ";
constexpr const char* kRunnerPrefix = "runner ";

std::string ShardKey(ShardId shard) { return "placement/" + std::to_string(shard.value()); }

}  // namespace

ControlPlaneCore::State::State(ControlPlaneOptions options, const Clock* clock,
                               PlatformStore* store, InstanceList* instances,
                               MetricsRegistry* metrics, InvariantMonitor* invariants)
    : options_(std::move(options)),
      clock_(clock),
      store_(store, metrics),
      instances_(instances),
      invariants_(invariants),
      seed_(StableHash(options_.id.value())),
      registry_(clock, options_.id),
      follower_(
          clock, &store_, invariants, seed_,
          [this](const std::string& peer, const Message& message) { SendToPeer(peer, message); },
          [this] { OnNewConfig(); }),
      grants_(clock, [this](const RunnerId& runner,
                            const Message& message) { listener->SendToRunner(runner, message); }),
      budget_lease_(clock, &store_, StoreKey(kBudgetKey), options_.id, seed_ + 1),
      budget_(clock),
      list_backoff_(Millis(500), Millis(5000), seed_ + 2) {}

void ControlPlaneCore::State::OnTick() {
  const SteadyTime now = clock_->SteadyNow();
  FetchInstances(now);
  follower_.OnTick(watcher_);
  RequestConfigFromPeer(now);
  AnnounceRevision(now);
  UpdateDemand(now);
  TickShards();
  TickReleases(now);
  TickBudget();
  grants_.OnTick();
}

void ControlPlaneCore::State::FetchInstances(SteadyTime now) {
  if (list_in_flight_ || now < next_list_ || !list_backoff_.Ready(now)) return;
  list_in_flight_ = true;
  next_list_ = now + kListInterval;
  instances_->Fetch([this](const Result<std::vector<InstanceRecord>>& list) {
    list_in_flight_ = false;
    if (!IsOk(list)) {
      list_error_ = FormatError(ErrorOf(list));
      return list_backoff_.RecordFailure(clock_->SteadyNow());
    }
    list_backoff_.RecordSuccess();
    list_error_.clear();
    registry_.OnList(ValueOf(list));
    ranks_.clear();
    watcher_ = IsWatcher();
    listener->OnInstances(ValueOf(list));
  });
}

void ControlPlaneCore::State::OnNewConfig() {
  const std::shared_ptr<const FleetConfig> config = follower_.replica().current();
  if (shards_.empty()) CreateShards(config->shard_count);
  budget_.SetLimits(*config);
  announce_until_ = clock_->SteadyNow() + kAnnounceDuration;
  next_announce_ = SteadyTime::min();
  ++input_version_;
  listener->OnConfig(config);
}

void ControlPlaneCore::State::CreateShards(uint64_t count) {
  for (uint64_t i = 0; i < count; ++i) {
    const ShardId id(i);
    Shard& shard = shards_[id];
    shard.replica = std::make_unique<PlacementReplica>(clock_, &store_, id, seed_ + 10 + 3 * i,
                                                       [this](const ShardPlacement& placement) {
                                                         listener->OnPlacement(placement);
                                                         grants_.OnPlacement(placement);
                                                       });
    shard.owner =
        std::make_unique<PlacementOwner>(id, options_.id, clock_, &store_, shard.replica.get(),
                                         this, invariants_, seed_ + 11 + 3 * i);
    if (draining_) shard.owner->Stop();
    grants_.AddShard(id, shard.replica.get());
  }
}

std::vector<InstanceId> ControlPlaneCore::State::RankedRouters(const std::string& key) const {
  std::vector<InstanceId> routers;
  if (!draining_) routers.push_back(options_.id);
  for (const InstanceRecord& record : registry_.routers()) {
    if (!record.leaving && record.id != options_.id) routers.push_back(record.id);
  }
  std::sort(routers.begin(), routers.end(), [&](const InstanceId& a, const InstanceId& b) {
    return RendezvousWeight(key, a.value()) > RendezvousWeight(key, b.value());
  });
  return routers;
}

uint64_t ControlPlaneCore::State::RankFor(const std::string& key) {
  const auto known = ranks_.find(key);
  if (known != ranks_.end()) return known->second;
  return ranks_[key] = ComputeRank(key);
}

uint64_t ControlPlaneCore::State::ComputeRank(const std::string& key) const {
  const uint64_t own = RendezvousWeight(key, options_.id.value());
  uint64_t rank = 0;
  for (const InstanceRecord& record : registry_.routers()) {
    if (record.leaving || record.id == options_.id) continue;
    rank += RendezvousWeight(key, record.id.value()) > own ? 1 : 0;
  }
  return rank;
}

bool ControlPlaneCore::State::IsWatcher() const {
  const uint64_t own = RendezvousWeight("config/head", options_.id.value());
  size_t preferred = 0;
  for (const InstanceRecord& record : registry_.routers()) {
    if (record.leaving || record.failure_domain != options_.failure_domain) continue;
    preferred += RendezvousWeight("config/head", record.id.value()) > own ? 1 : 0;
  }
  return preferred < kWatchersPerDomain;
}

/// Watchers announce a new revision to the routers of their failure domain. All routers also learn
/// of it from heartbeats.
void ControlPlaneCore::State::AnnounceRevision(SteadyTime now) {
  if (now >= announce_until_ || now < next_announce_ || !watcher_) return;
  next_announce_ = now + kAnnounceInterval;
  const ConfigPush notice{follower_.replica().revision(), "", ""};
  for (const InstanceRecord& record : registry_.routers()) {
    if (record.id == options_.id || record.failure_domain != options_.failure_domain) continue;
    listener->SendToRouter(record.id, notice);
  }
}

void ControlPlaneCore::State::RequestConfigFromPeer(SteadyTime now) {
  if (follower_.replica().current() != nullptr || now < next_config_request_) return;
  next_config_request_ = now + kConfigRequestInterval;
  const std::vector<InstanceRecord>& routers = registry_.routers();
  for (size_t i = 0; i < routers.size(); ++i) {
    const InstanceId& peer = routers[next_peer_++ % routers.size()].id;
    if (peer != options_.id) return follower_.AskPeer(kRouterPrefix + peer.value());
  }
}

void ControlPlaneCore::State::SendToPeer(const std::string& peer, const Message& message) {
  const std::string name = peer.substr(std::string(kRouterPrefix).size());
  if (peer.starts_with(kRouterPrefix)) return listener->SendToRouter(InstanceId(name), message);
  listener->SendToRunner(RunnerId(name), message);
}

/// Callers are spread evenly over all routers, so the calls of this router are scaled up by the
/// number of routers.
void ControlPlaneCore::State::UpdateDemand(SteadyTime now) {
  if (now < next_demand_) return;
  next_demand_ = now + PlacementOwner::kPlanInterval;
  const double routers = std::max<double>(1, static_cast<double>(registry_.routers().size()));
  std::map<EntryId, uint64_t> wanted = demand_.Wanted(now, routers, registry_.CallsPerReplica());
  if (wanted == wanted_) return;
  wanted_ = std::move(wanted);
  ++input_version_;
}

void ControlPlaneCore::State::TickShards() {
  for (auto& [id, shard] : shards_) {
    shard.replica->OnTick();
    // Ranks are meaningless before the first instance list.
    if (registry_.lists() > 0) shard.owner->OnTick(RankFor(ShardKey(id)));
  }
}

bool ControlPlaneCore::State::FillInput(const std::vector<Slot>& slots, PlannerInput* input) {
  const std::shared_ptr<const FleetConfig>& config = follower_.replica().current();
  if (config == nullptr || registry_.lists() == 0) return false;
  input->config = config.get();
  input->runners = registry_.Runners();
  std::set<RunnerId> known;
  for (const PlannerRunner& runner : input->runners) known.insert(runner.id);
  for (const Slot& slot : slots) {
    if (known.contains(slot.runner) || registry_.IsGone(slot.runner)) continue;
    const CatalogEntry* entry = config->FindEntry(slot.entry);
    const BackendName backend = entry == nullptr ? BackendName() : entry->backend;
    input->runners.push_back(RunnerRegistry::MissingRunner(slot.runner, backend));
    known.insert(slot.runner);
  }
  input->wanted = wanted_;
  for (const auto& [id, shard] : shards_) {
    if (id == input->shard) continue;
    for (const Slot& slot : shard.replica->current().slots) {
      const CatalogEntry* entry = config->FindEntry(slot.entry);
      if (entry == nullptr) continue;
      input->other_shard_bytes[slot.runner] += entry->size.value() + entry->kv_cache.value();
    }
  }
  return true;
}

/// A call for an adapter also counts for its base model, which must serve the calls of all its
/// adapters.
void ControlPlaneCore::State::OnDemand(const EntryId& entry) {
  const SteadyTime now = clock_->SteadyNow();
  demand_.OnCall(entry, now);
  const std::shared_ptr<const FleetConfig> config = follower_.replica().current();
  const CatalogEntry* known = config == nullptr ? nullptr : config->FindEntry(entry);
  if (known != nullptr && known->base != entry) demand_.OnCall(known->base, now);
}

void ControlPlaneCore::State::OnRunnerMessage(const RunnerId& runner, const Message& message) {
  const std::string peer = kRunnerPrefix + runner.value();
  if (const auto* pull = std::get_if<ConfigPull>(&message)) return follower_.OnPull(peer, *pull);
  if (const auto* push = std::get_if<ConfigPush>(&message)) return follower_.OnPush(peer, *push);
  if (const auto* released = std::get_if<SlotReleased>(&message)) {
    return OnReleased(*released, false);
  }
  if (const auto* request = std::get_if<LoadPermitRequest>(&message)) {
    return OnPermitRequest(*request, InstanceId());
  }
  if (const auto* returned = std::get_if<LoadPermitReturn>(&message)) {
    return OnPermitReturn(*returned, false);
  }
}

void ControlPlaneCore::State::OnRouterMessage(const InstanceId& router, const Message& message) {
  const std::string peer = kRouterPrefix + router.value();
  if (const auto* pull = std::get_if<ConfigPull>(&message)) return follower_.OnPull(peer, *pull);
  if (const auto* push = std::get_if<ConfigPush>(&message)) return follower_.OnPush(peer, *push);
  if (const auto* released = std::get_if<SlotReleased>(&message)) {
    return OnReleased(*released, true);
  }
  if (const auto* request = std::get_if<LoadPermitRequest>(&message)) {
    return OnPermitRequest(*request, router);
  }
  if (const auto* returned = std::get_if<LoadPermitReturn>(&message)) {
    return OnPermitReturn(*returned, true);
  }
  const auto* permit = std::get_if<LoadPermit>(&message);
  if (permit == nullptr) return;
  budget_router_ = router;
  last_permit_at_ = clock_->SteadyNow();
  listener->SendToRunner(permit->runner, *permit);
}

void ControlPlaneCore::State::TickBudget() {
  if (registry_.lists() > 0) budget_lease_.OnTick(RankFor(kBudgetKey));
  const bool held = budget_lease_.Held();
  if (held != held_budget_) budget_.Clear();
  held_budget_ = held;
  if (!held) return;
  budget_.RevokeRunners([this](const RunnerId& runner) { return registry_.IsGone(runner); });
  for (const BudgetGrant& grant : budget_.GrantPermits()) SendPermit(grant);
}

void ControlPlaneCore::State::SendPermit(const BudgetGrant& grant) {
  if (grant.via.empty()) return listener->SendToRunner(grant.permit.runner, grant.permit);
  listener->SendToRouter(grant.via, grant.permit);
}

void ControlPlaneCore::State::OnPermitRequest(const LoadPermitRequest& request,
                                              const InstanceId& via) {
  if (held_budget_) return budget_.Request(request, via);
  // A request from another router is not forwarded again, to avoid forwarding loops.
  if (!via.empty()) return;
  // Subtracting `last_permit_at_` would overflow, because it starts at the minimum time.
  const bool recent = clock_->SteadyNow() < last_permit_at_ + kBudgetRouterLifetime;
  if (recent && !budget_router_.empty()) return listener->SendToRouter(budget_router_, request);
  const std::vector<InstanceId> routers = RankedRouters(kBudgetKey);
  const size_t candidates = std::min<size_t>(routers.size(), LeaseKeeper::kMaxCandidates);
  for (size_t i = 0; i < candidates; ++i) {
    const InstanceId& router = routers[next_budget_candidate_++ % candidates];
    if (router != options_.id) return listener->SendToRouter(router, request);
  }
}

void ControlPlaneCore::State::OnPermitReturn(const LoadPermitReturn& returned, bool from_router) {
  if (held_budget_) {
    if (returned.incarnation == Incarnation()) {
      return budget_.Return(returned.runner, returned.permit_id);
    }
    return budget_.RevokeOtherIncarnations(returned.runner, returned.incarnation);
  }
  if (from_router) return;
  // An agent may return a permit through a router other than the one that requested it, which may
  // not know the budget's holder. Routers that do not hold the budget ignore the return.
  const std::vector<InstanceId> routers = RankedRouters(kBudgetKey);
  const size_t candidates = std::min<size_t>(routers.size(), LeaseKeeper::kMaxCandidates);
  for (size_t i = 0; i < candidates; ++i) {
    if (routers[i] != options_.id) listener->SendToRouter(routers[i], returned);
  }
}

void ControlPlaneCore::State::OnReleased(const SlotReleased& released, bool from_router) {
  const SteadyTime now = clock_->SteadyNow();
  const auto same = [&](const PendingRelease& release) { return release.released == released; };
  const auto it = std::find_if(pending_releases_.begin(), pending_releases_.end(), same);
  if (it == pending_releases_.end()) {
    pending_releases_.push_back({released, now, now, 0, from_router});
  } else {
    it->received = now;
  }
}

const Slot* ControlPlaneCore::State::FindSlot(const SlotReleased& released) const {
  const auto shard = shards_.find(released.shard);
  if (shard == shards_.end()) return nullptr;
  for (const Slot& slot : shard->second.replica->current().slots) {
    if (slot.entry == released.entry && slot.runner == released.runner &&
        slot.generation == released.generation) {
      return &slot;
    }
  }
  return nullptr;
}

void ControlPlaneCore::State::TickReleases(SteadyTime now) {
  std::erase_if(pending_releases_, [&](const PendingRelease& release) {
    const Slot* slot = FindSlot(release.released);
    if (slot != nullptr && slot->state == SlotState::kActive) {
      registry_.OnActiveSlotReleased(slot->runner);
    }
    return now - release.received >=
           (slot == nullptr ? kUnmatchedReleaseLifetime : kReleaseLifetime);
  });
  for (PendingRelease& release : pending_releases_) {
    const auto shard = shards_.find(release.released.shard);
    if (shard == shards_.end()) continue;
    if (shard->second.owner->HoldsLease()) {
      shard->second.owner->OnReleased(release.released);
      continue;
    }
    if (release.received_from_router || now < release.next_forward) continue;
    release.next_forward = now + kForwardInterval;
    const std::vector<InstanceId> routers = RankedRouters(ShardKey(release.released.shard));
    const size_t candidates = std::min<size_t>(routers.size(), LeaseKeeper::kMaxCandidates);
    if (candidates == 0) continue;
    const InstanceId& router = routers[release.forwards++ % candidates];
    if (router != options_.id) listener->SendToRouter(router, release.released);
  }
}

void ControlPlaneCore::State::BeginDrain() {
  draining_ = true;
  for (auto& [id, shard] : shards_) shard.owner->Stop();
  budget_lease_.Stop();
}

std::string ControlPlaneCore::State::StatusJson() const {
  using Json = nlohmann::json;
  Json shards = Json::array();
  for (const auto& [id, shard] : shards_) {
    const ShardPlacement& placement = shard.replica->current();
    shards.push_back({{"shard", id.value()},
                      {"version", placement.version.value()},
                      {"slots", placement.slots.size()},
                      {"lease", shard.owner->HoldsLease()},
                      {"lost_writes", shard.owner->lost_writes()},
                      {"error", shard.replica->last_error()}});
  }
  const Json json = {{"config_revision", follower_.replica().revision().value()},
                     {"config_watcher", watcher_},
                     {"config_error", follower_.last_error()},
                     {"instance_lists", registry_.lists()},
                     {"instance_error", list_error_},
                     {"draining", draining_},
                     {"budget",
                      {{"lease", held_budget_},
                       {"waiting", budget_.waiting()},
                       {"models_in_flight", budget_.models_in_flight()},
                       {"adapters_in_flight", budget_.adapters_in_flight()}}},
                     {"shards", std::move(shards)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace shallot
