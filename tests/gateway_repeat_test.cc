#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

std::string Answer(const std::string& request, const std::string& status,
                   const std::string& fields) {
  std::string answer = AnswerHead(request, fields + "Content-Length: 0\r\n");
  return answer.replace(answer.find("200 OK"), 6, status);
}

// Guards against a second run of a call that must run once: the runner that took over an address
// refuses a call for the former one, is sent the call itself, and repeats its refusal late.
TEST_CASE("gateway daemon: a refusal that arrives again at a reused address proves nothing") {
  std::atomic<int> runs = 0;
  RawServer runner([&](RawConnection* connection, int /*number*/) {
    std::string refusal;
    while (true) {
      const std::string request = connection->ReadHead();
      if (request.empty()) return;
      if (request.find(" /p/") == std::string::npos) {
        connection->Send(Answer(request, "404 Not Found", ""));
      } else if (request.find("Expect-Instance: a-0") != std::string::npos) {
        refusal = Answer(request, "421 Misdirected", "Instance-Id: b-0\r\n");
        connection->Send(refusal);
      } else {
        ++runs;
        connection->Send(refusal + Answer(request, "200 OK", "Server-Seal: s\r\n"));
      }
    }
  });
  GatewayFixture fixture;
  std::string config = kConfig;
  config.replace(config.find("\"idempotent\""), 12, "\"non_idempotent\"");
  fixture.platform_.Put("op/config", config);
  fixture.AddRunner(runner.address(), "a-0");
  fixture.AddRunner(runner.address(), "b-0");
  REQUIRE(fixture.AwaitReady());
  const Reply reply = fixture.Send(fixture.settings_.caller_address, "GET", "/p/1");
  CHECK(reply.status == 200);
  CHECK(runs == 1);
}

}  // namespace
}  // namespace shallot::gateway
