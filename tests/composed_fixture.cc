#include "tests/composed_fixture.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "servers/config_head.h"

namespace shallot::composed {
namespace {

constexpr Millis kCallDeadline{10'000};
/// A drained process is restarted after this time.
constexpr Millis kRestartAfter{1000};
constexpr int kSlowLoadFactor = 10;
constexpr uint64_t kSlowAnswerSteps = 50;

const std::array<std::string, 10> kTargets = {
    "entry m1",     "entry m2",      "entry m3",          "entry a1",         "entry a2",
    "class status", "class premium", "class interactive", "class manuscript", "class batch"};

/// Two of the three models fit on an engine of 100 MB.
const char* const kConfig =
    "[fleet]\nname = test\nshards = 1\n"
    "[models gpu]\nm1 = 1 40 0\nm2 = 1 40 0\nm3 = 1 40 0\n"
    "[adapters m1]\na1 = 1 2\na2 = 1 2\n"
    "[service desk]\n"
    "[route desk print]\nmethod = POST\npath = /orders\nrepeatable = false\nclass = premium\n";

std::string RunnerName(size_t index) {
  return index == ComposedFleet::kService ? "s0" : "g" + std::to_string(index);
}

std::string RouterAddress(size_t index) { return "router" + std::to_string(index) + ":1"; }

}  // namespace

ComposedFleet::ComposedFleet(uint64_t seed) : seed_(seed) {
  store.SetDelayed(true);
  network.on_sent = [this](const std::string& address, const Message& message) {
    RecordSent(address, message);
  };
  for (size_t i = 0; i < kRunners; ++i) AddRunner(i);
  for (size_t i = 0; i < kRouters; ++i) AddRouter(i);
  ListRecords();
  Configure();
  for (size_t i = 0; i < kRunners; ++i) StartAgent(i);
  for (size_t i = 0; i < kRouters; ++i) StartRouter(i);
  // By then leases, placement and grants are settled. A fixed time, because a condition would need
  // access to the grants.
  Run(Millis(5000));
}

void ComposedFleet::Configure() {
  ConfigEditor editor(&store, &clock, 1);
  bool done = false;
  editor.ApplyText(kConfig, {OperatorName("kim"), "start", ConfigRevision(0)},
                   [&done](const Result<ConfigRevision>& result) { done = IsOk(result); });
  for (int i = 0; i < 20 && !done; ++i) store.Deliver();
  if (!done) AddViolation("the first configuration was not accepted");
}

void ComposedFleet::AddRouter(size_t index) {
  InstanceRecord& record = routers_[index].record;
  record = router_test::RouterFixture::Router("router" + std::to_string(index),
                                              "d" + std::to_string(index));
  record.address = RouterAddress(index);
}

void ComposedFleet::AddRunner(size_t index) {
  const std::string name = RunnerName(index);
  InstanceRecord& record = agents_[index].record;
  record.id = InstanceId("agent-" + name);
  record.role = PeerRole::kAgent;
  record.address = "agent-" + name + ":1";
  record.failure_domain = FailureDomain("d" + std::to_string(index));
  record.region = Region("reg");
  record.runner = RunnerId(name);
  record.backend = BackendName(index == kService ? "desk" : "gpu");
  backends_.push_back(std::make_unique<Backend>(name, index != kService));
}

void ComposedFleet::ListRecords() {
  current_list.records.clear();
  for (const auto& member : routers_) current_list.records.push_back(member.record);
  for (const auto& member : agents_) {
    if (!unlisted_.contains(member.record.id)) current_list.records.push_back(member.record);
  }
  if (!list_lags_) visible_list.records = current_list.records;
}

void ComposedFleet::SetListLag(bool lagging) {
  list_lags_ = lagging;
  ListRecords();
}

ProcessContext ComposedFleet::Context() { return {&clock, &store, &visible_list, &invariants}; }

void ComposedFleet::StartRouter(size_t index) {
  auto& member = routers_[index];
  if (member.process != nullptr) return;
  RouterOptions options;
  options.id = member.record.id;
  options.incarnation = Incarnation(100 * (index + 1) + ++member.starts);
  options.failure_domain = member.record.failure_domain;
  options.region = member.record.region;
  options.seed = seed_ + index;
  member.revision = ConfigRevision(0);
  member.process =
      std::make_unique<RouterProcess>(options, Context(), network.LinkOf(member.record.address));
  network.Attach(member.record.address, member.process.get());
}

void ComposedFleet::KillRouter(size_t index) {
  auto& member = routers_[index];
  if (member.process == nullptr) return;
  for (const auto& call : calls) {
    if (call->router == index && call->sink->ends == 0) call->disconnected = true;
  }
  network.Detach(member.record.address, true);
  member.process.reset();
}

void ComposedFleet::PauseRouter(size_t index) {
  if (router(index) != nullptr) router(index)->gate.Pause();
}

void ComposedFleet::ResumeRouter(size_t index) {
  if (router(index) == nullptr) return;
  resumed_at_[index] = clock.SteadyNow();
  router(index)->gate.Resume();
}

void ComposedFleet::StartAgent(size_t index) {
  auto& member = agents_[index];
  if (member.process != nullptr || member.reclaimed) return;
  AgentOptions options;
  options.id = member.record.id;
  options.incarnation = Incarnation(100 * (index + 1) + ++member.starts);
  options.runner = member.record.runner;
  options.backend = member.record.backend;
  options.failure_domain = member.record.failure_domain;
  const auto boot =
      std::chrono::duration_cast<std::chrono::microseconds>(clock.BootNow().time_since_epoch());
  options.fencing = FencingNumber(static_cast<uint64_t>(boot.count()));
  member.revision = ConfigRevision(0);
  Backend& server = backend(index);
  member.process =
      std::make_unique<AgentProcess>(options, Context(), network.LinkOf(member.record.address),
                                     server.server(), server.has_engine ? &server.engine : nullptr);
  network.Attach(member.record.address, member.process.get());
}

void ComposedFleet::KillAgent(size_t index, bool late) {
  auto& member = agents_[index];
  if (member.process == nullptr) return;
  network.Detach(member.record.address, true);
  member.process.reset();
  backend(index).OnAgentKilled(clock.SteadyNow(), late);
}

void ComposedFleet::PauseAgent(size_t index) {
  if (agent(index) != nullptr) agent(index)->gate.Pause();
}

void ComposedFleet::ResumeAgent(size_t index) {
  if (agent(index) != nullptr) agent(index)->gate.Resume();
}

void ComposedFleet::ReclaimAgent(size_t index) {
  auto& member = agents_[index];
  network.Detach(member.record.address, false);
  member.process.reset();
  member.reclaimed = true;
  backend(index).OnAgentKilled(clock.SteadyNow(), false);
  backend(index).Clear();
}

void ComposedFleet::ReplaceAgent(size_t index) {
  auto& member = agents_[index];
  if (member.process != nullptr) return;
  const std::string name = RunnerName(index) + "-" + std::to_string(member.starts);
  member.record.id = InstanceId("agent-" + name);
  member.record.address = "agent-" + name + ":1";
  member.record.leaving = false;
  member.reclaimed = false;
  ListRecords();
  StartAgent(index);
}

void ComposedFleet::UnlistReclaimed(size_t index) {
  if (!agents_[index].reclaimed) return;
  unlisted_.insert(agents_[index].record.id);
  ListRecords();
}

void ComposedFleet::SetLeaving(size_t index, bool leaving) {
  agents_[index].record.leaving = leaving;
  ListRecords();
}

void ComposedFleet::DrainAgent(size_t index) {
  if (agent(index) != nullptr) agent(index)->core.BeginDrain("test", Millis(8000));
}

void ComposedFleet::SetSlowLoads(bool slow) {
  for (const auto& server : backends_) server->load_time_factor = slow ? kSlowLoadFactor : 1;
}

template <class T>
void ComposedFleet::Tick(std::vector<Member<T>>* members) {
  for (Member<T>& member : *members) {
    if (member.process != nullptr && !member.process->gate.paused()) member.process->OnTick();
  }
}

void ComposedFleet::Step() {
  clock.Advance(kStep);
  ++steps_;
  Tick(&routers_);
  Tick(&agents_);
  network.Deliver();
  if (!store_slow_ || steps_ % kSlowAnswerSteps == 0) store.Deliver();
  StepBackends();
  network.Deliver();
  ReplaceDrained();
  CheckMemory();
  CheckReplicas();
  CheckDeadlines();
}

void ComposedFleet::Run(Millis time) {
  for (Millis done{0}; done < time; done += kStep) Step();
}

bool ComposedFleet::RunUntil(const std::function<bool()>& condition, Millis limit) {
  for (Millis done{0}; done < limit && !condition(); done += kStep) Step();
  return condition();
}

void ComposedFleet::StepBackends() {
  for (size_t i = 0; i < kRunners; ++i) {
    const bool idle = agent(i) == nullptr || agent(i)->gate.paused();
    backend(i).Step(clock.SteadyNow(), idle && agent(i) != nullptr);
  }
}

void ComposedFleet::ReplaceDrained() {
  for (size_t i = 0; i < kRunners; ++i) {
    if (agent(i) == nullptr || agent(i)->gate.paused() || !agent(i)->Drained()) continue;
    KillAgent(i);
    restart_at_[i] = clock.SteadyNow() + kRestartAfter;
  }
  for (auto it = restart_at_.begin(); it != restart_at_.end();) {
    if (clock.SteadyNow() < it->second) {
      ++it;
      continue;
    }
    StartAgent(it->first);
    it = restart_at_.erase(it);
  }
}

std::shared_ptr<SubmittedCall> ComposedFleet::Submit(size_t index, const CallerRequest& request) {
  if (router(index) == nullptr) return nullptr;
  auto call = std::make_shared<SubmittedCall>();
  call->router = index;
  call->key = request.idempotency_key;
  call->deadline = clock.SteadyNow() + request.deadline;
  call->sink = std::make_shared<router_test::FakeSink>();
  calls.push_back(call);
  call->id = router(index)->core.Submit(request, call->sink);
  return call;
}

std::shared_ptr<SubmittedCall> ComposedFleet::SubmitModel(size_t index, const std::string& entry,
                                                          bool stream) {
  CallerRequest request = router_test::RouterFixture::ModelRequest(stream, kCallDeadline);
  request.entry = EntryId(entry);
  return Submit(index, request);
}

std::shared_ptr<SubmittedCall> ComposedFleet::SubmitOrder(size_t index, const std::string& key) {
  return Submit(index, router_test::RouterFixture::OrderRequest(key, kCallDeadline));
}

std::shared_ptr<SubmittedChange> ComposedFleet::Change(ConfigRevision base) {
  auto change = std::make_shared<SubmittedChange>();
  change->exception = "x" + std::to_string(changes.size() % kTargets.size());
  change->value = fmt::format("{:.6f}", 0.000001 * static_cast<double>(changes.size() + 1));
  change->base = base;
  // A second exception for the same target is refused.
  const std::string target = kTargets.at(changes.size() % kTargets.size());
  const bool of_class = target.starts_with("class");
  changes.push_back(change);
  // Each operator runs in a separate process with its own session.
  editors_.push_back(std::make_unique<ConfigEditor>(&store, &clock, 1000 + editors_.size()));
  editors_.back()->SetException(
      change->exception, target, {{of_class ? "objective" : "cold_weight", change->value}},
      {OperatorName("kim"), "test", base}, [change](const Result<ConfigRevision>& result) {
        change->answered = true;
        change->accepted = IsOk(result);
        if (IsOk(result)) change->revision = ValueOf(result);
        change->unknown = !IsOk(result) && ErrorOf(result).kind == ErrorKind::kUnknownOutcome;
      });
  return change;
}

size_t ComposedFleet::LiveRouter(size_t first) const {
  for (size_t i = 0; i < kRouters; ++i) {
    const size_t index = (first + i) % kRouters;
    if (router(index) != nullptr && !router(index)->gate.paused()) return index;
  }
  return kRouters;
}

size_t ComposedFleet::Owner() const {
  const InstanceId holder = store.Holder("leases/placement/0");
  for (size_t i = 0; i < kRouters; ++i) {
    if (routers_[i].record.id == holder) return i;
  }
  return kRouters;
}

size_t ComposedFleet::HolderOf(const std::string& entry) const {
  for (const Slot& slot : StoredSlots()) {
    if (slot.entry != EntryId(entry) || slot.state != SlotState::kActive) continue;
    for (size_t i = 0; i < kRunners; ++i) {
      if (agents_[i].record.runner == slot.runner) return i;
    }
  }
  return kRunners;
}

std::vector<Slot> ComposedFleet::StoredSlots() const {
  if (!store.Has("placement/0")) return {};
  return ValueOf(ParseSlots(store.Value("placement/0")));
}

ConfigRevision ComposedFleet::StoredRevision() const {
  return ValueOf(ParseConfigHead(store.Value("config/head"))).revision;
}

bool ComposedFleet::ConfigEverywhere() const {
  const ConfigRevision stored = StoredRevision();
  const auto has = [stored](const auto& member) {
    return member.process == nullptr || member.revision == stored;
  };
  return std::all_of(routers_.begin(), routers_.end(), has) &&
         std::all_of(agents_.begin(), agents_.end(), has);
}

bool ComposedFleet::RecordsWritten() const {
  return std::all_of(agents_.begin(), agents_.end(), [](const auto& member) {
    return member.process == nullptr || member.process->claims.pending_records() == 0;
  });
}

bool ComposedFleet::InForce(const SubmittedChange& change, size_t index) const {
  const auto config = router(index)->core.config();
  if (config == nullptr) return false;
  const auto found = std::find_if(
      config->exceptions.begin(), config->exceptions.end(),
      [&](const ConfigException& exception) { return exception.name == change.exception; });
  if (found == config->exceptions.end()) return false;
  const std::string& value = found->values.begin()->second;
  return std::any_of(changes.begin(), changes.end(), [&](const auto& other) {
    const bool replaces = other->unknown || other->revision >= change.revision;
    return other->exception == change.exception && other->value == value && replaces;
  });
}

}  // namespace shallot::composed
