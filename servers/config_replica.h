#ifndef SERVERS_CONFIG_REPLICA_H_
#define SERVERS_CONFIG_REPLICA_H_

#include <memory>
#include <string>

#include "core/ids.h"
#include "core/invariant.h"
#include "core/result.h"
#include "servers/fleet_config.h"
#include "servers/messages.h"

namespace shallot {

/// The newest configuration known to this process. Its revision never decreases.
class ConfigReplica {
 public:
  explicit ConfigReplica(InvariantMonitor* invariants);

  /// Applies a configuration that was pushed by a peer or read from the store. Returns true when it
  /// was newer and is now in force, false when it was not newer. kInvalidArgument: it cannot be
  /// parsed; the old one stays in force. kNotFound: it builds on a snapshot or on changes that this
  /// process does not have; pull with revision 0.
  Result<bool> Apply(const ConfigPush& push);
  /// Builds the push for a peer that has revision `known`. The snapshot is included only when the
  /// peer lacks it; otherwise the head contains only the changes after `known`.
  ConfigPush MakePush(ConfigRevision known) const;
  /// Null until the first configuration is applied.
  std::shared_ptr<const FleetConfig> current() const { return config_; }
  /// 0 until the first configuration is applied.
  ConfigRevision revision() const;
  /// Text of the head and the snapshot in force.
  const std::string& head() const { return head_; }
  const std::string& snapshot() const { return snapshot_; }

 private:
  InvariantMonitor* invariants_;
  std::shared_ptr<const FleetConfig> config_;
  std::string head_;
  std::string snapshot_;
};

}  // namespace shallot

#endif  // SERVERS_CONFIG_REPLICA_H_
