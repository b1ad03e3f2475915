#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "core/crash_trace.h"
#include "core/log.h"
#include "core/settings.h"
#include "drivers/daemon.h"
#include "drivers/gateway/gateway_daemon.h"
#include "drivers/gateway/policy_settings.h"
#include "platform/platform_codec.h"
#include "platform/platform_settings.h"

namespace {

using shallot::ErrorOf;
using shallot::IsOk;
using shallot::Result;
using shallot::ValueOf;
using shallot::gateway::GatewaySettings;

constexpr const char* kProgramName = "shallot_gateway";

struct Options {
  std::string settings_path;
  std::string policy_path;
  bool check_only = false;
};

Result<GatewaySettings> Load(const Options& options) {
  auto settings = shallot::platform::LoadSettings(options.settings_path);
  if (!IsOk(settings) || options.policy_path.empty()) return settings;
  const auto document = shallot::LoadIni(options.policy_path);
  if (!IsOk(document)) return ErrorOf(document);
  GatewaySettings loaded = ValueOf(settings);
  const auto policy = shallot::gateway::ReadGatewayPolicy(ValueOf(document), loaded.policy);
  if (!IsOk(policy)) return ErrorOf(policy);
  loaded.policy = ValueOf(policy);
  return loaded;
}

int Run(const Options& options) {
  const auto settings = Load(options);
  if (!IsOk(settings)) {
    std::cerr << kProgramName << ": " << FormatError(ErrorOf(settings)) << '\n';
    return shallot::kExitBadSettings;
  }
  if (options.check_only) {
    std::cout << "settings are valid\n";
    return shallot::kExitOk;
  }
  shallot::InitLogging(shallot::LogLevel::kInfo, shallot::LogFormat::kText,
                       ValueOf(settings).instance.value(), shallot::LogTarget::kStandardOutput);
  const shallot::platform::PlatformCodec codec;
  shallot::gateway::GatewayDaemon daemon(ValueOf(settings), &codec,
                                         [&options] { return Load(options); });
  const int code = shallot::RunDaemon(kProgramName, &daemon);
  if (!shallot::FlushLogging()) std::_Exit(code);
  return code;
}

int ParseAndRun(int argc, char** argv) {
  cxxopts::Options parser(kProgramName,
                          "shallotspread gateway: takes callers' requests on the platform and "
                          "sends them to backend servers");
  const char* from_environment = std::getenv(shallot::platform::kSettingsVariable);
  parser.add_options()("settings", "the platform's settings file",
                       cxxopts::value<std::string>()->default_value(
                           from_environment == nullptr ? "" : from_environment))(
      "policy", "INI file with [policy]", cxxopts::value<std::string>()->default_value(""))(
      "check-config", "check the settings and exit")("version", "print the version")(
      "help", "print this help");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    return shallot::kExitOk;
  }
  if (parsed.count("version") > 0) {
    std::cout << kProgramName << ' ' << SHALLOT_VERSION << '\n';
    return shallot::kExitOk;
  }
  return Run({parsed["settings"].as<std::string>(), parsed["policy"].as<std::string>(),
              parsed.count("check-config") > 0});
}

}  // namespace

int main(int argc, char** argv) {
  shallot::BlockStopSignals();
  shallot::gateway::CatchReloadSignal();
  shallot::InstallCrashTrace();
  try {
    return ParseAndRun(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << kProgramName << ": " << error.what() << "; see --help\n";
    return shallot::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << kProgramName << ": " << error.what() << '\n';
    return shallot::kExitFailure;
  }
}
