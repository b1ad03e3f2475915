// Goodput (calls answered within their deadline, per second) at 0.5 to 2 times the capacity, of the
// router and agent cores and of a baseline with FIFO queues, least-connections balancing and no
// admission control.
#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/bench_report.h"
#include "bench/simulated_engine.h"
#include "core/random.h"
#include "servers/agent_core.h"
#include "servers/config_head.h"
#include "servers/router_core.h"

namespace shallot::bench {
namespace {

constexpr size_t kRunners = 4;
constexpr size_t kRouters = 2;
/// Calls that a simulated engine runs concurrently.
constexpr size_t kConcurrency = 8;
constexpr double kMeanServiceMs = 200;
constexpr double kCapacityPerSecond = kRunners * kConcurrency * 1000 / kMeanServiceMs;
constexpr Millis kTickInterval{10};
constexpr Millis kMessageDelay{1};
constexpr Seconds kWarmUpTime{10};
constexpr Seconds kMeasuredTime{50};
/// Longer than the longest deadline, so that every call ends within the run.
constexpr Seconds kCoolDownTime{35};
constexpr uint64_t kSeed = 20261204;
constexpr double kGoodputTarget = 0.95;

struct ClassLoad {
  CallClass call_class;
  /// Fraction of all calls.
  double share;
  Millis deadline;
};

constexpr std::array<ClassLoad, kCallClassCount> kClassMix = {{
    {CallClass::kPremium, 0.05, Millis(5'000)},
    {CallClass::kStatus, 0.10, Millis(2'000)},
    {CallClass::kInteractive, 0.45, Millis(3'000)},
    {CallClass::kManuscript, 0.10, Millis(15'000)},
    {CallClass::kBatch, 0.30, Millis(30'000)},
}};

struct Arrival {
  Duration at{0};
  size_t class_index = 0;
  Millis service{0};
};

/// Calls that arrive during the measurement, and those of them answered in time, by class.
struct CallCounts {
  std::array<uint64_t, kCallClassCount> calls{};
  std::array<uint64_t, kCallClassCount> in_time{};
  uint64_t violations = 0;

  double Goodput() const {
    uint64_t sum = 0;
    for (const uint64_t each : in_time) sum += each;
    return static_cast<double>(sum) / static_cast<double>(kMeasuredTime.count());
  }
  double InTimeShare(CallClass call_class) const {
    const auto i = static_cast<size_t>(call_class);
    return calls[i] == 0 ? 1 : static_cast<double>(in_time[i]) / static_cast<double>(calls[i]);
  }
};

/// Poisson arrivals at `share` of the capacity; service times are exponential.
std::vector<Arrival> MakeArrivals(double share) {
  Random random(kSeed);
  std::vector<Arrival> arrivals;
  const Duration end = kWarmUpTime + kMeasuredTime;
  double seconds = 0;
  while (true) {
    seconds += random.Exponential(1 / (share * kCapacityPerSecond));
    Arrival arrival;
    arrival.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (arrival.at >= end) return arrivals;
    double remaining = random.Unit();
    while (arrival.class_index + 1 < kClassMix.size() &&
           remaining >= kClassMix[arrival.class_index].share) {
      remaining -= kClassMix[arrival.class_index++].share;
    }
    arrival.service = Millis(1 + static_cast<int64_t>(random.Exponential(kMeanServiceMs)));
    arrivals.push_back(arrival);
  }
}

void CountCall(const Arrival& arrival, bool in_time, CallCounts* counts) {
  if (arrival.at < kWarmUpTime) return;
  ++counts->calls[arrival.class_index];
  if (in_time) ++counts->in_time[arrival.class_index];
}

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

/// Control plane that does nothing, because the placement never changes.
class NullControlPlane final : public ControlPlane {
 public:
  void SetListener(ControlListener* /*listener*/) override {}
  void OnTick() override {}
  void OnDemand(const EntryId& /*entry*/, bool /*cold*/) override {}
  void OnRunnerUp(const RunnerId& /*runner*/, Incarnation /*incarnation*/) override {}
  void OnRunnerDown(const RunnerId& /*runner*/) override {}
  void OnRunnerReport(const RunnerId& /*runner*/, const Heartbeat& /*heartbeat*/) override {}
  void OnRunnerMessage(const RunnerId& /*runner*/, const Message& /*message*/) override {}
  void OnRouterHeartbeat(const InstanceId& /*router*/, const Heartbeat& /*beat*/) override {}
  void OnRouterMessage(const InstanceId& /*router*/, const Message& /*message*/) override {}
  ConfigRevision config_revision() const override { return ConfigRevision(1); }
  void BeginDrain() override {}
  std::string StatusJson() const override { return "{}"; }
};

/// Delivers messages between routers and agents after a fixed delay and grants every load permit.
class Network {
 public:
  explicit Network(EventQueue* events) : events_(events) {}

  class RouterLink final : public PeerLink {
   public:
    RouterLink(Network* network, size_t router) : network_(network), router_(router) {}
    ConnectionId Connect(const std::string& address) override {
      const ConnectionId id(++network_->last_connection_);
      const size_t colon = address.find(':');
      network_->connections_[id] = {router_, std::stoul(address.substr(colon + 1))};
      return id;
    }
    void Close(ConnectionId connection) override { network_->connections_.erase(connection); }
    Status Send(ConnectionId connection, const Message& message) override {
      network_->SendToAgent(connection, message);
      return OkStatus();
    }

   private:
    Network* network_;
    size_t router_;
  };

  class AgentLink final : public PeerLink {
   public:
    explicit AgentLink(Network* network) : network_(network) {}
    ConnectionId Connect(const std::string& /*address*/) override { return {}; }
    void Close(ConnectionId /*connection*/) override {}
    Status Send(ConnectionId connection, const Message& message) override {
      network_->SendToRouter(connection, message);
      return OkStatus();
    }

   private:
    Network* network_;
  };

  void SendToAgent(ConnectionId connection, const Message& message) {
    events_->ScheduleAfter(kMessageDelay, [this, connection, message] {
      const auto found = connections_.find(connection);
      if (found != connections_.end()) agents[found->second.second]->OnMessage(connection, message);
    });
  }
  void SendToRouter(ConnectionId connection, const Message& message) {
    if (const auto* request = std::get_if<LoadPermitRequest>(&message)) {
      SendToAgent(connection, LoadPermit{request->permit_id, request->runner, Millis(60'000)});
      return;
    }
    events_->ScheduleAfter(kMessageDelay, [this, connection, message] {
      const auto found = connections_.find(connection);
      if (found != connections_.end()) routers[found->second.first]->OnMessage(connection, message);
    });
  }

  std::vector<std::unique_ptr<AgentCore>> agents;
  std::vector<std::unique_ptr<RouterCore>> routers;

 private:
  EventQueue* events_;
  uint64_t last_connection_ = 0;
  /// Router and agent of each connection.
  std::map<ConnectionId, std::pair<size_t, size_t>> connections_;
};

/// Counts the call when it ends. The router core ends every call by its deadline.
class CountingSink final : public CallerSink {
 public:
  CountingSink(Arrival arrival, CallCounts* counts) : arrival_(arrival), counts_(counts) {}
  void OnBegin(int /*http_status*/, const std::string& /*content_type*/) override {}
  void OnData(const std::string& /*payload*/) override {}
  void OnEnd(const Outcome& outcome) override {
    CountCall(arrival_, outcome.kind == OutcomeKind::kCompleted, counts_);
  }

 private:
  Arrival arrival_;
  CallCounts* counts_;
};

/// Router and agent cores in front of simulated engines that all serve one model.
class Fleet {
 public:
  Fleet() : events_(&clock_), network_(&events_), agent_link_(&network_) {
    const std::string text =
        "[fleet]\nname = bench\nshards = 1\n[defaults]\nmax_replicas = 4\n"
        "[models gpu]\nm = 1 1000 100\n";
    ConfigHead head;
    head.revision = head.snapshot = ConfigRevision(1);
    push_ = {ConfigRevision(1), FormatConfigHead(head), text};
    placement_.version = StoreVersion(1);
    for (size_t i = 0; i < kRunners; ++i) AddAgent(i);
    for (size_t i = 0; i < kRouters; ++i) AddRouter(i, text);
  }

  CallCounts Run(const std::vector<Arrival>& arrivals) {
    Random random(kSeed + 1);
    for (const Arrival& arrival : arrivals) {
      const uint64_t router = random.Below(kRouters);
      events_.ScheduleAfter(arrival.at, [this, arrival, router] { Submit(router, arrival); });
    }
    const SteadyTime end = events_.Now() + kWarmUpTime + kMeasuredTime + kCoolDownTime;
    SteadyTime next_tick = events_.Now();
    while (events_.Now() < end) {
      const bool event_first = !events_.Empty() && events_.NextTime() < next_tick;
      events_.AdvanceTo(event_first ? events_.NextTime() : next_tick);
      events_.RunDue();
      if (event_first) continue;
      for (const auto& router : network_.routers) router->OnTick();
      for (const auto& agent : network_.agents) agent->OnTick();
      next_tick += kTickInterval;
    }
    counts_.violations = invariants_.TotalViolations();
    return counts_;
  }

 private:
  void AddAgent(size_t index) {
    const std::string suffix = std::to_string(index);
    engines_.push_back(
        std::make_unique<SimulatedEngine>(&events_, &weights_, 10'000, 10'000, 10'000));
    engines_.back()->SetConcurrency(kConcurrency);
    AgentOptions options;
    options.id = InstanceId("agent-" + suffix);
    options.incarnation = Incarnation(1);
    options.runner = RunnerId("runner-" + suffix);
    options.backend = BackendName("gpu");
    AgentEnvironment environment;
    environment.clock = &clock_;
    environment.link = &agent_link_;
    environment.backend = environment.engine = engines_.back().get();
    environment.claims = &claims_;
    environment.metrics = &metrics_;
    environment.invariants = &invariants_;
    network_.agents.push_back(std::make_unique<AgentCore>(options, environment));
    const Slot slot{EntryId("m"), options.runner, Generation(index + 1), SlotState::kActive};
    placement_.slots.push_back(slot);
    AgentCore& agent = *network_.agents.back();
    const ConnectionId setup_connection(0);
    agent.Start();
    agent.OnMessage(setup_connection, Hello{});
    agent.OnMessage(setup_connection, push_);
    agent.OnMessage(setup_connection,
                    SlotGrant{ShardId(0), StoreVersion(1), Incarnation(1), {slot}});
    InstanceRecord record;
    record.id = options.id;
    record.role = PeerRole::kAgent;
    record.address = "agent:" + suffix;
    record.failure_domain = FailureDomain("d1");
    record.region = Region("r1");
    record.runner = options.runner;
    record.backend = options.backend;
    instances_.push_back(record);
  }

  void AddRouter(size_t index, const std::string& text) {
    router_links_.push_back(std::make_unique<Network::RouterLink>(&network_, index));
    RouterOptions options;
    options.id = InstanceId("router-" + std::to_string(index));
    options.incarnation = Incarnation(index + 1);
    options.failure_domain = FailureDomain("d1");
    options.region = Region("r1");
    options.seed = kSeed + index;
    network_.routers.push_back(
        std::make_unique<RouterCore>(options, RouterEnvironment{.clock = &clock_,
                                                                .link = router_links_.back().get(),
                                                                .control = &control_,
                                                                .metrics = &metrics_,
                                                                .invariants = &invariants_}));
    RouterCore& router = *network_.routers.back();
    router.OnConfig(std::make_shared<const FleetConfig>(
        ValueOf(ParseFleetConfig(text, "bench", ConfigRevision(1)))));
    router.OnPlacement(placement_);
    router.OnInstances(instances_);
  }

  void Submit(size_t router, const Arrival& arrival) {
    const ClassLoad& load = kClassMix[arrival.class_index];
    CallerRequest request;
    request.entry = EntryId("m");
    request.call_class = CallClassName(load.call_class);
    request.deadline = load.deadline;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = SimulatedEngine::MakeBody(arrival.service);
    network_.routers[router]->Submit(request, std::make_shared<CountingSink>(arrival, &counts_));
  }

  ManualClock clock_;
  EventQueue events_;
  SimulatedWeightStore weights_;
  UnavailableClaims claims_;
  NullControlPlane control_;
  MetricsRegistry metrics_;
  InvariantMonitor invariants_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  Network network_;
  Network::AgentLink agent_link_;
  std::vector<std::unique_ptr<Network::RouterLink>> router_links_;
  ConfigPush push_;
  ShardPlacement placement_;
  std::vector<InstanceRecord> instances_;
  CallCounts counts_;
};

/// The baseline: a FIFO queue per runner, least-connections balancing, no admission control. Every
/// call runs, even after its deadline.
class BaselineFleet {
 public:
  BaselineFleet() : events_(&clock_) {}

  CallCounts Run(const std::vector<Arrival>& arrivals) {
    for (const Arrival& arrival : arrivals) {
      events_.ScheduleAfter(arrival.at, [this, arrival] { Submit(arrival); });
    }
    while (!events_.Empty()) {
      events_.AdvanceTo(events_.NextTime());
      events_.RunDue();
    }
    return counts_;
  }

 private:
  struct Runner {
    size_t running = 0;
    std::deque<Arrival> queue;
    size_t Connections() const { return running + queue.size(); }
  };

  void Submit(const Arrival& arrival) {
    const auto least_loaded = std::min_element(
        runners_.begin(), runners_.end(),
        [](const Runner& a, const Runner& b) { return a.Connections() < b.Connections(); });
    least_loaded->queue.push_back(arrival);
    StartNext(&*least_loaded);
  }
  void StartNext(Runner* runner) {
    if (runner->running >= kConcurrency || runner->queue.empty()) return;
    const Arrival arrival = runner->queue.front();
    runner->queue.pop_front();
    ++runner->running;
    events_.ScheduleAfter(arrival.service, [this, runner, arrival] {
      --runner->running;
      const Duration latency = events_.Now() - start_ - arrival.at;
      CountCall(arrival, latency <= kClassMix[arrival.class_index].deadline, &counts_);
      StartNext(runner);
    });
  }

  ManualClock clock_;
  EventQueue events_;
  SteadyTime start_ = clock_.SteadyNow();
  std::array<Runner, kRunners> runners_;
  CallCounts counts_;
};

int Measure() {
  double peak = 0;
  double baseline_peak = 0;
  double goodput = 0;
  double baseline_goodput = 0;
  uint64_t violations = 0;
  for (const auto& [label, share] : std::vector<std::pair<std::string, double>>{
           {"0.5x", 0.5}, {"1x", 1.0}, {"1.5x", 1.5}, {"2x", 2.0}}) {
    const std::vector<Arrival> arrivals = MakeArrivals(share);
    const CallCounts managed = Fleet().Run(arrivals);
    const CallCounts baseline = BaselineFleet().Run(arrivals);
    goodput = managed.Goodput();
    baseline_goodput = baseline.Goodput();
    peak = std::max(peak, goodput);
    baseline_peak = std::max(baseline_peak, baseline_goodput);
    violations += managed.violations;
    Print({"admission_goodput_" + label, goodput, "calls/s", baseline_goodput});
    for (const ClassLoad& load : kClassMix) {
      const std::string name = CallClassName(load.call_class);
      Print({"admission_in_time_" + name + "_" + label, managed.InTimeShare(load.call_class),
             "share", baseline.InTimeShare(load.call_class)});
    }
  }
  Print({"admission_goodput_2x_of_peak", goodput / peak, "share", kGoodputTarget});
  Print({"admission_goodput_2x_of_peak_plain", baseline_goodput / baseline_peak, "share",
         kGoodputTarget});
  Print({"admission_invariant_violations", static_cast<double>(violations), "count", 0});
  return violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace shallot::bench

int main() { return shallot::bench::Measure(); }
