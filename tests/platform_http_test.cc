#include "drivers/platform_http.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "drivers/weights_http.h"
#include "tests/fake_http_server.h"

namespace shallot {
namespace {

/// Returns the name of the error kind of a result, or "ok".
template <class T>
std::string KindOf(const Result<T>& result) {
  return IsOk(result) ? "ok" : ErrorKindName(ErrorOf(result).kind);
}

/// Runs one platform operation against the server at `address` and returns its result.
template <class T>
Result<T> RunAgainst(
    const std::string& address,
    const std::function<void(PlatformHttp*, std::function<void(const Result<T>&)>)>& operation) {
  TestRing ring;
  PlatformHttp platform(address, ring.get());
  std::optional<Result<T>> result;
  operation(&platform, [&](const Result<T>& got) { result = got; });
  ring.RunUntil([&] { return result.has_value(); });
  platform.Stop();
  return *result;
}

void Put(PlatformHttp* platform, PlatformStore::PutCallback done) {
  platform->CompareAndSwap(StoreKey("a/b c"), StoreVersion(4), "value", Millis(50),
                           std::move(done));
}

struct PutCase {
  const char* name;
  FakeReply reply;
  const char* expected;
};

// Guards against a write of unknown effect being reported as not done, and the reverse.
TEST_CASE("each outcome of a write has its error kind") {
  const std::vector<PutCase> cases = {
      {"written", {.status = 200, .headers = {{"X-Version", "5"}}}, "ok"},
      {"conflict", {.status = 409, .headers = {{"X-Version", "9"}}}, "conflict"},
      {"not done", {.status = 503}, "unavailable"},
      {"server error", {.status = 500}, "unknown-outcome"},
      {"connection cut", {.disconnect = true}, "unknown-outcome"},
  };
  for (const PutCase& test : cases) {
    CAPTURE(test.name);
    FakeRequest seen;
    FakeHttpServer server([&](const FakeRequest& request) {
      seen = request;
      return test.reply;
    });
    const Result<StoreVersion> result = RunAgainst<StoreVersion>(server.address(), Put);
    CHECK(KindOf(result) == test.expected);
    CHECK(seen.target == "/kv/a/b%20c?expected=4&ttl_ms=50");
    CHECK(seen.body == "value");
  }
  CHECK(KindOf(RunAgainst<StoreVersion>(RefusingAddress(), Put)) == "unavailable");
}

TEST_CASE("a conflict error states the current version") {
  FakeHttpServer server([](const FakeRequest&) {
    return FakeReply{.status = 409, .headers = {{"X-Version", "9"}}};
  });
  const Result<StoreVersion> result = RunAgainst<StoreVersion>(server.address(), Put);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).message.find("version 9") != std::string::npos);
}

TEST_CASE("reads return value and version, and absence as version 0") {
  FakeHttpServer server([](const FakeRequest& request) {
    if (request.target == "/kv/absent") return FakeReply{.status = 404};
    return FakeReply{.body = request.target, .headers = {{"X-Version", "7"}}};
  });
  const auto get = [&](const std::string& key) {
    return RunAgainst<VersionedValue>(server.address(), [&](PlatformHttp* platform, auto done) {
      platform->Get(StoreKey(key), done);
    });
  };
  CHECK(ValueOf(get("absent")) == VersionedValue{});
  CHECK(ValueOf(get("config/head")) == VersionedValue{StoreVersion(7), "/kv/config/head"});
  const auto watched =
      RunAgainst<VersionedValue>(server.address(), [&](PlatformHttp* platform, auto done) {
        platform->Watch(StoreKey("k"), StoreVersion(6), done);
      });
  CHECK(ValueOf(watched).value == "/kv/k?watch=6");
}

// Guards against a failed read being reported as a write of unknown effect.
TEST_CASE("a failed read is reported as safe to repeat") {
  FakeHttpServer server([](const FakeRequest&) { return FakeReply{.disconnect = true}; });
  const auto result = RunAgainst<VersionedValue>(
      server.address(),
      [](PlatformHttp* platform, auto done) { platform->Get(StoreKey("k"), done); });
  CHECK(KindOf(result) == "unavailable");
}

struct LeaseCase {
  const char* name;
  FakeReply reply;
  const char* expected;
};

TEST_CASE("each outcome of a lease request has its error kind") {
  const std::vector<LeaseCase> cases = {
      {"granted", {.body = R"({"fencing":3,"ttl_ms":900})"}, "ok"},
      {"held", {.status = 409}, "conflict"},
      {"malformed", {.body = "{}"}, "unknown-outcome"},
      {"not JSON", {.body = "<html>"}, "unknown-outcome"},
  };
  for (const LeaseCase& test : cases) {
    CAPTURE(test.name);
    FakeHttpServer server([&](const FakeRequest& request) {
      CHECK(request.target == "/lease/shard/1?holder=r%2F1&ttl_ms=1000");
      return test.reply;
    });
    const auto result =
        RunAgainst<LeaseGrant>(server.address(), [](PlatformHttp* platform, auto done) {
          platform->AcquireLease(StoreKey("shard/1"), InstanceId("r/1"), Millis(1000), done);
        });
    CHECK(KindOf(result) == test.expected);
    if (IsOk(result)) CHECK(ValueOf(result).fencing == FencingNumber(3));
  }
}

TEST_CASE("the instance list is parsed and a malformed one is an error") {
  const auto parsed = ParseInstances(
      R"([{"id":"a1","role":"agent","address":"127.0.0.1:1","failure_domain":"regina",
           "region":"north","runner":"w1","backend":"drafting","leaving":true},
          {"id":"r1","role":"router","address":"127.0.0.1:2"}])");
  REQUIRE(IsOk(parsed));
  REQUIRE(ValueOf(parsed).size() == 2);
  CHECK(ValueOf(parsed)[0] == InstanceRecord{InstanceId("a1"), PeerRole::kAgent, "127.0.0.1:1",
                                             FailureDomain("regina"), Region("north"),
                                             RunnerId("w1"), BackendName("drafting"), true});
  CHECK(ValueOf(parsed)[1].role == PeerRole::kRouter);
  for (const char* bad : {"", "[{}]", "[1]", R"([{"id":1,"role":"agent","address":"x"}])"}) {
    CAPTURE(bad);
    CHECK(KindOf(ParseInstances(bad)) == "internal");
  }
}

TEST_CASE("the weight store's status is parsed") {
  FakeHttpServer server([](const FakeRequest&) {
    return FakeReply{.body = R"({"model_loads":1,"adapter_loads":2,"per_gigabyte_ms":300})"};
  });
  TestRing ring;
  WeightsHttp weights(server.address(), ring.get());
  std::optional<Result<WeightStoreStatus>> result;
  weights.FetchStatus([&](const Result<WeightStoreStatus>& got) { result = got; });
  ring.RunUntil([&] { return result.has_value(); });
  REQUIRE(IsOk(*result));
  CHECK(ValueOf(*result).per_gigabyte == Millis(300));
}

}  // namespace
}  // namespace shallot
