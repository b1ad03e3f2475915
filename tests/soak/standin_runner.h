#ifndef TESTS_SOAK_STANDIN_RUNNER_H_
#define TESTS_SOAK_STANDIN_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "core/random.h"
#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/event_loop.h"
#include "tests/soak/call_ledger.h"
#include "tests/standin_store.h"

namespace shallot::soak {

/// Objects shared by all runners of a soak test, so that checks cover orders and calls at all of
/// them. Owned by the fleet.
struct RunnerContext {
  gateway::EventLoop* loop = nullptr;
  gateway::StandinStore* store = nullptr;
  CallLedger* ledger = nullptr;
  Random* random = nullptr;
  /// Crashes the runner of this id, because it began to answer a deadly call.
  std::function<void(const std::string&)> crash;
};

struct RunnerSpec {
  std::string id;
  std::string backend;
  /// Address that the runner listens on.
  std::string listen_address;
  /// Address of the runner's proxy; the runner's entry in the store names this one.
  std::string public_address;
  bool is_engine = false;
  uint64_t born = 0;
};

/// How a runner misbehaves. Probabilities are from 0 to 1.
struct RunnerFaults {
  double errors = 0;        ///< Answers 500, 503, 429 or 408 after running the call.
  double rejections = 0;    ///< Refuses the call without running it.
  double closings = 0;      ///< Refuses the call and asks for no more calls for a time.
  double lost_answers = 0;  ///< Runs the call and closes the connection unanswered.
  double cut_answers = 0;   ///< Closes the connection in the middle of the answer.
  double slow_factor = 1;   ///< Factor on the time that a call takes.
  bool silent = false;      ///< Accepts calls and orders and answers nothing.
  double late_orders = 0;   ///< Closes an order's connection, executes it later.
};

/// Stand-in for a backend server: an engine that loads and unloads models by order, or a plain
/// service. It checks the orders that it gets and reports each execution of a call to
/// the ledger.
class StandinRunner final : public gateway::CallerHandler {
 public:
  /// Memory of an engine in megabytes; two models fit.
  static constexpr int kMemoryMb = 100;
  /// Size of each model in megabytes.
  static constexpr int kModelMb = 40;
  static constexpr int kModels = 4;
  /// Prompt part that crashes the runner when it begins to answer.
  static constexpr const char* kDeadlyPart = "dead";

  /// Query of the request that crashes the runner when it runs it.
  static constexpr const char* kDeadlyQuery = "?deadly";

  StandinRunner(RunnerContext* context, const RunnerSpec& spec);
  ~StandinRunner() override;

  Status Open() { return listener_->Open(spec_.listen_address); }
  const RunnerSpec& spec() const { return spec_; }
  void SetFaults(const RunnerFaults& faults) { faults_ = faults; }
  /// A limit that the runner names in its answers from `since` on.
  struct Limit {
    double calls_per_s = 0;
    SteadyTime since;
  };
  void SetLimit(const std::optional<Limit>& limit) { limit_ = limit; }
  const std::optional<Limit>& limit() const { return limit_; }
  /// Writes the runner's entry to the store. The fleet calls this only while the store is
  /// available.
  void Heartbeat();
  /// Without `announced`, its answers alone say so.
  void BeginDraining(bool announced = true);
  bool draining() const { return draining_; }
  SteadyTime draining_since() const { return draining_since_; }
  /// Number of calls that the runner is executing.
  size_t calls_executing() const { return executing_.size(); }
  bool IsExecuting(const RequestId& id) const;
  /// Number of calls that the runner has begun to execute.
  uint64_t runs() const { return runs_; }
  /// When it began to execute the last of them.
  SteadyTime last_run_at() const { return last_run_at_; }

  void OnRequest(gateway::CallerConnection* connection, gateway::HttpMessage request) override;
  void OnCallerGone(gateway::CallerConnection* connection) override;

 private:
  struct Work {
    RequestId id;
    bool stream = false;
    bool deadly = false;
    bool head_sent = false;
    uint64_t next_event = 1;
    gateway::TimerId timer;
    gateway::HttpMessage request;
  };

  void HandleOrder(gateway::CallerConnection* connection, const gateway::HttpMessage& request);
  /// Checks the order and executes it if it is valid; returns the HTTP status of its answer.
  int ApplyOrder(const nlohmann::json& order);
  int ExecuteOrder(const nlohmann::json& order);
  void HandleCall(gateway::CallerConnection* connection, gateway::HttpMessage request);
  void FinishPlain(gateway::CallerConnection* connection);
  void SendNextEvent(gateway::CallerConnection* connection);
  void Reject(gateway::CallerConnection* connection, const gateway::HttpMessage& request,
              int status, bool closed = false);
  void TellLeaving(const RequestId& id, gateway::HttpHead* head) const;
  /// Returns a response head with the id of the call's attempt and the runner's seal.
  gateway::HttpHead SealedHead(const RequestId& id, int status) const;
  nlohmann::json Inventory() const;
  Duration WorkTime();

  RunnerContext* context_;
  RunnerSpec spec_;
  std::unique_ptr<gateway::CallerListener> listener_;
  RunnerFaults faults_;
  std::optional<Limit> limit_;
  std::map<gateway::CallerConnection*, Work> executing_;
  std::set<std::string> models_;
  std::set<std::string> on_disk_;
  bool order_under_way_ = false;
  uint64_t sequence_ = 0;
  uint64_t heartbeat_ = 0;
  uint64_t highest_fence_ = 0;
  std::string fence_holder_;
  bool draining_ = false;
  SteadyTime draining_since_;
  uint64_t runs_ = 0;
  SteadyTime last_run_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_STANDIN_RUNNER_H_
