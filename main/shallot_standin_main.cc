#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <memory>

#include "main/standin/role.h"

namespace {

using shallot::standin::Options;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

cxxopts::Options MakeParser(Options& options) {
  cxxopts::Options parser("shallot_standin", "Stand-ins for the external systems, one per process");
  auto add = parser.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("role", "engine, weights, platform or service", cxxopts::value(options.role));
  add("listen", "IP:PORT", cxxopts::value(options.listen));
  add("time-scale", "factor on model load times", cxxopts::value(options.time_scale));
  add("weights", "engine: IP:PORT of the weights stand-in", cxxopts::value(options.weights));
  add("memory-mb", "engine: accelerator memory", cxxopts::value(options.memory_mb));
  add("host-memory-mb", "engine: host memory tier", cxxopts::value(options.host_memory_mb));
  add("disk-mb", "engine: disk tier", cxxopts::value(options.disk_mb));
  add("concurrency", "engine: calls that run at once", cxxopts::value(options.concurrency));
  add("token-ms", "engine: time per token", cxxopts::value(options.token_ms));
  add("load-report-lag-ms", "engine: lag of load reports",
      cxxopts::value(options.load_report_lag_ms));
  add("cache-lag-ms", "engine: lag of cache events", cxxopts::value(options.cache_lag_ms));
  add("ignore-fencing", "engine: accept outdated orders", cxxopts::value(options.ignore_fencing));
  add("instance-lag-ms", "platform: lag of the instance list",
      cxxopts::value(options.instance_lag_ms));
  add("call-ms", "service: time per call", cxxopts::value(options.call_ms));
  return parser;
}

std::unique_ptr<shallot::standin::Role> MakeRole(const Options& options,
                                                 shallot::standin::Faults* faults) {
  if (options.role == "engine") return shallot::standin::MakeEngine(options, faults);
  if (options.role == "weights") return shallot::standin::MakeWeights(options, faults);
  if (options.role == "platform") return shallot::standin::MakePlatform(options, faults);
  if (options.role == "service") return shallot::standin::MakeService(options, faults);
  return nullptr;
}

int Run(int argc, char** argv) {
  Options options;
  cxxopts::Options parser = MakeParser(options);
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help() << std::endl;
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "shallot_standin " << SHALLOT_VERSION << std::endl;
    return 0;
  }
  shallot::standin::Faults faults;
  const auto role = MakeRole(options, &faults);
  if (role == nullptr || options.listen.empty()) {
    std::cerr << "--role or --listen is missing or wrong; see --help" << std::endl;
    return kExitUsage;
  }
  return shallot::standin::Serve(options, role.get(), &faults);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "; see --help" << std::endl;
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "shallot_standin: " << error.what() << std::endl;
    return kExitFailure;
  }
}
