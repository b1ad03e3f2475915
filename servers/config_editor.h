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

/// Maximum number of changes in a head; the editor then compacts them into a snapshot.
constexpr size_t kMaxChangesSinceSnapshot = 64;

/// The configuration as read from the store.
struct ConfigState {
  /// Version of `config/head`; 0 when there is no configuration yet.
  StoreVersion version;
  ConfigHead head;
  std::string snapshot;
  IniDocument document;
};

/// Author, reason and base revision of a configuration change.
struct ChangeNote {
  OperatorName author;
  std::string reason;
  /// Revision on which the change is based; 0 accepts any. The change fails with kConflict if
  /// another revision is current.
  ConfigRevision base;
};

/// Computes the changes from the configuration that was read.
using ChangePlan = std::function<Result<std::vector<SectionChange>>(const ConfigState&)>;

/// Sections to replace and remove to turn `from` into `to`.
std::vector<SectionChange> DiffDocuments(const IniDocument& from, const IniDocument& to);
/// The difference as text: lines with "-" and "+" below the name of each section that differs.
std::string FormatDiff(const IniDocument& from, const IniDocument& to);

/// Reads and changes the fleet configuration in the platform store. For each change the complete
/// new configuration is validated and then committed by one compare-and-swap of `config/head`.
///
/// Errors of a change: kInvalidArgument (the new configuration would be invalid), kConflict
/// (another change was committed first; the message names its revision), kUnavailable (nothing
/// changed), kUnknownOutcome (the response was lost and reading the head back did not show whether
/// the change was committed; the message names the change id).
class ConfigEditor {
 public:
  using ReadCallback = std::function<void(const Result<ConfigState>&)>;
  /// Receives the revision that the change produced.
  using ChangeCallback = std::function<void(const Result<ConfigRevision>&)>;

  /// `session` makes change ids unique; use a new random value for each process.
  ConfigEditor(PlatformStore* store, const Clock* clock, uint64_t session);

  void Read(const ReadCallback& done);
  /// Replaces the configuration with `text`.
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
