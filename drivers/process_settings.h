#ifndef DRIVERS_PROCESS_SETTINGS_H_
#define DRIVERS_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/log.h"
#include "core/result.h"
#include "core/settings.h"
#include "drivers/zmq_hub.h"

namespace shallot {

/// Section [process], common to all daemons.
struct ProcessSettings {
  InstanceId id;
  FailureDomain failure_domain;
  Region region;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
};

/// Reads section [process].
Result<ProcessSettings> ReadProcessSettings(const IniDocument& document);
/// Reads the optional section [keys]. If present, it must protect the process's listening port:
/// `server_secret` and `allowed_clients` are required.
Result<CurveKeys> ReadCurveKeys(const IniDocument& document);
/// Returns an error if the document has a section that is not in `known`.
Status CheckSections(const IniDocument& document, const std::vector<std::string>& known);

/// Reads [process] and [keys], the sections that all daemons have, and checks that the document has
/// no other section than these and `own`.
Status ReadSharedSections(const IniDocument& document, const std::string& own,
                          ProcessSettings* process, CurveKeys* keys);

}  // namespace shallot

#endif  // DRIVERS_PROCESS_SETTINGS_H_
