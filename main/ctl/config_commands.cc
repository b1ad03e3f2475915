#include <charconv>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "main/ctl/commands.h"
#include "main/ctl/session.h"
#include "servers/fleet_config.h"

namespace shallot::ctl {
namespace {

using nlohmann::json;

constexpr Millis kPollInterval{100};

ChangeNote MakeChangeNote(const CtlOptions& options) {
  return ChangeNote{OperatorName(options.author), options.reason, ConfigRevision(options.base)};
}

/// Loads a file and validates it as a fleet configuration.
Result<IniDocument> LoadValidated(const std::string& path) {
  Result<IniDocument> document = LoadIni(path);
  if (!IsOk(document)) return document;
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(ValueOf(document)), path, ConfigRevision(0));
  if (!IsOk(config)) return ErrorOf(config);
  return document;
}

int ShowConfig(const CtlOptions& options) {
  Session session(options.platform);
  const Result<ConfigState> state = session.ReadConfig();
  if (!IsOk(state)) return Fail(options, ErrorOf(state));
  const ConfigState& current = ValueOf(state);
  const std::string text = FormatIni(current.document);
  if (options.json) {
    json changes = json::array();
    for (const ConfigChange& change : current.head.changes) {
      changes.push_back({{"revision", change.revision.value()},
                         {"author", change.author.value()},
                         {"time", change.time},
                         {"reason", change.reason}});
    }
    std::cout << json{{"revision", current.head.revision.value()},
                      {"changes", changes},
                      {"text", text}}
                     .dump()
              << std::endl;
    return kExitOk;
  }
  std::cout << "; revision " << current.head.revision.value() << "\n";
  for (const ConfigChange& change : current.head.changes) {
    std::cout << "; change " << change.revision.value() << " by " << change.author.value() << " at "
              << change.time << ": " << change.reason << "\n";
  }
  std::cout << "\n" << text << std::flush;
  return kExitOk;
}

int DiffConfig(const CtlOptions& options) {
  const Result<IniDocument> file = LoadIni(Argument(options, 2));
  if (!IsOk(file)) return Fail(options, ErrorOf(file));
  Session session(options.platform);
  const Result<ConfigState> state = session.ReadConfig();
  if (!IsOk(state)) return Fail(options, ErrorOf(state));
  const std::string diff = FormatDiff(ValueOf(state).document, ValueOf(file));
  if (options.json) {
    const uint64_t revision = ValueOf(state).head.revision.value();
    std::cout << json{{"revision", revision}, {"diff", diff}}.dump() << std::endl;
  } else {
    std::cout << diff << std::flush;
  }
  return kExitOk;
}

int CheckConfig(const CtlOptions& options) {
  const std::string path = Argument(options, 2);
  const Result<IniDocument> document = LoadValidated(path);
  if (!IsOk(document)) return Fail(options, ErrorOf(document));
  if (options.json) {
    std::cout << json{{"file", path}, {"valid", true}}.dump() << std::endl;
  } else {
    std::cout << path << " is valid" << std::endl;
  }
  return kExitOk;
}

int PrintRevision(const CtlOptions& options, const Result<ConfigRevision>& revision) {
  if (!IsOk(revision)) return Fail(options, ErrorOf(revision));
  const uint64_t value = ValueOf(revision).value();
  if (options.json) {
    std::cout << json{{"revision", value}}.dump() << std::endl;
  } else {
    std::cout << "accepted as revision " << value << std::endl;
  }
  return kExitOk;
}

int ApplyConfig(const CtlOptions& options) {
  const Result<IniDocument> document = LoadValidated(Argument(options, 2));
  if (!IsOk(document)) return Fail(options, ErrorOf(document));
  Session session(options.platform);
  const auto start = [&](const ConfigEditor::ChangeCallback& done) {
    session.editor().ApplyText(FormatIni(ValueOf(document)), MakeChangeNote(options), done);
  };
  return PrintRevision(options, session.Wait<ConfigRevision>(start));
}

/// Active configuration revision of a daemon; 0 when it does not answer.
uint64_t FetchRevision(const std::string& address) {
  const Result<std::string> status = Fetch(address, "GET", "/status");
  if (!IsOk(status)) return 0;
  const json parsed = json::parse(ValueOf(status), nullptr, false);
  return parsed.is_object() ? parsed.value("config_revision", uint64_t{0}) : 0;
}

bool AllAtLeast(const std::map<std::string, uint64_t>& revisions, uint64_t wanted) {
  for (const auto& [address, revision] : revisions) {
    if (revision < wanted) return false;
  }
  return true;
}

int WaitForRevision(const CtlOptions& options) {
  const std::string text = Argument(options, 2);
  uint64_t wanted = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), wanted);
  if (parsed.ec != std::errc() || wanted == 0) return UsageError("config wait needs a revision");
  if (options.routers.empty()) return UsageError("config wait needs --router IP:PORT");
  const SystemClock clock;
  const SteadyTime end = clock.SteadyNow() + options.timeout;
  std::map<std::string, uint64_t> revisions;
  while (true) {
    for (const std::string& router : options.routers) revisions[router] = FetchRevision(router);
    if (AllAtLeast(revisions, wanted) || clock.SteadyNow() >= end) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  if (options.json) {
    std::cout << json(revisions).dump() << std::endl;
  } else {
    for (const auto& [address, revision] : revisions) {
      std::cout << address << " has revision " << revision << "\n";
    }
  }
  if (AllAtLeast(revisions, wanted)) return kExitOk;
  std::cerr << "shallotctl: revision " << wanted << " is not yet active at every daemon after "
            << options.timeout.count() << " s; see shallotctl status" << std::endl;
  return kExitUnavailable;
}

/// Parses "key=value" arguments; returns an empty map when one is malformed.
std::map<std::string, std::string> ParseKeyValues(const std::vector<std::string>& arguments) {
  std::map<std::string, std::string> values;
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    if (equals == std::string::npos || equals == 0) return {};
    values[argument.substr(0, equals)] = argument.substr(equals + 1);
  }
  return values;
}

int ListExceptions(const CtlOptions& options) {
  Session session(options.platform);
  const Result<ConfigState> state = session.ReadConfig();
  if (!IsOk(state)) return Fail(options, ErrorOf(state));
  const ConfigState& current = ValueOf(state);
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(current.document), current.document.source, current.head.revision);
  if (!IsOk(config)) return Fail(options, ErrorOf(config));
  json list = json::array();
  for (const ConfigException& each : ValueOf(config).exceptions) {
    list.push_back({{"name", each.name},
                    {"target", each.target},
                    {"reason", each.reason},
                    {"author", each.author.value()},
                    {"time", each.time},
                    {"values", each.values}});
    if (options.json) continue;
    std::cout << each.name << " (" << each.target << ")\n  reason: " << each.reason << "\n  by "
              << each.author.value() << " at " << each.time << "\n";
    for (const auto& [key, value] : each.values) std::cout << "  " << key << " = " << value << "\n";
  }
  if (options.json) std::cout << list.dump() << std::endl;
  return kExitOk;
}

int AddException(const CtlOptions& options) {
  const std::map<std::string, std::string> values = ParseKeyValues(options.exception_values);
  if (options.target.empty()) return UsageError("exception add needs --target \"entry NAME\"");
  if (values.empty()) return UsageError("exception add needs --set KEY=VALUE");
  Session session(options.platform);
  const auto start = [&](const ConfigEditor::ChangeCallback& done) {
    session.editor().SetException(Argument(options, 2), options.target, values,
                                  MakeChangeNote(options), done);
  };
  return PrintRevision(options, session.Wait<ConfigRevision>(start));
}

int RemoveException(const CtlOptions& options) {
  Session session(options.platform);
  const auto start = [&](const ConfigEditor::ChangeCallback& done) {
    session.editor().RemoveException(Argument(options, 2), MakeChangeNote(options), done);
  };
  return PrintRevision(options, session.Wait<ConfigRevision>(start));
}

/// Describes the first argument that a configuration change lacks; empty when it is complete.
std::string FindMissingArgument(const CtlOptions& options) {
  if (Argument(options, 2).empty()) return "a file or name is missing";
  if (options.reason.empty()) return "--reason is missing; each change needs a reason";
  if (options.author.empty()) return "--author is missing";
  if (options.platform.empty()) return "--platform IP:PORT is missing";
  return "";
}

}  // namespace

int RunConfigCommand(const CtlOptions& options) {
  const std::string subcommand = Argument(options, 1);
  if (subcommand == "wait") return WaitForRevision(options);
  if (subcommand != "show" && Argument(options, 2).empty()) return UsageError("a file is missing");
  if (subcommand == "check") return CheckConfig(options);
  if (options.platform.empty()) return UsageError("--platform IP:PORT is missing");
  if (subcommand == "show") return ShowConfig(options);
  if (subcommand == "diff") return DiffConfig(options);
  if (subcommand != "apply") return UsageError("unknown command \"config " + subcommand + "\"");
  const std::string missing = FindMissingArgument(options);
  return missing.empty() ? ApplyConfig(options) : UsageError(missing);
}

int RunExceptionCommand(const CtlOptions& options) {
  const std::string subcommand = Argument(options, 1);
  if (options.platform.empty()) return UsageError("--platform IP:PORT is missing");
  if (subcommand == "list") return ListExceptions(options);
  if (subcommand != "add" && subcommand != "remove") {
    return UsageError("unknown command \"exception " + subcommand + "\"");
  }
  const std::string missing = FindMissingArgument(options);
  if (!missing.empty()) return UsageError(missing);
  return subcommand == "add" ? AddException(options) : RemoveException(options);
}

}  // namespace shallot::ctl
