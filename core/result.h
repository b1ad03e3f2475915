#ifndef CORE_RESULT_H_
#define CORE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

namespace shallot {

/// Category of an error, by how the calling code can react to it.
enum class ErrorKind {
  kInvalidArgument,    ///< The input is invalid; a retry cannot succeed.
  kNotFound,           ///< The named object does not exist.
  kConflict,           ///< Another writer won; reread and decide again.
  kUnavailable,        ///< Nothing was done; a later retry can succeed.
  kUnknownOutcome,     ///< The effect may or may not have taken place.
  kDisconnected,       ///< As kUnknownOutcome; the peer ended the connection.
  kResourceExhausted,  ///< A limit was reached (memory, queue, ring, budget).
  kFenced,             ///< The order carried an outdated fencing number or version.
  kCancelled,
  kInternal,
};

/// Name of a kind as used in logs and JSON, for example "not-found".
const char* ErrorKindName(ErrorKind kind);

/// A typed error. `message` says what happened, `remedy` what the user can do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;

  bool operator==(const Error&) const = default;
};

/// "message; remedy" on one line.
std::string FormatError(const Error& error);

/// A value or an error.
template <class T>
using Result = std::variant<T, Error>;

/// Result of an operation without a value.
using Status = Result<std::monostate>;

template <class T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

template <class T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

template <class T>
T&& ValueOf(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

template <class T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

inline Status OkStatus() { return Status(std::in_place_index<0>); }

}  // namespace shallot

#endif  // CORE_RESULT_H_
