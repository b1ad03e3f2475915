#ifndef TESTS_SOAK_SOAK_SCHEDULE_H_
#define TESTS_SOAK_SOAK_SCHEDULE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Injects random faults, reloads, stops and configuration changes, in series and overlapping,
/// until stopped. Each seed draws its own rate and its own kinds of faults: with all kinds at a
/// high rate, no component would be undisturbed for long enough to check its time bounds.
class SoakSchedule {
 public:
  explicit SoakSchedule(SoakFleet* fleet);
  void Start();
  void Stop() { stopped_ = true; }

 private:
  struct Event {
    const char* name;
    std::function<void()> inject;
    /// Planned operator work, which every seed includes.
    bool planned = false;
  };

  void AddGatewayEvents();
  void AddStoreEvents();
  void AddRunnerEvents();
  void ScheduleNext();
  /// Begins the incident of the run's options. It lasts until the run's end.
  void ScheduleIncident();
  void RestoreAgain();
  void ChangeConfigAgain();
  void LoseStoreAgain();
  void DisturbRunnersAgain();
  void CutWatchesAgain();
  void StopTogetherAgain();
  void DisturbProcessesAgain();
  Millis RandomDuration();
  size_t RandomGateway();
  size_t RandomRunner();
  LinkFault RandomLinkFault();

  SoakFleet* fleet_;
  std::vector<Event> events_;
  Millis mean_gap_{0};
  bool stopped_ = false;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_SOAK_SCHEDULE_H_
