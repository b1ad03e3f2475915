#ifndef DRIVERS_DAEMON_PROGRAM_H_
#define DRIVERS_DAEMON_PROGRAM_H_

#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "drivers/daemon.h"
#include "drivers/process_settings.h"

namespace shallot {

/// A daemon made from a settings file, and what the program itself needs to know.
struct LoadedDaemon {
  ProcessSettings process;
  std::unique_ptr<Daemon> daemon;
};

/// Loads and checks a settings file and makes the daemon; nothing is started.
using DaemonLoader = std::function<Result<std::shared_ptr<LoadedDaemon>>(const std::string& path)>;

/// The command line of a daemon: --help, --version, --config FILE, --check-config. Returns the
/// exit code.
int RunDaemonProgram(const std::string& name, const std::string& summary, int argc,
                     const char* const* argv, const DaemonLoader& load);

}  // namespace shallot

#endif  // DRIVERS_DAEMON_PROGRAM_H_
