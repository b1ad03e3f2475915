#include "drivers/agent_settings.h"

namespace shallot {
namespace {

constexpr Millis kMaxDrainGrace{3'600'000};

/// Reads an optional address; empty if the key is absent.
std::string OptionalAddress(const IniDocument& document, SectionReader* reader,
                            const std::string& key) {
  const IniSection* section = document.Find("agent");
  // GetString() with a default registers the key, so that Finish() lists it among the known keys.
  if (section == nullptr || !section->values.contains(key)) return reader->GetString(key, "");
  return reader->GetAddress(key);
}

Status ReadAgent(const IniDocument& document, AgentSettings* settings) {
  SectionReader reader(document, "agent");
  settings->runner = RunnerId(reader.GetString("runner"));
  settings->backend = BackendName(reader.GetString("backend"));
  settings->control_address = reader.GetAddress("control_address");
  settings->admin_address = reader.GetAddress("admin_address");
  settings->platform_address = reader.GetAddress("platform_address");
  settings->engine_address = OptionalAddress(document, &reader, "engine_address");
  settings->service_address = OptionalAddress(document, &reader, "service_address");
  settings->weights_address = OptionalAddress(document, &reader, "weights_address");
  settings->service_concurrency =
      reader.GetUint("service_concurrency", settings->service_concurrency, 1, 256);
  settings->drain_grace =
      reader.GetMillis("drain_grace_ms", settings->drain_grace, Millis(0), kMaxDrainGrace);
  if (settings->engine_address.empty() == settings->service_address.empty()) {
    reader.Fail("engine_address",
                "must be set if service_address is not, and must not be set if it is",
                "keep exactly one of engine_address and service_address");
  }
  return reader.Finish();
}

}  // namespace

AgentSettingsBuilder::AgentSettingsBuilder(const IniDocument& document) {
  status_ = ReadSharedSections(document, "agent", &settings_.process, &settings_.keys);
  if (!IsOk(status_)) return;
  status_ = ReadAgent(document, &settings_);
}

AgentSettingsBuilder& AgentSettingsBuilder::WithControlAddress(const std::string& address) {
  settings_.control_address = address;
  return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::WithAdminAddress(const std::string& address) {
  settings_.admin_address = address;
  return *this;
}

Result<AgentSettings> AgentSettingsBuilder::Build() const {
  if (!IsOk(status_)) return ErrorOf(status_);
  return settings_;
}

Result<AgentSettings> LoadAgentSettings(const std::string& path) {
  const Result<IniDocument> document = LoadIni(path);
  if (!IsOk(document)) return ErrorOf(document);
  return AgentSettingsBuilder(ValueOf(document)).Build();
}

}  // namespace shallot
