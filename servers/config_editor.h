#ifndef SERVERS_CONFIG_EDITOR_H_
#define SERVERS_CONFIG_EDITOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/settings.h"
#include "servers/config_head.h"
#include "servers/platform_store.h"

namespace shallot {

/// Changes of a head that are kept apart before the editor folds them into a snapshot.
constexpr size_t kMaxChangesSinceSnapshot = 64;

/// The configuration as read from the store.
struct ConfigState {
  /// Version of `config/head`; 0 when there is no configuration yet.
  StoreVersion version;
  ConfigHead head;
  std::string snapshot;
  IniDocument document;
};

/// Who changes the configuration, and why.
struct ChangeNote {
  OperatorName author;
  std::string reason;
  /// Revision that the change was made against; 0 means whichever is current. Another current
  /// revision is a conflict.
  ConfigRevision base;
};

/// What to change, decided from the configuration that was read.
using ChangePlan = std::function<Result<std::vector<SectionChange>>(const ConfigState&)>;

/// Sections to replace and remove to get from one document to another.
std::vector<SectionChange> DiffDocuments(const IniDocument& from, const IniDocument& to);
/// The difference as text: lines with "-" and "+" below the name of each section that differs.
std::string FormatDiff(const IniDocument& from, const IniDocument& to);

/// Reads and changes the fleet configuration in the platform store. Each change is checked as a
/// whole and accepted by one compare-and-swap of `config/head`.
///
/// Errors of a change: kInvalidArgument (the configuration would be wrong), kConflict (names the
/// revision that won), kUnavailable (nothing changed), kUnknownOutcome (the answer was lost and
/// reading it back failed too; the message names the change id).
class ConfigEditor {
 public:
  using ReadCallback = std::function<void(const Result<ConfigState>&)>;
  /// Receives the revision that the change produced.
  using ChangeCallback = std::function<void(const Result<ConfigRevision>&)>;

  /// `session` makes change ids unique; draw it anew for each process.
  ConfigEditor(PlatformStore* store, const Clock* clock, uint64_t session);

  void Read(const ReadCallback& done);
  /// Makes the configuration equal to `text`.
  void ApplyText(const std::string& text, const ChangeNote& note, ChangeCallback done);
  void ApplySections(const std::vector<SectionChange>& sections, const ChangeNote& note,
                     ChangeCallback done);
  /// Adds or replaces the exception `name` for `target` ("entry X" or "class X").
  void SetException(const std::string& name, const std::string& target,
                    const std::map<std::string, std::string>& values, const ChangeNote& note,
                    ChangeCallback done);
  /// kNotFound when there is no such exception.
  void RemoveException(const std::string& name, const ChangeNote& note, ChangeCallback done);

 private:
  struct Attempt;

  void Change(const ChangeNote& note, ChangePlan plan, ChangeCallback done);
  void OnRead(const std::shared_ptr<Attempt>& attempt, const Result<ConfigState>& state);
  void WriteSnapshot(const std::shared_ptr<Attempt>& attempt);
  void CheckSnapshot(const std::shared_ptr<Attempt>& attempt);
  void WriteHead(const std::shared_ptr<Attempt>& attempt);
  void ReadBack(const std::shared_ptr<Attempt>& attempt, bool answer_lost, int tries);
  std::string UtcNow() const;

  PlatformStore* store_;
  const Clock* clock_;
  uint64_t session_;
  uint64_t changes_made_ = 0;
};

}  // namespace shallot

#endif  // SERVERS_CONFIG_EDITOR_H_
