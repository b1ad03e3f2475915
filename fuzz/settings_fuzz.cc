#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "core/settings.h"
#include "drivers/agent_settings.h"
#include "drivers/router_settings.h"

/// Reads the input as an INI text and as the settings of both daemons. What is accepted must keep
/// its sections when it is written and read again.
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
