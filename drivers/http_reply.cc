#include "drivers/http_reply.h"

namespace shallot {
namespace {

ErrorKind KindOfStatus(int status, ErrorKind conflict_kind) {
  switch (status) {
    case 404:
      return ErrorKind::kNotFound;
    case 409:
      return conflict_kind;
    case 503:
      return ErrorKind::kUnavailable;
    case 507:
      return ErrorKind::kResourceExhausted;
    default:
      return status >= 400 && status < 500 ? ErrorKind::kInvalidArgument
                                           : ErrorKind::kUnknownOutcome;
  }
}

}  // namespace

Error StatusError(const HttpReply& reply, const std::string& what, ErrorKind conflict_kind) {
  constexpr size_t kMaxDetail = 200;
  std::string message = what + ": HTTP status " + std::to_string(reply.status);
  if (!reply.body.empty()) message += ": " + reply.body.substr(0, kMaxDetail);
  return Error{KindOfStatus(reply.status, conflict_kind), message, ""};
}

Error AsReadError(const Error& error) {
  if (error.kind != ErrorKind::kUnknownOutcome) return error;
  return Error{ErrorKind::kUnavailable, error.message, "try again later"};
}

}  // namespace shallot
