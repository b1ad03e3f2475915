#include "drivers/daemon.h"

#include <csignal>
#include <ctime>
#include <iostream>

#include "core/log.h"

namespace shallot {
namespace {

constexpr Millis kPollInterval{100};

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Waits up to `limit` for a stop signal; returns whether one arrived.
bool WaitForSignal(Millis limit) {
  const sigset_t signals = StopSignals();
  const timespec timeout{limit.count() / 1000, (limit.count() % 1000) * 1'000'000};
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

/// Waits until the drain completes, its time limit expires or a second signal arrives.
void FinishDrain(Daemon* daemon) {
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + daemon->drain_limit();
  while (clock.SteadyNow() < end) {
    if (daemon->WaitUntilDrained(kPollInterval)) {
      LogInfo("daemon", "drain is complete");
      return;
    }
    if (WaitForSignal(Millis(0))) break;
  }
  LogWarning("daemon", "stopping before the drain is complete");
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer closed must not terminate the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
}

int RunDaemon(const std::string& name, Daemon* daemon) {
  const Status started = daemon->Start();
  if (!IsOk(started)) {
    std::cerr << name << ": " << FormatError(ErrorOf(started)) << '\n';
    return kExitUnavailable;
  }
  LogInfo("daemon", "started");
  // A drain ordered by an operator or a router ends the process without a signal.
  while (!WaitForSignal(kPollInterval)) {
    if (!daemon->WaitUntilDrained(Millis(0))) continue;
    daemon->Stop();
    return kExitOk;
  }
  daemon->BeginDrain("stop signal");
  FinishDrain(daemon);
  daemon->Stop();
  return kExitOk;
}

}  // namespace shallot
