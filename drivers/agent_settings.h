#ifndef DRIVERS_AGENT_SETTINGS_H_
#define DRIVERS_AGENT_SETTINGS_H_

#include <cstdint>
#include <string>

#include "core/result.h"
#include "core/settings.h"
#include "drivers/process_settings.h"

namespace shallot {

/// Settings of shallot_agent. Addresses are "IP:port".
struct AgentSettings {
  ProcessSettings process;
  CurveKeys keys;
  RunnerId runner;
  BackendName backend;
  std::string control_address;
  std::string admin_address;
  /// Exactly one of `engine_address` and `service_address` is set.
  std::string engine_address;
  std::string service_address;
  std::string platform_address;
  /// Empty: the status of the weight store is not polled.
  std::string weights_address;
  uint64_t service_concurrency = 8;
  /// Time that running calls get to finish when SIGTERM starts a drain.
  Millis drain_grace{30'000};
};

/// Builds AgentSettings from an INI document. Tests replace addresses before Build().
class AgentSettingsBuilder {
 public:
  explicit AgentSettingsBuilder(const IniDocument& document);

  AgentSettingsBuilder& WithControlAddress(const std::string& address);
  AgentSettingsBuilder& WithAdminAddress(const std::string& address);
  /// Returns the settings, or the first error with file, section, key and remedy.
  Result<AgentSettings> Build() const;

 private:
  AgentSettings settings_;
  Status status_ = OkStatus();
};

/// Loads and checks a settings file.
Result<AgentSettings> LoadAgentSettings(const std::string& path);

}  // namespace shallot

#endif  // DRIVERS_AGENT_SETTINGS_H_
