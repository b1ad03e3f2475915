#include "main/ctl/ctl_options.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace shallot::ctl {
namespace {

int ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return kExitBadSettings;
    case ErrorKind::kUnavailable:
    case ErrorKind::kUnknownOutcome:
    case ErrorKind::kDisconnected:
      return kExitUnavailable;
    case ErrorKind::kConflict:
    case ErrorKind::kFenced:
      return kExitConflict;
    default:
      return kExitFailure;
  }
}

}  // namespace

std::string Argument(const CtlOptions& options, size_t index) {
  return index < options.arguments.size() ? options.arguments[index] : "";
}

int UsageError(const std::string& problem) {
  std::cerr << "shallotctl: " << problem << "; see shallotctl --help" << std::endl;
  return kExitUsage;
}

int Fail(const CtlOptions& options, const Error& error) {
  if (options.json) {
    const nlohmann::json body = {{"error",
                                  {{"type", ErrorKindName(error.kind)},
                                   {"message", error.message},
                                   {"remedy", error.remedy}}}};
    std::cout << body.dump() << std::endl;
  }
  std::cerr << "shallotctl: " << FormatError(error) << std::endl;
  return ExitCodeOf(error.kind);
}

}  // namespace shallot::ctl
