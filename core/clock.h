#ifndef CORE_CLOCK_H_
#define CORE_CLOCK_H_

#include <chrono>

namespace shallot {

using Duration = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Monotonic time, for durations and timeouts; does not advance while the machine is suspended.
using SteadyTime = std::chrono::steady_clock::time_point;
/// Wall-clock time, for timestamps that operators read and for expiry dates.
using WallTime = std::chrono::system_clock::time_point;

/// Monotonic clock that keeps advancing while the machine is suspended. Leases use it, because the
/// issuer lets a lease expire while its holder is suspended.
struct BootClock {
  using rep = Duration::rep;                              // NOLINT(readability-identifier-naming)
  using period = Duration::period;                        // NOLINT(readability-identifier-naming)
  using duration = Duration;                              // NOLINT(readability-identifier-naming)
  using time_point = std::chrono::time_point<BootClock>;  // NOLINT(readability-identifier-naming)
};
using BootTime = BootClock::time_point;

/// Source of the current time, passed to all code whose decisions depend on time.
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

/// A clock that advances only by explicit calls; for tests and benchmarks.
class ManualClock final : public Clock {
 public:
  SteadyTime SteadyNow() const override { return steady_; }
  BootTime BootNow() const override { return boot_; }
  WallTime WallNow() const override { return wall_; }

  /// Advances all three clocks.
  void Advance(Duration by);
  /// Advances only the boot and wall clocks, as while a machine is suspended.
  void Suspend(Duration by);

 private:
  SteadyTime steady_{std::chrono::seconds(1000)};
  BootTime boot_{std::chrono::seconds(1000)};
  WallTime wall_{std::chrono::seconds(1'700'000'000)};
};

}  // namespace shallot

#endif  // CORE_CLOCK_H_
