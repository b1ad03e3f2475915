#ifndef MAIN_CTL_COMMANDS_H_
#define MAIN_CTL_COMMANDS_H_

#include "main/ctl/ctl_options.h"

namespace shallot::ctl {

/// Each function runs one command and returns its exit code.
int RunConfigCommand(const CtlOptions& options);
int RunExceptionCommand(const CtlOptions& options);
int RunStatus(const CtlOptions& options);
int RunCatalog(const CtlOptions& options);
int RunDrain(const CtlOptions& options);
int RunReport(const CtlOptions& options);
int RunKeys(const CtlOptions& options);
int RunExplain(const CtlOptions& options);
int RunQuarantine(const CtlOptions& options);
int RunLimits(const CtlOptions& options);
/// Runners that take no calls now, and why.
int RunRunners(const CtlOptions& options);
/// Checks a configuration of the users' platform, and compares it with another one.
int RunCheckPlatformConfig(const CtlOptions& options);
/// What gateways have read from the store: its era, the configuration and the leader.
int RunStore(const CtlOptions& options);

}  // namespace shallot::ctl

#endif  // MAIN_CTL_COMMANDS_H_
