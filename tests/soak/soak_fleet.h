#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_client.h"
#include "tests/soak/call_ledger.h"
#include "tests/soak/disturbance_log.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/standin_runner.h"
#include "tests/standin_store.h"

namespace shallot::soak {

/// Bounds that the platform states for the two deployments; the soak judges by them.
struct SoakBounds {
  static constexpr Millis kStable{3'000};
  static constexpr Millis kDrain{2'000};
  static constexpr Millis kConfigApply{2'000};
  static constexpr Millis kGrace{8'000};
  static constexpr Millis kLossSlack{200};
  static constexpr Millis kRecovery{12'000};
  /// After a route's timeout, the final answer may take this much longer.
  static constexpr Millis kTimeoutSlack{500};
  static constexpr Millis kReuseAfter{2'000};
  static constexpr double kRetryRatio = 0.2;
  static constexpr double kRetrySlack = 58;
  static constexpr Millis kRetryWindow{10'000};
};

struct SoakOptions {
  std::string gateway_program;
  /// Settings and logs of the processes.
  std::string folder;
  uint64_t seed = 1;
  Millis fault_time{15'000};
  size_t gateways = 3;
  size_t engines = 3;
  size_t desks = 4;
  size_t callers = 24;
  /// The gateways log to pipes that nobody reads.
  bool stall_logs = false;
};

/// A route of the present configuration, with what its calls are judged by.
struct SoakRoute {
  std::string name;
  std::string prefix;
  gateway::CallKind kind = gateway::CallKind::kIdempotent;
  bool resumable = false;
  uint64_t max_attempts = 1;
  Millis timeout{3'000};
  std::string backend;
};

/// Gateways as processes, and stand-ins of everything around them on one loop: the store, the
/// runners, the balancer's readiness check, and a proxy on every link. Faults are injected here.
class SoakFleet {
 public:
  SoakFleet(gateway::EventLoop* loop, const SoakOptions& options);
  ~SoakFleet();

  Status Start();

  const SoakOptions& options() const { return options_; }
  gateway::EventLoop* loop() { return loop_; }
  Random& random() { return random_; }
  CallLedger& ledger() { return ledger_; }
  DisturbanceLog& disturbances() { return disturbances_; }
  const std::vector<std::string>& events() const { return events_; }
  void Note(const std::string& text);

  // Callers.
  /// Address of a gateway, by way of its proxy.
  std::string CallerAddress(size_t gateway) const;
  /// A gateway that the balancer would choose; any when none is ready.
  size_t PickGateway();
  bool Ready(size_t gateway) const { return gateways_[gateway].ready; }
  std::vector<SoakRoute> Routes() const;
  /// Backends that any configuration so far lets a route send to.
  const std::set<BackendName>& BackendsOf(const std::string& route) const {
    return route_backends_.at(route);
  }
  /// The gateway was calm since the stable window before `from`; bounds in time hold for it.
  bool InTouch(size_t gateway, SteadyTime from, SteadyTime to, bool needs_store) const;
  /// Nothing that a call could depend on had unplanned trouble.
  bool AllCalm(size_t gateway, SteadyTime from, SteadyTime to, bool needs_store) const;
  /// Whether some runner works on a call.
  bool AnyWorksOn(const RequestId& id) const;
  /// Since when a runner has been leaving, as the store acknowledged it.
  std::optional<SteadyTime> DrainingSince(const RunnerId& runner) const;
  /// A version of the configuration and since when it has been acknowledged.
  struct Version {
    uint64_t number = 0;
    SteadyTime acknowledged;
    std::string switch_backend;
    bool extra_route = false;
  };
  /// Versions that a call sent at `sent` may be handled by: the newest that must be in force, and
  /// all later ones.
  std::vector<Version> VersionsFor(SteadyTime sent) const;

  // Faults on gateways.
  void StopGateway(size_t gateway);
  void KillGateway(size_t gateway);
  void PauseGateway(size_t gateway, Millis time);
  void ReloadGateway(size_t gateway, bool broken_settings);
  // Faults on links; they end by themselves.
  enum class LinkEnd { kCallers, kStore, kRunner };
  void FaultLink(LinkEnd end, size_t index, LinkFault fault, Millis time);
  // Faults on the store; they end by themselves.
  void TroubleStore(const gateway::StoreTrouble& trouble, const std::string& name, Millis time,
                    bool entries_lapse);
  void DropHistory();
  // Faults on runners.
  void TroubleRunner(size_t runner, const RunnerTrouble& trouble, const std::string& name,
                     Millis time);
  void CrashRunner(size_t runner, Millis down, bool same_id);
  void DrainRunner(size_t runner);
  /// The runner goes for good and another backend's runner takes its address.
  void ReuseAddress(size_t runner);
  void WriteForeignEntry();
  // Planned work.
  void ChangeConfig();

  size_t gateways() const { return gateways_.size(); }
  size_t runners() const { return runners_.size(); }
  /// Ends all trouble and starts what is down.
  void Heal();
  /// Stops all gateways in order; true when they have ended.
  void BeginStopAll();
  bool AllEnded() const;
  uint64_t LargestMemoryKilobytes() const;

 private:
  struct Gateway {
    std::string ip;
    std::unique_ptr<GatewayProcess> process;
    std::unique_ptr<FaultProxy> callers;
    std::unique_ptr<FaultProxy> store;
    bool ready = false;
    bool paused = false;
    /// It was ready at some time in this lifetime.
    bool was_ready = false;
    /// The process was signalled to end, by a stop or a kill.
    bool told_to_end = false;
    std::optional<SteadyTime> stop_due;
    std::optional<size_t> down;
    uint64_t lifetime = 0;
  };
  struct Runner {
    RunnerSpec spec;
    std::unique_ptr<StandinRunner> server;
    std::unique_ptr<FaultProxy> proxy;
    SteadyTime last_heartbeat;
    bool listed = false;
  };
  class ReadinessProbe;

  void StartGateway(size_t gateway);
  void WriteSettings(size_t gateway) const;
  void Tick();
  void CheckProcesses();
  void KeepEntries();
  void ProbeReadiness();
  Status StartRunner(size_t runner);
  void RemoveRunner(size_t runner);
  void PutConfig();
  std::string ConfigText() const;
  /// Ends a disturbance after `time` and runs `end` then.
  void Disturb(Scope scope, Millis time, bool planned, std::function<void()> end);

  gateway::EventLoop* loop_;
  SoakOptions options_;
  Random random_;
  CallLedger ledger_;
  DisturbanceLog disturbances_;
  gateway::StandinStore store_;
  gateway::HttpClient probe_client_;
  RunnerWorld world_;
  std::vector<Gateway> gateways_;
  std::vector<Runner> runners_;
  std::vector<std::unique_ptr<ReadinessProbe>> probes_;
  std::vector<Version> versions_;
  std::map<std::string, std::set<BackendName>> route_backends_;
  std::vector<std::string> events_;
  std::string address_base_;
  uint64_t last_runner_ = 0;
  bool store_away_ = false;
  bool entries_lapse_ = false;
  bool stopping_ = false;
  /// Rises when Heal() ends all trouble, so that timers of earlier faults do nothing.
  uint64_t round_ = 0;
  SteadyTime last_tick_;
  SteadyTime began_;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_SOAK_FLEET_H_
