#ifndef MAIN_CTL_CTL_OPTIONS_H_
#define MAIN_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"

namespace shallot::ctl {

/// Exit codes of shallotctl.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitBadSettings = 3,
  kExitUnavailable = 4,
  kExitConflict = 5,
};

/// Parsed command line of shallotctl.
struct CtlOptions {
  /// Command and its arguments, for example {"config", "show"}.
  std::vector<std::string> arguments;
  /// "IP:port" of the platform service; empty when it was not given.
  std::string platform;
  /// Admin addresses of daemons, as "IP:port".
  std::vector<std::string> routers;
  bool json = false;
  std::string author;
  std::string reason;
  /// Revision that a change is based on; 0 means the current one.
  uint64_t base = 0;
  std::string target;
  /// Values of an exception, each as "key=value".
  std::vector<std::string> exception_values;
  Seconds timeout{30};
  Seconds interval{5};
  uint64_t samples = 2;
  /// File with the configuration in force; empty when it was not given.
  std::string against;
  std::string csv;
  std::string plot;
};

/// Positional argument `index` of the command line; empty when there are fewer.
std::string Argument(const CtlOptions& options, size_t index);

/// Prints an error about the command line to standard error and returns exit code 2.
int UsageError(const std::string& problem);
/// Prints the error to standard error, with --output json also as JSON to standard output, and
/// returns its exit code.
int Fail(const CtlOptions& options, const Error& error);

}  // namespace shallot::ctl

#endif  // MAIN_CTL_CTL_OPTIONS_H_
