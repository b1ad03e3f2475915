#include "core/result.h"

namespace shallot {

const char* ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid-argument";
    case ErrorKind::kNotFound:
      return "not-found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kUnknownOutcome:
      return "unknown-outcome";
    case ErrorKind::kDisconnected:
      return "disconnected";
    case ErrorKind::kResourceExhausted:
      return "resource-exhausted";
    case ErrorKind::kFenced:
      return "fenced";
    case ErrorKind::kCancelled:
      return "cancelled";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string FormatError(const Error& error) {
  if (error.remedy.empty()) return error.message;
  return error.message + "; " + error.remedy;
}

}  // namespace shallot
