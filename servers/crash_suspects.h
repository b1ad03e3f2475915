#ifndef SERVERS_CRASH_SUSPECTS_H_
#define SERVERS_CRASH_SUSPECTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "servers/crash_evidence.h"
#include "servers/crash_traits.h"

namespace shallot {

/// Crashes in one failure domain within this time may have a common cause, such as a lost rack, and
/// count as one.
inline constexpr Millis kCommonCause{1'000};
/// From this score on, gateways tell when calls with a trait that used to be served are served
/// again.
inline constexpr int kContestScore = 3;
/// From this score on, undecided calls are held.
inline constexpr int kUndecidedScore = 6;

/// A trait of lost calls.
struct Suspect {
  int score = 0;
  /// In none of the crashes was the trait unknown to all reporters.
  bool weak = true;
  /// The calls that have the trait, as (index of the crash, index of the call).
  std::set<std::pair<size_t, size_t>> calls;
};
using Suspects = std::map<CallTrait, Suspect>;
using CrashList = std::vector<const Crash*>;

/// The traits of the lost calls of these crashes, except those that were answered since.
Suspects FindSuspects(const CrashList& crashes);

struct CauseVerdict {
  /// The traits that all calls of the strongest suspect share; empty if none is strong enough.
  TraitSet cause;
  int score = 0;
  /// The cause and the suspects of other calls that are as strong; empty if the cause is alone.
  std::vector<TraitSet> undecided;
};
CauseVerdict FindCause(const Suspects& suspects);

}  // namespace shallot

#endif  // SERVERS_CRASH_SUSPECTS_H_
