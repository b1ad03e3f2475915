#ifndef DRIVERS_CALLER_PROTOCOL_H_
#define DRIVERS_CALLER_PROTOCOL_H_

#include <string>
#include <vector>

#include "core/result.h"
#include "servers/call.h"
#include "servers/router_core.h"

namespace shallot {

/// Largest request body that callers may send, in bytes.
constexpr size_t kMaxCallerBody = 4U << 20U;

/// The parts of a caller's HTTP request that the router uses.
struct CallerHttpRequest {
  std::string method;
  /// Path and query.
  std::string target;
  std::string content_type;
  std::string idempotency_key;
  std::string key_time;
  std::string deadline_ms;
  std::string call_class;
  std::string request_id;
  std::string body;
};

/// Parses a request to `/v1/completions`, `/v1/chat/completions` or `/services/NAME/...`.
/// kNotFound: unknown path. kInvalidArgument: invalid method, header or body.
Result<CallerRequest> ParseCallerRequest(const CallerHttpRequest& request);

/// HTTP status for an outcome other than kCompleted.
int StatusOfOutcome(const Outcome& outcome);
/// HTTP status for an error of ParseCallerRequest() or of reading the body.
int StatusOfError(const Error& error);

/// JSON `{"error":{"type","message","remedy"}}` for an outcome other than kCompleted.
std::string OutcomeJson(const Outcome& outcome);
/// JSON of the same form for an error.
std::string ErrorJson(const Error& error);
/// List of models in the format of the OpenAI API.
std::string ModelsJson(const std::vector<std::string>& names);
/// Value of a `Retry-After` header: whole seconds, rounded up; empty if the outcome has no retry
/// time.
std::string RetryAfter(const Outcome& outcome);

}  // namespace shallot

#endif  // DRIVERS_CALLER_PROTOCOL_H_
