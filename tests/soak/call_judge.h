#ifndef TESTS_SOAK_CALL_JUDGE_H_
#define TESTS_SOAK_CALL_JUDGE_H_

#include <cstdint>

#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Checks the guarantees that hold only while the components concerned are undisturbed: time
/// bounds, draining runners, the configuration, planned work and callers that disconnect.
class CallJudge {
 public:
  explicit CallJudge(SoakFleet* fleet);

  void OnResult(const SentCall& call, const CallResult& result);
  /// The caller disconnected at `at`; some time later no runner may still be executing the call.
  void OnAbandoned(const SentCall& call, SteadyTime at);
  /// Checks the guarantees that are stated over all calls of the run. Called once, at its end.
  void CheckEnd();
  /// Checks that were made while their components were undisturbed, and checks that were skipped
  /// because of a disturbance.
  uint64_t judged() const { return judged_; }
  uint64_t excused() const { return excused_; }

 private:
  void OnRun(const SentCall& call, const CallRun& run);
  void CheckLeaving(const SentCall& call, const CallRun& run);
  void CheckConfig(const SentCall& call, const CallRun& run);
  void CheckBroken(const SentCall& call, const CallResult& result);
  void CheckOwnError(const SentCall& call, const CallResult& result);
  void Break(const SentCall& call, const std::string& promise);
  bool IsPlain(const SentCall& call) const;

  /// Counts a check; false when a disturbance excuses it.
  bool Holds(bool calm);

  SoakFleet* fleet_;
  uint64_t judged_ = 0;
  uint64_t excused_ = 0;
  uint64_t due_ = 0;
  uint64_t late_ = 0;
  uint64_t abandoned_ = 0;
  uint64_t worked_on_ = 0;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_CALL_JUDGE_H_
