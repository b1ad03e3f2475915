#ifndef DRIVERS_GATEWAY_HTTP_PARSER_H_
#define DRIVERS_GATEWAY_HTTP_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/result.h"
#include "drivers/gateway/http_message.h"

namespace shallot::gateway {

/// Incremental parser for HTTP/1.1, one message at a time (Boost.Beast).
class HttpParser {
 public:
  enum class Kind { kRequest, kAnswer };

  /// Limits are in bytes; a larger message is an error of kind kResourceExhausted.
  HttpParser(Kind kind, uint64_t max_header_bytes, uint64_t max_body_bytes);
  ~HttpParser();
  /// Limits of the messages that have not begun yet.
  void SetLimits(uint64_t max_header_bytes, uint64_t max_body_bytes);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Parses bytes and returns how many were consumed. Bytes after the end of the message are not
  /// consumed.
  Result<size_t> Feed(std::string_view bytes);
  /// The sender closed the connection in an orderly way. Returns kInvalidArgument if the message is
  /// incomplete.
  Status FeedEof();
  bool head_done() const;
  bool done() const;
  /// True when at least one byte of a message has been received.
  bool begun() const;
  /// True when the last error was that the body, as announced or as received, exceeds its limit.
  bool body_too_large() const;
  /// True when the body ends only when the connection is closed.
  bool needs_eof() const;
  /// Valid when head_done().
  const HttpHead& head() const;
  /// Bytes that are allocated for an incomplete head or chunk line.
  size_t allocated_bytes() const;
  /// Returns the body bytes parsed since the last call and removes them.
  std::string TakeBody();
  /// Discards the current message and prepares for the next one.
  void Reset();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_HTTP_PARSER_H_
