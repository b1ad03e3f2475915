#include "servers/crash_quarantine.h"

#include <algorithm>

#include "core/hashing.h"

namespace shallot {

void CrashQuarantine::OnCrash(const RunnerRun& id, const FailureDomain& domain,
                              std::vector<std::vector<CallTrait>> calls, SteadyTime now) {
  if (evidence_.Add(id, domain, std::move(calls), now)) EvaluateLater(now);
}

void CrashQuarantine::OnAnswerBegun(const std::vector<CallTrait>& traits, SteadyTime now) {
  evidence_.OnAnswerBegun(traits, contested_, now);
}

void CrashQuarantine::Merge(const InstanceId& gateway, const CrashFindings& findings,
                            SteadyTime now) {
  for (const CrashReport& report : findings.crashes) {
    if (evidence_.Merge(gateway, report, now)) EvaluateLater(now);
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
                    [&](const CallTrait& trait) { return evidence_.ServedBefore(trait, now); });
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
  evidence_.Expire(now);
  for (auto& [traits, quarantine] : quarantines_) {
    const bool served = evidence_.ServedSince(traits, quarantine.since);
    if (!quarantine.active || (!served && now < quarantine.until)) continue;
    quarantine.active = false;
    changes_.push_back({traits, served ? "served" : "expired", false});
  }
  std::erase_if(quarantines_, [&](const auto& entry) {
    if (evidence_.ServedSince(entry.first, entry.second.since)) return true;
    const Duration kept = entry.second.proven ? kRelapseWindow : CrashEvidence::kLifetime;
    return now - entry.second.until > kept;
  });
}

void CrashQuarantine::RenewRelapsed(SteadyTime now) {
  std::vector<std::pair<TraitSet, uint64_t>> relapsed;
  for (const auto& [traits, quarantine] : quarantines_) {
    if (!quarantine.proven || now < quarantine.until) continue;
    for (const auto& [id, crash] : evidence_.crashes()) {
      if (crash.learned_at < quarantine.until) continue;
      if (!crash.HasCall(traits) || Includes(crash.served_after, traits)) continue;
      relapsed.emplace_back(traits, quarantine.relapses + 1);
      break;
    }
  }
  for (const auto& [traits, relapses] : relapsed) Begin(traits, relapses, now);
}

void CrashQuarantine::Begin(const TraitSet& traits, uint64_t relapses, SteadyTime now) {
  if (quarantines_.size() >= kMaxQuarantined && !quarantines_.contains(traits)) return;
  Duration duration = kFirstQuarantine;
  for (uint64_t count = 0; count < relapses && duration < kLongestQuarantine; ++count) {
    duration *= 2;
  }
  Quarantine& quarantine = quarantines_[traits];
  quarantine.since = now;
  quarantine.own = evidence_.SawCall(traits);
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
    if (quarantine.proven || now < quarantine.until || !HasAllTraits(traits, set)) continue;
    quarantine.until = now + Duration(kProbeTime);
  }
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
  for (const auto& [id, crash] : evidence_.crashes()) {
    if (!crash.HasCall(traits)) continue;
    any = true;
    for (const CallTrait& trait : traits) {
      if (crash.unknown.contains(trait) && !crash.served_after.contains(trait)) return false;
    }
  }
  // A trait that used to be served is not refuted as long as nobody has seen it served again.
  return any && std::none_of(traits.begin(), traits.end(), [&](const CallTrait& trait) {
           const auto contested = contested_.find(trait);
           return contested != contested_.end() &&
                  !evidence_.ServedSince({trait}, contested->second);
         });
}

bool CrashQuarantine::Explained(const TraitSet& traits, const std::set<TraitSet>& causes) const {
  // A cause with more traits explains these crashes no better: all its calls have `traits`, too.
  const bool narrowed = std::any_of(causes.begin(), causes.end(),
                                    [&](const TraitSet& cause) { return Includes(cause, traits); });
  if (narrowed) return false;
  bool any = false;
  for (const auto& [id, crash] : evidence_.crashes()) {
    if (!crash.HasCall(traits)) continue;
    any = true;
    const bool explained =
        std::any_of(causes.begin(), causes.end(),
                    [&known = crash](const TraitSet& cause) { return known.HasCall(cause); });
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
  for (const auto& [id, crash] : evidence_.crashes()) {
    if (now - crash.learned_at >= Duration(settle_)) {
      unexplained.push_back(&crash);
    } else {
      EvaluateLater(crash.learned_at);
    }
  }
  std::stable_sort(unexplained.begin(), unexplained.end(),
                   [](const Crash* a, const Crash* b) { return a->learned_at < b->learned_at; });
  while (!unexplained.empty()) {
    Suspects suspects = FindSuspects(unexplained);
    DelayWeakSuspects(&suspects, &contested, now);
    const CauseVerdict verdict = FindCause(suspects);
    const TraitSet& cause = verdict.cause;
    if (cause.empty()) break;
    if (!verdict.undecided.empty()) {
      DemoteUndecided(verdict.undecided, now);
      if (verdict.score >= kUndecidedScore) {
        HoldUndecided(verdict.undecided, verdict.score, now);
      }
      break;
    }
    causes.insert(cause);
    const auto known = quarantines_.find(cause);
    const bool active =
        known != quarantines_.end() && known->second.proven && now < known->second.until;
    if (!active) Begin(cause, 0, now);
    std::erase_if(unexplained, [&](const Crash* crash) { return crash->HasCall(cause); });
  }
  contested_ = std::move(contested);
  LiftUnfounded(causes);
}

std::optional<QuarantinedTraits> CrashQuarantine::Match(const std::vector<CallTrait>& traits,
                                                        SteadyTime now) const {
  for (const auto& [set, quarantine] : quarantines_) {
    if (now >= quarantine.until || !HasAllTraits(traits, set)) continue;
    return QuarantinedTraits{set, quarantine.relapses,
                             std::chrono::duration_cast<Millis>(quarantine.until - now)};
  }
  return std::nullopt;
}

CrashFindings CrashQuarantine::Own(SteadyTime now) const {
  CrashFindings findings;
  findings.crashes = evidence_.OwnReports();
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
