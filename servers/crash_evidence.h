#ifndef SERVERS_CRASH_EVIDENCE_H_
#define SERVERS_CRASH_EVIDENCE_H_

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/crash_traits.h"
#include "servers/runner_run.h"

namespace shallot {

/// What one process knows of a crash.
struct CrashReport {
  RunnerRun crash;
  FailureDomain domain;
  /// Traits of each call whose answer had not begun when the runner crashed.
  std::vector<std::vector<CallTrait>> calls;
  /// Suspected traits with which calls had been answered shortly before.
  TraitSet served_before;
  /// Traits with which calls were answered after the crash.
  TraitSet served_after;

  bool operator==(const CrashReport&) const = default;
};

/// A crash, by the reports of all processes.
struct Crash {
  FailureDomain domain;
  std::map<InstanceId, CrashReport> reports;
  /// All traits of the reported calls, and those of them that no reporter had seen served.
  TraitSet suspected;
  TraitSet unknown;
  TraitSet served_after;
  SteadyTime learned_at;

  /// Whether a call that has all of `traits` was lost in the crash.
  bool HasCall(const TraitSet& traits) const;
};

/// Suspects that used to be answered, and since when they are suspected.
using Contested = std::map<CallTrait, SteadyTime>;

/// Remembers the crashes that all gateways report, and which traits calls were answered with, as
/// evidence for CrashQuarantine. Not thread-safe.
class CrashEvidence {
 public:
  /// Crashes older than this say nothing about the calls of today.
  static constexpr Seconds kLifetime{60};
  /// How long an answered call speaks for its traits.
  static constexpr Seconds kServedMemory{60};
  static constexpr size_t kMaxCrashes = 32;
  static constexpr size_t kMaxOwnCrashes = 16;
  static constexpr size_t kMaxCallsPerCrash = 8;
  /// Number of traits whose last answer is remembered.
  static constexpr size_t kMaxServedTraits = 16'384;

  explicit CrashEvidence(InstanceId self) : self_(std::move(self)) {}

  /// This process lost `calls`, whose answers had not begun, at a runner that has crashed. Returns
  /// whether that is new.
  bool Add(const RunnerRun& id, const FailureDomain& domain,
           std::vector<std::vector<CallTrait>> calls, SteadyTime now);
  /// Another process has reported a crash. Returns whether that is new.
  bool Merge(const InstanceId& gateway, const CrashReport& report, SteadyTime now);
  /// A runner began to answer a call with these traits.
  void OnAnswerBegun(const std::vector<CallTrait>& traits, const Contested& contested,
                     SteadyTime now);
  void Expire(SteadyTime now);

  bool ServedBefore(const CallTrait& trait, SteadyTime now) const;
  /// Whether calls with each of `traits` were answered after `since`.
  bool ServedSince(const TraitSet& traits, SteadyTime since) const;
  /// Number of crashes at which a call with the trait was lost and none was answered since.
  size_t CrashesWith(const CallTrait& trait) const;
  /// Whether this process lost a call that has all of `traits`.
  bool SawCall(const TraitSet& traits) const;
  const std::map<RunnerRun, Crash>& crashes() const { return crashes_; }
  /// The reports of this process, the newest first.
  std::vector<CrashReport> OwnReports() const;
  /// Whether OwnReports() has changed since the last call of this function.
  bool TakeChanged() { return std::exchange(changed_, false); }

 private:
  Crash& Remember(const RunnerRun& id, const FailureDomain& domain, SteadyTime now);
  static void SetReport(Crash* crash, const InstanceId& gateway, CrashReport report);
  /// Cuts the lost calls of a crash to kMaxCallsPerCrash. Those that were lost in other crashes,
  /// too, are kept first, and then those with the most traits that nobody has seen answered.
  void KeepMostSuspicious(std::vector<std::vector<CallTrait>>* calls, SteadyTime now) const;
  /// Reports which traits that nobody has seen answered this process has.
  void ReportServed(const RunnerRun& id, Crash* crash, SteadyTime now);
  void RecordServedAfter(const CallTrait& trait, const Contested& contested);

  InstanceId self_;
  std::map<RunnerRun, Crash> crashes_;
  std::unordered_map<CallTrait, SteadyTime> served_at_;
  bool changed_ = false;
};

}  // namespace shallot

#endif  // SERVERS_CRASH_EVIDENCE_H_
