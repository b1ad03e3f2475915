#include "core/clock.h"

#include <ctime>

namespace shallot {

SteadyTime SystemClock::SteadyNow() const { return std::chrono::steady_clock::now(); }

BootTime SystemClock::BootNow() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return BootTime(std::chrono::seconds(now.tv_sec) + Duration(now.tv_nsec));
}

WallTime SystemClock::WallNow() const { return std::chrono::system_clock::now(); }

void ManualClock::Advance(Duration by) {
  steady_ += by;
  Suspend(by);
}

void ManualClock::Suspend(Duration by) {
  boot_ += by;
  wall_ += std::chrono::duration_cast<std::chrono::system_clock::duration>(by);
}

}  // namespace shallot
