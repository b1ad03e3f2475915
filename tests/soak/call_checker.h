#ifndef TESTS_SOAK_CALL_CHECKER_H_
#define TESTS_SOAK_CALL_CHECKER_H_

#include <cstdint>

#include "tests/soak/incident_checker.h"
#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Checks the guarantees that hold only while the components concerned are undisturbed: time
/// bounds, draining runners, the configuration, planned work and callers that disconnect.
class CallChecker {
 public:
  explicit CallChecker(SoakFleet* fleet);

  void OnResult(const SentCall& call, const CallResult& result);
  /// The caller disconnected at `at`; some time later no runner may still be executing the call.
  void OnAbandoned(const SentCall& call, SteadyTime at);
  /// Checks the guarantees that are stated over all calls of the run. Called once, at its end.
  void CheckEnd();
  /// Checks that were made while their components were undisturbed, and checks that were skipped
  /// because of a disturbance.
  uint64_t checked() const { return checked_; }
  uint64_t excused() const { return excused_; }

 private:
  void OnRun(const SentCall& call, const CallRun& run);
  void CheckDraining(const SentCall& call, const CallRun& run);
  void CheckConfig(const SentCall& call, const CallRun& run);
  void CheckLostConnection(const SentCall& call, const CallResult& result);
  /// Checks a failed call that no runner has begun, although nothing was disturbed.
  void CheckNeverRan(const SentCall& call, const CallResult& result);
  void CheckGatewayError(const SentCall& call, const CallResult& result);
  void AddViolation(const SentCall& call, const std::string& what);
  bool IsPlain(const SentCall& call) const;

  /// Counts a check; false when a disturbance excuses it.
  bool CountCheck(bool undisturbed);

  SoakFleet* fleet_;
  IncidentChecker incidents_;
  uint64_t checked_ = 0;
  uint64_t excused_ = 0;
  uint64_t checked_timeouts_ = 0;
  uint64_t late_answers_ = 0;
  uint64_t abandoned_ = 0;
  uint64_t still_executed_ = 0;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_CALL_CHECKER_H_
