#include "drivers/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <latch>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/caller_protocol.h"

namespace shallot {
namespace {

constexpr Millis kShortTimeout{20};
constexpr Millis kUnreachedTimeout{600'000};
constexpr size_t kBodyLimit = 1000;

/// Limits that no test reaches; each test shortens the one that it checks.
HttpServerOptions LongLimits() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.threads = 2;
  options.keep_alive = kUnreachedTimeout;
  options.send_timeout = kUnreachedTimeout;
  options.head_timeout = kUnreachedTimeout;
  options.body_timeout = kUnreachedTimeout;
  options.response_timeout = kUnreachedTimeout;
  return options;
}

/// A server that responds with status 200 and the body of the request, or with the status of the
/// error in reading it.
class EchoServer {
 public:
  explicit EchoServer(const HttpServerOptions& options = LongLimits())
      : server_(options, [this](HttpExchange& exchange) { Handle(exchange); }) {
    REQUIRE(IsOk(server_.Start()));
  }
  int port() const { return server_.port(); }
  void Stop() { server_.Stop(); }
  std::vector<std::string> targets() {
    const std::scoped_lock lock(mutex_);
    return targets_;
  }

 private:
  void Handle(HttpExchange& exchange) {
    {
      const std::scoped_lock lock(mutex_);
      targets_.push_back(exchange.target());
    }
    if (exchange.method() == "GET") {
      exchange.SendWhole(200, "text/plain", "got");
      return;
    }
    const Result<std::string> body = exchange.ReadBody(kBodyLimit);
    const int status = IsOk(body) ? 200 : StatusOfError(ErrorOf(body));
    exchange.SendWhole(status, "text/plain", IsOk(body) ? ValueOf(body) : "refused");
  }

  std::mutex mutex_;
  std::vector<std::string> targets_;
  HttpServer server_;
};

/// A client that sends exactly the given bytes.
class RawClient {
 public:
  explicit RawClient(int port)
      : socket_(Poco::Net::SocketAddress("127.0.0.1", static_cast<uint16_t>(port))) {}
  void Send(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  void EndSend() { socket_.shutdownSend(); }
  /// Reads all bytes until the server closes the connection.
  std::string ReadToEnd() {
    std::string all;
    std::string part(4096, '\0');
    try {
      while (true) {
        const int got = socket_.receiveBytes(part.data(), static_cast<int>(part.size()));
        if (got <= 0) return all;
        all.append(part, 0, static_cast<size_t>(got));
      }
    } catch (const Poco::Exception&) {
      // The server closed the connection with unread input.
      return all;
    }
  }
  /// Reads until `text` has arrived.
  void ReadUntil(const std::string& text) {
    std::string all;
    char byte = 0;
    while (all.find(text) == std::string::npos) {
      REQUIRE(socket_.receiveBytes(&byte, 1) == 1);
      all += byte;
    }
  }

 private:
  Poco::Net::StreamSocket socket_;
};

int StatusOf(const std::string& answer) {
  const size_t space = answer.find(' ');
  return space == std::string::npos ? 0 : std::atoi(answer.c_str() + space);
}

// POCO closes the connection without a response if Content-Length is not a number.
constexpr int kNoAnswer = 0;

struct RequestCase {
  std::string name;
  std::string bytes;
  int status;
};

std::string HeaderFields(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += "X-" + std::to_string(i) + ": v\r\n";
  return text;
}

// Guards against a caller that fills the router's memory with headers, and against a body whose
// length is ambiguous.
TEST_CASE("requests that exceed limits or have ambiguous lengths are rejected") {
  const std::string post = "POST /x HTTP/1.1\r\n";
  const std::vector<RequestCase> cases = {
      {"most fields", "GET /x HTTP/1.1\r\nConnection: close\r\n" + HeaderFields(99) + "\r\n", 200},
      {"too many fields", "GET /x HTTP/1.1\r\n" + HeaderFields(101) + "\r\n", 400},
      {"long field", "GET /x HTTP/1.1\r\nX: " + std::string(9000, 'v') + "\r\n\r\n", 400},
      {"long name", "GET /x HTTP/1.1\r\n" + std::string(300, 'n') + ": v\r\n\r\n", 400},
      {"long target", "GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n", 400},
      {"chunked", post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 400},
      {"both lengths",
       post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n", 400},
      {"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {"negative length", post + "Content-Length: -1\r\n\r\nab", 400},
      {"trailing text", post + "Content-Length: 2x\r\n\r\nab", kNoAnswer},
      {"too large", post + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'b'), 413},
      {"no body", post + "Connection: close\r\n\r\n", 200},
      {"whole body", post + "Connection: close\r\nContent-Length: 2\r\n\r\nab", 200},
  };
  for (const RequestCase& test : cases) {
    CAPTURE(test.name);
    EchoServer server;
    RawClient caller(server.port());
    caller.Send(test.bytes);
    CHECK(StatusOf(caller.ReadToEnd()) == test.status);
  }
}

// Guards against a call that runs with an incomplete body.
TEST_CASE("a body that ends early is rejected") {
  EchoServer server;
  RawClient caller(server.port());
  caller.Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  caller.EndSend();
  CHECK(StatusOf(caller.ReadToEnd()) == 400);
}

// Guards against a request that is handled although the caller sent only a part of its headers.
TEST_CASE("a request with truncated headers is not handled") {
  for (const char* part : {"GET /x HTTP/1.1", "GET /x HTTP/1.1\r\nIdempotency-Key: ab",
                           "POST /x HTTP/1.1\r\nX: y\r\n"}) {
    CAPTURE(part);
    EchoServer server;
    RawClient caller(server.port());
    caller.Send(part);
    caller.EndSend();
    CHECK(caller.ReadToEnd().find(" 200 ") == std::string::npos);
    CHECK(server.targets().empty());
  }
}

// Guards against request smuggling: bytes of a body must not be parsed as another request.
TEST_CASE("an unread body is not parsed as the next request") {
  EchoServer server;
  RawClient caller(server.port());
  const std::string hidden = "GET /hidden HTTP/1.1\r\n\r\n";
  caller.Send("GET /x HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" +
              hidden);
  CHECK(StatusOf(caller.ReadToEnd()) == 200);
  CHECK(server.targets() == std::vector<std::string>{"/x"});
}

// Guards against callers that occupy a thread with a request that never ends.
TEST_CASE("a connection is closed if the headers do not arrive in time") {
  HttpServerOptions options = LongLimits();
  options.head_timeout = kShortTimeout;
  for (const char* part : {"", "GET /x HT", "GET /x HTTP/1.1\r\nX: y\r\n"}) {
    CAPTURE(part);
    EchoServer server(options);
    RawClient caller(server.port());
    caller.Send(part);
    CHECK(caller.ReadToEnd().find(" 200 ") == std::string::npos);
    CHECK(server.targets().empty());
  }
}

TEST_CASE("a body that does not arrive in time is answered with 408") {
  HttpServerOptions options = LongLimits();
  options.body_timeout = kShortTimeout;
  EchoServer server(options);
  RawClient caller(server.port());
  caller.Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(StatusOf(caller.ReadToEnd()) == 408);
}

// Guards against idle connections that occupy all threads.
TEST_CASE("an idle connection is closed") {
  HttpServerOptions options = LongLimits();
  options.keep_alive = kShortTimeout;
  EchoServer server(options);
  RawClient caller(server.port());
  caller.Send("GET /x HTTP/1.1\r\n\r\n");
  CHECK(StatusOf(caller.ReadToEnd()) == 200);
}

TEST_CASE("a connection serves several requests") {
  EchoServer server;
  RawClient caller(server.port());
  for (int i = 0; i < 3; ++i) {
    caller.Send("POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nping");
    caller.ReadUntil("ping");
  }
  CHECK(server.targets().size() == 3);
}

// Guards against a caller that occupies a thread by not reading its response.
TEST_CASE("a connection is closed if the response is not read in time") {
  HttpServerOptions options = LongLimits();
  options.response_timeout = kShortTimeout;
  std::latch ended(1);
  bool sent = true;
  HttpServer server(options, [&](HttpExchange& exchange) {
    // More than the socket buffers of both ends can hold.
    sent = exchange.SendWhole(200, "text/plain", std::string(64U << 20U, 'x'));
    ended.count_down();
  });
  REQUIRE(IsOk(server.Start()));
  RawClient caller(server.port());
  caller.Send("GET /x HTTP/1.1\r\n\r\n");
  ended.wait();
  CHECK_FALSE(sent);
  server.Stop();
}

// Guards against a thread that keeps serving a caller which closed its sending side.
TEST_CASE("a caller that closes its sending side counts as disconnected") {
  std::latch started(1);
  std::latch ended(1);
  HttpServer server(LongLimits(), [&](HttpExchange& exchange) {
    started.count_down();
    while (!exchange.PeerClosed()) std::this_thread::yield();
    ended.count_down();
  });
  REQUIRE(IsOk(server.Start()));
  RawClient caller(server.port());
  caller.Send("POST /x HTTP/1.1\r\n\r\n");
  started.wait();
  caller.EndSend();
  ended.wait();
  server.Stop();
}

// Guards against a stop that waits for the keep-alive timeout of idle connections.
TEST_CASE("a server stops without waiting for idle connections") {
  EchoServer server;
  RawClient silent(server.port());
  RawClient idle(server.port());
  idle.Send("POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nping");
  idle.ReadUntil("ping");
  server.Stop();
  CHECK(idle.ReadToEnd().empty());
}

}  // namespace
}  // namespace shallot
