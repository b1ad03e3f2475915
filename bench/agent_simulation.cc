#include "bench/agent_simulation.h"

#include <algorithm>
#include <map>
#include <utility>

#include "bench/simulated_engine.h"
#include "servers/agent_core.h"
#include "servers/config_head.h"
#include "servers/fleet_config.h"

namespace shallot::bench {
namespace {

/// Interval of an agent's ticks while calls wait on it.
constexpr Millis kBusyTickInterval{20};
constexpr Millis kIdleTickInterval{1000};
constexpr Millis kCallDeadline{600'000};
constexpr Millis kPermitValidity{120'000};
/// Capacities of an engine's checkpoint caches, in models.
constexpr uint64_t kHostMemoryCacheModels = 4;
constexpr uint64_t kDiskCacheModels = 6;
/// Interval between the starts of model loads, for a weight store that serves two a second over all
/// runners.
constexpr Millis kLoadStartInterval{500};

/// Stand-in without a claim store: every claim fails as unavailable.
class UnavailableClaims final : public OrderClaims {
 public:
  void Claim(const IdempotencyKey& /*key*/, uint64_t /*request_hash*/, const ClaimId& /*claim*/,
             const RunnerId& /*runner*/, ClaimCallback done) override {
    done(ClaimReply{});
  }
  void RecordAnswer(const IdempotencyKey& /*key*/, const ClaimId& /*claim*/,
                    const OrderAnswer& /*answer*/, DoneCallback done) override {
    done(OkStatus());
  }
  void RecordNotRun(const IdempotencyKey& /*key*/, const ClaimId& /*claim*/,
                    DoneCallback done) override {
    done(OkStatus());
  }
};

/// Passes the messages that an agent sends to a handler of the simulation.
class SimulationLink final : public PeerLink {
 public:
  using Handler = std::function<void(const Message&)>;
  explicit SimulationLink(Handler handler) : handler_(std::move(handler)) {}
  ConnectionId Connect(const std::string& /*address*/) override { return ConnectionId(1); }
  void Close(ConnectionId /*connection*/) override {}
  Status Send(ConnectionId /*connection*/, const Message& message) override {
    handler_(message);
    return OkStatus();
  }

 private:
  Handler handler_;
};

/// One agent with its simulated engine.
struct Runner {
  RunnerId id;
  std::unique_ptr<SimulatedEngine> engine;
  std::unique_ptr<SimulationLink> link;
  std::unique_ptr<KeepAlivePolicy> policy;
  std::unique_ptr<AgentCore> agent;
  std::vector<Slot> slots;
  SteadyTime next_tick;
  /// Calls sent to the agent whose execution has not started.
  uint64_t waiting = 0;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options), events_(&clock_) {
    const std::string text = MakeFleetText(options.shape, options.keep_alive_max);
    push_ = {ConfigRevision(1), "", text};
    ConfigHead head;
    head.revision = ConfigRevision(1);
    head.snapshot = ConfigRevision(1);
    push_.head = FormatConfigHead(head);
    config_ = std::make_shared<const FleetConfig>(
        ValueOf(ParseFleetConfig(text, "bench", ConfigRevision(1))));
    for (int i = 0; i < options.shape.runners; ++i) AddRunner(i);
    AssignSlots();
  }

  SimulationResult Run() {
    for (const auto& runner : runners_) StartAgent(*runner);
    for (size_t i = 0; i < options_.trace.size(); ++i) {
      events_.ScheduleAfter(options_.trace[i].at, [this, i] { Submit(i); });
    }
    events_.ScheduleAfter(options_.measured_from, [this] {
      for (const auto& runner : runners_) runner->engine->ResetIdle();
    });
    const SteadyTime end = events_.Now() + options_.trace.back().at + Seconds(1);
    while (events_.Now() < end) RunNextStep();
    return Collect();
  }

 private:
  struct PendingCall {
    size_t runner = 0;
    SteadyTime arrived;
    bool measured = false;
    bool started = false;
  };

  void AddRunner(int index) {
    const TraceShape& shape = options_.shape;
    auto runner = std::make_unique<Runner>();
    runner->id = RunnerId("runner-" + std::to_string(index));
    runner->engine = std::make_unique<SimulatedEngine>(&events_, &weights_, shape.runner_memory_mb,
                                                       shape.model_mb * kHostMemoryCacheModels,
                                                       shape.model_mb * kDiskCacheModels);
    runner->engine->SetStartHook([this](const CallId& call) { OnCallStarted(call); });
    const auto position = static_cast<size_t>(index);
    runner->link = std::make_unique<SimulationLink>(
        [this, position](const Message& message) { OnAgentMessage(position, message); });
    if (options_.make_policy) runner->policy = options_.make_policy(&clock_, config_);
    AgentOptions agent;
    agent.id = InstanceId("agent-" + std::to_string(index));
    agent.incarnation = Incarnation(1);
    agent.runner = runner->id;
    agent.backend = shape.backend;
    AgentEnvironment environment;
    environment.clock = &clock_;
    environment.link = runner->link.get();
    environment.backend = environment.engine = runner->engine.get();
    environment.claims = &claims_;
    environment.metrics = &metrics_;
    environment.invariants = &invariants_;
    runner->agent = std::make_unique<AgentCore>(agent, environment);
    if (runner->policy) runner->agent->SetKeepAlivePolicy(runner->policy.get());
    runner->next_tick = events_.Now();
    runners_.push_back(std::move(runner));
  }

  void AssignSlots() {
    std::map<EntryId, size_t> position;
    size_t next = 0;
    for (const auto& [id, entry] : config_->entries) {
      if (entry.kind != LoadKind::kModel) continue;
      position[id] = next++ % runners_.size();
    }
    for (const auto& [id, entry] : config_->entries) {
      const size_t index = position[entry.base];
      runner_of_[id] = index;
      runners_[index]->slots.push_back(
          {id, runners_[index]->id, Generation(1), SlotState::kActive});
    }
  }

  void StartAgent(Runner& runner) {
    runner.agent->Start();
    runner.agent->OnMessage(kConnection, Hello{});
    runner.agent->OnMessage(kConnection, push_);
    runner.agent->OnMessage(kConnection,
                            SlotGrant{ShardId(0), StoreVersion(1), Incarnation(1), runner.slots});
  }

  void RunNextStep() {
    SteadyTime next = events_.Empty() ? events_.Now() + kIdleTickInterval : events_.NextTime();
    for (const auto& runner : runners_) next = std::min(next, runner->next_tick);
    if (next > events_.Now()) events_.AdvanceTo(next);
    events_.RunDue();
    for (const auto& runner : runners_) {
      if (runner->next_tick > events_.Now()) continue;
      runner->agent->OnMessage(kConnection, Heartbeat{});
      runner->agent->OnTick();
      runner->next_tick =
          events_.Now() + (runner->waiting > 0 ? kBusyTickInterval : kIdleTickInterval);
    }
  }

  void Submit(size_t index) {
    const TraceCall& trace_call = options_.trace[index];
    PendingCall pending;
    pending.runner = runner_of_.at(trace_call.entry);
    pending.arrived = events_.Now();
    pending.measured = trace_call.at >= options_.measured_from;
    const CallId id(std::to_string(index));
    pending_[id] = pending;
    Call call;
    call.id = id;
    call.entry = trace_call.entry;
    call.call_class = trace_call.call_class;
    call.remaining = kCallDeadline;
    call.body = SimulatedEngine::MakeBody(trace_call.service);
    Runner& runner = *runners_[pending.runner];
    ++runner.waiting;
    runner.next_tick = std::min(runner.next_tick, events_.Now() + kBusyTickInterval);
    if (pending.measured) ++result_.calls;
    runner.agent->OnMessage(kConnection, CallStart{call});
  }

  void OnCallStarted(const CallId& id) {
    PendingCall& pending = pending_.at(id);
    pending.started = true;
    --runners_[pending.runner]->waiting;
    if (!pending.measured) return;
    const auto wait = std::chrono::duration_cast<Millis>(events_.Now() - pending.arrived);
    waits_.push_back(wait);
    if (wait > Millis(0)) ++result_.cold_calls;
  }

  void OnAgentMessage(size_t position, const Message& message) {
    if (const auto* request = std::get_if<LoadPermitRequest>(&message)) {
      GrantPermit(position, *request);
    } else if (const auto* outcome = std::get_if<CallOutcome>(&message)) {
      OnOutcome(position, *outcome);
    }
  }

  void GrantPermit(size_t position, const LoadPermitRequest& request) {
    SteadyTime at = events_.Now();
    if (request.kind == LoadKind::kModel) {
      next_load_start_ = std::max(next_load_start_, at);
      at = next_load_start_;
      next_load_start_ += kLoadStartInterval;
    }
    events_.ScheduleAfter(at - events_.Now(), [this, position, request] {
      const LoadPermit permit{request.permit_id, request.runner, kPermitValidity};
      runners_[position]->agent->OnMessage(kConnection, permit);
    });
  }

  void OnOutcome(size_t position, const CallOutcome& message) {
    const auto found = pending_.find(message.call);
    if (found == pending_.end()) return;
    if (!found->second.started) --runners_[position]->waiting;
    if (found->second.measured && message.outcome.kind == OutcomeKind::kCompleted) {
      ++result_.completed;
    }
    pending_.erase(found);
    const CallAck ack{message.call, message.attempt};
    events_.ScheduleAfter(Duration(0), [this, position, ack] {
      runners_[position]->agent->OnMessage(kConnection, ack);
    });
  }

  Millis Quantile(const std::vector<Millis>& sorted, double quantile) const {
    if (sorted.empty()) return Millis(0);
    const auto rank = static_cast<size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
  }

  SimulationResult Collect() {
    std::sort(waits_.begin(), waits_.end());
    result_.p50 = Quantile(waits_, 0.5);
    result_.p99 = Quantile(waits_, 0.99);
    result_.p999 = Quantile(waits_, 0.999);
    std::vector<Millis> cold;
    std::copy_if(waits_.begin(), waits_.end(), std::back_inserter(cold),
                 [](Millis wait) { return wait > Millis(0); });
    result_.p99_of_cold = Quantile(cold, 0.99);
    for (const auto& runner : runners_) {
      result_.idle_accelerator_hours += runner->engine->IdleAcceleratorHours();
      result_.loads += runner->engine->loads();
      result_.overcommits += runner->engine->overcommits();
    }
    result_.violations = invariants_.TotalViolations();
    return result_;
  }

  inline static const ConnectionId kConnection{1};

  const SimulationOptions& options_;
  ManualClock clock_;
  EventQueue events_;
  SimulatedWeightStore weights_;
  UnavailableClaims claims_;
  MetricsRegistry metrics_;
  InvariantMonitor invariants_;
  ConfigPush push_;
  std::shared_ptr<const FleetConfig> config_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::map<EntryId, size_t> runner_of_;
  std::map<CallId, PendingCall> pending_;
  std::vector<Millis> waits_;
  SteadyTime next_load_start_;
  SimulationResult result_;
};

}  // namespace

SimulationResult Replay(const SimulationOptions& options) { return Simulation(options).Run(); }

}  // namespace shallot::bench
