#ifndef DRIVERS_HTTP_SERVER_H_
#define DRIVERS_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"
#include "drivers/http_connection.h"

namespace shallot {

/// One request to a server of this process and its answer. Used by the handler's thread only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const std::string& method() const = 0;
  /// Path and query as sent.
  virtual const std::string& target() const = 0;
  /// Value of a request header; empty when absent.
  virtual std::string Header(const std::string& name) const = 0;
  /// Reads the request body; empty when the request has none. kResourceExhausted: it is larger than
  /// `limit` bytes. kInvalidArgument: its length is not declared or it ended early.
  /// kCancelled: it did not arrive in time. After an error the connection closes with the answer.
  virtual Result<std::string> ReadBody(size_t limit) = 0;
  /// Adds a header to the answer; before the answer begins.
  virtual void SetHeader(const std::string& name, const std::string& value) = 0;
  /// Sends the whole answer. False when the caller is gone.
  virtual bool SendWhole(int status, const std::string& content_type, const std::string& body) = 0;
  /// Begins an answer whose length is not known.
  virtual bool BeginStream(int status, const std::string& content_type) = 0;
  /// Sends the next bytes at once. False when the caller is gone or too slow.
  virtual bool Write(const std::string& bytes) = 0;
  /// True when the caller has closed its connection.
  virtual bool PeerClosed() = 0;
};

/// Where a server listens and how much it takes on.
struct HttpServerOptions {
  /// "IP:port"; port 0 takes a free one.
  std::string address;
  /// Connections served at once; each open connection occupies a thread.
  size_t threads = 16;
  /// Connections that wait for a thread; further ones are closed at once.
  size_t queue = 64;
  /// Idle time after which an open connection is closed.
  Millis keep_alive{10'000};
  /// Longest time that one write may wait for a slow reader.
  Millis send_timeout{10'000};
  /// Longest time from the first to the last byte of a request's head. On an open connection it
  /// includes the idle time before.
  Millis head_time{10'000};
  /// Longest time for the body of a request.
  Millis body_time{30'000};
  /// Longest time to send a whole answer, or one part of a stream, to a slow reader.
  Millis answer_time{60'000};
};

/// An HTTP server that calls a handler for each request. A request with more than 100 header
/// fields, a field over 8 KB or a target over 16 KB is answered with 400. One whose Content-Length
/// is no number closes the connection without an answer.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts. kConflict: the port is in use.
  Status Start();
  /// Stops to accept, lets the handlers in progress finish for up to 5 s, breaks the connections
  /// and joins the threads.
  void Stop();
  /// Port that the server listens on; 0 before Start().
  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_SERVER_H_
