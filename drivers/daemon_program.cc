#include "drivers/daemon_program.h"

#include <cxxopts.hpp>
#include <iostream>

#include "core/log.h"

namespace shallot {
namespace {

struct CommandLine {
  std::string config;
  bool check_only = false;
  /// Exit code when the program ends after reading the command line; otherwise -1.
  int exit_code = -1;
};

CommandLine ExitWith(ExitCode code) {
  return {.config = "", .check_only = false, .exit_code = code};
}

CommandLine ReadCommandLine(const std::string& name, const std::string& summary, int argc,
                            const char* const* argv) {
  cxxopts::Options options(name, summary);
  options.add_options()("help", "show this text")("version", "show the version")(
      "config", "settings file (INI)", cxxopts::value<std::string>(), "FILE")(
      "check-config", "check the settings file and exit");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return ExitWith(kExitOk);
    }
    if (parsed.count("version") > 0) {
      std::cout << name << " " << SHALLOT_VERSION << '\n';
      return ExitWith(kExitOk);
    }
    if (parsed.count("config") == 0 || !parsed.unmatched().empty()) {
      std::cerr << name
                << ": specify the settings file with --config FILE; --help shows all options\n";
      return ExitWith(kExitUsage);
    }
    return {.config = parsed["config"].as<std::string>(),
            .check_only = parsed.count("check-config") > 0};
  } catch (const std::exception& error) {
    // cxxopts throws for unknown options and missing values.
    std::cerr << name << ": " << error.what() << "; --help shows all options\n";
    return ExitWith(kExitUsage);
  }
}

}  // namespace

int RunDaemonProgram(const std::string& name, const std::string& summary, int argc,
                     const char* const* argv, const DaemonLoader& load) {
  const CommandLine line = ReadCommandLine(name, summary, argc, argv);
  if (line.exit_code >= 0) return line.exit_code;
  BlockStopSignals();
  const Result<std::shared_ptr<LoadedDaemon>> loaded = load(line.config);
  if (!IsOk(loaded)) {
    std::cerr << name << ": " << FormatError(ErrorOf(loaded)) << '\n';
    return kExitBadSettings;
  }
  const ProcessSettings& process = ValueOf(loaded)->process;
  if (line.check_only) {
    std::cout << line.config << ": settings are valid\n";
    return kExitOk;
  }
  InitLogging(process.log_level, process.log_format, process.id.value());
  return RunDaemon(name, ValueOf(loaded)->daemon.get());
}

}  // namespace shallot
