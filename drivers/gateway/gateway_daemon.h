#ifndef DRIVERS_GATEWAY_GATEWAY_DAEMON_H_
#define DRIVERS_GATEWAY_GATEWAY_DAEMON_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "core/metrics.h"
#include "drivers/daemon.h"
#include "drivers/gateway/access/proof_driver.h"
#include "drivers/gateway/admin_handler.h"
#include "drivers/gateway/call_session.h"
#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/crash_monitor.h"
#include "drivers/gateway/findings_driver.h"
#include "drivers/gateway/fleet_follower.h"
#include "drivers/gateway/gateway_context.h"
#include "drivers/gateway/memory/memory_driver.h"
#include "drivers/gateway/permit_driver.h"
#include "drivers/gateway/placement_driver.h"
#include "drivers/gateway/presence_driver.h"
#include "drivers/gateway/quota/quota_driver.h"
#include "servers/gateway/stop_sequence.h"

namespace shallot::gateway {

/// The gateway process: takes callers' requests, sends them to backend servers, and is a candidate
/// for the placement leadership. A single thread runs the event loop; BeginDrain and
/// WaitUntilDrained may be called from another one.
class GatewayDaemon final : public Daemon, public CallerHandler, public SessionOwner {
 public:
  using SettingsLoader = std::function<Result<GatewaySettings>()>;

  /// `reload` reads the settings again; it is called after SIGHUP and every few seconds.
  GatewayDaemon(const GatewaySettings& settings, const PlatformProtocol* protocol,
                SettingsLoader reload);
  ~GatewayDaemon() override;

  Status Start() override;
  void BeginDrain(const std::string& reason) override;
  bool WaitUntilDrained(Millis limit) override;
  Millis drain_limit() const override;
  void Stop() override;

  void OnRequest(CallerConnection* connection, HttpMessage request) override;
  void OnCallerGone(CallerConnection* connection) override;
  void OnCallerRead(CallerConnection* connection) override;
  HttpMessage NoMemoryAnswer(const HttpHead& request) override;
  void OnSessionEnded(CallerConnection* connection) override;
  void OnWaitStarted() override { demand_due_ = true; }
  Millis LongestWait(const BackendName& backend, const CallRequest& call) const override;

 private:
  class ReadinessHandler;

  /// Calls that wait for one entry.
  struct WaitingDemand {
    uint64_t calls = 0;
    Millis least_time_left = Millis::max();
  };

  std::map<DemandMeter::Key, WaitingDemand> CountWaiting() const;
  void Tick();
  void TickDrain();
  std::vector<std::shared_ptr<CallSession>> Sessions() const;
  /// The answer to a call that gets no session: 503 with that reason and Retry-After, or 502 if
  /// another arrival of the call was sent to a runner.
  HttpMessage RefusalWithoutSession(const RequestId& id, const std::string& reason,
                                    Millis retry_after);
  /// The id of a call; empty if the request has no valid one.
  RequestId CallId(const HttpHead& request) const;
  void ReceivePeerMessages();
  void DispatchWaitingCalls();
  void ReportDemand();
  void OnNotice(const RunnerNotice& notice);
  void OnPeerNotice(const RunnerNotice& notice);
  /// Logs quarantines that have begun or ended, and applies new ones to the calls in progress.
  void ApplyQuarantineChanges();
  void ReloadSettings();
  void CloseStalePeers();
  bool Ready() const;

  SystemClock clock_;
  MetricsRegistry metrics_;
  std::unique_ptr<GatewayContext> context_;
  SettingsLoader reload_;
  std::unique_ptr<ReadinessHandler> readiness_handler_;
  std::unique_ptr<AdminHandler> admin_handler_;
  std::unique_ptr<CallerListener> callers_;
  std::unique_ptr<CallerListener> readiness_;
  std::unique_ptr<CallerListener> admin_listener_;
  std::unique_ptr<ConfigDriver> config_;
  std::unique_ptr<ProofDriver> proof_;
  std::unique_ptr<FleetFollower> follower_;
  std::unique_ptr<PlacementDriver> placement_;
  std::unique_ptr<PresenceDriver> presence_;
  std::unique_ptr<CrashMonitor> crash_monitor_;
  std::unique_ptr<FindingsDriver> findings_;
  std::unique_ptr<PermitDriver> permits_;
  std::unique_ptr<QuotaDriver> quotas_;
  std::unique_ptr<MemoryDriver> memory_;
  std::map<CallerConnection*, std::shared_ptr<CallSession>> sessions_;
  std::thread thread_;
  std::atomic<bool> drain_requested_{false};
  std::atomic<bool> drained_{false};
  bool draining_ = false;
  StopSequence stop_;
  SteadyTime last_complete_report_{};
  InstanceId reported_to_;
  /// Entries that the last report listed with waiting calls.
  std::set<DemandMeter::Key> reported_waiting_;
  bool demand_due_ = true;
  SteadyTime last_report_{};
  SteadyTime last_reload_{};
  SteadyTime last_peer_check_{};
};

/// Makes SIGHUP request a reload of the settings instead of terminating the process. Call it at the
/// start of main().
void CatchReloadSignal();

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_GATEWAY_DAEMON_H_
