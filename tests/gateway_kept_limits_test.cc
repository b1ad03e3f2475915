#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "tests/gateway_daemon_fixture.h"

namespace shallot::gateway {
namespace {

/// kConfig as another version, with limits.
std::string ConfigWithLimits(int version, const std::string& limits) {
  std::string config = kConfig;
  const std::string from = "{\"version\":1,";
  return config.replace(config.find(from), from.size(),
                        fmt::format("{{\"version\":{},\"limits\":{{{}}},", version, limits));
}

/// One connection of a caller that is kept between requests.
class KeptConnection {
 public:
  explicit KeptConnection(const std::string& gateway) : socket_(Poco::Net::SocketAddress(gateway)) {
    socket_.setReceiveTimeout(Poco::Timespan(30, 0));
  }

  /// Sends a request and returns the status of its answer; 0 if the connection is closed instead.
  /// `fill`: length of a further field of the request.
  int Call(size_t fill, size_t body_bytes) {
    std::string request = fmt::format(
        "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: kept-{}\r\nDeadline-Ms: 9000\r\n"
        "Fill: {}\r\nContent-Length: {}\r\n\r\n",
        ++calls_, std::string(fill, 'x'), body_bytes);
    request.append(body_bytes, 'b');
    std::string received;
    try {
      for (size_t sent = 0;
           sent < request.size() && !socket_.poll(0, Poco::Net::Socket::SELECT_READ);) {
        const size_t part = std::min<size_t>(request.size() - sent, 65'536);
        sent +=
            static_cast<size_t>(socket_.sendBytes(request.data() + sent, static_cast<int>(part)));
      }
      // An answer of the fixture's runner is short, and so are the gateway's own.
      std::array<char, 4'096> buffer{};
      while (received.find("\r\n\r\n") == std::string::npos) {
        const int bytes = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (bytes <= 0) return 0;
        received.append(buffer.data(), static_cast<size_t>(bytes));
      }
    } catch (const Poco::Exception& error) {
      MESSAGE("the connection ended with: " << error.displayText());
      if (received.empty()) return 0;
    }
    return std::stoi(received.substr(9, 3));
  }

  /// Whether the gateway closes the connection within the time.
  bool Closes(Millis within) {
    if (!socket_.poll(Poco::Timespan(within.count() * 1'000), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char byte = 0;
    return socket_.receiveBytes(&byte, 1) == 0;
  }

 private:
  Poco::Net::StreamSocket socket_;
  int calls_ = 0;
};

void Apply(GatewayFixture* fixture, int version, const std::string& limits) {
  fixture->platform_.Put("op/config", ConfigWithLimits(version, limits));
  REQUIRE(fixture->Await([&] { return Metric(fixture, "config_version") == version; }));
}

struct SizeCase {
  const char* name;
  const char* before;
  const char* after;
  size_t fill;
  size_t body_bytes;
  int expected;
};

// Guards against a proper request that is refused, or an oversized one that is taken, because its
// connection was opened under an older configuration (review/10).
TEST_CASE("gateway daemon: kept connections follow a change of the size limits") {
  for (const SizeCase& test : std::vector<SizeCase>{
           {"larger bodies", "\"max-body-bytes\":1000", "\"max-body-bytes\":100000", 1, 90'000,
            200},
           {"smaller bodies", "\"max-body-bytes\":100000", "\"max-body-bytes\":1000", 1, 90'000,
            413},
           {"larger heads", "\"max-header-bytes\":1000", "\"max-header-bytes\":9000", 8'000, 1,
            200},
           {"smaller heads", "\"max-header-bytes\":9000", "\"max-header-bytes\":1000", 8'000, 1,
            431},
           {"unchanged", "\"max-body-bytes\":1000", "\"max-body-bytes\":1000", 1, 90'000, 413}}) {
    for (const bool used_before : {false, true}) {
      CAPTURE(std::string(test.name));
      CAPTURE(used_before);
      GatewayFixture fixture;
      fixture.Configure("engine");
      REQUIRE(fixture.AwaitReady());
      Apply(&fixture, 2, test.before);
      KeptConnection connection(fixture.settings_.caller_address);
      // An answer shows that the gateway has accepted the connection.
      if (used_before) REQUIRE(connection.Call(1, 1) == 200);
      Apply(&fixture, 3, test.after);
      CHECK(connection.Call(test.fill, test.body_bytes) == test.expected);
    }
  }
}

// Guards against a kept connection that is closed after the idle time of an older configuration.
TEST_CASE("gateway daemon: kept connections follow a longer idle time") {
  GatewayFixture fixture;
  fixture.Configure("engine");
  REQUIRE(fixture.AwaitReady());
  Apply(&fixture, 2, "\"idle-timeout-ms\":1000");
  KeptConnection connection(fixture.settings_.caller_address);
  REQUIRE(connection.Call(1, 1) == 200);
  Apply(&fixture, 3, "\"idle-timeout-ms\":3000");
  CHECK(!connection.Closes(Millis(2'000)));
  CHECK(connection.Call(1, 1) == 200);
  CHECK(connection.Closes(Millis(10'000)));
}

}  // namespace
}  // namespace shallot::gateway
