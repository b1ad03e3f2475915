#include "drivers/caller_protocol.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace shallot {
namespace {

CallerHttpRequest ModelRequest(const std::string& body) {
  CallerHttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.content_type = "application/json";
  request.body = body;
  return request;
}

struct TraitCase {
  const char* name;
  const char* body;
  /// Number of traits, and of those that it shares with the first case.
  size_t traits;
  size_t shared;
};

// Guards against calls whose common part is not recognized when they crash engines.
TEST_CASE("the traits of a chat are its body and the messages before the last one") {
  std::vector<CallTrait> first;
  for (const TraitCase& test :
       {TraitCase{"first", R"({"model":"m","messages":["a","b","c"]})", 3, 3},
        TraitCase{"repeated", R"({"model":"m","messages":["a","b","c"]})", 3, 3},
        TraitCase{"other last message", R"({"model":"m","messages":["a","b","d"]})", 3, 2},
        TraitCase{"other first message", R"({"model":"m","messages":["x","b","c"]})", 3, 1},
        TraitCase{"one message", R"({"model":"m","messages":["a"]})", 1, 0},
        TraitCase{"long chat", R"({"model":"m","messages":["a","b",1,2,3,4,5,6,7]})", 6, 0},
        TraitCase{"no chat", R"({"model":"m","prompt":"a"})", 1, 0}}) {
    CAPTURE(test.name);
    const Result<CallerRequest> parsed = ParseCallerRequest(ModelRequest(test.body));
    REQUIRE(IsOk(parsed));
    const std::vector<CallTrait>& traits = ValueOf(parsed).traits;
    if (first.empty()) first = traits;
    CHECK(traits.size() == test.traits);
    CHECK(static_cast<size_t>(std::count_if(traits.begin(), traits.end(), [&](const auto& trait) {
            return std::find(first.begin(), first.end(), trait) != first.end();
          })) == test.shared);
  }
}

struct BadRequestCase {
  const char* name;
  CallerHttpRequest request;
  ErrorKind kind;
  const char* expected;
};

// Guards against requests that are accepted although they cannot be served as the caller intended.
TEST_CASE("bad requests are refused with a reason") {
  const std::string good = R"({"model":"m"})";
  CallerHttpRequest get = ModelRequest(good);
  get.method = "GET";
  CallerHttpRequest path = ModelRequest(good);
  path.target = "/v1/embeddings";
  CallerHttpRequest deadline = ModelRequest(good);
  deadline.deadline_ms = "5s";
  CallerHttpRequest zero = ModelRequest(good);
  zero.deadline_ms = "0";
  CallerHttpRequest call_class = ModelRequest(good);
  call_class.call_class = "urgent";
  CallerHttpRequest key = ModelRequest(good);
  key.idempotency_key = std::string(257, 'k');
  CallerHttpRequest time_text = ModelRequest(good);
  time_text.key_time = "yesterday";
  CallerHttpRequest time_millis = ModelRequest(good);
  time_millis.key_time = "1796000000000";
  CallerHttpRequest time_negative = ModelRequest(good);
  time_negative.key_time = "-1";
  CallerHttpRequest service = ModelRequest("");
  service.target = "/services/";
  const std::vector<BadRequestCase> cases = {
      {"not JSON", ModelRequest("{"), ErrorKind::kInvalidArgument, "not a JSON object"},
      {"array", ModelRequest("[]"), ErrorKind::kInvalidArgument, "not a JSON object"},
      {"no model", ModelRequest("{}"), ErrorKind::kInvalidArgument, "\"model\" is missing"},
      {"model number", ModelRequest(R"({"model":1})"), ErrorKind::kInvalidArgument, "\"model\""},
      {"model empty", ModelRequest(R"({"model":""})"), ErrorKind::kInvalidArgument, "\"model\""},
      {"stream text", ModelRequest(R"({"model":"m","stream":"yes"})"), ErrorKind::kInvalidArgument,
       "\"stream\""},
      {"method", get, ErrorKind::kInvalidArgument, "method is GET"},
      {"path", path, ErrorKind::kNotFound, "no path /v1/embeddings"},
      {"deadline text", deadline, ErrorKind::kInvalidArgument, "X-Shallot-Deadline-Ms"},
      {"deadline zero", zero, ErrorKind::kInvalidArgument, "X-Shallot-Deadline-Ms"},
      {"class", call_class, ErrorKind::kInvalidArgument, "X-Shallot-Class"},
      {"long key", key, ErrorKind::kInvalidArgument, "too long"},
      {"key time text", time_text, ErrorKind::kInvalidArgument, "X-Shallot-Key-Time"},
      {"key time in ms", time_millis, ErrorKind::kInvalidArgument, "X-Shallot-Key-Time"},
      {"key time negative", time_negative, ErrorKind::kInvalidArgument, "X-Shallot-Key-Time"},
      {"no service", service, ErrorKind::kInvalidArgument, "names no service"},
  };
  for (const BadRequestCase& test : cases) {
    CAPTURE(test.name);
    const Result<CallerRequest> parsed = ParseCallerRequest(test.request);
    REQUIRE_FALSE(IsOk(parsed));
    CHECK(ErrorOf(parsed).kind == test.kind);
    CHECK(ErrorOf(parsed).message.find(test.expected) != std::string::npos);
    CHECK_FALSE(ErrorOf(parsed).remedy.empty());
  }
}

TEST_CASE("a model request carries its headers and flags") {
  CallerHttpRequest request = ModelRequest(R"({"model":"m","stream":true})");
  request.deadline_ms = "1500";
  request.call_class = "premium";
  request.idempotency_key = "k";
  request.key_time = "1796000000";
  request.request_id = "r";
  const Result<CallerRequest> parsed = ParseCallerRequest(request);
  REQUIRE(IsOk(parsed));
  CHECK(ValueOf(parsed).entry == EntryId("m"));
  CHECK(ValueOf(parsed).stream);
  CHECK(ValueOf(parsed).deadline == Millis(1500));
  CHECK(ValueOf(parsed).call_class == "premium");
  CHECK(ValueOf(parsed).idempotency_key == IdempotencyKey("k"));
  CHECK(ValueOf(parsed).key_time == WallTime(Seconds(1'796'000'000)));
  CHECK(ValueOf(parsed).request_id == RequestId("r"));
  CHECK(ValueOf(parsed).path == "/v1/chat/completions");
  CHECK(ValueOf(parsed).body == request.body);
}

struct ServiceCase {
  const char* target;
  const char* service;
  const char* path;
};

TEST_CASE("service targets are split into service and path") {
  const std::vector<ServiceCase> cases = {
      {"/services/orders/orders/7?x=1", "orders", "/orders/7?x=1"},
      {"/services/orders", "orders", "/"},
      {"/services/orders?x=1", "orders", "/?x=1"},
      {"/services/orders/", "orders", "/"},
  };
  for (const ServiceCase& test : cases) {
    CAPTURE(test.target);
    CallerHttpRequest request;
    request.method = "PATCH";
    request.target = test.target;
    const Result<CallerRequest> parsed = ParseCallerRequest(request);
    REQUIRE(IsOk(parsed));
    CHECK(ValueOf(parsed).service == BackendName(test.service));
    CHECK(ValueOf(parsed).path == test.path);
    CHECK(ValueOf(parsed).method == "PATCH");
  }
}

struct StatusCase {
  OutcomeKind kind;
  Reason reason;
  int status;
};

// Guards against a status that invites a caller to repeat a call that may have run.
TEST_CASE("each outcome has its HTTP status") {
  const std::vector<StatusCase> cases = {
      {OutcomeKind::kNotRun, Reason::kInvalidRequest, 400},
      {OutcomeKind::kNotRun, Reason::kUnknownEntry, 404},
      {OutcomeKind::kNotRun, Reason::kKeyReused, 409},
      {OutcomeKind::kNotRun, Reason::kQueueFull, 429},
      {OutcomeKind::kNotRun, Reason::kOverload, 429},
      {OutcomeKind::kNotRun, Reason::kNoMemory, 503},
      {OutcomeKind::kNotRun, Reason::kDraining, 503},
      {OutcomeKind::kNotRun, Reason::kStoreUnavailable, 503},
      {OutcomeKind::kNotRun, Reason::kDeadline, 504},
      {OutcomeKind::kFailed, Reason::kBackendError, 502},
      {OutcomeKind::kUnknown, Reason::kConnectionLost, 504},
      {OutcomeKind::kUnknown, Reason::kInProgress, 504},
  };
  for (const StatusCase& test : cases) {
    CAPTURE(ReasonName(test.reason));
    Outcome outcome;
    outcome.kind = test.kind;
    outcome.reason = test.reason;
    CHECK(StatusOfOutcome(outcome) == test.status);
  }
}

TEST_CASE("retry-after is whole seconds rounded up") {
  Outcome outcome;
  CHECK(RetryAfter(outcome).empty());
  outcome.retry_after = Millis(1);
  CHECK(RetryAfter(outcome) == "1");
  outcome.retry_after = Millis(2001);
  CHECK(RetryAfter(outcome) == "3");
}

// Guards against invalid JSON when a message from a backend server is not UTF-8.
TEST_CASE("errors and lists are JSON of the documented form") {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = Reason::kNoMemory;
  outcome.message = "full \xff";
  CHECK(OutcomeJson(outcome) ==
        "{\"error\":{\"message\":\"full \xEF\xBF\xBD\",\"remedy\":\"try again later\","
        "\"type\":\"no-memory\"}}");
  CHECK(ModelsJson({"a"}) ==
        R"({"data":[{"id":"a","object":"model","owned_by":"shallotspread"}],"object":"list"})");
}

}  // namespace
}  // namespace shallot
