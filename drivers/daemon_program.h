#ifndef DRIVERS_DAEMON_PROGRAM_H_
#define DRIVERS_DAEMON_PROGRAM_H_

#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "drivers/daemon.h"
#include "drivers/process_settings.h"

namespace shallot {

/// A daemon built from a settings file, with the settings that the program itself uses.
struct LoadedDaemon {
  ProcessSettings process;
  std::unique_ptr<Daemon> daemon;
};

/// Loads and checks the settings file at `path` and builds the daemon without starting it.
using DaemonLoader = std::function<Result<std::shared_ptr<LoadedDaemon>>(const std::string& path)>;

/// Implements the command line of a daemon (--help, --version, --config FILE, --check-config) and
/// runs the daemon that `load` returns. Returns the exit code.
int RunDaemonProgram(const std::string& name, const std::string& summary, int argc,
                     const char* const* argv, const DaemonLoader& load);

}  // namespace shallot

#endif  // DRIVERS_DAEMON_PROGRAM_H_
