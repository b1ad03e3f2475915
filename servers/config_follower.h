#ifndef SERVERS_CONFIG_FOLLOWER_H_
#define SERVERS_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/invariant.h"
#include "servers/backoff.h"
#include "servers/config_replica.h"
#include "servers/messages.h"
#include "servers/platform_store.h"

namespace shallot {

/// Keeps the configuration of a process up to date from the platform store and from peers. Must
/// outlive its pending calls to the store.
class ConfigFollower {
 public:
  /// Sends a message to the named peer; the owner of the follower defines the names.
  using SendFunction = std::function<void(const std::string& peer, const Message& message)>;
  /// Called when a newer configuration has been applied.
  using NewerCallback = std::function<void()>;

  /// Without a watch the head is read at about this interval, in case updates from peers are lost.
  static constexpr Millis kReadInterval{60'000};
  /// A pull from the same peer is repeated at the earliest after this time.
  static constexpr Millis kPullInterval{1000};

  ConfigFollower(const Clock* clock, PlatformStore* store, InvariantMonitor* invariants,
                 uint64_t seed, SendFunction send, NewerCallback newer);

  /// `watcher`: this process keeps a watch on the store for its failure domain.
  void OnTick(bool watcher);
  /// A peer announced its revision; a newer one is pulled.
  void OnPeerRevision(const std::string& peer, ConfigRevision revision);
  void OnPull(const std::string& peer, const ConfigPull& pull);
  /// A push without a head only announces its revision.
  void OnPush(const std::string& peer, const ConfigPush& push);
  /// Pulls from a peer whose revision is unknown; for a start without a reachable store.
  void AskPeer(const std::string& peer);

  const ConfigReplica& replica() const { return replica_; }
  const std::string& last_error() const { return last_error_; }

 private:
  void ReadHead();
  void WatchHead();
  /// Returns true when the head is in force; otherwise it is read again soon.
  bool OnHead(const Result<VersionedValue>& value);
  void ReadSnapshot(const ConfigPush& push, ConfigRevision snapshot);
  Result<bool> Apply(const ConfigPush& push);
  void Pull(const std::string& peer, ConfigRevision known);
  void StoreFailed(const Error& error);

  const Clock* clock_;
  PlatformStore* store_;
  ConfigReplica replica_;
  Backoff backoff_;
  /// Separate from `backoff_`, which each successful read of the head resets.
  Backoff snapshot_backoff_;
  SendFunction send_;
  NewerCallback newer_;
  StoreVersion head_version_;
  SteadyTime next_read_ = SteadyTime::min();
  Millis read_jitter_;
  bool read_in_flight_ = false;
  bool watch_in_flight_ = false;
  bool snapshot_in_flight_ = false;
  std::map<std::string, SteadyTime> pulled_;
  std::string last_error_;
};

}  // namespace shallot

#endif  // SERVERS_CONFIG_FOLLOWER_H_
