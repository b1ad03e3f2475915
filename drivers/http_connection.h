#ifndef DRIVERS_HTTP_CONNECTION_H_
#define DRIVERS_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"

namespace shallot {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// An HTTP request to an external system.
struct HttpRequest {
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// The response, or only its status and headers while the body is still to be read.
struct HttpReply {
  int status = 0;
  std::string content_type;
  /// Length of the body in bytes; -1 if the peer did not declare it.
  int64_t content_length = -1;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Value of a header, matched case-insensitively; empty if absent.
  std::string Header(const std::string& name) const;
};

/// Percent-encodes path text except for slashes.
std::string EncodePath(const std::string& text);
/// Percent-encodes the value of a query parameter.
std::string EncodeQuery(const std::string& text);

/// A client connection to one address, kept open between requests. Used by one thread at a time,
/// except for Abort(). Read timeouts are rounded up to a multiple of 5 s.
class HttpConnection {
 public:
  /// `address` is "IP:port".
  explicit HttpConnection(const std::string& address);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and reads the complete response. kUnavailable: no byte of the request was
  /// sent. kUnknownOutcome: the connection broke, `timeout` passed without a byte from the peer or
  /// without the head of its response, or the status is not that of a final response (200 to 599).
  /// kResourceExhausted: the response is larger than 16 MB.
  Result<HttpReply> Exchange(const HttpRequest& request, Millis timeout);
  /// Sends a request and reads the status and headers of the response; errors as for Exchange().
  Result<HttpReply> Begin(const HttpRequest& request, Millis timeout);
  /// Returns the next bytes of the response body, at most 64 kB; empty at its end. kUnknownOutcome:
  /// the connection broke, or `timeout` passed, before the end of the body.
  Result<std::string> ReadSome(Millis timeout);
  /// Closes the connection, for example after a response that was not read to its end.
  void Reset();
  /// Makes the current operation and all later ones fail. Thread-safe.
  void Abort();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_CONNECTION_H_
