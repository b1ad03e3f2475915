#ifndef TESTS_COMPOSED_BACKEND_H_
#define TESTS_COMPOSED_BACKEND_H_

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/fake_agent_env.h"

namespace shallot::composed {

/// A backend server of a composed fleet. Its loads, unloads and calls take time on the manual
/// clock, and it outlives its agent.
class Backend {
 public:
  static constexpr int kChunks = 4;
  static constexpr Millis kChunkTime{60};
  static constexpr Millis kModelLoad{300};
  static constexpr Millis kAdapterLoad{40};
  static constexpr Millis kUnloadTime{60};
  static constexpr Millis kRestartTime{300};
  /// Transit time of an order that outlives the agent that sent it.
  static constexpr Millis kLateBy{1000};

  Backend(std::string backend_name, bool is_engine)
      : name(std::move(backend_name)), has_engine(is_engine) {
    engine.automatic = false;
  }

  agent_test::FakeCalls& calls() { return has_engine ? engine.calls : service.calls; }
  BackendServer* server() {
    if (has_engine) return &engine;
    return &service;
  }

  /// Part `index` of the answer to an attempt that runs here. Each attempt's answer is different.
  std::string Chunk(const Call& call, int index) const {
    return "<" + call.id.value() + "/" + std::to_string(call.attempt.value()) + "/" + name + "/" +
           std::to_string(index) + ">";
  }
  std::string Answer(const Call& call) const {
    std::string answer;
    for (int i = 0; i < kChunks; ++i) answer += Chunk(call, i);
    return answer;
  }

  /// Advances orders and calls to `now`. `paused`: the agent is paused and gets no callbacks.
  void Step(SteadyTime now, bool paused) {
    if (engine.down && !crashes.empty() && now >= crashes.back() + kRestartTime) {
      engine.down = false;
    }
    AcceptOrders();
    RunLateOrders(now);
    if (!paused) StepOrder(now);
    AcceptCalls(now);
    if (!paused && !hold_calls) StepCalls(now);
  }
  /// The agent was killed. Running calls end with ExecutionEnd::kUnknown; orders that the backend
  /// server has received continue. `late`: the agent's orders are still in transit and arrive
  /// later.
  void OnAgentKilled(SteadyTime now, bool late) {
    for (agent_test::FakeEngine::Order& order : engine.orders) {
      if (!late) continue;
      late_orders_.emplace_back(now + kLateBy, order.order);
      const auto held = engine.held.find(order.order.entry);
      const bool begun = held != engine.held.end() &&
                         held->second.presence == EntryPresence::kLoading && order.load;
      if (begun) engine.held.erase(held);
    }
    if (late) engine.orders.clear();
    first_order_due_ = {};
    calls().EndAll();
    progress_.clear();
  }
  /// The machine is replaced by an empty one.
  void Clear() {
    engine.orders.clear();
    engine.held.clear();
    late_orders_.clear();
    late_loaded.clear();
    first_order_due_ = {};
  }
  bool Loading() const {
    return std::any_of(engine.orders.begin(), engine.orders.end(),
                       [](const auto& order) { return order.load; });
  }
  bool Unloading() const {
    return std::any_of(engine.orders.begin(), engine.orders.end(),
                       [](const auto& order) { return !order.load; });
  }
  bool Has(const EntryId& entry) const { return engine.held.contains(entry); }

  std::string name;
  bool has_engine;
  agent_test::FakeEngine engine;
  agent_test::FakeService service;
  /// Factor on load times; above 1 while the weight store is slow.
  int load_time_factor = 1;
  /// Running calls make no progress.
  bool hold_calls = false;
  /// False: an order with a fencing number below the highest one seen is still executed.
  bool checks_fencing = true;
  /// Number of load orders that did not fit into memory when they arrived.
  int overcommits = 0;
  /// Entries that a late order of an earlier agent loaded, with the time of the load.
  std::map<EntryId, SteadyTime> late_loaded;
  /// Calls whose body has this text crash the engine when it would begin to answer them; if empty,
  /// none does.
  std::string deadly_text;
  /// Loads of this entry crash the engine.
  EntryId deadly_entry;
  /// When calls or loads crashed the engine. It is back, empty, after `kRestartTime`.
  std::vector<SteadyTime> crashes;
  /// All attempts that were started, with their answers.
  std::map<std::pair<CallId, Attempt>, std::string> started;

 private:
  struct Progress {
    SteadyTime next;
    int chunk = 0;
  };

  /// Adds ordered loads to the inventory as loading, before they are complete.
  void AcceptOrders() {
    for (const agent_test::FakeEngine::Order& order : engine.orders) {
      highest_fencing_ = std::max(highest_fencing_, order.order.fencing);
      if (!order.load || engine.held.contains(order.order.entry)) continue;
      if (Fits(order.order)) {
        Hold(order.order, EntryPresence::kLoading);
      } else if (late_loaded.empty()) {
        ++overcommits;
      }
    }
  }
  bool Fits(const EngineOrder& order) const {
    return engine.HeldBytes() + order.size.value() <= engine.capacity.value();
  }
  void Hold(const EngineOrder& order, EntryPresence presence) {
    engine.held[order.entry] = {order.entry, order.kind, order.version, order.size, presence};
  }
  Millis TimeOf(const agent_test::FakeEngine::Order& order) const {
    if (!order.load) return kUnloadTime;
    return (order.order.kind == LoadKind::kModel ? kModelLoad : kAdapterLoad) * load_time_factor;
  }
  void StepOrder(SteadyTime now) {
    if (engine.orders.empty()) return;
    if (first_order_due_ == SteadyTime()) first_order_due_ = now + TimeOf(engine.orders.front());
    if (now < first_order_due_) return;
    first_order_due_ = {};
    const agent_test::FakeEngine::Order& front = engine.orders.front();
    if (front.load && front.order.entry == deadly_entry) {
      Crash(now);
    } else if (front.load && !engine.held.contains(front.order.entry)) {
      engine.CompleteOrder(Error{ErrorKind::kResourceExhausted, "no memory", ""}, false);
    } else {
      engine.CompleteOrder();
    }
  }
  void RunLateOrders(SteadyTime now) {
    while (!late_orders_.empty() && late_orders_.front().first <= now) {
      const EngineOrder order = late_orders_.front().second;
      late_orders_.pop_front();
      const bool fenced = checks_fencing && order.fencing < highest_fencing_;
      if (fenced || engine.held.contains(order.entry) || !Fits(order)) continue;
      Hold(order, EntryPresence::kLoaded);
      late_loaded[order.entry] = now;
    }
    std::erase_if(late_loaded, [this](const auto& item) { return !Has(item.first); });
  }
  void AcceptCalls(SteadyTime now) {
    for (const auto& [id, running] : calls().running) {
      const auto key = std::pair(id, running.call.attempt);
      if (started.contains(key)) continue;
      started[key] = Answer(running.call);
      progress_[id] = {now + kChunkTime, 0};
    }
  }
  void StepCalls(SteadyTime now) {
    std::vector<CallId> ids;
    for (const auto& [id, running] : calls().running) ids.push_back(id);
    for (const CallId& id : ids) StepCall(now, id);
  }
  void StepCall(SteadyTime now, const CallId& id) {
    const auto running = calls().running.find(id);
    if (running == calls().running.end()) return;
    Progress& progress = progress_[id];
    if (now < progress.next) return;
    const std::string& body = running->second.call.body;
    if (!deadly_text.empty() && body.find(deadly_text) != std::string::npos) {
      Crash(now);
      return;
    }
    progress.next = now + kChunkTime;
    if (progress.chunk == 0) running->second.sink->OnBegin(200, "text/plain");
    if (progress.chunk < kChunks) {
      calls().Data(id, Chunk(running->second.call, progress.chunk++));
      return;
    }
    calls().End(id, ExecutionEnd::kCompleted);
  }

  void Crash(SteadyTime now) {
    crashes.push_back(now);
    engine.down = true;
    engine.held.clear();
    while (!engine.orders.empty()) {
      engine.CompleteOrder(Error{ErrorKind::kUnknownOutcome, "connection lost", ""}, false);
    }
    first_order_due_ = {};
    calls().EndAll();
    progress_.clear();
  }

  FencingNumber highest_fencing_;
  SteadyTime first_order_due_;
  std::deque<std::pair<SteadyTime, EngineOrder>> late_orders_;
  std::map<CallId, Progress> progress_;
};

}  // namespace shallot::composed

#endif  // TESTS_COMPOSED_BACKEND_H_
