#ifndef SERVERS_CONFIG_HEAD_H_
#define SERVERS_CONFIG_HEAD_H_

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "core/settings.h"

namespace shallot {

/// One section that a change replaces as a whole or removes.
struct SectionChange {
  std::string section;
  bool removed = false;
  /// Keys and values of a replaced section.
  std::map<std::string, std::string> values;

  bool operator==(const SectionChange&) const = default;
};

/// One accepted change of the configuration.
struct ConfigChange {
  /// Revision that the change produced.
  ConfigRevision revision;
  /// Unique; settles whether a write whose answer was lost took effect.
  std::string id;
  OperatorName author;
  /// UTC, ISO 8601.
  std::string time;
  std::string reason;
  std::vector<SectionChange> sections;

  bool operator==(const ConfigChange&) const = default;
};

/// The value of `config/head`: the newest revision as a snapshot and the changes since.
struct ConfigHead {
  ConfigRevision revision;
  /// Revision of the snapshot at `config/snapshot/REVISION`.
  ConfigRevision snapshot;
  /// Revision after which the changes begin when a peer was sent only what it lacked; 0 in the
  /// store, where the changes begin after the snapshot.
  ConfigRevision base;
  /// One change for each revision after the snapshot or base, in order.
  std::vector<ConfigChange> changes;

  bool operator==(const ConfigHead&) const = default;
};

/// Parses the JSON text of a head. kInvalidArgument when it is malformed or its changes do not
/// lead from the snapshot to the revision one by one.
Result<ConfigHead> ParseConfigHead(const std::string& text);
/// JSON text of a head.
std::string FormatConfigHead(const ConfigHead& head);

/// Applies the sections of one change to a document.
void ApplyChange(const ConfigChange& change, IniDocument* document);

/// The document at `revision`, from the snapshot text and the changes up to it. kInvalidArgument:
/// the snapshot cannot be parsed. kNotFound: the head does not reach from the snapshot to it.
Result<IniDocument> BuildDocument(const ConfigHead& head, const std::string& snapshot,
                                  ConfigRevision revision);

/// The text of the snapshot before the first change of a fleet (revision 0).
const char* EmptySnapshot();

}  // namespace shallot

#endif  // SERVERS_CONFIG_HEAD_H_
