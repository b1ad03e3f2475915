#include "drivers/router_daemon.h"

#include <utility>
#include <vector>

#include "core/invariant.h"
#include "core/metrics.h"
#include "core/random.h"
#include "core/service_kernel.h"
#include "drivers/caller_http.h"
#include "drivers/core_loop.h"
#include "drivers/deferred_service.h"
#include "drivers/platform_http.h"
#include "servers/control_plane_core.h"
#include "servers/router_core.h"

namespace shallot {
namespace {

RouterOptions MakeOptions(const RouterSettings& settings) {
  RouterOptions options;
  options.id = settings.process.id;
  options.incarnation = Incarnation(EntropySeed());
  options.failure_domain = settings.process.failure_domain;
  options.region = settings.process.region;
  options.seed = EntropySeed();
  return options;
}

/// Runs the router core, the control plane and the platform adapter on one thread.
class RouterHost final : public CoreHost, public RouterApi {
 public:
  RouterHost(const RouterSettings& settings, ZmqHub* hub, MetricsRegistry* metrics,
             InvariantMonitor* invariants)
      : platform_(settings.platform_address, &hub->ring()),
        control_({settings.process.id, settings.process.failure_domain, settings.process.region},
                 &clock_, &platform_, &platform_, metrics, invariants),
        core_(MakeOptions(settings), {.clock = &clock_,
                                      .link = hub,
                                      .control = &control_,
                                      .metrics = metrics,
                                      .invariants = invariants}) {}

  void OnMessage(ConnectionId connection, const Message& message) override {
    core_.OnMessage(connection, message);
  }
  void OnDisconnect(ConnectionId connection) override { core_.OnDisconnect(connection); }
  void OnTick() override {
    control_.OnTick();
    core_.OnTick();
  }
  bool Ready() const override { return core_.Ready(); }
  std::string StatusJson() const override { return core_.StatusJson(); }
  void BeginDrain(const std::string& /*reason*/) override {
    if (std::exchange(draining_, true)) return;
    core_.BeginDrain();
  }
  bool Drained() const override { return draining_ && core_.Drained(); }
  void StopAdapters() override { platform_.Stop(); }

  CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) override {
    return core_.Submit(request, std::move(sink));
  }
  void CancelByCaller(const CallId& call) override { core_.CancelByCaller(call); }
  std::vector<std::string> ModelNames() const override {
    std::vector<std::string> names;
    const auto config = core_.config();
    if (config == nullptr) return names;
    names.reserve(config->entries.size());
    for (const auto& [id, entry] : config->entries) names.push_back(id.value());
    return names;
  }

 private:
  const SystemClock clock_{};
  PlatformHttp platform_;
  ControlPlaneCore control_;
  RouterCore core_;
  bool draining_ = false;
};

HubOptions MakeHubOptions(const RouterSettings& settings) {
  HubOptions options;
  options.listen_address = settings.peer_address;
  options.keys = settings.keys;
  return options;
}

}  // namespace

struct RouterDaemon::State {
  explicit State(RouterSettings given) : settings(std::move(given)) {}

  RouterSettings settings;
  MetricsRegistry metrics;
  InvariantMonitor invariants;
  ServiceKernel kernel;
  CoreLoop* loop = nullptr;
  DeferredService<AdminHttp>* admin = nullptr;
  DeferredService<CallerHttp>* callers = nullptr;

  RouterHost* host() const { return static_cast<RouterHost*>(loop->host()); }
  void Compose();
};

void RouterDaemon::State::Compose() {
  auto new_loop = std::make_unique<CoreLoop>(MakeHubOptions(settings), [this](ZmqHub* hub) {
    return std::make_unique<RouterHost>(settings, hub, &metrics, &invariants);
  });
  loop = new_loop.get();
  auto new_admin = std::make_unique<DeferredService<AdminHttp>>("admin-http", [this] {
    return std::make_unique<AdminHttp>(settings.admin_address, &loop->hub().ring(), host(),
                                       &metrics, &invariants);
  });
  admin = new_admin.get();
  auto new_callers = std::make_unique<DeferredService<CallerHttp>>("caller-http", [this] {
    const CallerHttpOptions options{.address = settings.caller_address,
                                    .threads = settings.caller_threads,
                                    .router = settings.process.id.value()};
    return std::make_unique<CallerHttp>(options, &loop->hub().ring(), host(), &metrics);
  });
  callers = new_callers.get();
  // Add() fails only for duplicate names.
  (void)kernel.Add(std::move(new_loop));
  (void)kernel.Add(std::move(new_admin));
  (void)kernel.Add(std::move(new_callers));
}

RouterDaemon::RouterDaemon(RouterSettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {
  state_->Compose();
}

RouterDaemon::~RouterDaemon() = default;

Status RouterDaemon::Start() { return state_->kernel.StartAll(); }

void RouterDaemon::BeginDrain(const std::string& reason) { state_->loop->BeginDrain(reason); }

bool RouterDaemon::WaitUntilDrained(Millis limit) { return state_->loop->WaitUntilDrained(limit); }

Millis RouterDaemon::drain_limit() const { return state_->settings.drain_grace; }

void RouterDaemon::Stop() { state_->kernel.StopAll(); }

int RouterDaemon::caller_port() const { return state_->callers->inner()->port(); }

int RouterDaemon::admin_port() const { return state_->admin->inner()->port(); }

int RouterDaemon::peer_port() const { return state_->loop->hub().port(); }

}  // namespace shallot
