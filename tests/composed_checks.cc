#include <algorithm>

#include "tests/composed_fixture.h"

namespace shallot::composed {
namespace {

/// A deadline falls between two steps, and the store and the links add one step each.
constexpr Millis kDeadlineMargin{100};
/// An agent fetches the inventory every 3 s and unloads unexpected entries within a second.
constexpr Millis kLateLoadedLimit{5000};

}  // namespace

void ComposedFleet::AddViolation(const std::string& what) {
  if (std::find(violations_.begin(), violations_.end(), what) != violations_.end()) return;
  violations_.push_back(what);
}

/// Heartbeat and Hello carry the configuration revision in force at their sender.
void ComposedFleet::RecordSent(const std::string& address, const Message& message) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    RecordRevision(address, heartbeat->config_revision);
  }
  if (const auto* hello = std::get_if<Hello>(&message)) {
    RecordRevision(address, hello->config_revision);
  }
}

void ComposedFleet::RecordRevision(const std::string& address, ConfigRevision revision) {
  const auto record = [&](auto& member) {
    if (member.record.address != address) return;
    if (revision < member.revision) AddViolation("the configuration of " + address + " went back");
    member.revision = std::max(member.revision, revision);
  };
  for (auto& member : routers_) record(member);
  for (auto& member : agents_) record(member);
}

void ComposedFleet::CheckMemory() {
  for (const auto& server : backends_) {
    if (server->overcommits > 0 || server->engine.HeldBytes() > server->engine.capacity.value()) {
      AddViolation("memory of " + server->name + " is overcommitted");
    }
  }
}

void ComposedFleet::CheckReplicas() {
  std::map<EntryId, size_t> loaded;
  for (const auto& server : backends_) {
    for (const auto& [entry, item] : server->engine.held) {
      const auto late_loaded = server->late_loaded.find(entry);
      const bool allowed = late_loaded != server->late_loaded.end() &&
                           clock.SteadyNow() - late_loaded->second < kLateLoadedLimit;
      if (!allowed) ++loaded[entry];
    }
  }
  if (loaded.empty()) return;
  const std::vector<Slot> slots = StoredSlots();
  for (const auto& [entry, count] : loaded) {
    const auto decided = static_cast<size_t>(std::count_if(
        slots.begin(), slots.end(), [&id = entry](const Slot& slot) { return slot.entry == id; }));
    if (count <= decided) continue;
    AddViolation("entry " + entry.value() + " is loaded on more runners than it has slots");
  }
}

void ComposedFleet::CheckDeadlines() {
  const SteadyTime now = clock.SteadyNow();
  for (const auto& call : calls) {
    if (call->disconnected || call->sink->ends > 0 || now <= call->deadline + kDeadlineMargin) {
      continue;
    }
    const RouterProcess* process = router(call->router);
    const auto resumed = resumed_at_.find(call->router);
    const bool excused = process == nullptr || process->gate.paused() ||
                         (resumed != resumed_at_.end() && now <= resumed->second + kDeadlineMargin);
    if (!excused) AddViolation("call " + call->id.value() + " has no outcome at its deadline");
  }
}

bool ComposedFleet::Started(const CallId& id) const {
  return std::any_of(backends_.begin(), backends_.end(),
                     [&](const auto& server) { return server->calls().starts.contains(id); });
}

int ComposedFleet::Executions(const IdempotencyKey& key) const {
  int executions = 0;
  for (const auto& call : calls) {
    if (call->key != key) continue;
    for (const auto& server : backends_) {
      const auto starts = server->calls().starts.find(call->id);
      if (starts != server->calls().starts.end()) executions += starts->second;
    }
  }
  return executions;
}

void ComposedFleet::CheckAnswer(const SubmittedCall& call) {
  std::set<CallId> sources{call.id};
  // A repeated order gets the recorded answer of another call with the same key.
  for (const auto& other : calls) {
    if (!call.key.empty() && other->key == call.key) sources.insert(other->id);
  }
  const auto is_answer = [&](const auto& item) {
    return sources.contains(item.first.first) && item.second == call.sink->data;
  };
  const bool right = std::any_of(backends_.begin(), backends_.end(), [&](const auto& server) {
    return std::any_of(server->started.begin(), server->started.end(), is_answer);
  });
  if (!right) AddViolation("call " + call.id.value() + " completed with a wrong answer");
}

void ComposedFleet::CheckCalls() {
  for (const auto& call : calls) {
    const router_test::FakeSink& sink = *call->sink;
    const std::string name = "call " + call->id.value();
    if (sink.ends > 1) AddViolation(name + " has more than one outcome");
    if (!call->key.empty() && Executions(call->key) > 1) AddViolation(name + " ran twice");
    if (call->disconnected || sink.ends == 0) continue;
    if (sink.end.kind == OutcomeKind::kCompleted) CheckAnswer(*call);
    if (sink.end.kind == OutcomeKind::kNotRun && Started(call->id)) {
      AddViolation(name + " ran and was reported as not run");
    }
  }
  if (invariants.TotalViolations() > 0) AddViolation("an invariant asserted by the program failed");
}

}  // namespace shallot::composed
