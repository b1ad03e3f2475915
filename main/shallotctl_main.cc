#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "main/ctl/commands.h"

namespace {

using shallot::ctl::CtlOptions;

constexpr const char* kCommands = R"(
Commands:
  config show                      print the configuration and its changes
  config diff FILE                 compare it with a file
  config check FILE                check a file without applying it
  config apply FILE                replace the configuration by that of a file
  config wait REV                  wait until all given daemons have the revision
  check-platform-config FILE       check a configuration of the users' platform as its gateways read
                                   it; --against FILE compares it with the one in force
  exception add NAME               needs --target "entry X" or "class X", and --set KEY=VALUE
  exception remove NAME
  exception list
  status                           of the given routers, or the instances that the platform lists
  drain RUNNER|INSTANCE            at its admin address (--router), or mark it as leaving
                                   in the platform's list (--platform)
  catalog                          entries, their policy and where they are loaded
  report burn                      error budget consumption by class
  explain REQUEST LOG...           timeline and causes of failure of a call, from gateway logs
  quarantine                       calls that gateways refuse because such calls crash runners;
                                   --router names the gateways' metrics addresses
  limits                           runners that limit their calls; --router as for quarantine
  runners                          runners that take no calls now: leaving, closed, limited or
                                   unavailable; --router as for quarantine
  store                            what gateways have read from the platform's store: its era,
                                   configuration and leader; --router as for quarantine
  keys [ROUTER...]                 generate the keys of a fleet: section [keys] for the agents and
                                   [keys ROUTER] for the [keys] of each router; without names
                                   one [keys] for all

Changes need --reason and --author.
Exit codes: 0 ok, 1 failure, 2 usage, 3 bad settings, 4 unavailable, 5 conflict.
)";

struct RawOptions {
  CtlOptions options;
  std::string output = "text";
  uint64_t timeout_s = 30;
  uint64_t interval_s = 5;
};

cxxopts::Options MakeParser(RawOptions& raw) {
  CtlOptions& options = raw.options;
  cxxopts::Options parser("shallotctl", "Operates a shallotspread fleet");
  parser.positional_help("COMMAND [ARGUMENT...]");
  auto add = parser.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("platform", "IP:PORT of the platform service", cxxopts::value(options.platform));
  add("router", "admin IP:PORT of a daemon; repeatable", cxxopts::value(options.routers));
  add("output", "text or json", cxxopts::value(raw.output));
  add("reason", "why the change is made", cxxopts::value(options.reason));
  add("author", "who makes the change", cxxopts::value(options.author));
  add("base", "revision that the change builds on", cxxopts::value(options.base));
  add("target", "what an exception applies to", cxxopts::value(options.target));
  add("set", "KEY=VALUE of an exception; repeatable", cxxopts::value(options.exception_values));
  add("timeout-s", "time limit of config wait", cxxopts::value(raw.timeout_s));
  add("interval-s", "report: time between samples", cxxopts::value(raw.interval_s));
  add("samples", "report: number of samples", cxxopts::value(options.samples));
  add("against", "check-platform-config: file with the one in force",
      cxxopts::value(options.against));
  add("csv", "report: file for all rows", cxxopts::value(options.csv));
  add("plot", "report: file for a gnuplot script", cxxopts::value(options.plot));
  add("words", "", cxxopts::value(options.arguments));
  parser.parse_positional({"words"});
  return parser;
}

int Dispatch(const CtlOptions& options) {
  const std::string command = shallot::ctl::Argument(options, 0);
  if (command == "config") return shallot::ctl::RunConfigCommand(options);
  if (command == "check-platform-config") return shallot::ctl::RunCheckPlatformConfig(options);
  if (command == "exception") return shallot::ctl::RunExceptionCommand(options);
  if (command == "status") return shallot::ctl::RunStatus(options);
  if (command == "drain") return shallot::ctl::RunDrain(options);
  if (command == "catalog") return shallot::ctl::RunCatalog(options);
  if (command == "report") return shallot::ctl::RunReport(options);
  if (command == "explain") return shallot::ctl::RunExplain(options);
  if (command == "quarantine") return shallot::ctl::RunQuarantine(options);
  if (command == "limits") return shallot::ctl::RunLimits(options);
  if (command == "runners") return shallot::ctl::RunRunners(options);
  if (command == "store") return shallot::ctl::RunStore(options);
  if (command == "keys") return shallot::ctl::RunKeys(options);
  if (command.empty()) return shallot::ctl::UsageError("a command is missing");
  return shallot::ctl::UsageError("unknown command \"" + command + "\"");
}

int Run(int argc, char** argv) {
  RawOptions raw;
  cxxopts::Options parser = MakeParser(raw);
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help() << kCommands;
    return shallot::ctl::kExitOk;
  }
  if (parsed.count("version") > 0) {
    std::cout << "shallotctl " << SHALLOT_VERSION << std::endl;
    return shallot::ctl::kExitOk;
  }
  if (raw.output != "text" && raw.output != "json") {
    return shallot::ctl::UsageError("--output is text or json");
  }
  raw.options.json = raw.output == "json";
  raw.options.timeout = shallot::Seconds(raw.timeout_s);
  raw.options.interval = shallot::Seconds(raw.interval_s);
  return Dispatch(raw.options);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    return shallot::ctl::UsageError(error.what());
  } catch (const std::exception& error) {
    std::cerr << "shallotctl: " << error.what() << std::endl;
    return shallot::ctl::kExitFailure;
  }
}
