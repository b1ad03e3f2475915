#ifndef TESTS_COMPOSED_FIXTURE_H_
#define TESTS_COMPOSED_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/composed_backend.h"
#include "tests/composed_network.h"
#include "tests/control_plane_fixture.h"
#include "tests/router_fixture.h"

namespace shallot::composed {

/// A call that a test submitted, and its result as the caller sees it.
struct SubmittedCall {
  CallId id;
  size_t router = 0;
  IdempotencyKey key;
  SteadyTime deadline;
  std::shared_ptr<router_test::FakeSink> sink;
  /// The router was killed, which broke the caller's connection.
  bool disconnected = false;
};

/// A configuration change, and the result that its operator got.
struct SubmittedChange {
  std::string exception;
  /// Objective or weight that only this change sets.
  std::string value;
  /// Revision that it was made against; 0 for the newest.
  ConfigRevision base;
  bool answered = false;
  bool accepted = false;
  /// The operator got an unknown outcome: the change may have been accepted.
  bool unknown = false;
  /// Revision that it produced, when accepted.
  ConfigRevision revision;
};

/// Three routers and three runners (engines "g0" and "g1", service "s0") with the real cores, over
/// one fake store and one fake instance list. Each step advances the manual clock by 20 ms and
/// checks the invariants.
class ComposedFleet {
 public:
  static constexpr Millis kStep{20};
  static constexpr size_t kRouters = 3;
  static constexpr size_t kRunners = 3;
  static constexpr size_t kService = 2;

  explicit ComposedFleet(uint64_t seed = 1);

  void Step();
  void Run(Millis time);
  /// Steps until the condition holds; returns false if it does not hold within the limit.
  bool RunUntil(const std::function<bool()>& condition, Millis limit);

  /// Submits a call to a router; returns null when the router is not running.
  std::shared_ptr<SubmittedCall> SubmitModel(size_t router, const std::string& entry,
                                             bool stream = false);
  std::shared_ptr<SubmittedCall> SubmitOrder(size_t router, const std::string& key);
  std::shared_ptr<SubmittedCall> Submit(size_t router, const CallerRequest& request);
  /// Adds an exception to the configuration, as a change by a further operator. `base`: revision
  /// that it is made against; 0 for the newest.
  std::shared_ptr<SubmittedChange> Change(ConfigRevision base = ConfigRevision(0));

  // Processes. Agents and runners have the same index.
  void KillRouter(size_t index);
  void StartRouter(size_t index);
  void PauseRouter(size_t index);
  void ResumeRouter(size_t index);
  /// `late`: the agent's open orders are still in transit and reach the engine later.
  void KillAgent(size_t index, bool late = false);
  void StartAgent(size_t index);
  void PauseAgent(size_t index);
  void ResumeAgent(size_t index);
  /// The instance disappears without notice; it stays listed until UnlistReclaimed().
  void ReclaimAgent(size_t index);
  void UnlistReclaimed(size_t index);
  /// Starts an agent under another instance id for the same runner.
  void ReplaceAgent(size_t index);
  void SetLeaving(size_t index, bool leaving);
  void DrainAgent(size_t index);
  /// While the list lags, processes read it as it was before.
  void SetListLag(bool lagging);
  /// A slow store answers only once a second.
  void SetStoreSlow(bool slow) { store_slow_ = slow; }
  void SetSlowLoads(bool slow);

  RouterProcess* router(size_t index) const { return routers_[index].process.get(); }
  AgentProcess* agent(size_t index) const { return agents_[index].process.get(); }
  Backend& backend(size_t index) { return *backends_[index]; }
  /// Index of a router that is running and not paused, searched from `first`; `kRouters` when there
  /// is none.
  size_t LiveRouter(size_t first = 0) const;
  /// Index of the router that holds the placement lease of the only shard; `kRouters` when there is
  /// none.
  size_t Owner() const;
  /// Index of the engine with an active slot of the entry; `kRunners` when there is none.
  size_t HolderOf(const std::string& entry) const;
  std::vector<Slot> StoredSlots() const;
  ConfigRevision StoredRevision() const;
  /// True when all running processes have the configuration revision in the store.
  bool ConfigEverywhere() const;
  /// True when the change, or one that replaced it, is in the configuration in force at the
  /// router.
  bool InForce(const SubmittedChange& change, size_t router) const;
  /// True when no agent has an order's answer left to record.
  bool RecordsWritten() const;
  /// Number of times that an order with the key was started at a backend.
  int Executions(const IdempotencyKey& key) const;

  /// Descriptions of the violations so far, each once.
  const std::vector<std::string>& violations() const { return violations_; }
  void AddViolation(const std::string& what);
  /// Runs the checks of all calls that can be made only at the end.
  void CheckCalls();

  ManualClock clock;
  FakePlatformStore store{&clock};
  FakeInstanceList current_list;
  FakeInstanceList visible_list;
  InvariantMonitor invariants;
  Network network;
  std::vector<std::shared_ptr<SubmittedCall>> calls;
  std::vector<std::shared_ptr<SubmittedChange>> changes;

 private:
  template <class T>
  struct Member {
    InstanceRecord record;
    std::unique_ptr<T> process;
    uint64_t starts = 0;
    ConfigRevision revision;
    /// The instance will not come back; only a replacement may start.
    bool reclaimed = false;
  };

  void AddRouter(size_t index);
  void AddRunner(size_t index);
  void Configure();
  void ListRecords();
  ProcessContext Context();
  template <class T>
  void Tick(std::vector<Member<T>>* members);
  void StepBackends();
  void ReplaceDrained();
  void RecordSent(const std::string& address, const Message& message);
  void RecordRevision(const std::string& address, ConfigRevision revision);
  void CheckMemory();
  void CheckReplicas();
  void CheckDeadlines();
  void CheckAnswer(const SubmittedCall& call);
  bool Started(const CallId& id) const;

  uint64_t seed_;
  uint64_t steps_ = 0;
  bool store_slow_ = false;
  bool list_lags_ = false;
  std::vector<Member<RouterProcess>> routers_{kRouters};
  std::vector<Member<AgentProcess>> agents_{kRunners};
  std::vector<std::unique_ptr<Backend>> backends_;
  std::set<InstanceId> unlisted_;
  std::map<size_t, SteadyTime> restart_at_;
  std::map<size_t, SteadyTime> resumed_at_;
  std::vector<std::unique_ptr<ConfigEditor>> editors_;
  std::vector<std::string> violations_;
};

}  // namespace shallot::composed

#endif  // TESTS_COMPOSED_FIXTURE_H_
