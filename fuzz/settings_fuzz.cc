#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "core/settings.h"
#include "drivers/agent_settings.h"
#include "drivers/router_settings.h"

/// Parses the input as INI text and as the settings of the agent and the router. The sections of an
/// accepted text must be unchanged after it is formatted and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto document = shallot::ParseIni(text, "fuzz.ini");
  if (!shallot::IsOk(document)) return 0;
  const shallot::IniDocument& parsed = shallot::ValueOf(document);
  (void)shallot::AgentSettingsBuilder(parsed).Build();
  (void)shallot::RouterSettingsBuilder(parsed).Build();
  const auto again = shallot::ParseIni(shallot::FormatIni(parsed), "fuzz.ini");
  if (!shallot::IsOk(again) || shallot::ValueOf(again).sections != parsed.sections) std::abort();
  return 0;
}
