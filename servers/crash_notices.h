#ifndef SERVERS_CRASH_NOTICES_H_
#define SERVERS_CRASH_NOTICES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "servers/crash_quarantine.h"
#include "servers/messages.h"

namespace shallot {

/// A router's knowledge of the crashes that all agents report, and the quarantine that follows from
/// it. Load pattern: few routers are connected to the agent of a crashed engine, and calls that
/// crash engines arrive at all routers.
///
/// A router forwards each agent's notice once to the routers that it is connected to. A router that
/// connects later gets the newest notice of each agent and the quarantines in force, so that a
/// restarted router refuses the same calls. Each router draws its own conclusions. Not thread-safe.
class CrashNotices {
 public:
  /// Notices of more agents are not remembered; the oldest is forgotten first.
  static constexpr size_t kMaxReporters = 256;
  /// Notices older than this are forgotten.
  static constexpr Seconds kNoticeLifetime = CrashEvidence::kLifetime;

  CrashNotices(InstanceId self, MetricsRegistry* metrics);

  /// Processes a notice. Returns true if it is an agent's and new here, to be forwarded.
  bool OnNotice(const CrashNotice& notice, SteadyTime now);
  /// The notices for a router that has just connected.
  std::vector<CrashNotice> ForNewRouter(SteadyTime now) const;
  /// Draws the conclusions that are due. To be called frequently.
  void OnTick(SteadyTime now);
  CrashQuarantine& quarantine() { return quarantine_; }
  const CrashQuarantine& quarantine() const { return quarantine_; }

 private:
  struct Received {
    CrashNotice notice;
    SteadyTime at;
  };

  InstanceId self_;
  CrashQuarantine quarantine_;
  /// Newest notice of each run of an agent.
  std::map<std::pair<InstanceId, Incarnation>, Received> newest_;
  Counter* notices_;
  Counter* quarantines_;
};

}  // namespace shallot

#endif  // SERVERS_CRASH_NOTICES_H_
