#ifndef DRIVERS_DAEMON_H_
#define DRIVERS_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/result.h"

namespace shallot {

/// A process that runs until it is drained.
class Daemon {
 public:
  virtual ~Daemon() = default;
  /// Starts all services. kConflict or kUnavailable: nothing runs.
  virtual Status Start() = 0;
  /// Starts a graceful stop. Any thread.
  virtual void BeginDrain(const std::string& reason) = 0;
  /// Waits until a drain is complete, at most for `limit`; returns whether it is.
  virtual bool WaitUntilDrained(Millis limit) = 0;
  /// Longest time that a drain may take before the process stops all the same.
  virtual Millis drain_limit() const = 0;
  /// Stops all services.
  virtual void Stop() = 0;
};

/// Exit codes of all programs.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitBadSettings = 3,
  kExitUnavailable = 4,
};

/// Runs `daemon` until SIGTERM or SIGINT and a drain, or until the core drained by itself. A
/// second signal stops at once. Call before any thread was started: it blocks these signals.
/// Returns the exit code.
int RunDaemon(const std::string& name, Daemon* daemon);

/// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores SIGPIPE. Call first
/// in main.
void BlockStopSignals();

}  // namespace shallot

#endif  // DRIVERS_DAEMON_H_
