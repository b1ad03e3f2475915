#ifndef TESTS_SOAK_SOAK_SCHEDULE_H_
#define TESTS_SOAK_SOAK_SCHEDULE_H_

#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Injects random faults, reloads, stops and changes, in series and overlapping, until stopped.
class SoakSchedule {
 public:
  explicit SoakSchedule(SoakFleet* fleet) : fleet_(fleet) {}
  void Start() { ScheduleNext(); }
  void Stop() { stopped_ = true; }

 private:
  void ScheduleNext();
  void Inject();
  Millis Time();

  SoakFleet* fleet_;
  bool stopped_ = false;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_SOAK_SCHEDULE_H_
