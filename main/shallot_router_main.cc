#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "drivers/daemon_program.h"
#include "drivers/router_daemon.h"
#include "drivers/router_settings.h"

namespace {

using shallot::ErrorOf;
using shallot::IsOk;
using shallot::LoadedDaemon;
using shallot::ValueOf;

shallot::Result<std::shared_ptr<LoadedDaemon>> Load(const std::string& path) {
  const auto settings = shallot::LoadRouterSettings(path);
  if (!IsOk(settings)) return ErrorOf(settings);
  auto loaded = std::make_shared<LoadedDaemon>();
  loaded->process = ValueOf(settings).process;
  loaded->daemon = std::make_unique<shallot::RouterDaemon>(ValueOf(settings));
  return loaded;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return shallot::RunDaemonProgram(
        "shallot_router",
        "shallotspread router: accepts callers' requests and routes them to agents", argc, argv,
        Load);
  } catch (const std::exception& error) {
    std::cerr << "shallot_router: " << error.what() << '\n';
    return shallot::kExitFailure;
  }
}
