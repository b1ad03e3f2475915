#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <string>

#include "tests/gateway_daemon_fixture.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

/// A kind of call, and the change of kConfig that gives its route this kind.
struct CallPath {
  const char* name;
  const char* path;
  const char* model;
  const char* from;
  const char* to;
  bool repeatable;
};

constexpr CallPath kPaths[] = {
    {"must run once", "/p/1", "", "\"idempotent\"", "\"non_idempotent\"", false},
    {"may be repeated", "/p/1", "", "100,\"service\":\"engine\",\"max-attempts\":1",
     "100,\"service\":\"engine\",\"max-attempts\":2", true},
    {"may be repeated, at one runner", "/p/1", "", "\"idempotent\"", "\"idempotent\"", false},
    {"stream", "/s/1", "m1", "\"stream\"", "\"stream\"", false},
    {"resumable stream", "/s/1", "m1", "\"max-attempts\":1,\"gap-aim-ms\"",
     "\"resumable\":true,\"max-attempts\":2,\"gap-aim-ms\"", true},
};

bool IsCall(const std::string& request, const CallPath& path) {
  return request.find(std::string(" ") + path.path) != std::string::npos;
}

/// To be called after the runners are added: the gateway is ready once it has the configuration.
void Configure(const CallPath& path, GatewayFixture* fixture) {
  if (*path.model != '\0') {
    fixture->ConfigureModels({{path.from, path.to}});
    return;
  }
  std::string config = kConfig;
  const std::string from = path.from;
  config.replace(config.find(from), from.size(), path.to);
  fixture->platform_.Put("op/config", config);
}

/// An answer of a scripted runner with another status than 200.
std::string Refusal(const std::string& request, int status, const std::string& fields,
                    const std::string& body) {
  std::string answer =
      AnswerHead(request, fmt::format("{}Content-Length: {}\r\n", fields, body.size()));
  return answer.replace(answer.find("200 OK"), 6, fmt::format("{} Answer", status)) + body;
}

// Guards against a caller that is told "not run, and never will be" of a call that a runner has
// run, and that then places its order twice (review/7).
TEST_CASE("gateway daemon: a refusal without proof is no promise to the caller") {
  for (const CallPath& path : kPaths) {
    for (const int status : {408, 429, 503}) {
      // A body that does not fit a small gateway must not be passed on without being buffered.
      for (const size_t body_bytes : {size_t{0}, size_t{30}, size_t{3'000'000}}) {
        CAPTURE(std::string(path.name));
        CAPTURE(status);
        CAPTURE(body_bytes);
        std::atomic<int> failed = 0;
        std::atomic<int> served = 0;
        const auto script = [&](RawConnection* connection, int /*number*/) {
          while (true) {
            const std::string request = connection->ReadHead();
            if (!IsCall(request, path)) return;
            if (failed == 0) {
              ++failed;
              connection->Send(Refusal(request, status, "Server-Seal: s\r\nRetry-After: 0.1\r\n",
                                       std::string(body_bytes, 'x')));
            } else {
              ++served;
              connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 13\r\n") +
                               "id: 1\ndata:\n\n");
            }
          }
        };
        RawServer first(script);
        RawServer second(script);
        GatewayFixture fixture({}, 16);
        fixture.AddRunner(first.address(), "a-0");
        fixture.AddRunner(second.address(), "b-0");
        Configure(path, &fixture);
        REQUIRE(fixture.AwaitReady());
        const Reply reply = fixture.Call(path.path, path.model);
        CHECK(failed == 1);
        CHECK(reply.status == (path.repeatable ? 200 : 502));
        CHECK(reply.retry_after.empty());
        CHECK(served == (path.repeatable ? 1 : 0));
      }
    }
  }
}

// Guards against a refusal that becomes a promise again because a later runner states "not run".
TEST_CASE("gateway daemon: a proven refusal after an unproven one is no promise") {
  for (const CallPath& path : kPaths) {
    if (!path.repeatable) continue;
    CAPTURE(std::string(path.name));
    std::atomic<int> calls = 0;
    const auto script = [&](RawConnection* connection, int /*number*/) {
      while (true) {
        const std::string request = connection->ReadHead();
        if (!IsCall(request, path)) return;
        connection->Send(
            Refusal(request, 503, ++calls == 1 ? "Server-Seal: s\r\n" : "Not-Executed: 1\r\n", ""));
      }
    };
    RawServer first(script);
    RawServer second(script);
    GatewayFixture fixture;
    fixture.AddRunner(first.address(), "a-0");
    fixture.AddRunner(second.address(), "b-0");
    Configure(path, &fixture);
    REQUIRE(fixture.AwaitReady());
    const int status = fixture.Call(path.path, path.model).status;
    CHECK(calls >= 2);
    CHECK((status == 502 || status == 504));
  }
}

// Guards against a call that is not sent again, or not refused in time, although a runner states
// that it has not run it.
TEST_CASE("gateway daemon: a proven refusal is still sent to another runner") {
  for (const CallPath& path : kPaths) {
    for (const int status : {408, 429, 503}) {
      CAPTURE(std::string(path.name));
      CAPTURE(status);
      std::atomic<int> calls = 0;
      const auto script = [&](RawConnection* connection, int /*number*/) {
        while (true) {
          const std::string request = connection->ReadHead();
          if (!IsCall(request, path)) return;
          if (++calls == 1) {
            connection->Send(Refusal(request, status, "Not-Executed: 1\r\n", ""));
          } else {
            connection->Send(AnswerHead(request, "Server-Seal: s\r\nContent-Length: 13\r\n") +
                             "id: 1\ndata:\n\n");
          }
        }
      };
      RawServer first(script);
      RawServer second(script);
      GatewayFixture fixture;
      fixture.AddRunner(first.address(), "a-0");
      fixture.AddRunner(second.address(), "b-0");
      Configure(path, &fixture);
      REQUIRE(fixture.AwaitReady());
      CHECK(fixture.Call(path.path, path.model).status == 200);
      CHECK(calls == 2);
    }
  }
}

}  // namespace
}  // namespace shallot::gateway
