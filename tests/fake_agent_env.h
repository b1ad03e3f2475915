#ifndef TESTS_FAKE_AGENT_ENV_H_
#define TESTS_FAKE_AGENT_ENV_H_

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/agent_core.h"
#include "servers/config_head.h"

/// Fakes of the interfaces of the agent, and a fixture that connects them to one AgentCore.
namespace shallot::agent_test {

/// Records the messages sent on each connection.
class FakeLink final : public PeerLink {
 public:
  ConnectionId Connect(const std::string&) override { return ConnectionId(++last_); }
  void Close(ConnectionId connection) override { closed.insert(connection); }
  Status Send(ConnectionId connection, const Message& message) override {
    if (full.contains(connection)) return Error{ErrorKind::kResourceExhausted, "queue full", ""};
    sent[connection].push_back(message);
    return OkStatus();
  }

  /// Messages of one kind that were sent on a connection, in order.
  template <class T>
  std::vector<T> Sent(ConnectionId connection) const {
    std::vector<T> result;
    const auto found = sent.find(connection);
    if (found == sent.end()) return result;
    for (const Message& message : found->second) {
      if (const T* match = std::get_if<T>(&message)) result.push_back(*match);
    }
    return result;
  }

  std::map<ConnectionId, std::vector<Message>> sent;
  std::set<ConnectionId> closed;
  /// Connections whose transport queue is full.
  std::set<ConnectionId> full;

 private:
  uint64_t last_ = 1000;
};

/// Calls of a fake backend server; the test ends them.
class FakeCalls {
 public:
  struct Running {
    Call call;
    AnswerSink* sink = nullptr;
  };

  void Start(const Call& call, AnswerSink* sink) {
    ++starts[call.id];
    running[call.id] = {call, sink};
    order.push_back(call.id);
  }
  void Cancel(const CallId& id, const BackendServer::CancelCallback& done) {
    cancelled.push_back(id);
    if (!running.contains(id)) return done(CancelResult::kNotFound);
    done(CancelResult::kStopped);
    if (cancel_ends) End(id, ExecutionEnd::kFailed);
  }
  void Data(const CallId& id, const std::string& payload) { running.at(id).sink->OnData(payload); }
  void End(const CallId& id, ExecutionEnd end) {
    AnswerSink* sink = running.at(id).sink;
    running.erase(id);
    sink->OnEnd(end, "");
  }
  /// Answers a call with status 200 and `body`.
  void Complete(const CallId& id, const std::string& body = "answer") {
    running.at(id).sink->OnBegin(200, "text/plain");
    Data(id, body);
    End(id, ExecutionEnd::kCompleted);
  }
  void EndAll() {
    while (!running.empty()) End(running.begin()->first, ExecutionEnd::kUnknown);
  }

  std::map<CallId, int> starts;
  std::map<CallId, Running> running;
  std::vector<CallId> order;
  std::vector<CallId> cancelled;
  bool cancel_ends = true;
};

/// A fake engine whose orders stay pending until the test calls CompleteOrder(). With `automatic`,
/// they succeed at once.
class FakeEngine final : public ModelEngine {
 public:
  struct Order {
    EngineOrder order;
    bool load = true;
    DoneCallback done;
  };

  ~FakeEngine() override { calls.EndAll(); }
  void StartCall(const Call& call, AnswerSink* sink) override { calls.Start(call, sink); }
  void CancelCall(const CallId& call, CancelCallback done) override { calls.Cancel(call, done); }
  void Load(const EngineOrder& order, DoneCallback done) override {
    ++loads[order.entry];
    Place(order, true, std::move(done));
  }
  void Unload(const EngineOrder& order, DoneCallback done) override {
    ++unloads[order.entry];
    Place(order, false, std::move(done));
  }
  void FetchInventory(InventoryCallback done) override {
    ++inventories;
    if (hold_inventory) {
      held_inventories.push_back(std::move(done));
    } else {
      done(Inventory());
    }
  }
  void FetchLoadReport(LoadReportCallback done) override { done(EngineLoadReport{}); }
  void FetchCacheEvents(uint64_t, CacheEventsCallback done) override {
    done(std::vector<CacheEvent>{});
  }
  void SetRole(EngineRole, FencingNumber, DoneCallback done) override { done(OkStatus()); }
  void ExportKvCache(const CallId&, KvCallback done) override { done(std::string()); }
  void ImportKvCache(const CallId&, const std::string&, DoneCallback done) override {
    done(OkStatus());
  }

  Result<EngineInventory> Inventory() const {
    if (down) return Error{ErrorKind::kUnavailable, "engine is down", ""};
    EngineInventory inventory;
    inventory.memory_capacity = capacity;
    inventory.concurrency = concurrency;
    for (const auto& [entry, item] : held) inventory.items.push_back(item);
    return inventory;
  }
  /// Completes the oldest order with `status`; it changes the held entries only with `effect`.
  void CompleteOrder(const Status& status = OkStatus(), bool effect = true) {
    Order order = std::move(orders.front());
    orders.pop_front();
    if (effect) Apply(order);
    order.done(status);
  }
  void AddHeld(const std::string& entry, uint64_t size,
               EntryPresence presence = EntryPresence::kLoaded, const std::string& version = "1") {
    held[EntryId(entry)] = {EntryId(entry), LoadKind::kModel, version, Bytes(size), presence};
  }
  uint64_t HeldBytes() const {
    uint64_t bytes = 0;
    for (const auto& [entry, item] : held) bytes += item.size.value();
    return bytes;
  }

  FakeCalls calls;
  Bytes capacity{100U << 20U};
  uint64_t concurrency = 4;
  bool automatic = true;
  bool down = false;
  bool hold_inventory = false;
  uint64_t inventories = 0;
  std::vector<InventoryCallback> held_inventories;
  std::deque<Order> orders;
  std::map<EntryId, InventoryItem> held;
  std::map<EntryId, int> loads;
  std::map<EntryId, int> unloads;

 private:
  void Place(const EngineOrder& order, bool load, DoneCallback done) {
    orders.push_back({order, load, std::move(done)});
    if (automatic) CompleteOrder();
  }
  void Apply(const Order& order) {
    if (!order.load) {
      held.erase(order.order.entry);
      return;
    }
    held[order.order.entry] = {order.order.entry, order.order.kind, order.order.version,
                               order.order.size, EntryPresence::kLoaded};
  }
};

/// A fake plain service; the test ends its calls.
class FakeService final : public PlainService {
 public:
  ~FakeService() override { calls.EndAll(); }
  void StartCall(const Call& call, AnswerSink* sink) override { calls.Start(call, sink); }
  void CancelCall(const CallId& call, CancelCallback done) override { calls.Cancel(call, done); }

  FakeCalls calls;
};

/// Fake claims with replies set by the test; by default each claim is granted at once.
class FakeClaims final : public OrderClaims {
 public:
  void Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
             const RunnerId&, ClaimCallback done) override {
    claims.push_back(claim);
    hashes[key].push_back(request_hash);
    if (hold) {
      held.push_back(std::move(done));
    } else {
      done(reply);
    }
  }
  void RecordAnswer(const IdempotencyKey& key, const ClaimId&, const OrderAnswer& answer,
                    DoneCallback done) override {
    answers[key] = answer;
    Settle(std::move(done));
  }
  void RecordNotRun(const IdempotencyKey& key, const ClaimId&, DoneCallback done) override {
    ++not_run[key];
    Settle(std::move(done));
  }

  ClaimReply reply{ClaimState::kGranted, {}, {}, {}, ""};
  bool hold = false;
  bool hold_records = false;
  std::vector<ClaimCallback> held;
  std::vector<DoneCallback> held_records;
  std::vector<ClaimId> claims;
  std::map<IdempotencyKey, std::vector<uint64_t>> hashes;
  std::map<IdempotencyKey, OrderAnswer> answers;
  std::map<IdempotencyKey, int> not_run;

 private:
  void Settle(DoneCallback done) {
    if (hold_records) {
      held_records.push_back(std::move(done));
    } else {
      done(OkStatus());
    }
  }
};

/// A configuration with three models of 30 MB and 10 MB of KV cache, a model that does not fit the
/// fake engine, and two adapters on m1.
inline std::string ConfigText(const std::string& extra = "") {
  return "[fleet]\nname = test\nshards = 1\n"
         "[models gpu]\nm1 = 1 30 10\nm2 = 1 30 10\nm3 = 1 30 10\nhuge = 1 300 10\n"
         "[adapters m1]\na1 = 1 2\na2 = 1 2\n"
         "[service desk]\n" +
         extra;
}

inline ConfigPush MakeConfigPush(const std::string& text, uint64_t revision = 1) {
  ConfigHead head;
  head.revision = ConfigRevision(revision);
  head.snapshot = ConfigRevision(revision);
  return {ConfigRevision(revision), FormatConfigHead(head), text};
}

inline const ConnectionId kRouter(1);
inline const ConnectionId kOtherRouter(2);

/// One agent with a fake engine or a fake plain service.
class AgentFixture {
 public:
  explicit AgentFixture(bool with_engine = true) {
    AgentOptions options;
    options.id = InstanceId("agent-1");
    options.incarnation = Incarnation(7);
    options.runner = RunnerId("runner-1");
    options.backend = BackendName(with_engine ? "gpu" : "desk");
    options.fencing = FencingNumber(99);
    options.service_concurrency = 1;
    AgentEnvironment environment;
    environment.clock = &clock;
    environment.link = &link;
    environment.backend = &service;
    if (with_engine) environment.backend = environment.engine = &engine;
    environment.claims = &claims;
    environment.metrics = &metrics;
    environment.invariants = &invariants;
    agent = std::make_unique<AgentCore>(options, environment);
  }

  /// Starts the agent with a router connected and the configuration applied.
  void Begin(const std::string& extra_config = "") {
    agent->Start();
    ConnectRouter(kRouter);
    agent->OnMessage(kRouter, MakeConfigPush(ConfigText(extra_config)));
  }
  void ConnectRouter(ConnectionId connection) {
    Hello hello;
    hello.sender = InstanceId("router-" + std::to_string(connection.value()));
    agent->OnMessage(connection, hello);
  }
  SlotGrant GrantOf(const std::vector<std::string>& entries, uint64_t version = 1,
                    uint64_t generation = 1) const {
    SlotGrant grant;
    grant.version = StoreVersion(version);
    grant.incarnation = Incarnation(7);
    for (const std::string& entry : entries) {
      grant.slots.push_back(
          {EntryId(entry), RunnerId("runner-1"), Generation(generation), SlotState::kActive});
    }
    return grant;
  }
  void Grant(const std::vector<std::string>& entries, uint64_t version = 1,
             uint64_t generation = 1) {
    agent->OnMessage(kRouter, GrantOf(entries, version, generation));
  }
  Call MakeCall(const std::string& id, const std::string& entry, Millis remaining = Millis(30'000),
                CallClass call_class = CallClass::kInteractive) const {
    Call call;
    call.id = CallId(id);
    call.entry = EntryId(entry);
    call.remaining = remaining;
    call.call_class = call_class;
    call.method = "POST";
    call.path = "/v1/completions";
    return call;
  }
  Call MakeOrder(const std::string& id, const std::string& key) const {
    Call call = MakeCall(id, "");
    call.service = BackendName("desk");
    call.repeatable = false;
    call.idempotency_key = IdempotencyKey(key);
    return call;
  }
  void Start(const Call& call, ConnectionId connection = kRouter) {
    agent->OnMessage(connection, CallStart{call});
  }
  /// Advances the time in ticks of 20 ms; the routers in `alive` send heartbeats.
  void Run(Millis time, const std::vector<ConnectionId>& alive = {kRouter}) {
    for (Millis passed(0); passed < time; passed += Millis(20)) {
      clock.Advance(Millis(20));
      for (const ConnectionId connection : alive) agent->OnMessage(connection, Heartbeat{});
      agent->OnTick();
    }
  }
  /// Grants the newest permit request.
  void GivePermit() {
    const auto requests = link.Sent<LoadPermitRequest>(kRouter);
    if (requests.empty()) return;
    agent->OnMessage(kRouter,
                     LoadPermit{requests.back().permit_id, RunnerId("runner-1"), Millis(5000)});
  }
  /// Outcomes sent for one call on a connection.
  std::vector<Outcome> Outcomes(const std::string& id, ConnectionId connection = kRouter) const {
    std::vector<Outcome> result;
    for (const CallOutcome& message : link.Sent<CallOutcome>(connection)) {
      if (message.call == CallId(id)) result.push_back(message.outcome);
    }
    return result;
  }
  /// "outcome/reason" of the last outcome of a call; "none" when there is none.
  std::string LastOutcome(const std::string& id, ConnectionId connection = kRouter) const {
    const std::vector<Outcome> outcomes = Outcomes(id, connection);
    if (outcomes.empty()) return "none";
    return std::string(OutcomeKindName(outcomes.back().kind)) + "/" +
           ReasonName(outcomes.back().reason);
  }

  ManualClock clock;
  FakeLink link;
  FakeEngine engine;
  FakeService service;
  FakeClaims claims;
  MetricsRegistry metrics;
  InvariantMonitor invariants;
  std::unique_ptr<AgentCore> agent;
};

}  // namespace shallot::agent_test

#endif  // TESTS_FAKE_AGENT_ENV_H_
