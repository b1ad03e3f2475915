#include "drivers/agent_daemon.h"

#include <memory>
#include <utility>

#include "core/invariant.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/service_kernel.h"
#include "drivers/core_loop.h"
#include "drivers/deferred_service.h"
#include "drivers/engine_http.h"
#include "drivers/platform_http.h"
#include "drivers/service_http.h"
#include "drivers/weights_http.h"
#include "servers/agent_core.h"
#include "servers/gap_keep_alive.h"
#include "servers/store_order_claims.h"

namespace shallot {
namespace {

constexpr Seconds kWeightStorePollInterval{5};
// The core ends running calls when the grace time is over; the margin allows for unloading and for
// sending the last messages.
constexpr Millis kDrainMargin{10'000};

AgentOptions MakeOptions(const AgentSettings& settings, const Clock& clock) {
  AgentOptions options;
  options.id = settings.process.id;
  options.incarnation = Incarnation(EntropySeed());
  options.runner = settings.runner;
  options.backend = settings.backend;
  options.failure_domain = settings.process.failure_domain;
  const auto boot =
      std::chrono::duration_cast<std::chrono::microseconds>(clock.BootNow().time_since_epoch());
  options.fencing = FencingNumber(static_cast<uint64_t>(boot.count()));
  options.service_concurrency = settings.service_concurrency;
  return options;
}

/// Owns the adapter of the agent's backend server: an engine or a plain service.
class Backend {
 public:
  Backend(const AgentSettings& settings, TaskRing* ring) {
    if (!settings.engine_address.empty()) {
      engine_ = std::make_unique<EngineHttp>(settings.engine_address, ring);
      return;
    }
    service_ =
        std::make_unique<ServiceHttp>(settings.service_address, settings.service_concurrency, ring);
  }

  BackendServer* server() const {
    if (engine_ != nullptr) return engine_.get();
    return service_.get();
  }
  ModelEngine* engine() const { return engine_.get(); }
  void Stop() {
    if (engine_ != nullptr) engine_->Stop();
    if (service_ != nullptr) service_->Stop();
  }

 private:
  std::unique_ptr<EngineHttp> engine_;
  std::unique_ptr<ServiceHttp> service_;
};

/// Polls the status of the weight store and exports it on /metrics.
class WeightStoreMonitor {
 public:
  WeightStoreMonitor(const std::string& address, TaskRing* ring, MetricsRegistry* metrics)
      : model_loads_(&metrics->GetGauge("shallot_weight_store_model_loads")),
        adapter_loads_(&metrics->GetGauge("shallot_weight_store_adapter_loads")),
        load_ms_per_gigabyte_(&metrics->GetGauge("shallot_weight_store_per_gigabyte_ms")) {
    if (!address.empty()) weights_ = std::make_unique<WeightsHttp>(address, ring);
  }

  void OnTick(SteadyTime now) {
    if (weights_ == nullptr || request_pending_ || now < next_poll_) return;
    request_pending_ = true;
    next_poll_ = now + kWeightStorePollInterval;
    weights_->FetchStatus([this](const Result<WeightStoreStatus>& status) {
      request_pending_ = false;
      if (!IsOk(status)) return;
      model_loads_->Set(static_cast<int64_t>(ValueOf(status).model_loads));
      adapter_loads_->Set(static_cast<int64_t>(ValueOf(status).adapter_loads));
      load_ms_per_gigabyte_->Set(ValueOf(status).per_gigabyte.count());
    });
  }
  void Stop() {
    if (weights_ != nullptr) weights_->Stop();
  }

 private:
  Gauge* model_loads_;
  Gauge* adapter_loads_;
  Gauge* load_ms_per_gigabyte_;
  std::unique_ptr<WeightsHttp> weights_;
  bool request_pending_ = false;
  SteadyTime next_poll_{};
};

/// Runs the agent core and its adapters on one thread.
class AgentHost final : public CoreHost {
 public:
  AgentHost(const AgentSettings& settings, ZmqHub* hub, MetricsRegistry* metrics,
            InvariantMonitor* invariants)
      : drain_grace_(settings.drain_grace),
        platform_(settings.platform_address, &hub->ring()),
        claims_(&clock_, &platform_, metrics, EntropySeed()),
        backend_(settings, &hub->ring()),
        weights_(settings.weights_address, &hub->ring(), metrics),
        core_(MakeOptions(settings, clock_), {.clock = &clock_,
                                              .link = hub,
                                              .backend = backend_.server(),
                                              .engine = backend_.engine(),
                                              .claims = &claims_,
                                              .metrics = metrics,
                                              .invariants = invariants}) {
    core_.SetKeepAlivePolicy(&keep_alive_);
  }

  void OnStart() override { core_.Start(); }
  void OnMessage(ConnectionId connection, const Message& message) override {
    core_.OnMessage(connection, message);
    if (core_.config() != config_) ApplyConfig();
  }
  void OnDisconnect(ConnectionId connection) override { core_.OnDisconnect(connection); }
  void OnTick() override {
    claims_.OnTick();
    core_.OnTick();
    weights_.OnTick(clock_.SteadyNow());
  }
  bool Ready() const override { return core_.Ready(); }
  std::string StatusJson() const override { return core_.StatusJson(); }
  void BeginDrain(const std::string& reason) override { core_.BeginDrain(reason, drain_grace_); }
  /// An order whose answer is not recorded would keep an unknown outcome forever, so the drain
  /// waits for pending records.
  bool Drained() const override { return core_.Drained() && claims_.pending_records() == 0; }
  void StopAdapters() override {
    weights_.Stop();
    backend_.Stop();
    platform_.Stop();
  }

 private:
  /// Passes the active configuration to the components outside the core.
  void ApplyConfig() {
    config_ = core_.config();
    keep_alive_.SetConfig(config_);
    claims_.SetOrderWindow(config_->order_window);
  }

  const SystemClock clock_{};
  Millis drain_grace_;
  PlatformHttp platform_;
  StoreOrderClaims claims_;
  Backend backend_;
  WeightStoreMonitor weights_;
  GapKeepAlive keep_alive_;
  AgentCore core_;
  /// The configuration last passed to the components outside the core.
  std::shared_ptr<const FleetConfig> config_;
};

HubOptions MakeHubOptions(const AgentSettings& settings) {
  HubOptions options;
  options.listen_address = settings.control_address;
  options.keys = settings.keys;
  return options;
}

}  // namespace

struct AgentDaemon::State {
  explicit State(AgentSettings given) : settings(std::move(given)) {}

  AgentSettings settings;
  MetricsRegistry metrics;
  InvariantMonitor invariants;
  ServiceKernel kernel;
  CoreLoop* loop = nullptr;
  DeferredService<AdminHttp>* admin = nullptr;

  void Compose();
};

void AgentDaemon::State::Compose() {
  auto new_loop = std::make_unique<CoreLoop>(MakeHubOptions(settings), [this](ZmqHub* hub) {
    return std::make_unique<AgentHost>(settings, hub, &metrics, &invariants);
  });
  loop = new_loop.get();
  auto new_admin = std::make_unique<DeferredService<AdminHttp>>("admin-http", [this] {
    return std::make_unique<AdminHttp>(settings.admin_address, &loop->hub().ring(), loop->host(),
                                       &metrics, &invariants);
  });
  admin = new_admin.get();
  // Add() fails only for duplicate names.
  (void)kernel.Add(std::move(new_loop));
  (void)kernel.Add(std::move(new_admin));
}

AgentDaemon::AgentDaemon(AgentSettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {
  state_->Compose();
}

AgentDaemon::~AgentDaemon() = default;

Status AgentDaemon::Start() { return state_->kernel.StartAll(); }

void AgentDaemon::BeginDrain(const std::string& reason) { state_->loop->BeginDrain(reason); }

bool AgentDaemon::WaitUntilDrained(Millis limit) { return state_->loop->WaitUntilDrained(limit); }

Millis AgentDaemon::drain_limit() const { return state_->settings.drain_grace + kDrainMargin; }

void AgentDaemon::Stop() { state_->kernel.StopAll(); }

int AgentDaemon::control_port() const { return state_->loop->hub().port(); }

int AgentDaemon::admin_port() const { return state_->admin->inner()->port(); }

}  // namespace shallot
