#include "drivers/process_settings.h"

#include <algorithm>

namespace shallot {
namespace {

// Z85 text of a 32 byte key.
constexpr size_t kKeyLength = 40;

LogLevel ReadLogLevel(SectionReader* reader) {
  const std::string level =
      reader->GetChoice("log_level", "info", {"debug", "info", "warning", "error"});
  if (level == "debug") return LogLevel::kDebug;
  if (level == "warning") return LogLevel::kWarning;
  return level == "error" ? LogLevel::kError : LogLevel::kInfo;
}

std::string ReadKey(SectionReader* reader, const std::string& key) {
  std::string value = reader->GetString(key, "");
  if (!value.empty() && value.size() != kKeyLength) {
    reader->Fail(key, "is not a CURVE key", "use the 40 characters of Z85 text");
  }
  return value;
}

}  // namespace

Result<ProcessSettings> ReadProcessSettings(const IniDocument& document) {
  SectionReader reader(document, "process");
  ProcessSettings settings;
  settings.id = InstanceId(reader.GetString("id"));
  settings.failure_domain = FailureDomain(reader.GetString("failure_domain"));
  settings.region = Region(reader.GetString("region"));
  settings.log_level = ReadLogLevel(&reader);
  if (reader.GetChoice("log_format", "text", {"text", "json"}) == "json") {
    settings.log_format = LogFormat::kJson;
  }
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

Result<CurveKeys> ReadCurveKeys(const IniDocument& document) {
  SectionReader reader(document, "keys", true);
  CurveKeys keys;
  keys.server_secret = ReadKey(&reader, "server_secret");
  keys.server_public = ReadKey(&reader, "server_public");
  keys.client_public = ReadKey(&reader, "client_public");
  keys.client_secret = ReadKey(&reader, "client_secret");
  const bool client = !keys.client_public.empty() && !keys.client_secret.empty();
  if (!keys.server_public.empty() && !client) {
    reader.Fail("server_public", "needs a client key pair", "add client_public and client_secret");
  }
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return keys;
}

Status CheckSections(const IniDocument& document, const std::vector<std::string>& known) {
  for (const IniSection& section : document.sections) {
    if (std::find(known.begin(), known.end(), section.name) != known.end()) continue;
    std::string names;
    for (const std::string& name : known) names += (names.empty() ? "" : ", ") + name;
    return Error{ErrorKind::kInvalidArgument,
                 document.source + ": section [" + section.name + "] is unknown",
                 "remove it or use one of: " + names};
  }
  return OkStatus();
}

}  // namespace shallot
