#ifndef CORE_CLOCK_H_
#define CORE_CLOCK_H_

#include <chrono>

namespace shallot {

using Duration = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Time point for durations and timeouts; stops while the machine is suspended.
using SteadyTime = std::chrono::steady_clock::time_point;
/// Time point for operators and expiry dates.
using WallTime = std::chrono::system_clock::time_point;

/// Time base that keeps counting while the machine is suspended. Leases use it, because a lease
/// goes on expiring at its issuer while the holder is suspended.
struct BootClock {
  using rep = Duration::rep;                              // NOLINT(readability-identifier-naming)
  using period = Duration::period;                        // NOLINT(readability-identifier-naming)
  using duration = Duration;                              // NOLINT(readability-identifier-naming)
  using time_point = std::chrono::time_point<BootClock>;  // NOLINT(readability-identifier-naming)
};
using BootTime = BootClock::time_point;

/// Source of time, passed to everything that decides by time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual SteadyTime SteadyNow() const = 0;
  virtual BootTime BootNow() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  SteadyTime SteadyNow() const override;
  BootTime BootNow() const override;
  WallTime WallNow() const override;
};

/// A clock that moves only when told to; for tests and benches.
class ManualClock final : public Clock {
 public:
  SteadyTime SteadyNow() const override { return steady_; }
  BootTime BootNow() const override { return boot_; }
  WallTime WallNow() const override { return wall_; }

  /// Moves all three clocks forward.
  void Advance(Duration by);
  /// Moves only the boot and wall clocks, as a suspended machine does.
  void Suspend(Duration by);

 private:
  SteadyTime steady_{std::chrono::seconds(1000)};
  BootTime boot_{std::chrono::seconds(1000)};
  WallTime wall_{std::chrono::seconds(1'700'000'000)};
};

}  // namespace shallot

#endif  // CORE_CLOCK_H_
