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

/// A request to an external system.
struct HttpRequest {
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// The answer, or its head while the body is still to be read.
struct HttpReply {
  int status = 0;
  std::string content_type;
  /// Length of the body; -1 when the peer did not say.
  int64_t content_length = -1;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Value of a header, ignoring case; empty when absent.
  std::string Header(const std::string& name) const;
};

/// Percent-encodes path text; slashes stay.
std::string EncodePath(const std::string& text);
/// Percent-encodes the value of a query parameter.
std::string EncodeQuery(const std::string& text);

/// A client connection to one address, kept open between requests. Used by one thread at a time.
/// Timeouts for reading are rounded up to 5 s.
class HttpConnection {
 public:
  /// `address` is "IP:port".
  explicit HttpConnection(const std::string& address);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and reads the whole answer. kUnavailable: no byte of the request was sent.
  /// kUnknownOutcome: the connection broke, or `timeout` passed without a byte from the peer.
  /// kResourceExhausted: the answer is larger than 16 MB.
  Result<HttpReply> Exchange(const HttpRequest& request, Millis timeout);
  /// Sends a request and reads the head of the answer; errors as for Exchange().
  Result<HttpReply> Begin(const HttpRequest& request, Millis timeout);
  /// The next bytes of the answer's body, at most 64 kB; empty at its end. kUnknownOutcome: the
  /// connection broke, or `timeout` passed, before the end of the body.
  Result<std::string> ReadSome(Millis timeout);
  /// Closes the connection after an answer that was not read to its end.
  void Reset();
  /// Fails what this connection does now and later. Any thread.
  void Abort();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_CONNECTION_H_
