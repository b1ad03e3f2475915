#include "servers/config_follower.h"

#include <utility>

#include "core/log.h"
#include "servers/config_head.h"

namespace shallot {
namespace {

const StoreKey kHeadKey{"config/head"};

}  // namespace

ConfigFollower::ConfigFollower(const Clock* clock, PlatformStore* store,
                               InvariantMonitor* invariants, uint64_t seed, SendFunction send,
                               NewerCallback newer)
    : clock_(clock),
      store_(store),
      replica_(invariants),
      backoff_(Millis(100), Millis(5000), seed),
      snapshot_backoff_(Millis(500), Millis(10'000), seed + 1),
      send_(std::move(send)),
      newer_(std::move(newer)),
      read_jitter_(seed % 10'000) {}

void ConfigFollower::OnTick(bool watcher) {
  const SteadyTime now = clock_->SteadyNow();
  if (!backoff_.Ready(now) || !snapshot_backoff_.Ready(now) || snapshot_in_flight_) return;
  const bool unknown = replica_.current() == nullptr;
  if (!read_in_flight_ && (unknown || !watcher) && now >= next_read_) ReadHead();
  if (watcher && !unknown && !watch_in_flight_ && backoff_.Ready(now)) WatchHead();
}

void ConfigFollower::ReadHead() {
  read_in_flight_ = true;
  store_->Get(kHeadKey, [this](const Result<VersionedValue>& value) {
    read_in_flight_ = false;
    const bool usable = OnHead(value);
    // Without a configuration, read often: the operator's first one must not take a minute to be
    // applied.
    const Millis wait = usable ? kReadInterval + read_jitter_ : Millis(1000);
    next_read_ = clock_->SteadyNow() + wait;
  });
}

void ConfigFollower::WatchHead() {
  watch_in_flight_ = true;
  store_->Watch(kHeadKey, head_version_, [this](const Result<VersionedValue>& value) {
    watch_in_flight_ = false;
    OnHead(value);
  });
}

bool ConfigFollower::OnHead(const Result<VersionedValue>& value) {
  if (!IsOk(value)) {
    StoreFailed(ErrorOf(value));
    return false;
  }
  backoff_.RecordSuccess();
  last_error_.clear();
  if (ValueOf(value).version == StoreVersion(0)) return false;
  const Result<ConfigHead> head = ParseConfigHead(ValueOf(value).value);
  if (!IsOk(head)) {
    head_version_ = ValueOf(value).version;
    last_error_ = FormatError(ErrorOf(head));
    LogError("config", last_error_);
    return false;
  }
  ConfigPush push{ValueOf(head).revision, ValueOf(value).value, ""};
  const ConfigRevision snapshot = ValueOf(head).snapshot;
  if (snapshot == ConfigRevision(0)) push.snapshot = EmptySnapshot();
  const Result<bool> applied = Apply(push);
  if (!IsOk(applied) && ErrorOf(applied).kind == ErrorKind::kNotFound) {
    ReadSnapshot(push, snapshot);
    return false;
  }
  head_version_ = ValueOf(value).version;
  return IsOk(applied);
}

void ConfigFollower::ReadSnapshot(const ConfigPush& push, ConfigRevision snapshot) {
  if (snapshot_in_flight_) return;
  snapshot_in_flight_ = true;
  const StoreKey key("config/snapshot/" + std::to_string(snapshot.value()));
  store_->Get(key, [this, push](const Result<VersionedValue>& value) {
    snapshot_in_flight_ = false;
    const Error missing{ErrorKind::kNotFound, "the snapshot of config/head is missing",
                        "restore the key config/snapshot/REVISION in the platform store"};
    if (!IsOk(value) || ValueOf(value).version == StoreVersion(0)) {
      snapshot_backoff_.RecordFailure(clock_->SteadyNow());
      last_error_ = FormatError(IsOk(value) ? missing : ErrorOf(value));
      return;
    }
    snapshot_backoff_.RecordSuccess();
    ConfigPush full = push;
    full.snapshot = ValueOf(value).value;
    Apply(full);
  });
}

Result<bool> ConfigFollower::Apply(const ConfigPush& push) {
  Result<bool> applied = replica_.Apply(push);
  if (IsOk(applied)) {
    if (ValueOf(applied)) newer_();
    return applied;
  }
  if (ErrorOf(applied).kind == ErrorKind::kNotFound) return applied;
  last_error_ = FormatError(ErrorOf(applied));
  LogError("config", last_error_);
  return applied;
}

void ConfigFollower::OnPeerRevision(const std::string& peer, ConfigRevision revision) {
  if (revision > replica_.revision()) Pull(peer, replica_.revision());
}

void ConfigFollower::AskPeer(const std::string& peer) { Pull(peer, replica_.revision()); }

void ConfigFollower::Pull(const std::string& peer, ConfigRevision known) {
  const SteadyTime now = clock_->SteadyNow();
  const auto last = pulled_.find(peer);
  if (last != pulled_.end() && now - last->second < kPullInterval) return;
  std::erase_if(pulled_, [now](const auto& item) { return now - item.second >= kPullInterval; });
  pulled_[peer] = now;
  send_(peer, ConfigPull{known});
}

void ConfigFollower::OnPull(const std::string& peer, const ConfigPull& pull) {
  if (replica_.current() == nullptr || pull.known >= replica_.revision()) return;
  send_(peer, replica_.MakePush(pull.known));
}

void ConfigFollower::OnPush(const std::string& peer, const ConfigPush& push) {
  if (push.head.empty()) return OnPeerRevision(peer, push.revision);
  const Result<bool> applied = Apply(push);
  if (IsOk(applied) || ErrorOf(applied).kind != ErrorKind::kNotFound) return;
  pulled_.erase(peer);
  Pull(peer, ConfigRevision(0));
}

void ConfigFollower::StoreFailed(const Error& error) {
  last_error_ = FormatError(error);
  backoff_.RecordFailure(clock_->SteadyNow());
}

}  // namespace shallot
