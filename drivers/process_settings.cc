#include "drivers/process_settings.h"

#include <algorithm>
#include <sstream>

#include "drivers/zap_authenticator.h"

namespace shallot {
namespace {

LogLevel ReadLogLevel(SectionReader* reader) {
  const std::string level =
      reader->GetChoice("log_level", "info", {"debug", "info", "warning", "error"});
  if (level == "debug") return LogLevel::kDebug;
  if (level == "warning") return LogLevel::kWarning;
  return level == "error" ? LogLevel::kError : LogLevel::kInfo;
}

std::string ReadKey(SectionReader* reader, const std::string& key) {
  std::string value = reader->GetString(key, "");
  if (!value.empty() && !IsCurveKey(value)) {
    reader->Fail(key, "is not a CURVE key", "use the 40 characters of a key in Z85 encoding");
  }
  return value;
}

std::vector<std::string> ReadKeyList(SectionReader* reader, const std::string& key) {
  std::istringstream words(reader->GetString(key, ""));
  std::vector<std::string> keys;
  for (std::string word; words >> word; keys.push_back(word)) {
    if (IsCurveKey(word)) continue;
    reader->Fail(key, "contains a value that is not a CURVE key",
                 "list public keys of 40 characters in Z85 encoding, separated by spaces");
  }
  return keys;
}

/// Requires the server key and the allow list: an incomplete section would leave the port open
/// without the operator noticing.
void CheckComplete(const CurveKeys& keys, SectionReader* reader) {
  if (!reader->present()) return;
  if (keys.server_secret.empty()) {
    reader->Fail("server_secret", "is missing, so the port would accept every client",
                 "add it, for example from shallotctl keys, or remove the section");
  }
  if (keys.allowed_clients.empty()) {
    reader->Fail("allowed_clients", "is empty, so the port would refuse every client",
                 "list the public keys of the routers, separated by spaces");
  }
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
  keys.allowed_clients = ReadKeyList(&reader, "allowed_clients");
  const bool client = !keys.client_public.empty() && !keys.client_secret.empty();
  if (!keys.server_public.empty() && !client) {
    reader.Fail("server_public", "needs a client key pair", "add client_public and client_secret");
  }
  CheckComplete(keys, &reader);
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

Status ReadSharedSections(const IniDocument& document, const std::string& own,
                          ProcessSettings* process, CurveKeys* keys) {
  Status status = CheckSections(document, {"process", own, "keys"});
  if (!IsOk(status)) return status;
  const Result<ProcessSettings> read_process = ReadProcessSettings(document);
  if (!IsOk(read_process)) return ErrorOf(read_process);
  const Result<CurveKeys> read_keys = ReadCurveKeys(document);
  if (!IsOk(read_keys)) return ErrorOf(read_keys);
  *process = ValueOf(read_process);
  *keys = ValueOf(read_keys);
  return OkStatus();
}

}  // namespace shallot
