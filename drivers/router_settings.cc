#include "drivers/router_settings.h"

namespace shallot {
namespace {

constexpr Millis kMaxDrainGrace{3'600'000};

Status ReadRouter(const IniDocument& document, RouterSettings* settings) {
  SectionReader reader(document, "router");
  settings->caller_address = reader.GetAddress("caller_address");
  settings->peer_address = reader.GetAddress("peer_address");
  settings->admin_address = reader.GetAddress("admin_address");
  settings->platform_address = reader.GetAddress("platform_address");
  settings->caller_threads = reader.GetUint("caller_threads", settings->caller_threads, 2, 4096);
  settings->drain_grace =
      reader.GetMillis("drain_grace_ms", settings->drain_grace, Millis(0), kMaxDrainGrace);
  return reader.Finish();
}

}  // namespace

RouterSettingsBuilder::RouterSettingsBuilder(const IniDocument& document) {
  status_ = ReadSharedSections(document, "router", &settings_.process, &settings_.keys);
  if (!IsOk(status_)) return;
  status_ = ReadRouter(document, &settings_);
}

RouterSettingsBuilder& RouterSettingsBuilder::WithCallerAddress(const std::string& address) {
  settings_.caller_address = address;
  return *this;
}

RouterSettingsBuilder& RouterSettingsBuilder::WithPeerAddress(const std::string& address) {
  settings_.peer_address = address;
  return *this;
}

RouterSettingsBuilder& RouterSettingsBuilder::WithAdminAddress(const std::string& address) {
  settings_.admin_address = address;
  return *this;
}

Result<RouterSettings> RouterSettingsBuilder::Build() const {
  if (!IsOk(status_)) return ErrorOf(status_);
  return settings_;
}

Result<RouterSettings> LoadRouterSettings(const std::string& path) {
  const Result<IniDocument> document = LoadIni(path);
  if (!IsOk(document)) return ErrorOf(document);
  return RouterSettingsBuilder(ValueOf(document)).Build();
}

}  // namespace shallot
