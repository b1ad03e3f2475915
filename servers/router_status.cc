#include "servers/router_status.h"

#include <nlohmann/json.hpp>

namespace shallot {
namespace {

using Json = nlohmann::json;

Json Names(const std::vector<EntryId>& entries) {
  Json names = Json::array();
  for (const EntryId& entry : entries) names.push_back(entry.value());
  return names;
}

/// For each loaded entry of a runner, the slot that permits it, or that there is none.
Json LoadedWhy(const RunnerId& id, const std::vector<EntryId>& loaded,
               const CallDispatcher& calls) {
  Json why = Json::object();
  for (const EntryId& entry : loaded) {
    const Slot* slot = calls.FindSlot(entry, id);
    if (slot == nullptr) {
      why[entry.value()] =
          "no slot; the agent will unload it, or a newer placement has not arrived yet";
      continue;
    }
    why[entry.value()] = std::string(slot->state == SlotState::kActive ? "active" : "releasing") +
                         " slot, generation " + std::to_string(slot->generation.value());
  }
  return why;
}

Json RunnerJson(const RunnerId& id, const RunnerDirectory& directory, const CallDispatcher& calls,
                SteadyTime now) {
  const RunnerView& view = *directory.Find(id);
  Json json = {{"runner", id.value()},
               {"backend", view.record.backend.value()},
               {"instance", view.record.id.value()},
               {"failure_domain", view.record.failure_domain.value()},
               {"connected", view.up},
               {"home", directory.IsHome(id)},
               {"leaving", view.record.leaving},
               {"draining", view.draining},
               {"serving", view.load.serving},
               {"breaker", BreakerStateName(view.breaker.state(now))},
               {"outstanding", view.TotalOutstanding()},
               {"running", view.load.running},
               {"queued", view.load.queued},
               {"loaded", Names(view.load.loaded)},
               {"loaded_why", LoadedWhy(id, view.load.loaded, calls)},
               {"memory_capacity", view.load.memory_capacity.value()},
               {"memory_reserved", view.load.memory_reserved.value()}};
  if (view.reported_at.has_value()) {
    json["report_age_ms"] = std::chrono::floor<Millis>(now - *view.reported_at).count();
  }
  return json;
}

}  // namespace

std::string RouterStatusJson(const RouterOptions& options, const RunnerDirectory& directory,
                             const CallDispatcher& calls, const Clock& clock,
                             const std::string& control) {
  const SteadyTime now = clock.SteadyNow();
  const auto& config = calls.config();
  Json json = {{"router", options.id.value()},
               {"failure_domain", options.failure_domain.value()},
               {"config_revision", config == nullptr ? 0 : config->revision.value()},
               {"calls_in_progress", calls.in_progress()},
               {"calls_waiting", calls.waiting()},
               {"retry_tokens", calls.retry_tokens()},
               {"connections", directory.connections()}};
  json["runners"] = Json::array();
  for (const RunnerId& id : directory.runners()) {
    json["runners"].push_back(RunnerJson(id, directory, calls, now));
  }
  json["quarantined"] = Json::array();
  for (const QuarantinedTraits& entry : calls.quarantine().Quarantined(now)) {
    json["quarantined"].push_back({{"traits", DescribeTraits(entry.traits)},
                                   {"remaining_ms", entry.remaining.count()},
                                   {"relapses", entry.relapses}});
  }
  json["refusals"] = Json::object();
  for (const auto& [reason, count] : calls.refusals()) json["refusals"][reason] = count;
  json["placements"] = Json::object();
  for (const auto& [shard, version] : calls.PlacementVersions()) {
    json["placements"][std::to_string(shard.value())] = version.value();
  }
  const Json parsed = Json::parse(control, nullptr, false);
  json["control"] = parsed.is_discarded() ? Json::object() : parsed;
  return json.dump();
}

}  // namespace shallot
