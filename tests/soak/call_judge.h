#ifndef TESTS_SOAK_CALL_JUDGE_H_
#define TESTS_SOAK_CALL_JUDGE_H_

#include <cstdint>

#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Checks the promises that hold only while the parts concerned were calm: time bounds, leaving
/// runners, the configuration, planned work and callers that go away.
class CallJudge {
 public:
  explicit CallJudge(SoakFleet* fleet);

  void OnResult(const SentCall& call, const CallResult& result);
  /// The caller left at `at`; some time later its runner must not work on the call any more.
  void OnAbandoned(const SentCall& call, SteadyTime at);
  /// Promises over all calls of the run.
  void CheckEnd();
  /// Checks of promises bound to calm parts that were made, and those that trouble excused.
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

  /// Counts a check; false when trouble excuses it.
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
