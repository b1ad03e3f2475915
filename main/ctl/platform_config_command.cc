#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "main/ctl/commands.h"
#include "platform/platform_codec.h"
#include "servers/gateway/config_check.h"

namespace shallot::ctl {
namespace {

using gateway::ConfigDifference;
using gateway::ConfigFinding;
using gateway::FieldChange;
using gateway::FleetRoutes;
using nlohmann::json;

struct CheckResult {
  FleetRoutes fleet;
  std::vector<ConfigFinding> findings;
  std::vector<ConfigDifference> differences;
};

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (file && !file.bad()) return text.str();
  return Error{ErrorKind::kNotFound, "file \"" + path + "\" cannot be read",
               "check the path and the permissions"};
}

/// Checks the syntax of JSON. The parser's own message is not shown, because it repeats a part of
/// the text, which may be a key.
Status CheckSyntax(const std::string& path, const std::string& text) {
  try {
    [[maybe_unused]] const json parsed = json::parse(text);
    return OkStatus();
  } catch (const json::parse_error& error) {
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
    const auto line = std::count(text.begin(), end, '\n') + 1;
    return Error{ErrorKind::kInvalidArgument,
                 path + " is not JSON at line " + std::to_string(line) + ", byte " +
                     std::to_string(error.byte) + " of the file",
                 "correct the syntax there"};
  }
}

Result<FleetRoutes> ReadConfig(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!IsOk(text)) return ErrorOf(text);
  if (const Status syntax = CheckSyntax(path, ValueOf(text)); !IsOk(syntax)) return ErrorOf(syntax);
  const platform::PlatformCodec codec;
  Result<FleetRoutes> fleet = codec.DecodeRoutes(ValueOf(text));
  if (IsOk(fleet)) return fleet;
  return Error{ErrorOf(fleet).kind, path + ": " + ErrorOf(fleet).message,
               "correct the field; gateways keep the configuration in force and ignore this one"};
}

Result<CheckResult> Check(const CtlOptions& options) {
  const Result<FleetRoutes> fleet = ReadConfig(Argument(options, 1));
  if (!IsOk(fleet)) return ErrorOf(fleet);
  CheckResult result{ValueOf(fleet), gateway::CheckConfig(ValueOf(fleet)), {}};
  if (options.against.empty()) return result;
  const Result<FleetRoutes> in_force = ReadConfig(options.against);
  if (!IsOk(in_force)) return ErrorOf(in_force);
  result.differences = gateway::CompareConfigs(ValueOf(in_force), result.fleet);
  const auto replacement = gateway::CheckReplacement(ValueOf(in_force), result.fleet);
  result.findings.insert(result.findings.end(), replacement.begin(), replacement.end());
  return result;
}

void PrintJson(const std::string& path, const CheckResult& result) {
  json findings = json::array();
  for (const ConfigFinding& finding : result.findings) {
    findings.push_back({{"severity", FindingSeverityName(finding.severity)},
                        {"place", finding.place},
                        {"problem", finding.problem},
                        {"remedy", finding.remedy}});
  }
  json differences = json::array();
  for (const ConfigDifference& difference : result.differences) {
    json fields = json::array();
    for (const FieldChange& field : difference.fields) {
      fields.push_back({{"field", field.field}, {"from", field.from}, {"to", field.to}});
    }
    differences.push_back({{"change", ConfigChangeKindName(difference.kind)},
                           {"place", difference.place},
                           {"fields", fields}});
  }
  const json body = {{"file", path},
                     {"version", result.fleet.version.value()},
                     {"valid", !gateway::HasErrors(result.findings)},
                     {"findings", findings},
                     {"differences", differences}};
  std::cout << body.dump(-1, ' ', false, json::error_handler_t::replace) << std::endl;
}

void PrintText(const std::string& path, const CheckResult& result) {
  const FleetRoutes& fleet = result.fleet;
  std::cout << path << ": version " << fleet.version.value() << ", " << fleet.routes.size()
            << " routes, " << fleet.backends.size() << " backends, " << fleet.teams.size()
            << " teams, " << fleet.team_of_key.size() << " keys\n";
  for (const ConfigFinding& finding : result.findings) {
    std::cout << FindingSeverityName(finding.severity) << ": " << finding.place << ": "
              << finding.problem << "; " << finding.remedy << "\n";
  }
  for (const ConfigDifference& difference : result.differences) {
    std::cout << ConfigChangeKindName(difference.kind) << ": " << difference.place << "\n";
    for (const FieldChange& field : difference.fields) {
      std::cout << "  " << field.field << ": " << field.from << " -> " << field.to << "\n";
    }
  }
  std::cout << (gateway::HasErrors(result.findings) ? "not valid" : "valid") << std::endl;
}

}  // namespace

int RunCheckPlatformConfig(const CtlOptions& options) {
  const std::string path = Argument(options, 1);
  if (path.empty()) return UsageError("a file is missing");
  const Result<CheckResult> result = Check(options);
  if (!IsOk(result)) return Fail(options, ErrorOf(result));
  if (options.json) {
    PrintJson(path, ValueOf(result));
  } else {
    PrintText(path, ValueOf(result));
  }
  return gateway::HasErrors(ValueOf(result).findings) ? kExitBadSettings : kExitOk;
}

}  // namespace shallot::ctl
