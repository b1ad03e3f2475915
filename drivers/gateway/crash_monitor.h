#ifndef DRIVERS_GATEWAY_CRASH_MONITOR_H_
#define DRIVERS_GATEWAY_CRASH_MONITOR_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Tells crashes of runners from connections that merely ended, and reports the calls that were
/// lost in a crash to CrashQuarantine. A crash is certain when the runner's port refuses
/// connections, or when the runner has restarted or left the list without draining first. A runner
/// that still accepts connections and then leaves the list ends as planned.
class CrashMonitor final : public CrashObserver {
 public:
  static constexpr Millis kProbeTimeout{300};
  /// A lost connection that turns out to be no crash within this time is forgotten. Entries of
  /// crashed runners lapse after three heartbeats.
  static constexpr Seconds kMemory{10};
  /// Calls that are remembered for one crash.
  static constexpr size_t kMaxCalls = 64;

  explicit CrashMonitor(GatewayContext* context);
  ~CrashMonitor() override;

  void OnCallLost(const LostCall& call) override;
  /// Looks for suspected runners that have restarted or left.
  void Tick();

 private:
  class Probe;

  struct Suspicion {
    FailureDomain domain;
    std::string address;
    SteadyTime since;
    bool confirmed = false;
    /// It accepted a connection after the loss.
    bool reached = false;
    std::vector<std::vector<CallTrait>> calls;
    std::shared_ptr<Probe> probe;
  };

  void OnReached(const RunnerRun& crash);
  void Confirm(const RunnerRun& crash, const char* evidence);
  void Report(const RunnerRun& crash, const Suspicion& suspicion);

  GatewayContext* context_;
  std::map<RunnerRun, Suspicion> suspicions_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CRASH_MONITOR_H_
