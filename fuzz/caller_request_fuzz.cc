#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "drivers/caller_protocol.h"

/// Parses a caller's HTTP request. The input holds one field per line, in the order read below, and
/// then the body. Every rejected request must map to a 4xx status and a non-empty JSON error body.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  size_t position = 0;
  const auto next_line = [&] {
    const size_t end = text.find('\n', position);
    const std::string text_line =
        text.substr(position, end == std::string::npos ? end : end - position);
    position = end == std::string::npos ? text.size() : end + 1;
    return text_line;
  };
  shallot::CallerHttpRequest request;
  request.method = next_line();
  request.target = next_line();
  request.content_type = next_line();
  request.idempotency_key = next_line();
  request.deadline_ms = next_line();
  request.call_class = next_line();
  request.request_id = next_line();
  request.body = text.substr(position);
  const auto parsed = shallot::ParseCallerRequest(request);
  if (shallot::IsOk(parsed)) return 0;
  const int status = shallot::StatusOfError(shallot::ErrorOf(parsed));
  if (status < 400 || status > 499) std::abort();
  if (shallot::ErrorJson(shallot::ErrorOf(parsed)).empty()) std::abort();
  return 0;
}
