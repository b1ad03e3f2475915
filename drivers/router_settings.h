#ifndef DRIVERS_ROUTER_SETTINGS_H_
#define DRIVERS_ROUTER_SETTINGS_H_

#include <cstdint>
#include <string>

#include "core/result.h"
#include "core/settings.h"
#include "drivers/process_settings.h"

namespace shallot {

/// Settings of shallot_router. Addresses are "IP:port".
struct RouterSettings {
  ProcessSettings process;
  CurveKeys keys;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  std::string platform_address;
  uint64_t caller_threads = 256;
  /// Time that a drain may take before the process exits anyway.
  Millis drain_grace{30'000};
};

/// Builds RouterSettings from an INI document. Tests replace addresses before Build().
class RouterSettingsBuilder {
 public:
  explicit RouterSettingsBuilder(const IniDocument& document);

  RouterSettingsBuilder& WithCallerAddress(const std::string& address);
  RouterSettingsBuilder& WithPeerAddress(const std::string& address);
  RouterSettingsBuilder& WithAdminAddress(const std::string& address);
  /// Returns the settings, or the first error with file, section, key and remedy.
  Result<RouterSettings> Build() const;

 private:
  RouterSettings settings_;
  Status status_ = OkStatus();
};

/// Loads and checks a settings file.
Result<RouterSettings> LoadRouterSettings(const std::string& path);

}  // namespace shallot

#endif  // DRIVERS_ROUTER_SETTINGS_H_
