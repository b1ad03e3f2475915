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

/// Tracks instances from the platform's instance list and the heartbeats of agents.
class RunnerRegistry {
 public:
  /// A runner counts as gone once it is missing from this many consecutive lists.
  static constexpr uint64_t kMissesUntilGone = 2;
  /// A runner that was never in a list of this process counts as gone after this many lists. The
  /// list may lag behind the one from which the runner was assigned its slots.
  static constexpr uint64_t kListsUntilUnseenGone = 10;
  /// The serving and draining state in a report older than this is ignored.
  static constexpr Seconds kMaxReportAge{10};

  RunnerRegistry(const Clock* clock, InstanceId self);

  /// Processes a fetched list. If the list lacks this process, the runners that it lacks are not
  /// counted as missing.
  void OnList(const std::vector<InstanceRecord>& list);
  void OnReport(const RunnerId& runner, const Heartbeat& heartbeat);
  /// The runner gave up an active slot, which only a draining runner does. Its heartbeats may go to
  /// other routers, so it counts as leaving and gets no new slots for `kMaxReportAge`.
  void OnActiveSlotReleased(const RunnerId& runner);

  /// True when the runner has no live instance and its slots may be reassigned.
  bool IsGone(const RunnerId& runner) const;
  /// Runners that are not gone, sorted by id.
  std::vector<PlannerRunner> Runners() const;
  /// Planner input for a runner that is neither listed nor gone.
  static PlannerRunner MissingRunner(const RunnerId& runner, const BackendName& backend);
  /// Routers in the newest list, sorted by instance id. Includes this process unless it is leaving.
  const std::vector<InstanceRecord>& routers() const { return routers_; }
  /// Number of fetched lists.
  uint64_t lists() const { return lists_; }
  /// Increases with each change that can affect a plan, except changes of the loaded entries.
  uint64_t changes() const { return changes_; }
  /// Mean calls per second that one replica can serve, computed from the reports; a default when
  /// there are none.
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
  /// Value of `lists_` for the last list that differed from its predecessor.
  uint64_t last_changed_list_ = 0;
  /// The newest list, sorted by instance id.
  std::vector<InstanceRecord> list_;
  std::map<RunnerId, Known> known_;
  std::map<RunnerId, Report> reports_;
  std::map<RunnerId, SteadyTime> released_slot_at_;
  std::vector<InstanceRecord> routers_;
};

}  // namespace shallot

#endif  // SERVERS_RUNNER_REGISTRY_H_
