#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// 3,900 connections, as many as an instance has descriptors for, may take a twentieth of 260 MB.
constexpr int64_t kBytesPerConnection = 3'400;

struct IdleCase {
  const char* name;
  size_t head_bytes;
  size_t body_bytes;
  size_t answer_bytes;
  /// Bytes of the request that are sent first, so that its head arrives in parts; 0 for all.
  size_t first_part;
};

/// Sends a request in one or two parts and reads its answer; the connection stays open.
void CallAndKeep(Poco::Net::StreamSocket* caller, const IdleCase& test, size_t number) {
  std::string request = fmt::format(
      "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: idle-{}\r\nDeadline-Ms: 9000\r\n"
      "Fill: {}\r\nContent-Length: {}\r\n\r\n",
      number, std::string(test.head_bytes, 'x'), test.body_bytes);
  const size_t first = test.first_part;
  request.append(test.body_bytes, 'b');
  for (size_t sent = 0; sent < request.size();) {
    const size_t end = sent < first ? first : request.size();
    sent +=
        static_cast<size_t>(caller->sendBytes(request.data() + sent, static_cast<int>(end - sent)));
    // The rest must not arrive with the first part.
    if (sent == first) (void)caller->poll(Poco::Timespan(20'000), Poco::Net::Socket::SELECT_READ);
  }
  std::string answer;
  std::array<char, 65'536> buffer{};
  size_t expected = std::string::npos;
  while (answer.size() < expected) {
    const int bytes = caller->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    REQUIRE(bytes > 0);
    answer.append(buffer.data(), static_cast<size_t>(bytes));
    const size_t end = answer.find("\r\n\r\n");
    if (end != std::string::npos) expected = end + 4 + test.answer_bytes;
  }
  REQUIRE(answer.substr(9, 3) == "200");
}

// Guards against kept connections that take the memory of an instance, which is then ended, because
// each holds the buffers of its last request and answer (review/6).
TEST_CASE("gateway daemon: an idle connection holds no buffers") {
  for (const IdleCase& test : std::vector<IdleCase>{{"large request", 1, 100'000, 10, 0},
                                                    {"request of one read", 1, 30'000, 10, 0},
                                                    {"large answer", 1, 10, 200'000, 0},
                                                    {"answer below 64 KB", 1, 10, 60'000, 0},
                                                    {"large head in parts", 12'000, 10, 10, 9'000},
                                                    {"large head", 12'000, 10, 10, 0}}) {
    CAPTURE(std::string(test.name));
    const RawServer runner([&](RawConnection* connection, int /*number*/) {
      while (true) {
        const std::string request = connection->ReadHead();
        if (request.find(" /p/") == std::string::npos) return;
        (void)connection->ReadBytes(test.body_bytes);
        connection->Send(AnswerHead(request, fmt::format("Server-Seal: s\r\nContent-Length: {}\r\n",
                                                         test.answer_bytes)) +
                         std::string(test.answer_bytes, 'a'));
      }
    });
    GatewayFixture fixture;
    // The gateway is ready once it has the configuration, so the runner comes first.
    fixture.AddRunner(runner.address());
    fixture.platform_.Put("op/config", kConfig);
    REQUIRE(fixture.AwaitReady());
    constexpr size_t kConnections = 20;
    std::vector<Poco::Net::StreamSocket> callers;
    for (size_t number = 0; number < kConnections; ++number) {
      callers.emplace_back(Poco::Net::SocketAddress(fixture.settings_.caller_address));
      callers.back().setReceiveTimeout(Poco::Timespan(30, 0));
      CallAndKeep(&callers.back(), test, number);
    }
    CHECK(Metric(&fixture, "caller_connections") == kConnections);
    const int64_t bytes = Metric(&fixture, "caller_connection_bytes");
    CHECK(bytes > 0);
    CHECK(bytes <= static_cast<int64_t>(kConnections) * kBytesPerConnection);
  }
}

}  // namespace
}  // namespace shallot::gateway
