#ifndef SERVERS_RUNNER_REGISTRY_H_
#define SERVERS_RUNNER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/instance_list.h"
#include "servers/messages.h"
#include "servers/placement_planner.h"

namespace shallot {

/// What a router knows about instances: the platform's list and the reports of agents.
class RunnerRegistry {
 public:
  /// Fetches in a row in which a listed runner must be missing before it counts as gone.
  static constexpr uint64_t kMissesUntilGone = 2;
  /// The same for a runner that this process never saw listed: its list may lag behind the one by
  /// which the runner got its slots.
  static constexpr uint64_t kMissesOfUnseen = 10;
  /// Reports that are older than this no longer say that a runner is silent or draining.
  static constexpr Seconds kReportLife{10};

  RunnerRegistry(const Clock* clock, InstanceId self);

  /// A fetched list. A list that lacks this process proves nothing about runners that it lacks.
  void OnList(const std::vector<InstanceRecord>& list);
  void OnReport(const RunnerId& runner, const Heartbeat& heartbeat);
  /// The runner gave up an active slot, which only a draining one does; its own reports may go to
  /// other routers. It gets no new slots for `kReportLife`.
  void OnGaveUpSlot(const RunnerId& runner);

  /// True when a runner without a live instance may lose its slots.
  bool IsGone(const RunnerId& runner) const;
  /// Runners that are not gone, in order of id.
  std::vector<PlannerRunner> Runners() const;
  /// A runner that is neither listed nor gone, as the planner must see it.
  static PlannerRunner MissingRunner(const RunnerId& runner, const BackendName& backend);
  /// Routers by the newest list, this process included unless it is leaving, in order of id.
  const std::vector<InstanceRecord>& routers() const { return routers_; }
  /// Lists that were fetched.
  uint64_t lists() const { return lists_; }
  /// Rises with each change that can change a plan, other than in what runners have loaded.
  uint64_t changes() const { return changes_; }
  /// Mean calls per second that one replica serves, from the reports; a default without any.
  double CallsPerReplica() const;

 private:
  struct Known {
    InstanceRecord record;
    uint64_t misses = 0;
  };
  struct Report {
    Heartbeat heartbeat;
    SteadyTime received;
  };

  PlannerRunner Describe(const Known& known) const;

  const Clock* clock_;
  InstanceId self_;
  uint64_t lists_ = 0;
  uint64_t changes_ = 0;
  /// The list that last differed from the one before.
  uint64_t changes_at_ = 0;
  /// The newest list, in order of id.
  std::vector<InstanceRecord> list_;
  std::map<RunnerId, Known> known_;
  std::map<RunnerId, Report> reports_;
  std::map<RunnerId, SteadyTime> gave_up_;
  std::vector<InstanceRecord> routers_;
};

}  // namespace shallot

#endif  // SERVERS_RUNNER_REGISTRY_H_
