#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/platform_codec_fixture.h"

namespace shallot::platform {
namespace {

using gateway::CallEnvelope;
using gateway::HttpHead;
using gateway::HttpMessage;

HttpMessage StreamCall() {
  HttpMessage call;
  call.head.method = "POST";
  call.head.target = "/lohu930/2f?x=1";
  call.head.fields = {
      {"Host", "Ficu95.example:80"}, {"Attempt-Id", "9c41d07be2a35f68"},
      {"Last-Event-Id", "12"},       {"Model-Name", "daka510000/a3"},
      {"Token-Usage", "1460,80"},    {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
      {"Deadline-Ms", "5000"}};
  call.body = "prompt";
  return call;
}

TEST_CASE("platform: a call's head is decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeCall(StreamCall().head);
  REQUIRE(IsOk(decoded));
  const gateway::CallRequest& call = ValueOf(decoded);
  CHECK(call.id == RequestId("9c41d07be2a35f68"));
  CHECK(call.host == "ficu95.example");
  CHECK(call.path == "/lohu930/2f");
  CHECK(call.time_budget == Millis(5'000));
  CHECK(call.model == gateway::ModelName("daka510000"));
  CHECK(call.adapter == gateway::AdapterName("a3"));
  CHECK(call.prompt_tokens == 1'460);
  CHECK(call.max_output_tokens == 80);
  REQUIRE(call.prompt.size() == 3);
  CHECK(call.prompt[1].id == "91bd3f06");
  CHECK(call.prompt[1].tokens == 410);
}

// Guards against a leader that ends because the name in a call, whose bytes are the caller's
// choice, reaches an order that JSON can't represent.
TEST_CASE("platform: names that are not UTF-8 are refused and end no process") {
  struct Case {
    const char* name;
    std::string model;
    const char* expected;
  };
  const PlatformCodec codec;
  for (const Case& test :
       std::vector<Case>{{"ASCII", "m1/a1", "ok"},
                         {"two and three bytes", "m\xc3\xa9/\xe2\x82\xac", "ok"},
                         {"lone continuation byte", "m1/\x80", "invalid-argument"},
                         {"lone lead byte", "m1/\xc3", "invalid-argument"},
                         {"byte that never occurs", "m1/\xff", "invalid-argument"},
                         {"in the model", "m\xff", "invalid-argument"}}) {
    CAPTURE(std::string(test.name));
    HttpMessage request = StreamCall();
    request.head.Set("Model-Name", test.model);
    CHECK(KindOf(codec.DecodeCall(request.head)) == test.expected);
    gateway::Order order;
    order.model = gateway::ModelName("m1");
    order.adapter = gateway::AdapterName(test.model);
    CHECK_NOTHROW(codec.EncodeOrder(order, InstanceId("node-7"), FencingNumber(41)));
  }
}

// Guards against forwarding fields of a caller that only the gateway may set, and against a changed
// method, target, body or call id.
TEST_CASE("platform: a call is forwarded unchanged except for the gateway's own fields") {
  const PlatformCodec codec;
  HttpMessage call = StreamCall();
  const std::vector<const char*> system_fields = {"Hold-Request", "Pin-Ms",   "Kv-Backup",
                                                  "Kv-From",      "Kv-Fetch", "Expect-Version"};
  for (const char* field : system_fields) call.head.fields.emplace_back(field, "1");
  call.head.fields.emplace_back("Connection", "close, Attempt-Id");
  call.head.fields.emplace_back("X-Other", "kept");
  CallEnvelope envelope;
  envelope.runner = RunnerId("i-7f3a91c2");
  envelope.time_left = Millis(4'321);
  envelope.urgency = 3;
  const HttpMessage out = codec.EncodeCall(call, envelope);
  CHECK(out.head.method == "POST");
  CHECK(out.head.target == "/lohu930/2f?x=1");
  CHECK(out.body == "prompt");
  for (const char* field : system_fields) CHECK(out.head.Find(field) == nullptr);
  CHECK(out.head.Find("Connection") == nullptr);
  CHECK(*out.head.Find("Attempt-Id") == "9c41d07be2a35f68");
  CHECK(*out.head.Find("Deadline-Ms") == "4321");
  CHECK(out.head.Count("Deadline-Ms") == 1);
  CHECK(*out.head.Find("Expect-Instance") == "i-7f3a91c2");
  CHECK(*out.head.Find("Request-Priority") == "3");
  CHECK(*out.head.Find("Last-Event-Id") == "12");
  CHECK(*out.head.Find("X-Other") == "kept");

  envelope.resume_after = "17";
  CHECK(*codec.EncodeCall(call, envelope).head.Find("Last-Event-Id") == "17");
}

// Guards against a key or a claimed team that reaches a runner, also when it is repeated, and
// against a changed call in deployments without teams.
TEST_CASE("platform: the key is replaced by the team only where keys are in force") {
  struct Case {
    const char* name;
    std::vector<std::pair<std::string, std::string>> fields;
    bool keys_required;
    const char* team;
    const char* key;
    size_t keys_sent;
    std::vector<std::string> teams_sent;
  };
  using Fields = std::vector<std::pair<std::string, std::string>>;
  const PlatformCodec codec;
  for (const Case& test : std::vector<Case>{
           {"known key", {{"Credential", "k1"}}, true, "t1", "k1", 0, {"t1"}},
           {"claimed team", {{"tenant-name", "t9"}, {"Tenant-Name", "t8"}}, true, "", "", 0, {}},
           {"key and claimed team",
            Fields{{"credential", "k1"}, {"Tenant-Name", "t9"}},
            true,
            "t1",
            "k1",
            0,
            {"t1"}},
           {"the same key twice",
            Fields{{"Credential", "k1"}, {"Credential", "k1"}},
            true,
            "t1",
            "k1",
            0,
            {"t1"}},
           {"two keys", Fields{{"Credential", "k1"}, {"Credential", "k2"}}, true, "", "", 0, {}},
           {"an empty key and a key",
            Fields{{"Credential", ""}, {"Credential", "k1"}},
            true,
            "",
            "",
            0,
            {}},
           {"named hop-by-hop",
            Fields{{"Credential", "k1"}, {"Connection", "Tenant-Name"}},
            true,
            "t1",
            "k1",
            0,
            {"t1"}},
           {"no teams",
            Fields{{"Credential", "k1"}, {"Tenant-Name", "t9"}},
            false,
            "",
            "k1",
            1,
            {"t9"}}}) {
    CAPTURE(std::string(test.name));
    HttpMessage call = StreamCall();
    call.head.fields.insert(call.head.fields.end(), test.fields.begin(), test.fields.end());
    const auto decoded = codec.DecodeCall(call.head);
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded).caller_key == test.key);
    CallEnvelope envelope;
    envelope.keys_required = test.keys_required;
    envelope.team = gateway::TeamName(test.team);
    const HttpMessage out = codec.EncodeCall(call, envelope);
    CHECK(out.head.Count("Credential") == test.keys_sent);
    std::vector<std::string> teams;
    for (const auto& [name, value] : out.head.fields) {
      if (gateway::EqualsIgnoringCase(name, "Tenant-Name")) teams.push_back(value);
    }
    CHECK(teams == test.teams_sent);
  }
}

TEST_CASE("platform: a runner's answer is decoded") {
  const PlatformCodec codec;
  HttpHead head;
  head.status = 200;
  head.fields = {{"Attempt-Id", "9c"}, {"Server-Seal", "3e1b"}, {"Instance-Load", "3,1,8"}};
  gateway::AnswerMetadata metadata = codec.DecodeAnswer(head);
  CHECK(metadata.call == RequestId("9c"));
  CHECK(metadata.sealed);
  CHECK_FALSE(metadata.not_executed);
  REQUIRE(metadata.load);
  CHECK(metadata.load->waiting == 1);
  CHECK_FALSE(metadata.calls_per_s);
  for (const auto& [text, expected] : std::vector<std::pair<std::string, double>>{
           {"1.6", 1.6}, {"20", 20}, {"", 0}, {"0", 0}, {"-1", 0}, {"nan", 0}, {"1.6/s", 0}}) {
    CAPTURE(text);
    HttpHead limited = head;
    limited.fields.emplace_back("Server-Limit", text);
    CHECK(codec.DecodeAnswer(limited).calls_per_s.value_or(0) == expected);
  }

  HttpHead rejected;
  rejected.status = 503;
  rejected.fields = {{"Not-Executed", "1"}, {"Instance-Load", "x,1"}};
  metadata = codec.DecodeAnswer(rejected);
  CHECK(metadata.not_executed);
  CHECK_FALSE(metadata.load);
  CHECK(metadata.load_unreadable);

  HttpHead misdirected;
  misdirected.status = 421;
  misdirected.fields = {{"Instance-Id", "i-02d9e6b4"}};
  metadata = codec.DecodeAnswer(misdirected);
  CHECK(metadata.not_executed);
  CHECK(metadata.runner == RunnerId("i-02d9e6b4"));
}

// Guards against losing a runner's load because the header has the fourth number, and against using
// a part of a header that cannot be read.
TEST_CASE("platform: a runner's load has three or four numbers") {
  struct Case {
    const char* text;
    bool readable;
    std::optional<double> pace;
  };
  const PlatformCodec codec;
  for (const Case& test : std::vector<Case>{{"3,1,8", true, std::nullopt},
                                            {"3,1,8,100", true, 1.0},
                                            {"3,1,8,62.5", true, 0.625},
                                            {"3,1,8,340", true, 3.4},
                                            {"3,1,8,0", false, {}},
                                            {"3,1,8,-5", false, {}},
                                            {"3,1,8,nan", false, {}},
                                            {"3,1,8,", false, {}},
                                            {"3,1,8,100,7", false, {}},
                                            {"3,1", false, {}},
                                            {"3,x,8,100", false, {}},
                                            {"", false, {}}}) {
    CAPTURE(std::string(test.text));
    HttpHead head;
    head.status = 200;
    head.fields = {{"Instance-Load", test.text}};
    const gateway::AnswerMetadata metadata = codec.DecodeAnswer(head);
    CHECK(metadata.load_unreadable == !test.readable);
    REQUIRE(metadata.load.has_value() == test.readable);
    if (!test.readable) continue;
    CHECK(metadata.load->running == 3);
    CHECK(metadata.load->waiting == 1);
    CHECK(metadata.load->slots == 8);
    CHECK(metadata.load->pace == test.pace);
  }
}

struct TurnedAwayCase {
  const char* name;
  int status;
  const char* retry_after;
  bool closed;
  std::optional<int64_t> time_ms;
};

// Guards against a time for which a runner wants no calls that is misread, or read from an answer
// that does not turn the call away.
TEST_CASE("platform: leaving and closed runners are decoded from their answers") {
  const std::vector<TurnedAwayCase> cases = {
      {"absent", 503, nullptr, false, std::nullopt},
      {"whole seconds", 503, "2", true, 2'000},
      {"decimal", 503, "0.25", true, 250},
      {"rounded up", 503, "0.0001", true, 1},
      {"zero", 503, "0", true, 0},
      {"negative", 503, "-1", true, std::nullopt},
      {"not a number", 503, "nan", true, std::nullopt},
      {"text", 503, "soon", true, std::nullopt},
      {"empty", 503, "", true, std::nullopt},
      {"date", 503, "Sat, 05 Dec 2026 09:00:00 GMT", true, std::nullopt},
      {"absurd", 503, "1e300", true, Millis(std::chrono::hours(24 * 366)).count()},
      {"another status", 429, "2", false, std::nullopt},
  };
  const PlatformCodec codec;
  for (const TurnedAwayCase& test : cases) {
    CAPTURE(std::string(test.name));
    HttpHead head;
    head.status = test.status;
    if (test.retry_after != nullptr) head.Set("Retry-After", test.retry_after);
    const gateway::AnswerMetadata metadata = codec.DecodeAnswer(head);
    CHECK_FALSE(metadata.leaving);
    REQUIRE(metadata.closed.has_value() == test.closed);
    if (!test.closed) continue;
    CHECK(metadata.closed->time.has_value() == test.time_ms.has_value());
    if (test.time_ms && metadata.closed->time) {
      CHECK(metadata.closed->time->count() == *test.time_ms);
    }
    head.Set("Server-Leaving", "1");
    CHECK(codec.DecodeAnswer(head).leaving);
    head.Set("Server-Leaving", "0");
    CHECK_FALSE(codec.DecodeAnswer(head).leaving);
  }
}

TEST_CASE("platform: the gateway's error answers have the call id and Retry-After") {
  const PlatformCodec codec;
  const HttpMessage answer = codec.ErrorAnswer(503, RequestId("9c"), "no runner", Millis(1'250));
  CHECK(answer.head.status == 503);
  CHECK(*answer.head.Find("Attempt-Id") == "9c");
  CHECK(*answer.head.Find("Retry-After") == "1.250");
  CHECK(answer.head.Find("Server-Seal") == nullptr);
  CHECK(codec.ErrorAnswer(502, RequestId(), "x", std::nullopt).head.Find("Retry-After") == nullptr);
}

}  // namespace
}  // namespace shallot::platform
