#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "drivers/agent_daemon.h"
#include "drivers/agent_settings.h"
#include "drivers/daemon_program.h"

namespace {

using shallot::ErrorOf;
using shallot::IsOk;
using shallot::LoadedDaemon;
using shallot::ValueOf;

shallot::Result<std::shared_ptr<LoadedDaemon>> Load(const std::string& path) {
  const auto settings = shallot::LoadAgentSettings(path);
  if (!IsOk(settings)) return ErrorOf(settings);
  auto loaded = std::make_shared<LoadedDaemon>();
  loaded->process = ValueOf(settings).process;
  loaded->daemon = std::make_unique<shallot::AgentDaemon>(ValueOf(settings));
  return loaded;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return shallot::RunDaemonProgram(
        "shallot_agent", "shallotspread agent: runs calls and loads on its backend server", argc,
        argv, Load);
  } catch (const std::exception& error) {
    std::cerr << "shallot_agent: " << error.what() << '\n';
    return shallot::kExitFailure;
  }
}
