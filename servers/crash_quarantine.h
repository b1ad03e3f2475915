#ifndef SERVERS_CRASH_QUARANTINE_H_
#define SERVERS_CRASH_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/crash_evidence.h"
#include "servers/crash_suspects.h"
#include "servers/crash_traits.h"
#include "servers/runner_run.h"

namespace shallot {

/// Traits whose common calls are refused.
struct QuarantinedTraits {
  /// Calls that have all of them are refused. The evidence does not tell which of them is the
  /// cause.
  TraitSet traits;
  /// How often a runner crashed again after a quarantine had ended; each doubles the next one.
  uint64_t relapses = 0;
  Millis remaining{0};

  bool operator==(const QuarantinedTraits&) const = default;
};

/// A quarantine that has begun or ended, for logs.
struct QuarantineChange {
  TraitSet traits;
  /// Why it began ("crashes", "undecided", "reported") or ended ("served", "explained", "refuted",
  /// "expired").
  const char* reason = "";
  bool begun = false;
};

/// What one process knows and the others need. Replaces what it told before.
struct CrashFindings {
  std::vector<CrashReport> crashes;
  std::vector<QuarantinedTraits> quarantined;

  bool empty() const { return crashes.empty() && quarantined.empty(); }
  bool operator==(const CrashFindings&) const = default;
};

/// Finds out what the calls have in common that crash one runner after the other, and refuses these
/// calls. Load pattern: a few calls among many sound ones, at all gateways, crash each runner that
/// begins to answer them; the other calls at that runner are lost with them and share most of their
/// traits. Or repeats of one request do so, at all gateways.
///
/// A trait is suspected for each crash at which a call that has it was waiting for its answer. The
/// suspicion is weaker if such calls were answered shortly before, and void if one was answered
/// since. The strongest suspect is quarantined on the evidence of two crashes, together with the
/// traits that all of its calls share: a call is refused only if it has all of them. A crash by a
/// call that has some of them leaves only the common ones. If calls without the strongest suspect
/// are as suspect, a third crash has to decide; if that does not either, both are held back for a
/// short time, which each gateway ends at another moment, and then sent one at a time. A quarantine
/// ends when calls with each of its traits were answered, when another one explains its crashes,
/// and otherwise by itself; the first crash that follows renews it for twice the time.
///
/// One of the traits is shared by a call's repeats only. In a small pool of runners, sound calls
/// wait for the same runners as a deadly request and are lost in the same crashes, so a crash
/// counts only once all gateways had time to report it.
///
/// All gateways combine their findings and draw the same conclusions; none decides for the others.
/// In own fleets, agents report the crashes of their engines and routers draw the conclusions.
/// In a large fleet each sees few calls, so a gateway that learns of a crash tells which suspected
/// traits it has seen answered. A trait that used to be answered is quarantined only after a delay
/// in which every gateway that sees it answered again can tell so.
/// Not thread-safe.
class CrashQuarantine {
 public:
  static constexpr Seconds kFirstQuarantine{120};
  /// The platform's leases, under which findings are stored, last no longer.
  static constexpr Seconds kLongestQuarantine{600};
  /// A crash within this time after a quarantine has ended renews it.
  static constexpr Seconds kRelapseWindow{600};
  /// Hold of calls between which the evidence does not decide.
  static constexpr Seconds kUndecidedHold{3};
  /// Each gateway releases undecided calls at another time within this, so that few of them reach
  /// runners before the first one has decided.
  static constexpr Seconds kReleaseSpread{9};
  /// Time in which a call that was held runs, or crashes its runner and all gateways learn of it.
  static constexpr Millis kProbeTime{1'000};
  /// Time in which the other gateways' findings about a crash arrive, before conclusions are drawn:
  /// directly, or by the store alone.
  static constexpr Millis kSettleDirect{150};
  static constexpr Millis kSettleByStore{1'000};
  /// Callers of refused calls are told to come back after this time at the latest, because a
  /// quarantine may end early.
  static constexpr Seconds kLongestRetryAfter{kUndecidedHold + kReleaseSpread};
  /// A lost call is not sent to another runner if it was lost in this many crashes before.
  static constexpr size_t kMaxCrashesForRetry = 2;

  /// With the limits of CrashEvidence, the record of a gateway stays below 128 kB.
  static constexpr size_t kMaxQuarantined = 64;

  explicit CrashQuarantine(InstanceId self) : self_(std::move(self)), evidence_(self_) {}

  /// This gateway lost `calls`, whose answers had not begun, at a runner that has crashed. Replaces
  /// an earlier report of the same crash.
  void OnCrash(const RunnerRun& crash, const FailureDomain& domain,
               std::vector<std::vector<CallTrait>> calls, SteadyTime now);
  /// A call is sent to a runner. If calls like it were held as undecided, the next ones wait until
  /// its outcome is known.
  void OnSent(const std::vector<CallTrait>& traits, SteadyTime now);
  /// A runner began to answer a call with these traits.
  void OnAnswerBegun(const std::vector<CallTrait>& traits, SteadyTime now);
  /// Findings of a gateway arrived; those that an earlier run of this gateway left are its own.
  void Merge(const InstanceId& gateway, const CrashFindings& findings, SteadyTime now);
  /// Draws the conclusions that are due and drops what has expired. To be called frequently.
  void Update(SteadyTime now);
  void SetSettleTime(Millis settle) { settle_ = settle; }

  /// The quarantine that a call with these traits falls under.
  std::optional<QuarantinedTraits> Match(const std::vector<CallTrait>& traits,
                                         SteadyTime now) const;
  /// Number of known crashes at which a call with the trait was lost and none was answered since.
  size_t CrashesWith(const CallTrait& trait) const { return evidence_.CrashesWith(trait); }
  /// What the other gateways have to know.
  CrashFindings Own(SteadyTime now) const;
  /// Whether Own() has changed since the last call of this function.
  bool TakeChanged() {
    const bool evidence_changed = evidence_.TakeChanged();
    return std::exchange(changed_, false) || evidence_changed;
  }
  /// Makes Own() count as changed, after the published findings were lost.
  void MarkChanged() { changed_ = true; }
  std::vector<QuarantinedTraits> Quarantined(SteadyTime now) const;
  /// Those of Quarantined() that are no hold of undecided calls.
  std::vector<QuarantinedTraits> Proven(SteadyTime now) const;
  /// The quarantines that began or ended since the last call of this function.
  std::vector<QuarantineChange> TakeQuarantineChanges() { return std::exchange(changes_, {}); }
  /// Whether some gateway has reported this crash.
  bool Knows(const RunnerRun& crash) const { return evidence_.crashes().contains(crash); }
  /// Number of crashes that are remembered.
  size_t crashes() const { return evidence_.crashes().size(); }

 private:
  struct Quarantine {
    SteadyTime since;
    SteadyTime until;
    uint64_t relapses = 0;
    /// False once its end has been recorded.
    bool active = false;
    /// False for the hold of undecided calls, which proves nothing.
    bool proven = true;
    /// This gateway saw crashes that led to it, and tells the others of it.
    bool own = false;
    /// The score when it began; undecided calls are held again only with a higher one.
    int score = 0;
  };
  /// Whether the crashes with calls that have `traits` do not support their quarantine.
  bool Refuted(const TraitSet& traits) const;
  /// Records the suspects that used to be answered in `contested`, and removes those whose delay is
  /// not over.
  void DelayWeakSuspects(Suspects* suspects, Contested* contested, SteadyTime now);
  void RenewRelapsed(SteadyTime now);
  void Begin(const TraitSet& traits, uint64_t relapses, SteadyTime now);
  /// Shortens quarantines that began before the evidence of all gateways was there, and that it
  /// does not support more than others.
  void DemoteUndecided(const std::vector<TraitSet>& undecided, SteadyTime now);
  /// For how long this gateway holds undecided calls.
  Duration HoldTime(const TraitSet& traits) const;
  void HoldUndecided(const std::vector<TraitSet>& undecided, int score, SteadyTime now);
  void Expire(SteadyTime now);
  std::vector<QuarantinedTraits> Active(SteadyTime now, bool proven_only) const;
  /// Schedules conclusions from what arrived at `since`.
  void EvaluateLater(SteadyTime since);
  void Evaluate(SteadyTime now);
  /// Ends quarantines that are refuted, or whose crashes are all explained by one of `causes`.
  void LiftUnfounded(const std::set<TraitSet>& causes);
  bool Explained(const TraitSet& traits, const std::set<TraitSet>& causes) const;

  InstanceId self_;
  CrashEvidence evidence_;
  /// Present and past quarantines; the past ones for kRelapseWindow.
  std::map<TraitSet, Quarantine> quarantines_;
  Contested contested_;
  std::vector<QuarantineChange> changes_;
  Millis settle_{kSettleDirect};
  /// When conclusions are to be drawn; absent if nothing has changed.
  std::optional<SteadyTime> evaluate_at_;
  bool changed_ = false;
};

}  // namespace shallot

#endif  // SERVERS_CRASH_QUARANTINE_H_
