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
  /// Unique; used to find out whether a write took effect when its response was lost.
  std::string id;
  OperatorName author;
  /// UTC, ISO 8601.
  std::string time;
  std::string reason;
  std::vector<SectionChange> sections;

  bool operator==(const ConfigChange&) const = default;
};

/// The value of `config/head`: the newest revision as a reference to a snapshot and the changes
/// since.
struct ConfigHead {
  ConfigRevision revision;
  /// Revision of the snapshot at `config/snapshot/REVISION`.
  ConfigRevision snapshot;
  /// Revision after which the changes begin, in a head that contains only the changes that a peer
  /// lacks; 0 in the store, where the changes begin after the snapshot.
  ConfigRevision base;
  /// One change for each revision after the snapshot or base, in order.
  std::vector<ConfigChange> changes;

  bool operator==(const ConfigHead&) const = default;
};

/// Parses the JSON text of a head. kInvalidArgument when it is malformed or its changes are not
/// consecutive from the snapshot or base to the revision.
Result<ConfigHead> ParseConfigHead(const std::string& text);
/// JSON text of a head.
std::string FormatConfigHead(const ConfigHead& head);

/// Applies the sections of one change to a document.
void ApplyChange(const ConfigChange& change, IniDocument* document);

/// Builds the document at `revision` from the snapshot text and the changes up to it.
/// kInvalidArgument: the snapshot cannot be parsed. kNotFound: `revision` is before the snapshot or
/// after the head.
Result<IniDocument> BuildDocument(const ConfigHead& head, const std::string& snapshot,
                                  ConfigRevision revision);

/// Snapshot text of revision 0, before the first change of a fleet.
const char* EmptySnapshot();

}  // namespace shallot

#endif  // SERVERS_CONFIG_HEAD_H_
