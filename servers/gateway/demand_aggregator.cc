#include "servers/gateway/demand_aggregator.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {
namespace {

using FloatSeconds = std::chrono::duration<double>;

double Decay(Duration age) {
  return std::exp(-FloatSeconds(age) / FloatSeconds(DemandMeter::kRateWindow));
}

Millis ToMillis(Duration duration) { return std::chrono::duration_cast<Millis>(duration); }

}  // namespace

void DemandMeter::OnCall(const Key& key, double tokens, SteadyTime now) {
  Entry& entry = entries_[key];
  const double decay = Decay(now - entry.updated);
  const double per_second = 1.0 / FloatSeconds(kRateWindow).count();
  entry.calls_per_s = entry.calls_per_s * decay + per_second;
  entry.tokens_per_s = entry.tokens_per_s * decay + tokens * per_second;
  entry.updated = now;
  entry.last_call = now;
  entry.changed = true;
}

void DemandMeter::OnSent(const Key& key, const RunnerId& runner) {
  Entry& entry = entries_[key];
  ++entry.in_flight;
  ++entry.in_flight_at[runner];
  entry.changed = true;
}

void DemandMeter::OnEnded(const Key& key, const RunnerId& runner) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.changed = true;
  if (entry.in_flight > 0) --entry.in_flight;
  const auto at = entry.in_flight_at.find(runner);
  if (at != entry.in_flight_at.end() && --at->second == 0) entry.in_flight_at.erase(at);
}

uint64_t TotalDemand::InFlightAt(const RunnerId& runner) const {
  const auto found = in_flight_at.find(runner);
  return found == in_flight_at.end() ? 0 : found->second;
}

EntryDemand DemandMeter::Describe(const Key& key, const Entry& entry, SteadyTime now) {
  const double decay = Decay(now - entry.updated);
  EntryDemand demand;
  demand.backend = key.backend;
  demand.model = key.model;
  demand.adapter = key.adapter;
  demand.in_flight = entry.in_flight;
  demand.in_flight_at = entry.in_flight_at;
  demand.calls_per_s = entry.calls_per_s * decay;
  demand.prompt_tokens_per_s = entry.tokens_per_s * decay;
  demand.since_last_call = ToMillis(now - entry.last_call);
  return demand;
}

std::vector<EntryDemand> DemandMeter::Snapshot(SteadyTime now) {
  std::vector<EntryDemand> snapshot;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.in_flight == 0 && now - entry->second.last_call > Duration(kEntryTimeout)) {
      entry = entries_.erase(entry);
      continue;
    }
    entry->second.changed = false;
    snapshot.push_back(Describe(entry->first, entry->second, now));
    ++entry;
  }
  return snapshot;
}

std::vector<EntryDemand> DemandMeter::Changes(const std::set<Key>& also, SteadyTime now) {
  std::vector<EntryDemand> changes;
  for (auto& [key, entry] : entries_) {
    if (!entry.changed && !also.contains(key)) continue;
    entry.changed = false;
    changes.push_back(Describe(key, entry, now));
  }
  return changes;
}

void DemandAggregator::Apply(const DemandReport& report, SteadyTime now) {
  Reporter& reporter = reporters_[report.gateway];
  if (!report.changes_only) RemoveParts(report.gateway, &reporter);
  reporter.at = now;
  reporter.address = report.address;
  reporter.unreachable = report.unreachable;
  for (const EntryDemand& entry : report.entries) {
    const Key key{entry.backend, entry.model, entry.adapter};
    parts_[key][report.gateway] = Part{entry, now};
    reporter.keys.insert(key);
    changed_.insert(key);
  }
}

void DemandAggregator::RemoveParts(const InstanceId& gateway, Reporter* reporter) {
  for (const Key& key : reporter->keys) {
    const auto found = parts_.find(key);
    if (found == parts_.end()) continue;
    found->second.erase(gateway);
    if (found->second.empty()) parts_.erase(found);
    changed_.insert(key);
  }
  reporter->keys.clear();
}

void DemandAggregator::DropSilentReporters(SteadyTime now) {
  for (auto reporter = reporters_.begin(); reporter != reporters_.end();) {
    if (now - reporter->second.at <= Duration(kMaxReportAge)) {
      ++reporter;
      continue;
    }
    RemoveParts(reporter->first, &reporter->second);
    reporter = reporters_.erase(reporter);
  }
}

TotalDemand DemandAggregator::Sum(const std::map<InstanceId, Part>& parts, SteadyTime now) {
  TotalDemand total;
  for (const auto& [gateway, part] : parts) {
    const EntryDemand& entry = part.demand;
    const Duration age = now - part.at;
    const double decay = Decay(age);
    total.waiting += entry.waiting;
    if (entry.waiting > 0) {
      total.least_time_left = std::min(total.least_time_left, entry.least_time_left);
    }
    total.in_flight += entry.in_flight;
    for (const auto& [runner, count] : entry.in_flight_at) total.in_flight_at[runner] += count;
    total.calls_per_s += entry.calls_per_s * decay;
    total.prompt_tokens_per_s += entry.prompt_tokens_per_s * decay;
    total.since_last_call = std::min(total.since_last_call, entry.since_last_call + ToMillis(age));
  }
  return total;
}

const std::map<DemandMeter::Key, TotalDemand>& DemandAggregator::Totals(SteadyTime now) {
  DropSilentReporters(now);
  const Duration passed = now - totals_at_;
  const double decay = Decay(passed);
  for (auto& [key, total] : totals_) {
    total.calls_per_s *= decay;
    total.prompt_tokens_per_s *= decay;
    total.since_last_call += ToMillis(passed);
  }
  totals_at_ = now;
  for (const Key& key : changed_) {
    const auto found = parts_.find(key);
    if (found == parts_.end()) {
      totals_.erase(key);
    } else {
      totals_[key] = Sum(found->second, now);
    }
  }
  changed_.clear();
  return totals_;
}

std::map<InstanceId, std::string> DemandAggregator::Reporters(SteadyTime now) const {
  std::map<InstanceId, std::string> reporters;
  for (const auto& [gateway, reporter] : reporters_) {
    if (now - reporter.at <= Duration(kMaxReportAge)) reporters[gateway] = reporter.address;
  }
  return reporters;
}

std::set<InstanceId> DemandAggregator::GatewaysUsing(const BackendName& backend,
                                                     const ModelName& model, Millis recent,
                                                     SteadyTime now) const {
  std::set<InstanceId> gateways;
  for (auto entry = parts_.lower_bound({backend, model, AdapterName()}); entry != parts_.end();
       ++entry) {
    if (entry->first.backend != backend || entry->first.model != model) break;
    for (const auto& [gateway, part] : entry->second) {
      const EntryDemand& demand = part.demand;
      const bool called = demand.since_last_call + ToMillis(now - part.at) < recent;
      if (called || demand.waiting > 0 || demand.in_flight > 0) gateways.insert(gateway);
    }
  }
  return gateways;
}

std::set<RunnerId> DemandAggregator::Unreachable(SteadyTime now) const {
  std::map<RunnerId, uint64_t> votes;
  uint64_t gateways = 0;
  for (const auto& [gateway, reporter] : reporters_) {
    if (now - reporter.at > Duration(kMaxReportAge)) continue;
    ++gateways;
    for (const RunnerId& runner : reporter.unreachable) ++votes[runner];
  }
  std::set<RunnerId> unreachable;
  for (const auto& [runner, count] : votes) {
    // A gateway only knows the state of runners that it has called, so a third is strong evidence.
    if (count * 3 >= gateways) unreachable.insert(runner);
  }
  return unreachable;
}

void DemandAggregator::Clear() {
  reporters_.clear();
  parts_.clear();
  totals_.clear();
  changed_.clear();
}

}  // namespace shallot::gateway
