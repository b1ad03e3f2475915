#ifndef SERVERS_ROUTER_STATUS_H_
#define SERVERS_ROUTER_STATUS_H_

#include <string>

#include "servers/call_dispatcher.h"
#include "servers/router_core.h"
#include "servers/runner_directory.h"

namespace shallot {

/// JSON object for a router's /status. `control` is the control plane's status as a JSON object;
/// if it cannot be parsed, the status contains an empty object instead.
std::string RouterStatusJson(const RouterOptions& options, const RunnerDirectory& directory,
                             const CallDispatcher& calls, const Clock& clock,
                             const std::string& control);

}  // namespace shallot

#endif  // SERVERS_ROUTER_STATUS_H_
