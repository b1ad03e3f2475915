#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "drivers/caller_protocol.h"

/// Parses a caller's HTTP request. The input holds one field per line, in the order read below, and
/// then the body. Every rejected request must map to a 4xx status and a non-empty JSON error body.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  size_t at = 0;
  const auto line = [&] {
    const size_t end = text.find('\n', at);
    const std::string part = text.substr(at, end == std::string::npos ? end : end - at);
    at = end == std::string::npos ? text.size() : end + 1;
    return part;
  };
  shallot::CallerHttpRequest request;
  request.method = line();
  request.target = line();
  request.content_type = line();
  request.idempotency_key = line();
  request.deadline_ms = line();
  request.call_class = line();
  request.request_id = line();
  request.body = text.substr(at);
  const auto parsed = shallot::ParseCallerRequest(request);
  if (shallot::IsOk(parsed)) return 0;
  const int status = shallot::StatusOfError(shallot::ErrorOf(parsed));
  if (status < 400 || status > 499) std::abort();
  if (shallot::ErrorJson(shallot::ErrorOf(parsed)).empty()) std::abort();
  return 0;
}
