#ifndef TESTS_COMPOSED_PROCESS_H_
#define TESTS_COMPOSED_PROCESS_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "servers/agent_core.h"
#include "servers/control_plane_core.h"
#include "servers/router_core.h"
#include "servers/store_order_claims.h"

/// Processes of a composed test fleet: the real cores with the adapters that they have in a daemon.
namespace shallot::composed {

/// Defers the platform's callbacks while a process is paused, and drops them once it is killed.
class CallbackGate {
 public:
  template <class T>
  std::function<void(const T&)> Guard(std::function<void(const T&)> done) {
    return [state = state_, done = std::move(done)](const T& value) {
      if (!state->alive) return;
      if (!state->paused) return done(value);
      state->waiting.push_back([done, value] { done(value); });
    };
  }
  void Kill() {
    state_->alive = false;
    state_->waiting.clear();
  }
  void Pause() { state_->paused = true; }
  void Resume() {
    state_->paused = false;
    for (const auto& answer : std::exchange(state_->waiting, {})) answer();
  }
  bool paused() const { return state_->paused; }

 private:
  struct State {
    bool alive = true;
    bool paused = false;
    std::deque<std::function<void()>> waiting;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

/// One process's access to the platform. The store and the list outlive the process; a killed
/// process's callbacks must not be called.
class ProcessPlatform final : public PlatformStore, public InstanceList {
 public:
  ProcessPlatform(PlatformStore* store, InstanceList* list, CallbackGate* gate)
      : store_(store), list_(list), gate_(gate) {}

  void Get(const StoreKey& key, GetCallback done) override {
    store_->Get(key, gate_->Guard(std::move(done)));
  }
  void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                      Millis ttl, PutCallback done) override {
    store_->CompareAndSwap(key, expected, value, ttl, gate_->Guard(std::move(done)));
  }
  void Watch(const StoreKey& key, StoreVersion known, GetCallback done) override {
    store_->Watch(key, known, gate_->Guard(std::move(done)));
  }
  void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                    LeaseCallback done) override {
    store_->AcquireLease(key, holder, ttl, gate_->Guard(std::move(done)));
  }
  void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) override {
    store_->ReleaseLease(key, holder, gate_->Guard(std::move(done)));
  }
  void Fetch(FetchCallback done) override { list_->Fetch(gate_->Guard(std::move(done))); }

 private:
  PlatformStore* store_;
  InstanceList* list_;
  CallbackGate* gate_;
};

/// One process, from its start until it is killed.
class Process {
 public:
  explicit Process(InstanceId process_id) : id(std::move(process_id)) {}
  virtual ~Process() { gate.Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  virtual void OnMessage(ConnectionId connection, const Message& message) = 0;
  virtual void OnDisconnect(ConnectionId connection) = 0;
  virtual void OnTick() = 0;

  const InstanceId id;
  CallbackGate gate;
  MetricsRegistry metrics;
};

/// Dependencies that all processes of a fleet share; owned by the fleet.
struct ProcessContext {
  const Clock* clock = nullptr;
  PlatformStore* store = nullptr;
  InstanceList* list = nullptr;
  InvariantMonitor* invariants = nullptr;
};

class RouterProcess final : public Process {
 public:
  RouterProcess(const RouterOptions& options, const ProcessContext& context,
                std::unique_ptr<PeerLink> peer_link)
      : Process(options.id),
        link(std::move(peer_link)),
        platform(context.store, context.list, &gate),
        control({options.id, options.failure_domain, options.region}, context.clock, &platform,
                &platform, &metrics, context.invariants),
        core(options, {.clock = context.clock,
                       .link = link.get(),
                       .control = &control,
                       .metrics = &metrics,
                       .invariants = context.invariants}) {}

  void OnMessage(ConnectionId connection, const Message& message) override {
    core.OnMessage(connection, message);
  }
  void OnDisconnect(ConnectionId connection) override { core.OnDisconnect(connection); }
  void OnTick() override {
    control.OnTick();
    core.OnTick();
  }

  std::unique_ptr<PeerLink> link;
  ProcessPlatform platform;
  ControlPlaneCore control;
  RouterCore core;
};

class AgentProcess final : public Process {
 public:
  AgentProcess(const AgentOptions& options, const ProcessContext& context,
               std::unique_ptr<PeerLink> peer_link, BackendServer* backend, ModelEngine* engine)
      : Process(options.id),
        link(std::move(peer_link)),
        platform(context.store, context.list, &gate),
        claims(context.clock, &platform, &metrics, options.incarnation.value()),
        core(options, {.clock = context.clock,
                       .link = link.get(),
                       .backend = backend,
                       .engine = engine,
                       .claims = &claims,
                       .metrics = &metrics,
                       .invariants = context.invariants}) {
    core.Start();
  }

  void OnMessage(ConnectionId connection, const Message& message) override {
    core.OnMessage(connection, message);
  }
  void OnDisconnect(ConnectionId connection) override { core.OnDisconnect(connection); }
  void OnTick() override {
    claims.OnTick();
    core.OnTick();
  }
  bool Drained() const { return core.Drained() && claims.pending_records() == 0; }

  std::unique_ptr<PeerLink> link;
  ProcessPlatform platform;
  StoreOrderClaims claims;
  AgentCore core;
};

}  // namespace shallot::composed

#endif  // TESTS_COMPOSED_PROCESS_H_
