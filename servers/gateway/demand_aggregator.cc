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
}

void DemandMeter::OnSent(const Key& key, const RunnerId& runner) {
  Entry& entry = entries_[key];
  ++entry.in_flight;
  ++entry.in_flight_at[runner];
}

void DemandMeter::OnEnded(const Key& key, const RunnerId& runner) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.in_flight > 0) --entry.in_flight;
  const auto at = entry.in_flight_at.find(runner);
  if (at != entry.in_flight_at.end() && --at->second == 0) entry.in_flight_at.erase(at);
}

uint64_t TotalDemand::InFlightAt(const RunnerId& runner) const {
  const auto found = in_flight_at.find(runner);
  return found == in_flight_at.end() ? 0 : found->second;
}

std::vector<EntryDemand> DemandMeter::Snapshot(SteadyTime now) {
  std::vector<EntryDemand> snapshot;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.in_flight == 0 && now - entry->second.last_call > Duration(kEntryTimeout)) {
      entry = entries_.erase(entry);
      continue;
    }
    const double decay = Decay(now - entry->second.updated);
    EntryDemand demand;
    demand.backend = entry->first.backend;
    demand.model = entry->first.model;
    demand.adapter = entry->first.adapter;
    demand.in_flight = entry->second.in_flight;
    demand.in_flight_at = entry->second.in_flight_at;
    demand.calls_per_s = entry->second.calls_per_s * decay;
    demand.prompt_tokens_per_s = entry->second.tokens_per_s * decay;
    demand.since_last_call = ToMillis(now - entry->second.last_call);
    snapshot.push_back(demand);
    ++entry;
  }
  return snapshot;
}

void DemandAggregator::Apply(const DemandReport& report, SteadyTime now) {
  reports_[report.gateway] = {now, report};
}

std::map<DemandMeter::Key, TotalDemand> DemandAggregator::Totals(SteadyTime now) const {
  std::map<DemandMeter::Key, TotalDemand> totals;
  for (const auto& [gateway, report] : reports_) {
    const Duration age = now - report.first;
    if (age > Duration(kMaxReportAge)) continue;
    for (const EntryDemand& entry : report.second.entries) {
      TotalDemand& total = totals[{entry.backend, entry.model, entry.adapter}];
      total.waiting += entry.waiting;
      if (entry.waiting > 0) {
        total.least_time_left = std::min(total.least_time_left, entry.least_time_left);
      }
      total.in_flight += entry.in_flight;
      for (const auto& [runner, count] : entry.in_flight_at) total.in_flight_at[runner] += count;
      total.calls_per_s += entry.calls_per_s;
      total.prompt_tokens_per_s += entry.prompt_tokens_per_s;
      total.since_last_call =
          std::min(total.since_last_call, entry.since_last_call + ToMillis(age));
    }
  }
  return totals;
}

std::map<InstanceId, std::string> DemandAggregator::Reporters(SteadyTime now) const {
  std::map<InstanceId, std::string> reporters;
  for (const auto& [gateway, report] : reports_) {
    if (now - report.first <= Duration(kMaxReportAge)) reporters[gateway] = report.second.address;
  }
  return reporters;
}

std::set<RunnerId> DemandAggregator::Unreachable(SteadyTime now) const {
  std::map<RunnerId, uint64_t> votes;
  uint64_t gateways = 0;
  for (const auto& [gateway, report] : reports_) {
    if (now - report.first > Duration(kMaxReportAge)) continue;
    ++gateways;
    for (const RunnerId& runner : report.second.unreachable) ++votes[runner];
  }
  std::set<RunnerId> unreachable;
  for (const auto& [runner, count] : votes) {
    // A gateway only knows the state of runners that it has called, so a third is strong evidence.
    if (count * 3 >= gateways) unreachable.insert(runner);
  }
  return unreachable;
}

}  // namespace shallot::gateway
