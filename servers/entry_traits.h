#ifndef SERVERS_ENTRY_TRAITS_H_
#define SERVERS_ENTRY_TRAITS_H_

#include <vector>

#include "servers/crash_quarantine.h"
#include "servers/fleet_config.h"

namespace shallot {

/// The traits of all calls for a catalogue entry, and of its load: the entry, and the base model of
/// an adapter, as "entry:ID".
inline std::vector<CallTrait> TraitsOfEntry(const CatalogEntry& entry) {
  std::vector<CallTrait> traits{MakeTrait("entry:" + entry.id.value())};
  if (entry.base != entry.id) traits.push_back(MakeTrait("entry:" + entry.base.value()));
  return traits;
}

}  // namespace shallot

#endif  // SERVERS_ENTRY_TRAITS_H_
