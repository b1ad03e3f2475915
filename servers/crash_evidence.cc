#include "servers/crash_evidence.h"

#include <algorithm>
#include <iterator>

namespace shallot {

bool Crash::HasCall(const TraitSet& traits) const {
  return std::any_of(reports.begin(), reports.end(), [&](const auto& entry) {
    return std::any_of(entry.second.calls.begin(), entry.second.calls.end(),
                       [&](const auto& call) { return HasAllTraits(call, traits); });
  });
}

Crash& CrashEvidence::Remember(const RunnerRun& id, const FailureDomain& domain, SteadyTime now) {
  const auto [found, is_new] = crashes_.try_emplace(id);
  if (!is_new) return found->second;
  found->second.domain = domain;
  found->second.learned_at = now;
  if (crashes_.size() > kMaxCrashes) {
    const auto oldest =
        std::min_element(crashes_.begin(), crashes_.end(), [&](const auto& a, const auto& b) {
          return a.first != id && (b.first == id || a.second.learned_at < b.second.learned_at);
        });
    crashes_.erase(oldest);
  }
  return found->second;
}

void CrashEvidence::SetReport(Crash* crash, const InstanceId& gateway, CrashReport report) {
  crash->reports[gateway] = std::move(report);
  crash->suspected.clear();
  TraitSet served_before;
  for (const auto& [reporter, known] : crash->reports) {
    served_before.insert(known.served_before.begin(), known.served_before.end());
    for (const auto& call : known.calls) crash->suspected.insert(call.begin(), call.end());
  }
  crash->unknown.clear();
  std::set_difference(crash->suspected.begin(), crash->suspected.end(), served_before.begin(),
                      served_before.end(), std::inserter(crash->unknown, crash->unknown.end()));
}

bool CrashEvidence::ServedSince(const TraitSet& traits, SteadyTime since) const {
  return std::all_of(traits.begin(), traits.end(), [&](const CallTrait& trait) {
    const auto found = served_at_.find(trait);
    return found != served_at_.end() && found->second > since;
  });
}

bool CrashEvidence::ServedBefore(const CallTrait& trait, SteadyTime now) const {
  const auto found = served_at_.find(trait);
  return found != served_at_.end() && now - found->second < Duration(kServedMemory);
}

size_t CrashEvidence::CrashesWith(const CallTrait& trait) const {
  return static_cast<size_t>(
      std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        return entry.second.suspected.contains(trait) && !entry.second.served_after.contains(trait);
      }));
}

void CrashEvidence::KeepMostSuspicious(std::vector<std::vector<CallTrait>>* calls,
                                       SteadyTime now) const {
  if (calls->size() <= kMaxCallsPerCrash) return;
  const auto suspicion = [&](const std::vector<CallTrait>& call) {
    const auto unknown = std::count_if(call.begin(), call.end(), [&](const CallTrait& trait) {
      return !ServedBefore(trait, now);
    });
    return std::pair(call.empty() ? 0 : CrashesWith(call.front()), unknown);
  };
  std::stable_sort(calls->begin(), calls->end(),
                   [&](const auto& a, const auto& b) { return suspicion(a) > suspicion(b); });
  calls->resize(kMaxCallsPerCrash);
}

bool CrashEvidence::Add(const RunnerRun& id, const FailureDomain& domain,
                        std::vector<std::vector<CallTrait>> calls, SteadyTime now) {
  CrashReport report;
  report.crash = id;
  report.domain = domain;
  KeepMostSuspicious(&calls, now);
  for (const auto& traits : calls) {
    for (const CallTrait& trait : traits) {
      if (ServedBefore(trait, now)) report.served_before.insert(trait);
    }
  }
  report.calls = std::move(calls);
  Crash& crash = Remember(id, domain, now);
  const auto own = crash.reports.find(self_);
  if (own != crash.reports.end()) {
    report.served_before.merge(TraitSet(own->second.served_before));
    report.served_after = own->second.served_after;
    if (own->second == report) return false;
  }
  SetReport(&crash, self_, std::move(report));
  ReportServed(id, &crash, now);
  changed_ = true;
  return true;
}

void CrashEvidence::ReportServed(const RunnerRun& id, Crash* crash, SteadyTime now) {
  TraitSet served;
  for (const CallTrait& trait : crash->unknown) {
    if (ServedBefore(trait, now)) served.insert(trait);
  }
  if (served.empty()) return;
  CrashReport report = crash->reports[self_];
  report.crash = id;
  report.domain = crash->domain;
  report.served_before.merge(served);
  SetReport(crash, self_, std::move(report));
  changed_ = true;
}

void CrashEvidence::OnAnswerBegun(const std::vector<CallTrait>& traits, const Contested& contested,
                                  SteadyTime now) {
  for (const CallTrait& trait : traits) served_at_[trait] = now;
  if (served_at_.size() > kMaxServedTraits) {
    std::erase_if(served_at_, [&](const auto& served) {
      return now - served.second > Duration(kServedMemory) / 2;
    });
    if (served_at_.size() > kMaxServedTraits) served_at_.clear();
  }
  for (const CallTrait& trait : traits) RecordServedAfter(trait, contested);
}

void CrashEvidence::RecordServedAfter(const CallTrait& trait, const Contested& contested) {
  // The other gateways need to be told only of traits whose calls may be refused. Most requests are
  // in one crash only.
  const auto suspecting = std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
    return entry.second.suspected.contains(trait);
  });
  const bool in_one_crash = IsRequestTrait(trait) && suspecting < 2;
  for (auto& [id, crash] : crashes_) {
    if (!crash.suspected.contains(trait) || !crash.served_after.insert(trait).second) continue;
    if (in_one_crash || (!crash.unknown.contains(trait) && !contested.contains(trait))) continue;
    CrashReport& own = crash.reports[self_];
    own.crash = id;
    own.domain = crash.domain;
    own.served_after.insert(trait);
    changed_ = true;
  }
}

bool CrashEvidence::Merge(const InstanceId& gateway, const CrashReport& report, SteadyTime now) {
  Crash& crash = Remember(report.crash, report.domain, now);
  crash.served_after.insert(report.served_after.begin(), report.served_after.end());
  // Reports only grow. A shorter one is older, or was left by an earlier run of the gateway.
  const auto known = crash.reports.find(gateway);
  const bool older = known != crash.reports.end() &&
                     (gateway == self_ || known->second.calls.size() > report.calls.size());
  if (older) return false;
  CrashReport merged = report;
  if (known != crash.reports.end()) {
    merged.served_before.merge(TraitSet(known->second.served_before));
  }
  // A gateway publishes all its reports again with each new one.
  if (known != crash.reports.end() && known->second == merged) return false;
  SetReport(&crash, gateway, std::move(merged));
  ReportServed(report.crash, &crash, now);
  return true;
}

void CrashEvidence::Expire(SteadyTime now) {
  std::erase_if(crashes_, [&](const auto& crash) {
    return now - crash.second.learned_at > Duration(kLifetime);
  });
}

bool CrashEvidence::SawCall(const TraitSet& traits) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
    return entry.second.reports.contains(self_) && entry.second.HasCall(traits);
  });
}

std::vector<CrashReport> CrashEvidence::OwnReports() const {
  std::vector<std::pair<SteadyTime, const CrashReport*>> own;
  for (const auto& [id, crash] : crashes_) {
    const auto report = crash.reports.find(self_);
    if (report != crash.reports.end()) own.emplace_back(crash.learned_at, &report->second);
  }
  std::stable_sort(own.begin(), own.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  if (own.size() > kMaxOwnCrashes) own.resize(kMaxOwnCrashes);
  std::vector<CrashReport> reports;
  reports.reserve(own.size());
  for (const auto& [learned_at, report] : own) reports.push_back(*report);
  return reports;
}

}  // namespace shallot
