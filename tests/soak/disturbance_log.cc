#include "tests/soak/disturbance_log.h"

#include <algorithm>

namespace shallot::soak {

size_t DisturbanceLog::Begin(Scope scope, SteadyTime now, bool planned) {
  entries_.push_back({scope, now, std::nullopt, planned});
  return entries_.size() - 1;
}

void DisturbanceLog::End(size_t disturbance, SteadyTime now) { entries_[disturbance].to = now; }

void DisturbanceLog::Add(Scope scope, SteadyTime from, SteadyTime to, bool planned) {
  entries_.push_back({scope, from, to, planned});
}

bool DisturbanceLog::Undisturbed(const std::vector<Scope>& scopes, SteadyTime from, SteadyTime to,
                                 bool include_planned) const {
  return std::none_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    if (entry.planned && !include_planned) return false;
    if (entry.from > to || (entry.to && *entry.to < from)) return false;
    return std::find(scopes.begin(), scopes.end(), entry.scope) != scopes.end();
  });
}

}  // namespace shallot::soak
