#include "servers/crash_quarantine.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "core/hashing.h"

namespace shallot {
namespace {

/// Suspicion that one crash adds for a trait.
constexpr int kFullSuspicion = 2;
/// The same if calls with the trait were answered shortly before.
constexpr int kWeakSuspicion = 1;
/// Two crashes of an unknown trait, or four of one that used to be served.
constexpr int kQuarantineScore = 4;
/// From here on, gateways tell when calls with a trait that used to be served are served again.
constexpr int kContestScore = 3;
/// From here on, undecided calls are held.
constexpr int kUndecidedScore = 6;

constexpr std::string_view kRequestPrefix = "request:";

bool HasAll(const std::vector<CallTrait>& traits, const TraitSet& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const CallTrait& trait) {
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
  });
}

template <class Set>
bool Includes(const Set& set, const Set& part) {
  return std::includes(set.begin(), set.end(), part.begin(), part.end());
}

}  // namespace

CallTrait MakeTrait(std::string text) {
  if (text.size() > CrashQuarantine::kMaxTraitBytes) text.resize(CrashQuarantine::kMaxTraitBytes);
  return CallTrait(std::move(text));
}

CallTrait MakeRequestTrait(uint64_t hash) {
  return CallTrait(fmt::format("{}{:016x}", kRequestPrefix, hash));
}

bool IsRequestTrait(const CallTrait& trait) { return trait.value().starts_with(kRequestPrefix); }

std::string DescribeTraits(const TraitSet& traits) {
  std::string text;
  for (const CallTrait& trait : traits) text += (text.empty() ? "" : ",") + trait.value();
  return text;
}

CrashQuarantine::Crash& CrashQuarantine::Remember(const RunnerRun& id, const FailureDomain& domain,
                                                  SteadyTime now) {
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

void CrashQuarantine::SetReport(Crash* crash, const InstanceId& gateway, CrashReport report) {
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

bool CrashQuarantine::HasCall(const Crash& crash, const TraitSet& traits) {
  return std::any_of(crash.reports.begin(), crash.reports.end(), [&](const auto& entry) {
    return std::any_of(entry.second.calls.begin(), entry.second.calls.end(),
                       [&](const auto& call) { return HasAll(call, traits); });
  });
}

bool CrashQuarantine::ServedSince(const TraitSet& traits, SteadyTime since) const {
  return std::all_of(traits.begin(), traits.end(), [&](const CallTrait& trait) {
    const auto found = served_at_.find(trait);
    return found != served_at_.end() && found->second > since;
  });
}

bool CrashQuarantine::ServedBefore(const CallTrait& trait, SteadyTime now) const {
  const auto found = served_at_.find(trait);
  return found != served_at_.end() && now - found->second < Duration(kServedMemory);
}

void CrashQuarantine::KeepMostSuspicious(std::vector<std::vector<CallTrait>>* calls,
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

void CrashQuarantine::OnCrash(const RunnerRun& id, const FailureDomain& domain,
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
    if (own->second == report) return;
  }
  SetReport(&crash, self_, std::move(report));
  ReportServed(id, &crash, now);
  changed_ = true;
  EvaluateLater(now);
}

void CrashQuarantine::ReportServed(const RunnerRun& id, Crash* crash, SteadyTime now) {
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

void CrashQuarantine::OnAnswerBegun(const std::vector<CallTrait>& traits, SteadyTime now) {
  for (const CallTrait& trait : traits) served_at_[trait] = now;
  if (served_at_.size() > kMaxServedTraits) {
    std::erase_if(served_at_, [&](const auto& served) {
      return now - served.second > Duration(kServedMemory) / 2;
    });
    if (served_at_.size() > kMaxServedTraits) served_at_.clear();
  }
  for (const CallTrait& trait : traits) RecordServedAfter(trait);
}

void CrashQuarantine::RecordServedAfter(const CallTrait& trait) {
  // The other gateways need to be told only of traits whose calls may be refused. Most requests are
  // in one crash only.
  const auto suspecting = std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
    return entry.second.suspected.contains(trait);
  });
  const bool in_one_crash = IsRequestTrait(trait) && suspecting < 2;
  for (auto& [id, crash] : crashes_) {
    if (!crash.suspected.contains(trait) || !crash.served_after.insert(trait).second) continue;
    if (in_one_crash || (!crash.unknown.contains(trait) && !contested_.contains(trait))) continue;
    CrashReport& own = crash.reports[self_];
    own.crash = id;
    own.domain = crash.domain;
    own.served_after.insert(trait);
    changed_ = true;
  }
}

void CrashQuarantine::Merge(const InstanceId& gateway, const CrashFindings& findings,
                            SteadyTime now) {
  for (const CrashReport& report : findings.crashes) {
    Crash& crash = Remember(report.crash, report.domain, now);
    crash.served_after.insert(report.served_after.begin(), report.served_after.end());
    // Reports only grow. A shorter one is older, or was left by an earlier run of the gateway.
    const auto known = crash.reports.find(gateway);
    const bool older = known != crash.reports.end() &&
                       (gateway == self_ || known->second.calls.size() > report.calls.size());
    if (older) continue;
    CrashReport merged = report;
    if (known != crash.reports.end()) {
      merged.served_before.merge(TraitSet(known->second.served_before));
    }
    // A gateway publishes all its reports again with each new one.
    if (known != crash.reports.end() && known->second == merged) continue;
    SetReport(&crash, gateway, std::move(merged));
    ReportServed(report.crash, &crash, now);
    EvaluateLater(now);
  }
  for (const QuarantinedTraits& remote : findings.quarantined) {
    // Findings that are a little older may tell of a quarantine that a wider one has replaced.
    const bool covered =
        std::any_of(quarantines_.begin(), quarantines_.end(), [&](const auto& entry) {
          return entry.second.proven && now < entry.second.until && entry.first != remote.traits &&
                 Includes(remote.traits, entry.first);
        });
    const bool served =
        std::all_of(remote.traits.begin(), remote.traits.end(),
                    [&](const CallTrait& trait) { return ServedBefore(trait, now); });
    // Conclusions that other evidence contradicts, and those that this gateway can draw by itself.
    if (covered || served || Refuted(remote.traits)) continue;
    if (quarantines_.size() >= kMaxQuarantined && !quarantines_.contains(remote.traits)) continue;
    const SteadyTime until = now + std::min<Duration>(remote.remaining, kLongestQuarantine);
    Quarantine& known = quarantines_.try_emplace(remote.traits).first->second;
    if (known.until <= now) {
      known.since = now;
      changes_.push_back({remote.traits, "reported", true});
    }
    known.own = known.own || gateway == self_;
    known.until = std::max(known.until, until);
    known.active = true;
    known.relapses = std::max(known.relapses, remote.relapses);
    known.proven = true;
  }
}

void CrashQuarantine::EvaluateLater(SteadyTime since) {
  const SteadyTime at = since + Duration(settle_);
  if (!evaluate_at_ || at < *evaluate_at_) evaluate_at_ = at;
}

void CrashQuarantine::Update(SteadyTime now) {
  Expire(now);
  if (!evaluate_at_ || now < *evaluate_at_) return;
  evaluate_at_.reset();
  Evaluate(now);
}

void CrashQuarantine::Expire(SteadyTime now) {
  std::erase_if(crashes_, [&](const auto& crash) {
    return now - crash.second.learned_at > Duration(kEvidenceLifetime);
  });
  for (auto& [traits, quarantine] : quarantines_) {
    const bool served = ServedSince(traits, quarantine.since);
    if (!quarantine.active || (!served && now < quarantine.until)) continue;
    quarantine.active = false;
    changes_.push_back({traits, served ? "served" : "expired", false});
  }
  std::erase_if(quarantines_, [&](const auto& entry) {
    if (ServedSince(entry.first, entry.second.since)) return true;
    const Duration kept = entry.second.proven ? kRelapseWindow : kEvidenceLifetime;
    return now - entry.second.until > kept;
  });
}

void CrashQuarantine::RenewRelapsed(SteadyTime now) {
  std::vector<std::pair<TraitSet, uint64_t>> relapsed;
  for (const auto& [traits, quarantine] : quarantines_) {
    if (!quarantine.proven || now < quarantine.until) continue;
    for (const auto& [id, crash] : crashes_) {
      if (crash.learned_at < quarantine.until) continue;
      if (!HasCall(crash, traits) || Includes(crash.served_after, traits)) continue;
      relapsed.emplace_back(traits, quarantine.relapses + 1);
      break;
    }
  }
  for (const auto& [traits, relapses] : relapsed) Begin(traits, relapses, now);
}

CrashQuarantine::Suspects CrashQuarantine::FindSuspects(const CrashList& crashes) {
  Suspects suspects;
  /// When a crash in a failure domain was last counted for a trait.
  std::map<std::pair<CallTrait, FailureDomain>, SteadyTime> counted_at;
  for (size_t crash_index = 0; crash_index < crashes.size(); ++crash_index) {
    const Crash& crash = *crashes[crash_index];
    size_t call_index = 0;
    for (const auto& [gateway, report] : crash.reports) {
      for (const auto& call : report.calls) {
        for (const CallTrait& trait : call) {
          if (crash.served_after.contains(trait)) continue;
          suspects[trait].calls.emplace(crash_index, call_index);
        }
        ++call_index;
      }
    }
    for (const CallTrait& trait : crash.suspected) {
      if (crash.served_after.contains(trait)) continue;
      const auto [last, is_first] =
          counted_at.emplace(std::pair(trait, crash.domain), crash.learned_at);
      if (!is_first && crash.learned_at - last->second < Duration(kCommonCause)) continue;
      last->second = crash.learned_at;
      const bool unknown = crash.unknown.contains(trait);
      suspects[trait].score += unknown ? kFullSuspicion : kWeakSuspicion;
      if (unknown) suspects[trait].weak = false;
    }
  }
  return suspects;
}

TraitSet CrashQuarantine::SharedTraits(const Suspects& suspects, const Suspect& suspect) {
  TraitSet shared;
  for (const auto& [trait, other] : suspects) {
    if (other.score >= suspect.score && Includes(other.calls, suspect.calls)) shared.insert(trait);
  }
  return shared;
}

TraitSet CrashQuarantine::FindCause(const Suspects& suspects, int* score,
                                    std::vector<TraitSet>* undecided) {
  const Suspect* best = nullptr;
  for (const auto& [trait, suspect] : suspects) {
    if (suspect.score < kQuarantineScore) continue;
    if (best == nullptr || suspect.score > best->score ||
        (suspect.score == best->score && suspect.calls.size() < best->calls.size())) {
      best = &suspect;
    }
  }
  if (best == nullptr) return {};
  *score = best->score;
  TraitSet cause = SharedTraits(suspects, *best);
  std::set<TraitSet> rivals;
  for (const auto& [trait, rival] : suspects) {
    if (rival.score < best->score || cause.contains(trait)) continue;
    rivals.insert(SharedTraits(suspects, rival));
  }
  if (!rivals.empty()) {
    rivals.insert(cause);
    undecided->assign(rivals.begin(), rivals.end());
  }
  return cause;
}

void CrashQuarantine::Begin(const TraitSet& traits, uint64_t relapses, SteadyTime now) {
  if (quarantines_.size() >= kMaxQuarantined && !quarantines_.contains(traits)) return;
  Duration duration = kFirstQuarantine;
  for (uint64_t count = 0; count < relapses && duration < kLongestQuarantine; ++count) {
    duration *= 2;
  }
  Quarantine& quarantine = quarantines_[traits];
  quarantine.since = now;
  quarantine.own = std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
    return entry.second.reports.contains(self_) && HasCall(entry.second, traits);
  });
  quarantine.until = now + std::min<Duration>(duration, kLongestQuarantine);
  quarantine.active = true;
  quarantine.relapses = relapses;
  quarantine.proven = true;
  changes_.push_back({traits, "crashes", true});
  changed_ = true;
}

void CrashQuarantine::HoldUndecided(const std::vector<TraitSet>& undecided, int score,
                                    SteadyTime now) {
  for (const TraitSet& traits : undecided) {
    if (quarantines_.size() >= kMaxQuarantined) return;
    const auto [known, is_new] = quarantines_.try_emplace(traits);
    if (!is_new && (known->second.proven || known->second.score >= score)) continue;
    known->second.since = now;
    known->second.until = now + HoldTime(traits);
    known->second.active = true;
    known->second.proven = false;
    known->second.score = score;
    changes_.push_back({traits, "undecided", true});
  }
}

Duration CrashQuarantine::HoldTime(const TraitSet& traits) const {
  constexpr uint64_t kSteps = 1'000;
  const uint64_t step = RendezvousWeight(DescribeTraits(traits), self_.value()) % kSteps;
  return Duration(kUndecidedHold) + Duration(kReleaseSpread) * step / kSteps;
}

void CrashQuarantine::OnSent(const std::vector<CallTrait>& traits, SteadyTime now) {
  for (auto& [set, quarantine] : quarantines_) {
    if (quarantine.proven || now < quarantine.until || !HasAll(traits, set)) continue;
    quarantine.until = now + Duration(kProbeTime);
  }
}

size_t CrashQuarantine::CrashesWith(const CallTrait& trait) const {
  return static_cast<size_t>(
      std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        return entry.second.suspected.contains(trait) && !entry.second.served_after.contains(trait);
      }));
}

void CrashQuarantine::DemoteUndecided(const std::vector<TraitSet>& undecided, SteadyTime now) {
  for (const TraitSet& traits : undecided) {
    const auto known = quarantines_.find(traits);
    if (known == quarantines_.end() || !known->second.proven) continue;
    if (now >= known->second.until) continue;
    known->second.proven = false;
    known->second.until = std::min(known->second.until, now + HoldTime(traits));
    changed_ = true;
  }
}

bool CrashQuarantine::Refuted(const TraitSet& traits) const {
  bool any = false;
  for (const auto& [id, crash] : crashes_) {
    if (!HasCall(crash, traits)) continue;
    any = true;
    for (const CallTrait& trait : traits) {
      if (crash.unknown.contains(trait) && !crash.served_after.contains(trait)) return false;
    }
  }
  // A trait that used to be served is not refuted as long as nobody has seen it served again.
  return any && std::none_of(traits.begin(), traits.end(), [&](const CallTrait& trait) {
           const auto contested = contested_.find(trait);
           return contested != contested_.end() && !ServedSince({trait}, contested->second);
         });
}

bool CrashQuarantine::Explained(const TraitSet& traits, const std::set<TraitSet>& causes) const {
  // A cause with more traits explains these crashes no better: all its calls have `traits`, too.
  const bool narrowed = std::any_of(causes.begin(), causes.end(),
                                    [&](const TraitSet& cause) { return Includes(cause, traits); });
  if (narrowed) return false;
  bool any = false;
  for (const auto& [id, crash] : crashes_) {
    if (!HasCall(crash, traits)) continue;
    any = true;
    const bool explained =
        std::any_of(causes.begin(), causes.end(),
                    [&known = crash](const TraitSet& cause) { return HasCall(known, cause); });
    if (!explained) return false;
  }
  return any;
}

void CrashQuarantine::LiftUnfounded(const std::set<TraitSet>& causes) {
  std::erase_if(quarantines_, [&](const auto& entry) {
    const auto& [traits, quarantine] = entry;
    if (causes.contains(traits)) return false;
    const char* reason = Explained(traits, causes) ? "explained"
                         : Refuted(traits)         ? "refuted"
                                                   : nullptr;
    if (reason != nullptr && quarantine.active) changes_.push_back({traits, reason, false});
    return reason != nullptr;
  });
}

void CrashQuarantine::DelayWeakSuspects(Suspects* suspects, Contested* contested, SteadyTime now) {
  const Duration delay = settle_ * 2;
  for (auto suspect = suspects->begin(); suspect != suspects->end();) {
    const auto& [trait, suspicion] = *suspect;
    if (!suspicion.weak || suspicion.score < kContestScore) {
      ++suspect;
      continue;
    }
    const auto known = contested_.find(trait);
    const SteadyTime since = known == contested_.end() ? now : known->second;
    contested->emplace(trait, since);
    if (now - since < delay) {
      EvaluateLater(now);
      suspect = suspects->erase(suspect);
    } else {
      ++suspect;
    }
  }
}

void CrashQuarantine::Evaluate(SteadyTime now) {
  RenewRelapsed(now);
  std::set<TraitSet> causes;
  Contested contested;
  CrashList unexplained;
  for (const auto& [id, crash] : crashes_) {
    if (now - crash.learned_at >= Duration(settle_)) {
      unexplained.push_back(&crash);
    } else {
      EvaluateLater(crash.learned_at);
    }
  }
  std::stable_sort(unexplained.begin(), unexplained.end(),
                   [](const Crash* a, const Crash* b) { return a->learned_at < b->learned_at; });
  while (!unexplained.empty()) {
    int score = 0;
    std::vector<TraitSet> undecided;
    Suspects suspects = FindSuspects(unexplained);
    DelayWeakSuspects(&suspects, &contested, now);
    const TraitSet cause = FindCause(suspects, &score, &undecided);
    if (cause.empty()) break;
    if (!undecided.empty()) {
      DemoteUndecided(undecided, now);
      if (score >= kUndecidedScore) HoldUndecided(undecided, score, now);
      break;
    }
    causes.insert(cause);
    const auto known = quarantines_.find(cause);
    const bool active =
        known != quarantines_.end() && known->second.proven && now < known->second.until;
    if (!active) Begin(cause, 0, now);
    std::erase_if(unexplained, [&](const Crash* crash) { return HasCall(*crash, cause); });
  }
  contested_ = std::move(contested);
  LiftUnfounded(causes);
}

std::optional<QuarantinedTraits> CrashQuarantine::Match(const std::vector<CallTrait>& traits,
                                                        SteadyTime now) const {
  for (const auto& [set, quarantine] : quarantines_) {
    if (now >= quarantine.until || !HasAll(traits, set)) continue;
    return QuarantinedTraits{set, quarantine.relapses,
                             std::chrono::duration_cast<Millis>(quarantine.until - now)};
  }
  return std::nullopt;
}

CrashFindings CrashQuarantine::Own(SteadyTime now) const {
  CrashFindings findings;
  std::vector<std::pair<SteadyTime, const CrashReport*>> own;
  for (const auto& [id, crash] : crashes_) {
    const auto report = crash.reports.find(self_);
    if (report != crash.reports.end()) own.emplace_back(crash.learned_at, &report->second);
  }
  std::stable_sort(own.begin(), own.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  if (own.size() > kMaxOwnCrashes) own.resize(kMaxOwnCrashes);
  for (const auto& [learned_at, report] : own) findings.crashes.push_back(*report);
  for (const auto& [traits, quarantine] : quarantines_) {
    if (!quarantine.proven || !quarantine.own || now >= quarantine.until) continue;
    findings.quarantined.push_back(
        {traits, quarantine.relapses, std::chrono::duration_cast<Millis>(quarantine.until - now)});
  }
  return findings;
}

std::vector<QuarantinedTraits> CrashQuarantine::Quarantined(SteadyTime now) const {
  return Active(now, false);
}

std::vector<QuarantinedTraits> CrashQuarantine::Proven(SteadyTime now) const {
  return Active(now, true);
}

std::vector<QuarantinedTraits> CrashQuarantine::Active(SteadyTime now, bool proven_only) const {
  std::vector<QuarantinedTraits> active;
  for (const auto& [traits, quarantine] : quarantines_) {
    if (now >= quarantine.until || (proven_only && !quarantine.proven)) continue;
    active.push_back(
        {traits, quarantine.relapses, std::chrono::duration_cast<Millis>(quarantine.until - now)});
  }
  return active;
}

}  // namespace shallot
