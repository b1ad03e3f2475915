#ifndef TESTS_ROUTER_FIXTURE_H_
#define TESTS_ROUTER_FIXTURE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/router_core.h"

namespace shallot {
inline namespace router_test {

/// Records the messages that the core sends and their connections.
class FakeLink final : public PeerLink {
 public:
  struct Sent {
    ConnectionId connection;
    Message message;
  };

  ConnectionId Connect(const std::string& address) override {
    const ConnectionId id(++last_);
    addresses_[id] = address;
    open_.insert(id);
    return id;
  }
  void Close(ConnectionId connection) override { open_.erase(connection); }
  Status Send(ConnectionId connection, const Message& message) override {
    if (full_) return Error{ErrorKind::kResourceExhausted, "queue is full", "retry later"};
    sent_.push_back({connection, message});
    return OkStatus();
  }

  void SetFull(bool full) { full_ = full; }
  bool IsOpen(ConnectionId connection) const { return open_.contains(connection); }
  const std::string& AddressOf(ConnectionId connection) { return addresses_[connection]; }
  /// Newest open connection to an address; 0 when there is none.
  ConnectionId OpenTo(const std::string& address) const {
    ConnectionId found;
    for (const auto& [id, to] : addresses_) {
      if (to == address && open_.contains(id)) found = id;
    }
    return found;
  }
  /// Number of connections ever opened to an address.
  size_t ConnectCountTo(const std::string& address) const {
    size_t dials = 0;
    for (const auto& [id, to] : addresses_) dials += to == address ? 1 : 0;
    return dials;
  }
  /// All messages of one kind sent so far, oldest first.
  template <class T>
  std::vector<std::pair<ConnectionId, T>> All() const {
    std::vector<std::pair<ConnectionId, T>> found;
    for (const Sent& sent : sent_) {
      if (const T* message = std::get_if<T>(&sent.message)) {
        found.emplace_back(sent.connection, *message);
      }
    }
    return found;
  }
  template <class T>
  size_t Count() const {
    return All<T>().size();
  }
  std::vector<Sent> Take() { return std::exchange(sent_, {}); }

 private:
  uint64_t last_ = 0;
  bool full_ = false;
  std::map<ConnectionId, std::string> addresses_;
  std::set<ConnectionId> open_;
  std::vector<Sent> sent_;
};

/// Records the events that the core reports to the control plane.
class FakeControl final : public ControlPlane {
 public:
  void SetListener(ControlListener* listener) override { listener_ = listener; }
  void OnTick() override {}
  void OnDemand(const EntryId& entry, bool cold) override { demand.emplace_back(entry, cold); }
  void OnRunnerUp(const RunnerId& runner, Incarnation incarnation) override {
    up.emplace_back(runner, incarnation);
  }
  void OnRunnerDown(const RunnerId& runner) override { down.push_back(runner); }
  void OnRunnerReport(const RunnerId& runner, const Heartbeat&) override {
    reports.push_back(runner);
  }
  void OnRunnerMessage(const RunnerId& runner, const Message&) override {
    runner_messages.push_back(runner);
  }
  void OnRouterHeartbeat(const InstanceId& router, const Heartbeat&) override {
    router_heartbeats.push_back(router);
  }
  void OnRouterMessage(const InstanceId& router, const Message&) override {
    router_messages.push_back(router);
  }
  ConfigRevision config_revision() const override { return ConfigRevision(7); }
  void BeginDrain() override { draining = true; }
  std::string StatusJson() const override { return "{\"leases\":0}"; }

  std::vector<std::pair<EntryId, bool>> demand;
  std::vector<std::pair<RunnerId, Incarnation>> up;
  std::vector<RunnerId> down;
  std::vector<RunnerId> reports;
  std::vector<RunnerId> runner_messages;
  std::vector<InstanceId> router_heartbeats;
  std::vector<InstanceId> router_messages;
  bool draining = false;

 private:
  ControlListener* listener_ = nullptr;
};

/// Records the answer of one call.
class FakeSink final : public CallerSink {
 public:
  void OnBegin(int http_status, const std::string& content_type) override {
    ++begins;
    status = http_status;
    type = content_type;
  }
  void OnData(const std::string& payload) override { data += payload; }
  void OnEnd(const Outcome& outcome) override {
    ++ends;
    end = outcome;
  }

  int begins = 0;
  int ends = 0;
  int status = 0;
  std::string type;
  std::string data;
  Outcome end;
};

/// A router core with fakes at its interfaces. Runner N has the id "rN" and the address
/// "127.0.0.1:N"; the model "m" has active slots on all runners of the list.
class RouterFixture {
 public:
  explicit RouterFixture(int runners = 2, uint64_t max_calls = 2048,
                         const std::string& id = "router-a")
      : core({.id = InstanceId(id),
              .incarnation = Incarnation(5),
              .failure_domain = FailureDomain("d1"),
              .region = Region("reg"),
              .max_calls = max_calls,
              .seed = 3},
             {.clock = &clock,
              .link = &link,
              .control = &control,
              .metrics = &metrics,
              .invariants = &invariants}) {
    load.concurrency = 8;
    load.loaded = {EntryId("m")};
    auto fleet = std::make_shared<FleetConfig>();
    fleet->revision = ConfigRevision(7);
    CatalogEntry entry;
    entry.id = entry.base = EntryId("m");
    fleet->entries[entry.id] = entry;
    fleet->services = {BackendName("desk")};
    fleet->routes.push_back({BackendName("desk"), "POST", "/orders", false, CallClass::kPremium});
    fleet->routes.push_back({BackendName("desk"), "GET", "/", true, CallClass::kStatus});
    core.OnConfig(fleet);
    ShardPlacement placement;
    placement.version = StoreVersion(1);
    for (int i = 0; i < runners; ++i) {
      instances.push_back(Agent(i));
      placement.slots.push_back(
          {EntryId("m"), Runner(i), Generation(static_cast<uint64_t>(i) + 1), SlotState::kActive});
    }
    core.OnPlacement(placement);
  }

  static RunnerId Runner(int n) { return RunnerId("r" + std::to_string(n)); }
  static std::string Address(int n) { return "127.0.0.1:" + std::to_string(n); }
  static InstanceRecord Agent(int n) {
    InstanceRecord record;
    record.id = InstanceId("agent-" + std::to_string(n));
    record.role = PeerRole::kAgent;
    record.address = Address(n);
    record.failure_domain = FailureDomain("d1");
    record.region = Region("reg");
    record.runner = Runner(n);
    record.backend = BackendName("desk");
    return record;
  }
  static InstanceRecord Router(const std::string& id, const std::string& domain) {
    InstanceRecord record;
    record.id = InstanceId(id);
    record.role = PeerRole::kRouter;
    record.address = id + ":1";
    record.failure_domain = FailureDomain(domain);
    record.region = Region("reg");
    return record;
  }

  /// Advances time in ticks of 20 ms; agents in `heartbeating` send heartbeats every 500 ms.
  void Run(Millis time) {
    for (Millis done{0}; done < time; done += Millis(20)) {
      clock.Advance(Millis(20));
      core.OnTick();
      if ((ticks_++ % 25) != 0) continue;
      for (const int n : heartbeating) SendHeartbeat(n);
    }
  }
  void List() { core.OnInstances(instances); }
  ConnectionId ConnectionTo(int n) const { return link.OpenTo(Address(n)); }
  void SendHello(int n, uint64_t incarnation = 1, bool draining = false) {
    Hello hello;
    hello.sender = Agent(n).id;
    hello.incarnation = Incarnation(incarnation);
    hello.role = PeerRole::kAgent;
    hello.runner = Runner(n);
    hello.draining = draining;
    core.OnMessage(ConnectionTo(n), hello);
  }
  void SendHeartbeat(int n, bool draining = false) {
    Heartbeat heartbeat;
    heartbeat.draining = draining;
    heartbeat.load = load;
    core.OnMessage(ConnectionTo(n), heartbeat);
  }
  /// Lists all instances and connects all agents; each then sends heartbeats.
  void Start() {
    List();
    Run(Millis(40));
    for (size_t i = 0; i < instances.size(); ++i) {
      if (instances[i].role != PeerRole::kAgent) continue;
      SendHello(static_cast<int>(i));
      SendHeartbeat(static_cast<int>(i));
      heartbeating.insert(static_cast<int>(i));
    }
  }
  static CallerRequest ModelRequest(bool stream = false, Millis deadline = Millis(10'000)) {
    CallerRequest request;
    request.entry = EntryId("m");
    request.stream = stream;
    request.deadline = deadline;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = "{\"prompt\":\"hello\"}";
    return request;
  }
  static CallerRequest OrderRequest(const std::string& key, Millis deadline = Millis(10'000)) {
    CallerRequest request;
    request.service = BackendName("desk");
    request.deadline = deadline;
    request.method = "POST";
    request.path = "/orders";
    request.idempotency_key = IdempotencyKey(key);
    return request;
  }
  std::shared_ptr<FakeSink> Submit(const CallerRequest& request) {
    auto sink = std::make_shared<FakeSink>();
    last_call = core.Submit(request, sink);
    return sink;
  }
  /// The newest CallStart and its connection.
  std::pair<ConnectionId, Call> LastStart() const {
    const auto starts = link.All<CallStart>();
    if (starts.empty()) return {};
    return {starts.back().first, starts.back().second.call};
  }
  void Frame(const std::pair<ConnectionId, Call>& to, uint64_t offset, const std::string& data) {
    core.OnMessage(to.first, CallFrame{to.second.id, to.second.attempt, offset, data});
  }
  void Answer(const std::pair<ConnectionId, Call>& to, OutcomeKind kind,
              Reason reason = Reason::kNone, uint64_t total = 0) {
    Outcome outcome;
    outcome.kind = kind;
    outcome.reason = reason;
    outcome.http_status = kind == OutcomeKind::kCompleted ? 200 : 0;
    outcome.content_type = "application/json";
    outcome.total_length = total;
    core.OnMessage(to.first, CallOutcome{to.second.id, to.second.attempt, outcome});
  }

  ManualClock clock;
  FakeLink link;
  FakeControl control;
  MetricsRegistry metrics;
  InvariantMonitor invariants;
  RouterCore core;
  std::vector<InstanceRecord> instances;
  std::set<int> heartbeating;
  LoadSummary load;
  CallId last_call;

 private:
  uint64_t ticks_ = 0;
};

}  // namespace router_test
}  // namespace shallot

#endif  // TESTS_ROUTER_FIXTURE_H_
