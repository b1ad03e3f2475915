#include "servers/config_replica.h"

#include <utility>

#include "core/settings.h"
#include "servers/config_head.h"

namespace shallot {
namespace {

/// Text of the snapshot that `head` builds on: the pushed one, the one in force, or the one in
/// force brought forward by the changes that followed it.
Result<std::string> FindSnapshot(const ConfigHead& head, const std::string& pushed,
                                 const std::string& own_head, const std::string& own_snapshot) {
  if (!pushed.empty()) return pushed;
  const Error missing{ErrorKind::kNotFound,
                      "the configuration builds on snapshot " +
                          std::to_string(head.snapshot.value()) + ", which is not known here",
                      "pull with revision 0"};
  if (own_head.empty()) return missing;
  const Result<ConfigHead> own = ParseConfigHead(own_head);
  if (!IsOk(own)) return missing;
  if (ValueOf(own).snapshot == head.snapshot) return own_snapshot;
  const Result<IniDocument> folded = BuildDocument(ValueOf(own), own_snapshot, head.snapshot);
  if (!IsOk(folded)) return missing;
  return FormatIni(ValueOf(folded));
}

std::string LastChangeId(const ConfigHead& head) {
  return head.changes.empty() ? "" : head.changes.back().id;
}

}  // namespace

ConfigReplica::ConfigReplica(InvariantMonitor* invariants) : invariants_(invariants) {}

ConfigRevision ConfigReplica::revision() const {
  return config_ == nullptr ? ConfigRevision(0) : config_->revision;
}

Result<bool> ConfigReplica::Apply(const ConfigPush& push) {
  const Result<ConfigHead> parsed = ParseConfigHead(push.head);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const ConfigHead& head = ValueOf(parsed);
  if (head.revision < revision()) return false;
  if (head.revision == revision()) {
    if (push.head == head_) return false;
    const Result<ConfigHead> own = ParseConfigHead(head_);
    const bool same = IsOk(own) && LastChangeId(ValueOf(own)) == LastChangeId(head);
    invariants_->Check(Invariant::kConfigNeverReverts, same,
                       "two changes claim revision " + std::to_string(head.revision.value()));
    return false;
  }
  const Result<std::string> snapshot = FindSnapshot(head, push.snapshot, head_, snapshot_);
  if (!IsOk(snapshot)) return ErrorOf(snapshot);
  const Result<IniDocument> document = BuildDocument(head, ValueOf(snapshot), head.revision);
  if (!IsOk(document)) return ErrorOf(document);
  Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(ValueOf(document)), ValueOf(document).source, head.revision);
  if (!IsOk(config)) return ErrorOf(config);
  const ConfigRevision before = revision();
  config_ = std::make_shared<const FleetConfig>(ValueOf(std::move(config)));
  head_ = push.head;
  snapshot_ = ValueOf(snapshot);
  invariants_->Check(Invariant::kConfigNeverReverts, revision() > before,
                     "revision went from " + std::to_string(before.value()) + " to " +
                         std::to_string(revision().value()));
  return true;
}

ConfigPush ConfigReplica::MakePush(ConfigRevision known) const {
  ConfigPush push;
  push.revision = revision();
  push.head = head_;
  if (config_ == nullptr) return push;
  const Result<ConfigHead> head = ParseConfigHead(head_);
  if (known == ConfigRevision(0) || !IsOk(head) || known < ValueOf(head).snapshot) {
    push.snapshot = snapshot_;
  }
  return push;
}

}  // namespace shallot
