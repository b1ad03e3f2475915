#include <doctest/doctest.h>

#include <array>

#include "core/random.h"
#include "tests/fake_agent_env.h"

namespace shallot::agent_test {
namespace {

constexpr std::array<const char*, 6> kEntries = {"m1", "m2", "m3", "a1", "a2", "huge"};

/// Drives one agent with random calls, faults and grants, and checks its observable behaviour.
class Soak {
 public:
  explicit Soak(uint64_t seed) : random_(seed) {
    fixture_.engine.automatic = false;
    fixture_.engine.concurrency = 3;
    fixture_.Begin();
    for (const char* entry : kEntries) {
      slots_[entry] = {EntryId(entry), RunnerId("runner-1"), Generation(1), SlotState::kActive};
    }
    Regrant();
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      fixture_.Run(Millis(20), {kRouter, kOtherRouter});
      CheckMemory();
      if (random_.Below(10) == 0) Acknowledge();
    }
    Settle();
  }
  /// Ends all faults and calls, and checks that every call got its outcome.
  void Settle() {
    fixture_.engine.down = false;
    fixture_.link.full.clear();
    for (int i = 0; i < 300; ++i) {
      SettleOrder(false);
      EndCall(ExecutionEnd::kCompleted);
      fixture_.Run(Millis(100), {kRouter, kOtherRouter});
    }
    for (const auto& [id, started] : started_) {
      CAPTURE(id);
      CHECK(HasOutcome(id));
    }
    CHECK(fixture_.invariants.TotalViolations() == 0);
  }
  void CheckOutcomes() {
    for (const ConnectionId connection : {kRouter, kOtherRouter}) {
      for (const CallOutcome& message : fixture_.link.Sent<CallOutcome>(connection)) {
        if (message.outcome.kind != OutcomeKind::kNotRun) continue;
        CAPTURE(message.call.value());
        CHECK((not_started_.contains(message.call) ||
               fixture_.engine.calls.starts.count(message.call) == 0));
      }
    }
    for (const auto& [id, starts] : fixture_.engine.calls.starts) CHECK(starts == 1);
  }

 private:
  void Step() {
    switch (random_.Below(12)) {
      case 0:
      case 1:
      case 2:
      case 3:
        return StartCall();
      case 4:
        return SettleOrder(random_.Below(3) == 0);
      case 5:
        return EndCall(static_cast<ExecutionEnd>(random_.Below(4)));
      case 6:
        return Permit();
      case 7:
        return Cancel();
      case 8:
        return Regrant();
      case 9:
        return Reconnect();
      case 10:
        fixture_.engine.down = random_.Below(4) == 0;
        return;
      default:
        return ToggleTransport();
    }
  }
  void StartCall() {
    const std::string id = "c" + std::to_string(started_.size());
    Call call = fixture_.MakeCall(id, kEntries.at(random_.Below(kEntries.size())),
                                  Millis(100 + random_.Below(8000)),
                                  static_cast<CallClass>(random_.Below(kCallClassCount)));
    call.repeatable = random_.Below(4) != 0;
    if (!call.repeatable) call.idempotency_key = IdempotencyKey("key-" + id);
    started_[id] = call;
    fixture_.Start(call, AnyRouter());
  }
  void SettleOrder(bool faulty) {
    if (fixture_.engine.orders.empty()) return;
    const bool effect = !faulty || random_.Below(2) == 0;
    if (!faulty) return fixture_.engine.CompleteOrder();
    const ErrorKind kind =
        effect || random_.Below(2) == 0 ? ErrorKind::kUnknownOutcome : ErrorKind::kUnavailable;
    fixture_.engine.CompleteOrder(Error{kind, "injected", ""}, effect);
  }
  void EndCall(ExecutionEnd end) {
    FakeCalls& calls = fixture_.engine.calls;
    if (calls.running.empty()) return;
    const CallId id = calls.running.begin()->first;
    if (end == ExecutionEnd::kNotStarted) not_started_.insert(id);
    if (end != ExecutionEnd::kNotStarted) calls.Data(id, "data");
    calls.End(id, end);
  }
  void Permit() {
    const auto requests = fixture_.link.Sent<LoadPermitRequest>(kRouter);
    if (requests.empty()) return;
    const uint64_t id =
        requests[requests.size() - 1 - random_.Below(std::min<size_t>(3, requests.size()))]
            .permit_id;
    fixture_.agent->OnMessage(kRouter, LoadPermit{id, RunnerId("runner-1"), Millis(5000)});
  }
  void Cancel() {
    if (started_.empty()) return;
    const auto recent = std::min<size_t>(10, started_.size());
    const std::string id = "c" + std::to_string(started_.size() - 1 - random_.Below(recent));
    fixture_.agent->OnMessage(AnyRouter(), CallCancel{CallId(id), Attempt(1)});
  }
  /// Sends a new version of the shard in which one slot is released step by step or granted again.
  void Regrant() {
    const std::string entry = kEntries.at(random_.Below(kEntries.size()));
    const auto slot = slots_.find(entry);
    if (slot == slots_.end()) {
      generations_[entry] += 2;
      slots_[entry] = {EntryId(entry), RunnerId("runner-1"), Generation(1 + generations_[entry]),
                       SlotState::kActive};
    } else if (slot->second.state == SlotState::kReleasing) {
      slots_.erase(slot);
    } else if (random_.Below(3) == 0) {
      slot->second.state = SlotState::kReleasing;
    }
    SlotGrant grant = fixture_.GrantOf({}, ++version_);
    for (const auto& [id, granted] : slots_) grant.slots.push_back(granted);
    fixture_.agent->OnMessage(AnyRouter(), grant);
  }
  /// Drops one connection and resumes the calls without an outcome on the other.
  void Reconnect() {
    fixture_.agent->OnDisconnect(kRouter);
    fixture_.link.full.erase(kRouter);
    for (const auto& [id, call] : started_) {
      if (HasOutcome(id)) continue;
      fixture_.agent->OnMessage(kOtherRouter, CallResume{CallId(id), Attempt(1), 0});
    }
  }
  void ToggleTransport() {
    if (fixture_.link.full.erase(kRouter) == 0 && random_.Below(3) == 0) {
      fixture_.link.full.insert(kRouter);
    }
  }
  void Acknowledge() {
    for (const auto& [id, call] : started_) {
      if (HasOutcome(id)) fixture_.agent->OnMessage(kOtherRouter, CallAck{CallId(id), Attempt(1)});
    }
  }
  bool HasOutcome(const std::string& id) {
    for (const ConnectionId connection : {kRouter, kOtherRouter}) {
      const std::vector<Message>& sent = fixture_.link.sent[connection];
      for (size_t& read = read_[connection]; read < sent.size(); ++read) {
        const auto* outcome = std::get_if<CallOutcome>(&sent[read]);
        if (outcome != nullptr) ended_.insert(outcome->call);
      }
    }
    return ended_.contains(CallId(id));
  }
  ConnectionId AnyRouter() { return random_.Below(2) == 0 ? kRouter : kOtherRouter; }
  void CheckMemory() {
    // Weights only; the KV cache is accounted for in the ledger.
    CHECK(fixture_.engine.HeldBytes() <= fixture_.engine.capacity.value());
  }

  AgentFixture fixture_;
  Random random_;
  std::map<std::string, Call> started_;
  std::set<CallId> not_started_;
  std::map<std::string, Slot> slots_;
  std::map<std::string, uint64_t> generations_;
  uint64_t version_ = 0;
  /// Calls that got an outcome, and the number of messages already scanned on each connection.
  std::set<CallId> ended_;
  std::map<ConnectionId, size_t> read_;
};

// Guards against combinations of faults that break an invariant: lost or wrong outcomes, a call
// that runs twice, overcommitted memory. Router, engine and store behave as their interfaces allow.
TEST_CASE("random calls and faults break no invariant") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Soak soak(seed);
    soak.Run(1500);
    soak.CheckOutcomes();
  }
}

}  // namespace
}  // namespace shallot::agent_test
