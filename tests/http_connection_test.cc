#include <doctest/doctest.h>

#include <string>

#include "core/clock.h"
#include "drivers/http_connection.h"
#include "tests/raw_server.h"

namespace shallot {
namespace {

constexpr Millis kTimeout{2'000};

/// The error of one exchange with a server that runs `script`; empty if it got an answer.
std::string ExchangeError(const RawServer::Script& script, const std::string& body = "") {
  RawServer server(script);
  HttpConnection connection(server.address());
  HttpRequest request;
  request.method = "POST";
  request.path = "/";
  request.body = body;
  const Result<HttpReply> reply = connection.Exchange(request, kTimeout);
  if (IsOk(reply)) return "";
  CHECK(ErrorOf(reply).kind == ErrorKind::kUnknownOutcome);
  return ErrorOf(reply).message;
}

// Guards against an answer that counts as final although its status is interim or impossible
// (docs/incidents/2026-12-07-impossible-status.md).
TEST_CASE("http connection: an answer with an impossible status is an error") {
  for (const char* status : {"000", "099", "101", "102", "600", "999"}) {
    CAPTURE(std::string(status));
    const std::string error = ExchangeError([&](RawConnection* connection, int /*number*/) {
      (void)connection->ReadHead();
      connection->Send("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n");
      connection->AwaitClose();
    });
    CHECK(error.find("impossible status") != std::string::npos);
  }
}

// Guards against a thread that a server holds for good with interim answers.
TEST_CASE("http connection: interim answers without end are an error") {
  for (const Millis pause : {Millis(0), Millis(50)}) {
    CAPTURE(pause.count());
    int sent = 0;
    const std::string error = ExchangeError([&](RawConnection* connection, int /*number*/) {
      (void)connection->ReadHead();
      while (sent < 200'000 && connection->Send("HTTP/1.1 100 Continue\r\n\r\n")) {
        ++sent;
        if (pause > Millis(0) && (sent > 200 || !connection->Pause(pause))) return;
      }
    });
    CHECK(error.find(pause > Millis(0) ? "in time" : "too long") != std::string::npos);
    CHECK(sent < (pause > Millis(0) ? 200 : 200'000));
  }
}

// Guards against a part of an answer that counts as whole when its server ends the connection while
// the request is still being written.
TEST_CASE("http connection: an early answer without a length is not complete") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    const std::string error = ExchangeError(
        [&](RawConnection* connection, int /*number*/) {
          (void)connection->ReadHead();
          connection->Send("HTTP/1.1 200 OK\r\n\r\npart");
          if (reset) connection->Reset();
        },
        std::string(1'000'000, 'u'));
    CHECK_FALSE(error.empty());
  }
}

}  // namespace
}  // namespace shallot
