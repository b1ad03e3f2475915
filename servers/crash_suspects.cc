#include "servers/crash_suspects.h"

namespace shallot {
namespace {

/// Suspicion that one crash adds for a trait.
constexpr int kFullSuspicion = 2;
/// The same if calls with the trait were answered shortly before.
constexpr int kWeakSuspicion = 1;
/// Two crashes of an unknown trait, or four of one that used to be served.
constexpr int kQuarantineScore = 4;

/// The traits that all calls of a suspect share.
TraitSet SharedTraits(const Suspects& suspects, const Suspect& suspect) {
  TraitSet shared;
  for (const auto& [trait, other] : suspects) {
    if (other.score >= suspect.score && Includes(other.calls, suspect.calls)) shared.insert(trait);
  }
  return shared;
}

}  // namespace

Suspects FindSuspects(const CrashList& crashes) {
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

CauseVerdict FindCause(const Suspects& suspects) {
  CauseVerdict verdict;
  const Suspect* best = nullptr;
  for (const auto& [trait, suspect] : suspects) {
    if (suspect.score < kQuarantineScore) continue;
    if (best == nullptr || suspect.score > best->score ||
        (suspect.score == best->score && suspect.calls.size() < best->calls.size())) {
      best = &suspect;
    }
  }
  if (best == nullptr) return verdict;
  verdict.score = best->score;
  verdict.cause = SharedTraits(suspects, *best);
  std::set<TraitSet> rivals;
  for (const auto& [trait, rival] : suspects) {
    if (rival.score < best->score || verdict.cause.contains(trait)) continue;
    rivals.insert(SharedTraits(suspects, rival));
  }
  if (!rivals.empty()) {
    rivals.insert(verdict.cause);
    verdict.undecided.assign(rivals.begin(), rivals.end());
  }
  return verdict;
}

}  // namespace shallot
