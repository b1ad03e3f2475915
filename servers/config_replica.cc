#include "servers/config_replica.h"

#include <utility>

#include "core/settings.h"
#include "core/test_defects.h"
#include "servers/config_head.h"

namespace shallot {
namespace {

/// Text of the snapshot that `head` builds on: the pushed one, the one in force, or the one in
/// force with the changes up to `head.snapshot` applied.
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

/// Prepends the receiver's own changes to those that a peer sent. False when changes in between are
/// missing.
bool PrependOwnChanges(ConfigHead* head, const std::string& own_head) {
  if (head->base == ConfigRevision(0)) return true;
  const Result<ConfigHead> own = ParseConfigHead(own_head);
  if (!IsOk(own) || ValueOf(own).revision < head->base) return false;
  std::vector<ConfigChange> changes;
  for (const ConfigChange& change : ValueOf(own).changes) {
    if (change.revision > head->snapshot && change.revision <= head->base) {
      changes.push_back(change);
    }
  }
  const uint64_t needed =
      head->base <= head->snapshot ? 0 : head->base.value() - head->snapshot.value();
  if (changes.size() != needed) return false;
  changes.insert(changes.end(), head->changes.begin(), head->changes.end());
  head->changes = std::move(changes);
  head->base = ConfigRevision(0);
  return true;
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
  if (config_ != nullptr && push.head == head_) return false;
  const Result<ConfigHead> parsed = ParseConfigHead(push.head);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  ConfigHead head = ValueOf(parsed);
  const bool older = head.revision < revision();
  if (older && !HasDefect(TestDefect::kAcceptOlderConfig)) return false;
  if (head.revision == revision()) {
    const Result<ConfigHead> own = ParseConfigHead(head_);
    const bool same = IsOk(own) && LastChangeId(ValueOf(own)) == LastChangeId(head);
    invariants_->Check(Invariant::kConfigNeverReverts, same,
                       "two changes claim revision " + std::to_string(head.revision.value()));
    return false;
  }
  if (!PrependOwnChanges(&head, head_)) {
    return Error{ErrorKind::kNotFound, "changes before those that were sent are not known here",
                 "pull with revision 0"};
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
  head_ = FormatConfigHead(head);
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
  const Result<ConfigHead> parsed = ParseConfigHead(head_);
  if (known == ConfigRevision(0) || !IsOk(parsed) || known < ValueOf(parsed).snapshot) {
    push.snapshot = snapshot_;
    return push;
  }
  // The changes that the receiver already has would make up most of the push, so they are omitted.
  ConfigHead head = ValueOf(parsed);
  if (known >= head.revision) return push;
  head.base = known;
  std::erase_if(head.changes, [&](const ConfigChange& change) { return change.revision <= known; });
  push.head = FormatConfigHead(head);
  return push;
}

}  // namespace shallot
