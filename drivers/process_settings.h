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

/// Section [process]: what every daemon needs.
struct ProcessSettings {
  InstanceId id;
  FailureDomain failure_domain;
  Region region;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
};

/// Reads [process].
Result<ProcessSettings> ReadProcessSettings(const IniDocument& document);
/// Reads the optional section [keys]. When it is present it must protect the process's own port:
/// `server_secret` and `allowed_clients` are required.
Result<CurveKeys> ReadCurveKeys(const IniDocument& document);
/// Rejects sections other than `known`.
Status CheckSections(const IniDocument& document, const std::vector<std::string>& known);

/// Reads the sections that all daemons have, [process] and [keys], and checks that there is no
/// section but these and `own`.
Status ReadSharedSections(const IniDocument& document, const std::string& own,
                          ProcessSettings* process, CurveKeys* keys);

}  // namespace shallot

#endif  // DRIVERS_PROCESS_SETTINGS_H_
