#ifndef SERVERS_KEEP_ALIVE_POLICY_H_
#define SERVERS_KEEP_ALIVE_POLICY_H_

#include "core/clock.h"
#include "core/ids.h"

namespace shallot {

/// Decides how long an idle entry stays loaded. Called on the core's thread.
class KeepAlivePolicy {
 public:
  virtual ~KeepAlivePolicy() = default;
  /// Returns the time that the entry stays loaded after its last call.
  virtual Millis KeepAlive(const EntryId& entry) const = 0;
  /// A call for the entry arrived.
  virtual void OnCall(const EntryId& entry, SteadyTime now) = 0;
  /// Reports the measured cold start time of the entry. Ignored by default.
  virtual void SetColdStartTime(const EntryId& /*entry*/, Millis /*cold_time*/) {}
};

}  // namespace shallot

#endif  // SERVERS_KEEP_ALIVE_POLICY_H_
