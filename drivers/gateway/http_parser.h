#ifndef DRIVERS_GATEWAY_HTTP_PARSER_H_
#define DRIVERS_GATEWAY_HTTP_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/result.h"
#include "drivers/gateway/http_message.h"

namespace shallot::gateway {

/// Incremental parser of one HTTP/1.1 message at a time (Boost.Beast), fed from buffers.
class HttpParser {
 public:
  enum class Kind { kRequest, kAnswer };

  /// Bounds in bytes; a larger message is an error of kind kResourceExhausted.
  HttpParser(Kind kind, uint64_t max_header_bytes, uint64_t max_body_bytes);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Parses bytes and returns how many were used. Bytes after the end of the message are not used.
  Result<size_t> Feed(std::string_view bytes);
  /// The sender closed the connection in order. kInvalidArgument: the message is cut.
  Status FeedEnd();
  bool head_done() const;
  bool done() const;
  /// True when some byte of a message has been parsed.
  bool begun() const;
  /// The body ends only with the connection.
  bool needs_end() const;
  /// Valid when head_done().
  const HttpHead& head() const;
  /// Takes the body bytes parsed since the last call.
  std::string TakeBody();
  /// Starts on the next message.
  void Reset();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_HTTP_PARSER_H_
