#ifndef DRIVERS_DAEMON_H_
#define DRIVERS_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/result.h"

namespace shallot {

/// A long-running process that stops after a drain.
class Daemon {
 public:
  virtual ~Daemon() = default;
  /// Starts all services. After an error (kConflict, kUnavailable) no service runs.
  virtual Status Start() = 0;
  /// Starts a graceful shutdown. Thread-safe.
  virtual void BeginDrain(const std::string& reason) = 0;
  /// Waits up to `limit` for a drain to complete; returns whether it has.
  virtual bool WaitUntilDrained(Millis limit) = 0;
  /// Longest time that a drain may take before the process stops anyway.
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

/// Runs `daemon` until SIGTERM or SIGINT arrives and the drain that follows is over, or until the
/// core completes a drain that was ordered otherwise. A second signal stops the process without
/// waiting for the drain. The stop signals must be blocked, see BlockStopSignals(). Returns the
/// exit code.
int RunDaemon(const std::string& name, Daemon* daemon);

/// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores SIGPIPE. Call it in
/// main() before any thread is started.
void BlockStopSignals();

}  // namespace shallot

#endif  // DRIVERS_DAEMON_H_
