#include "servers/config_editor.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "servers/fleet_config.h"

namespace shallot {
namespace {

const StoreKey kHeadKey{"config/head"};
/// Attempts to read the head back after a failed write before the outcome is reported as unknown.
constexpr int kReadBackTries = 3;

StoreKey SnapshotKey(ConfigRevision revision) {
  return StoreKey("config/snapshot/" + std::to_string(revision.value()));
}

Status CheckNote(const ChangeNote& note) {
  if (note.author.empty()) {
    return Error{ErrorKind::kInvalidArgument, "the change has no author", "name an author"};
  }
  if (note.reason.empty()) {
    return Error{ErrorKind::kInvalidArgument, "the change has no reason", "give a reason"};
  }
  return OkStatus();
}

std::string DescribeRevision(const ConfigHead& head) {
  std::string text = fmt::format("revision {}", head.revision.value());
  if (!head.changes.empty()) text += " by " + head.changes.back().author.value();
  return text;
}

Error MissingSnapshot() {
  return Error{ErrorKind::kInternal, "the snapshot that config/head builds on is missing",
               "restore the key config/snapshot/REVISION in the platform store"};
}

Error ConflictWith(const ConfigHead& head) {
  return Error{ErrorKind::kConflict, DescribeRevision(head) + " was accepted first",
               "read it with shallotctl config show, then run the same command again"};
}

/// Rejects a change of the shard count. It determines which key holds a slot, so a change would
/// orphan all slots.
Status CheckShards(const ConfigState& state, const IniDocument& next) {
  if (state.version == StoreVersion(0)) return OkStatus();
  const auto shards = [](const IniDocument& document) {
    SectionReader reader(document, "fleet", true);
    return reader.GetString("shards", "");
  };
  if (shards(state.document) == shards(next)) return OkStatus();
  return Error{ErrorKind::kInvalidArgument,
               "section [fleet], key \"shards\": cannot change during the life of a fleet",
               "set it to its old value \"" + shards(state.document) + "\""};
}

const IniSection* FindSection(const IniDocument& document, const std::string& name) {
  return document.Find(name);
}

}  // namespace

std::vector<SectionChange> DiffDocuments(const IniDocument& from, const IniDocument& to) {
  std::vector<SectionChange> changes;
  for (const IniSection& section : from.sections) {
    if (FindSection(to, section.name) == nullptr) changes.push_back({section.name, true, {}});
  }
  for (const IniSection& section : to.sections) {
    const IniSection* old = FindSection(from, section.name);
    if (old != nullptr && old->values == section.values) continue;
    changes.push_back({section.name, false, section.values});
  }
  return changes;
}

std::string FormatDiff(const IniDocument& from, const IniDocument& to) {
  const std::map<std::string, std::string> none;
  std::string text;
  for (const SectionChange& change : DiffDocuments(from, to)) {
    const IniSection* old = FindSection(from, change.section);
    const auto& before = old == nullptr ? none : old->values;
    const char* mark = change.removed ? "-" : (old == nullptr ? "+" : " ");
    text += fmt::format("{}[{}]\n", mark, change.section);
    for (const auto& [key, value] : before) {
      const auto now = change.values.find(key);
      if (now != change.values.end() && now->second == value) continue;
      text += fmt::format("-{} = {}\n", key, value);
    }
    for (const auto& [key, value] : change.values) {
      const auto then = before.find(key);
      if (then != before.end() && then->second == value) continue;
      text += fmt::format("+{} = {}\n", key, value);
    }
  }
  return text;
}

/// State of one change while it is written to the store.
struct ConfigEditor::Attempt {
  ChangeNote note;
  ChangePlan plan;
  ChangeCallback done;
  std::string id;
  StoreVersion expected;
  ConfigHead head;
  /// Text of a new snapshot at `head.snapshot`; empty when the existing one is kept.
  std::string snapshot;
};

ConfigEditor::ConfigEditor(PlatformStore* store, const Clock* clock, uint64_t session)
    : store_(store), clock_(clock), session_(session) {}

std::string ConfigEditor::UtcNow() const {
  const auto now = std::chrono::time_point_cast<std::chrono::seconds>(clock_->WallNow());
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)));
}

void ConfigEditor::Read(const ReadCallback& done) {
  store_->Get(kHeadKey, [this, done](const Result<VersionedValue>& value) {
    if (!IsOk(value)) return done(ErrorOf(value));
    auto state = std::make_shared<ConfigState>();
    state->version = ValueOf(value).version;
    state->document.source = "no configuration";
    if (state->version == StoreVersion(0)) {
      state->snapshot = EmptySnapshot();
      return done(*state);
    }
    const Result<ConfigHead> head = ParseConfigHead(ValueOf(value).value);
    if (!IsOk(head)) return done(ErrorOf(head));
    state->head = ValueOf(head);
    const auto finish = [state, done](const std::string& snapshot) {
      state->snapshot = snapshot;
      const Result<IniDocument> document =
          BuildDocument(state->head, snapshot, state->head.revision);
      if (!IsOk(document)) return done(ErrorOf(document));
      state->document = ValueOf(document);
      done(*state);
    };
    if (state->head.snapshot == ConfigRevision(0)) return finish(EmptySnapshot());
    store_->Get(SnapshotKey(state->head.snapshot),
                [finish, done](const Result<VersionedValue>& snapshot) {
                  if (!IsOk(snapshot)) return done(ErrorOf(snapshot));
                  if (ValueOf(snapshot).version == StoreVersion(0)) return done(MissingSnapshot());
                  finish(ValueOf(snapshot).value);
                });
  });
}

void ConfigEditor::ApplyText(const std::string& text, const ChangeNote& note, ChangeCallback done) {
  const Result<IniDocument> document = ParseIni(text, "the new configuration");
  if (!IsOk(document)) return done(ErrorOf(document));
  const IniDocument wanted = ValueOf(document);
  Change(
      note,
      [wanted](const ConfigState& state) -> Result<std::vector<SectionChange>> {
        return DiffDocuments(state.document, wanted);
      },
      std::move(done));
}

void ConfigEditor::ApplySections(const std::vector<SectionChange>& sections, const ChangeNote& note,
                                 ChangeCallback done) {
  Change(
      note,
      [sections](const ConfigState&) -> Result<std::vector<SectionChange>> { return sections; },
      std::move(done));
}

void ConfigEditor::SetException(const std::string& name, const std::string& target,
                                const std::map<std::string, std::string>& values,
                                const ChangeNote& note, ChangeCallback done) {
  SectionChange section{"exception " + name, false, values};
  section.values["target"] = target;
  section.values["reason"] = note.reason;
  section.values["author"] = note.author.value();
  section.values["time"] = UtcNow();
  ApplySections({section}, note, std::move(done));
}

void ConfigEditor::RemoveException(const std::string& name, const ChangeNote& note,
                                   ChangeCallback done) {
  Change(
      note,
      [name](const ConfigState& state) -> Result<std::vector<SectionChange>> {
        if (state.document.Find("exception " + name) == nullptr) {
          return Error{ErrorKind::kNotFound, "exception \"" + name + "\" does not exist",
                       "list the exceptions with shallotctl exception list"};
        }
        return std::vector<SectionChange>{{"exception " + name, true, {}}};
      },
      std::move(done));
}

void ConfigEditor::Change(const ChangeNote& note, ChangePlan plan, ChangeCallback done) {
  const Status valid = CheckNote(note);
  if (!IsOk(valid)) return done(ErrorOf(valid));
  auto attempt = std::make_shared<Attempt>();
  attempt->note = note;
  attempt->plan = std::move(plan);
  attempt->done = std::move(done);
  attempt->id = fmt::format("{:016x}-{}", session_, ++changes_made_);
  Read([this, attempt](const Result<ConfigState>& state) { OnRead(attempt, state); });
}

void ConfigEditor::OnRead(const std::shared_ptr<Attempt>& attempt,
                          const Result<ConfigState>& read) {
  if (!IsOk(read)) return attempt->done(ErrorOf(read));
  const ConfigState& state = ValueOf(read);
  const ConfigRevision base = attempt->note.base;
  if (base != ConfigRevision(0) && base != state.head.revision) {
    return attempt->done(ConflictWith(state.head));
  }
  const Result<std::vector<SectionChange>> sections = attempt->plan(state);
  if (!IsOk(sections)) return attempt->done(ErrorOf(sections));
  const ConfigChange change{state.head.revision.Next(), attempt->id,
                            attempt->note.author,       UtcNow(),
                            attempt->note.reason,       ValueOf(sections)};
  IniDocument next = state.document;
  ApplyChange(change, &next);
  if (next.sections == state.document.sections) return attempt->done(state.head.revision);
  const Status shards = CheckShards(state, next);
  if (!IsOk(shards)) return attempt->done(ErrorOf(shards));
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(next), "the new configuration", change.revision);
  if (!IsOk(config)) return attempt->done(ErrorOf(config));
  attempt->expected = state.version;
  attempt->head = state.head;
  if (state.head.changes.size() >= kMaxChangesSinceSnapshot) {
    attempt->snapshot = FormatIni(state.document);
    attempt->head.snapshot = state.head.revision;
    attempt->head.changes.clear();
  }
  attempt->head.revision = change.revision;
  attempt->head.changes.push_back(change);
  if (!attempt->snapshot.empty()) return WriteSnapshot(attempt);
  WriteHead(attempt);
}

void ConfigEditor::WriteSnapshot(const std::shared_ptr<Attempt>& attempt) {
  store_->CompareAndSwap(SnapshotKey(attempt->head.snapshot), StoreVersion(0), attempt->snapshot,
                         Millis(0), [this, attempt](const Result<StoreVersion>& written) {
                           if (IsOk(written)) return WriteHead(attempt);
                           if (ErrorOf(written).kind == ErrorKind::kUnavailable) {
                             return attempt->done(ErrorOf(written));
                           }
                           CheckSnapshot(attempt);
                         });
}

/// Continues if the store already contains the same snapshot. An accepted revision has only one
/// possible snapshot text, so it does not matter whether this writer or another wrote it.
void ConfigEditor::CheckSnapshot(const std::shared_ptr<Attempt>& attempt) {
  store_->Get(SnapshotKey(attempt->head.snapshot),
              [this, attempt](const Result<VersionedValue>& value) {
                if (!IsOk(value)) return attempt->done(ErrorOf(value));
                if (ValueOf(value).value == attempt->snapshot) return WriteHead(attempt);
                attempt->done(Error{ErrorKind::kUnavailable, "the snapshot could not be written",
                                    "run the same command again"});
              });
}

void ConfigEditor::WriteHead(const std::shared_ptr<Attempt>& attempt) {
  store_->CompareAndSwap(kHeadKey, attempt->expected, FormatConfigHead(attempt->head), Millis(0),
                         [this, attempt](const Result<StoreVersion>& written) {
                           if (IsOk(written)) return attempt->done(attempt->head.revision);
                           const ErrorKind kind = ErrorOf(written).kind;
                           if (kind == ErrorKind::kUnavailable) {
                             return attempt->done(ErrorOf(written));
                           }
                           ReadBack(attempt, kind != ErrorKind::kConflict, kReadBackTries);
                         });
}

void ConfigEditor::ReadBack(const std::shared_ptr<Attempt>& attempt, bool answer_lost, int tries) {
  store_->Get(kHeadKey, [this, attempt, answer_lost, tries](const Result<VersionedValue>& value) {
    const Error unknown{ErrorKind::kUnknownOutcome,
                        "it is not known whether change " + attempt->id + " was accepted",
                        "look for it with shallotctl config show before running the command again"};
    if (!IsOk(value) && tries > 1) return ReadBack(attempt, answer_lost, tries - 1);
    if (!IsOk(value)) return attempt->done(unknown);
    const Result<ConfigHead> parsed = ParseConfigHead(ValueOf(value).value);
    if (!IsOk(parsed)) return attempt->done(ErrorOf(parsed));
    const ConfigHead& head = ValueOf(parsed);
    for (const ConfigChange& change : head.changes) {
      if (change.id == attempt->id) return attempt->done(change.revision);
    }
    if (answer_lost && ValueOf(value).version == attempt->expected) return attempt->done(unknown);
    // The change may have been compacted into the snapshot, which has no change ids.
    if (answer_lost && head.snapshot >= attempt->head.revision) return attempt->done(unknown);
    attempt->done(ConflictWith(head));
  });
}

}  // namespace shallot
