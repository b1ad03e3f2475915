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

/// A request that an HttpServer received, and its response. Used on the handler's thread only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const std::string& method() const = 0;
  /// Path and query as received.
  virtual const std::string& target() const = 0;
  /// Value of a request header; empty if absent.
  virtual std::string Header(const std::string& name) const = 0;
  /// Reads the request body; empty if the request has none. kResourceExhausted: larger than `limit`
  /// bytes. kInvalidArgument: no declared length, or fewer bytes than declared. kCancelled: not
  /// received in time. After an error the connection is closed after the response.
  virtual Result<std::string> ReadBody(size_t limit) = 0;
  /// Adds a header to the response. Must be called before the response begins.
  virtual void SetHeader(const std::string& name, const std::string& value) = 0;
  /// Sends the complete response. Returns false if the client disconnected or was too slow.
  virtual bool SendWhole(int status, const std::string& content_type, const std::string& body) = 0;
  /// Begins a response of unknown length. Returns false if the client disconnected.
  virtual bool BeginStream(int status, const std::string& content_type) = 0;
  /// Sends bytes without buffering. Returns false if the client disconnected or was too slow.
  virtual bool Write(const std::string& bytes) = 0;
  /// True if the client closed the connection or its sending side.
  virtual bool PeerClosed() = 0;
};

/// Listen address and limits of an HTTP server.
struct HttpServerOptions {
  /// "IP:port"; port 0 selects a free port.
  std::string address;
  /// Connections served concurrently; each open connection occupies a thread.
  size_t threads = 16;
  /// Connections that may wait for a thread; further ones are closed immediately.
  size_t queue = 64;
  /// Idle time after which an open connection is closed.
  Millis keep_alive{10'000};
  /// Longest time that one write may wait for a slow reader.
  Millis send_timeout{10'000};
  /// Longest time to receive the request line and headers, from when a thread begins to serve the
  /// connection. For later requests the limit is `keep_alive` plus this time after the response.
  Millis head_timeout{10'000};
  /// Longest time to receive the body of a request.
  Millis body_timeout{30'000};
  /// Longest time to send a complete response, or one part of a stream, to a slow reader.
  Millis response_timeout{60'000};
};

/// An HTTP server that calls a handler for each request. A request with more than 100 header
/// fields, a field over 8 KB or a target over 16 KB is answered with status 400. If Content-Length
/// is not a number, the connection is closed without a response.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts. kConflict: the port is in use.
  Status Start();
  /// Stops accepting connections, waits up to 5 s for handlers in progress, closes all connections
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
