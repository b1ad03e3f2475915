#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "servers/fleet_config.h"

/// Parses the input as a fleet configuration. In an accepted one, every entry and its base model
/// must be found, and looking up a route of each service must not crash.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = shallot::ParseFleetConfig(text, "fuzz.ini", shallot::ConfigRevision(1));
  if (!shallot::IsOk(parsed)) return 0;
  const shallot::FleetConfig& config = shallot::ValueOf(parsed);
  for (const auto& [id, entry] : config.entries) {
    if (config.FindEntry(id) == nullptr || config.FindEntry(entry.base) == nullptr) std::abort();
  }
  for (const auto& service : config.services) (void)config.FindRoute(service, "GET", "/orders/1");
  return 0;
}
