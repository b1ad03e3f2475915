#include "servers/gateway/fleet_view.h"

#include <algorithm>
#include <utility>

namespace shallot::gateway {

bool Holdings::Holds(const ModelName& model, const AdapterName& adapter) const {
  const auto found = models.find(model);
  if (found == models.end()) return false;
  return adapter.empty() || found->second.contains(adapter);
}

bool Holdings::HoldsOrIsLoading(const ModelName& model, const AdapterName& adapter) const {
  const auto loading = loading_adapters.find(model);
  return Holds(model, adapter) ||
         (loading != loading_adapters.end() && loading->second.contains(adapter));
}

uint64_t Holdings::AdapterCount() const {
  uint64_t count = 0;
  for (const auto& [model, adapters] : models) count += adapters.size();
  for (const auto& [model, adapters] : loading_adapters) count += adapters.size();
  return count;
}

bool FleetView::Apply(const RunnerEntry& entry, SteadyTime now) {
  auto found = runners_.find(entry.id);
  if (found != runners_.end() && Recreated(found->second.entry, entry)) {
    // The removal was not seen, for example because the store has dropped its history.
    Remove(entry.id, now);
    found = runners_.find(entry.id);
  }
  if (found == runners_.end()) {
    const auto departed = departed_.find(entry.id);
    if (departed != departed_.end() && !ProvesReturn(&departed->second, entry, now)) return false;
  }
  if (found == runners_.end() || found->second.entry.born < entry.born) {
    List(entry);
    return true;
  }
  RunnerState& known = found->second;
  if (entry.born < known.entry.born || entry.heartbeat < known.entry.heartbeat) return false;
  known.missing_since.reset();
  Holdings holdings = known.entry.holdings;
  const bool same_models = entry.holdings.models == holdings.models &&
                           entry.holdings.in_memory == holdings.in_memory &&
                           entry.holdings.on_disk == holdings.on_disk;
  if (!same_models) {
    known.holdings_confirmed = false;
    const bool reported_lately =
        known.reported_at && now - *known.reported_at < Duration(kHeartbeatLag);
    if (reported_lately) {
      known.unconfirmed = entry.holdings;
    } else {
      holdings = entry.holdings;
    }
  } else {
    known.unconfirmed.reset();
  }
  // A run that has started to drain stays unusable.
  const bool was_draining = known.leaving || (known.described && known.entry.draining);
  const bool draining = was_draining || entry.draining;
  known.described = true;
  known.entry = entry;
  known.entry.holdings = holdings;
  known.entry.draining = draining;
  return false;
}

bool FleetView::Recreated(const RunnerEntry& known, const RunnerEntry& entry) {
  // Revisions of different eras say nothing about each other.
  return known.created.era == entry.created.era && known.created < entry.created;
}

bool FleetView::ProvesReturn(Departed* departed, const RunnerEntry& entry, SteadyTime now) const {
  if (entry.born != departed->born) return entry.born > departed->born;
  if (entry.heartbeat <= departed->heartbeat) return false;
  departed->heartbeat = entry.heartbeat;
  const bool renewed = departed->returned.has_value();
  departed->returned = entry;
  if (!renewed) departed->returned_since = contact_.Mark(now);
  return renewed;
}

void FleetView::List(const RunnerEntry& entry) {
  RunnerState fresh;
  fresh.entry = entry;
  fresh.described = true;
  const auto departed = departed_.find(entry.id);
  if (departed != departed_.end() && departed->second.born == entry.born) {
    // A run that has started to drain stays unusable.
    fresh.leaving = departed->second.leaving;
    fresh.entry.draining = entry.draining || departed->second.draining;
  }
  if (departed != departed_.end()) departed_.erase(departed);
  runners_[entry.id] = fresh;
}

std::vector<RunnerId> FleetView::ListReturned(SteadyTime now) {
  std::vector<RunnerEntry> stayed;
  // Until the store is reached again, an entry may have been removed unseen.
  if (contact_.EntriesMayBeLost(now)) return {};
  for (const auto& [id, departed] : departed_) {
    if (departed.returned &&
        contact_.TimeInContact(departed.returned_since, now) >= Duration(kUnrenewedLifetime)) {
      stayed.push_back(*departed.returned);
    }
  }
  std::vector<RunnerId> listed;
  for (const RunnerEntry& entry : stayed) {
    List(entry);
    listed.push_back(entry.id);
  }
  return listed;
}

bool FleetView::ReturnUnconfirmed(const RunnerId& id) const {
  const auto departed = departed_.find(id);
  return departed != departed_.end() && departed->second.returned;
}

RunnerState FleetView::StateOfNewRun(const RunnerState& before, RunnerStartTime born) {
  RunnerState fresh;
  fresh.entry = before.entry;
  fresh.entry.born = born;
  fresh.entry.heartbeat = HeartbeatSequence();
  fresh.entry.remaining.reset();
  fresh.entry.holdings = Holdings();
  fresh.missing_since = before.missing_since;
  return fresh;
}

bool FleetView::ApplyReport(const RunnerId& id, const RunnerReport& report, SteadyTime now) {
  const auto found = runners_.find(id);
  if (found == runners_.end()) return false;
  RunnerState& known = found->second;
  if (report.born < known.entry.born) return false;
  const bool restarted = report.born > known.entry.born;
  if (restarted) known = StateOfNewRun(known, report.born);
  const bool counted_lately = now - known.sequence_raised_at < Duration(kReportLag);
  if (report.sequence < known.sequence && counted_lately) return restarted;
  if (report.sequence > known.sequence) known.sequence_raised_at = now;
  known.sequence = report.sequence;
  known.entry.holdings = report.holdings;
  known.reported_at = now;
  known.unconfirmed.reset();
  known.holdings_confirmed = !report.order_under_way;
  return restarted;
}

std::optional<RunnerReport> FleetView::CurrentReport(const RunnerId& id) const {
  const RunnerState* runner = Find(id);
  if (runner == nullptr) return std::nullopt;
  RunnerReport report;
  report.born = runner->entry.born;
  report.sequence = runner->sequence;
  report.order_under_way = !runner->holdings_confirmed;
  report.holdings = runner->entry.holdings;
  return report;
}

std::optional<RunnerReport> FleetView::ReportAfterOrder(const RunnerId& id, bool load,
                                                        const ModelName& model,
                                                        const AdapterName& adapter,
                                                        bool under_way) const {
  std::optional<RunnerReport> current = CurrentReport(id);
  if (!current) return std::nullopt;
  RunnerReport& report = *current;
  report.sequence = report.sequence.Next();
  report.order_under_way = under_way;
  auto& models = report.holdings.models;
  if (adapter.empty()) {
    if (load) {
      models[model];
    } else {
      models.erase(model);
    }
  } else if (load) {
    models[model].insert(adapter);
  } else if (const auto held = models.find(model); held != models.end()) {
    held->second.erase(adapter);
  }
  return report;
}

void FleetView::Remove(const RunnerId& id, SteadyTime now) {
  const auto departed = departed_.find(id);
  if (departed != departed_.end()) departed->second.returned.reset();
  const auto found = runners_.find(id);
  if (found == runners_.end()) return;
  if (!contact_.EntriesMayBeLost(now)) {
    Forget(id, now);
    return;
  }
  RunnerState& runner = found->second;
  if (!runner.missing_since) runner.missing_since = contact_.Mark(now);
}

void FleetView::Reconcile(const std::set<RunnerId>& present, SteadyTime now) {
  list_read_ = true;
  std::vector<RunnerId> missing;
  for (const auto& [id, state] : runners_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const auto& [id, departed] : departed_) {
    if (departed.returned && !present.contains(id)) missing.push_back(id);
  }
  for (const RunnerId& id : missing) Remove(id, now);
}

void FleetView::OnStoreRestored(SteadyTime now) { contact_.OnRestored(now); }

void FleetView::Forget(const RunnerId& id, SteadyTime now) {
  const auto found = runners_.find(id);
  if (found == runners_.end()) return;
  std::erase_if(departed_, [now](const auto& departed) {
    return now - departed.second.at >= Duration(kDepartedMemory);
  });
  if (departed_.size() >= kMaxDeparted) {
    departed_.erase(std::min_element(
        departed_.begin(), departed_.end(),
        [](const auto& one, const auto& other) { return one.second.at < other.second.at; }));
  }
  Departed departed;
  departed.born = found->second.entry.born;
  departed.heartbeat = found->second.entry.heartbeat;
  departed.draining =
      found->second.leaving || (found->second.described && found->second.entry.draining);
  departed.leaving = found->second.leaving;
  departed.at = now;
  departed_[id] = departed;
  runners_.erase(found);
}

std::vector<RunnerId> FleetView::AdoptUnconfirmed(SteadyTime now) {
  std::vector<RunnerId> adopted;
  for (auto& [id, runner] : runners_) {
    if (!runner.unconfirmed || now - *runner.reported_at < Duration(kHeartbeatLag)) continue;
    runner.entry.holdings = std::move(*runner.unconfirmed);
    runner.unconfirmed.reset();
    adopted.push_back(id);
  }
  return adopted;
}

std::vector<RunnerId> FleetView::DropExpired(SteadyTime now) {
  std::vector<RunnerId> dropped;
  if (contact_.interrupted()) return dropped;
  for (const auto& [id, runner] : runners_) {
    if (!runner.missing_since) continue;
    // Further outages extend the time by their length only.
    const bool had_time =
        contact_.TimeInContact(*runner.missing_since, now) >= Duration(StoreContact::kReturnTime);
    if (had_time || !contact_.EntriesMayBeLost(now)) dropped.push_back(id);
  }
  for (const RunnerId& id : dropped) Forget(id, now);
  return dropped;
}

bool FleetView::MarkLeaving(const RunnerRun& run) {
  const auto found = runners_.find(run.runner);
  if (found == runners_.end() || found->second.entry.born != run.born) return false;
  found->second.entry.draining = true;
  return !std::exchange(found->second.leaving, true);
}

std::vector<RunnerRun> FleetView::Leaving() const {
  std::vector<RunnerRun> leaving;
  for (const auto& [id, runner] : runners_) {
    if (runner.leaving) leaving.push_back({id, runner.entry.born});
  }
  return leaving;
}

void FleetView::MarkReplaced(const RunnerId& id) {
  const auto found = runners_.find(id);
  if (found != runners_.end()) found->second.entry.draining = true;
}

void FleetView::ForgetModel(const RunnerId& id, const ModelName& model,
                            const AdapterName& adapter) {
  const auto found = runners_.find(id);
  if (found == runners_.end()) return;
  auto& models = found->second.entry.holdings.models;
  const auto held = models.find(model);
  if (held == models.end()) return;
  if (adapter.empty()) {
    models.erase(held);
  } else {
    held->second.erase(adapter);
  }
}

const RunnerState* FleetView::Find(const RunnerId& id) const {
  const auto found = runners_.find(id);
  return found == runners_.end() ? nullptr : &found->second;
}

std::vector<RunnerId> FleetView::UsableRunners(const BackendName& backend) const {
  std::vector<RunnerId> usable;
  for (const auto& [id, state] : runners_) {
    if (state.entry.backend == backend && state.Usable()) usable.push_back(id);
  }
  return usable;
}

std::vector<RunnerId> FleetView::HoldersToConfirm(const BackendName& backend,
                                                  const ModelName& model,
                                                  const AdapterName& adapter,
                                                  SteadyTime now) const {
  std::vector<RunnerId> holders = UsableRunners(backend);
  std::erase_if(holders, [&](const RunnerId& id) {
    const RunnerState& runner = runners_.at(id);
    const bool just_reported =
        runner.reported_at && now - *runner.reported_at < Duration(kConfirmAfter);
    return just_reported || !runner.entry.holdings.Holds(model, adapter);
  });
  return holders;
}

}  // namespace shallot::gateway
