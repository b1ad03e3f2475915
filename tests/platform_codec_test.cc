#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform_settings.h"

// The messages are the examples from the platform's documentation.
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

HttpMessage Answer(int status, const std::string& body) {
  HttpMessage answer;
  answer.head.status = status;
  answer.body = body;
  return answer;
}

template <class T>
std::string KindOf(const Result<T>& result) {
  return IsOk(result) ? "ok" : ErrorKindName(ErrorOf(result).kind);
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

// Guards against forwarding fields of a caller that only the gateway may set, and against a changed
// method, target, body or call id.
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

  HttpHead misdirected;
  misdirected.status = 421;
  misdirected.fields = {{"Instance-Id", "i-02d9e6b4"}};
  metadata = codec.DecodeAnswer(misdirected);
  CHECK(metadata.not_executed);
  CHECK(metadata.runner == RunnerId("i-02d9e6b4"));
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

constexpr const char* kEntry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"regina","version":"v1","slots":64,
"state":"ready","cold-remaining-ms":0,"stage":"colocated","born":1787342823205,
"models":[{"name":"daka510000","version":1,"adapters":["a3"]}],
"at-hand":{"in-memory":["m1"],"on-disk":["m1","m2"]},"seq":4})";

TEST_CASE("platform: an entry of the runner list is decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRunner(RunnerId("i-1"), kEntry);
  REQUIRE(IsOk(decoded));
  const gateway::RunnerEntry& entry = ValueOf(decoded);
  CHECK(entry.backend == BackendName("huvo11a"));
  CHECK(entry.address == "10.128.0.9:8080");
  CHECK(entry.slots == 64);
  CHECK_FALSE(entry.draining);
  CHECK(entry.born == RunnerStartTime(1787342823205));
  CHECK(entry.heartbeat == gateway::HeartbeatSequence(4));
  CHECK(entry.holdings.Holds(gateway::ModelName("daka510000"), gateway::AdapterName("a3")));
  CHECK(entry.holdings.on_disk.size() == 2);
}

// Guards against accepting invalid runner entries, which other programs may write.
TEST_CASE("platform: invalid entries of the runner list are typed errors") {
  const PlatformCodec codec;
  const nlohmann::json good = nlohmann::json::parse(kEntry);
  const std::vector<std::pair<const char*, nlohmann::json>> changes = {
      {"service", nullptr}, {"service", 7},        {"address", "nowhere"}, {"address", 5},
      {"zone", nullptr},    {"slots", "many"},     {"slots", -1},          {"state", "asleep"},
      {"state", nullptr},   {"born", "yesterday"}, {"models", "m1"},       {"models", {{{"x", 1}}}},
      {"at-hand", 3}};
  for (const auto& [field, value] : changes) {
    CAPTURE(std::string(field) + " = " + value.dump());
    nlohmann::json entry = good;
    entry[field] = value;
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), entry.dump())) == "invalid-argument");
  }
  for (const char* address : {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:0",
                              "10.0.0.1:-1", "256.0.0.1:80", "10.0.0:80", "10.0.0.1:80:80"}) {
    CAPTURE(std::string(address));
    nlohmann::json entry = good;
    entry["address"] = address;
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), entry.dump())) == "invalid-argument");
  }
  for (const char* bytes : {"", "[]", "\xff\xfe", "{\"service\":"}) {
    CHECK(KindOf(codec.DecodeRunner(RunnerId("i-1"), bytes)) == "invalid-argument");
  }
}

struct OddEntryCase {
  const char* name;
  const char* field;
  std::string value;
};

// Guards against a process that ends, or a duration that is undefined, because of one odd entry
// that another writer left among those of the runners.
TEST_CASE("platform: numbers out of range and deep nesting in a runner entry do no harm") {
  constexpr size_t kDepth = 400'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::vector<OddEntryCase> cases = {
      {"number beyond a double", "slots", "1e999"},
      {"number beyond 64 bits", "slots", "99999999999999999999999"},
      {"huge duration", "remaining-ms", "1e300"},
      {"negative duration", "remaining-ms", "-1e300"},
      {"huge heartbeat", "seq", "18446744073709551616"},
      {"nested list of models", "models", nested},
      {"nested unknown field", "x", nested},
      {"nested state", "state", nested},
  };
  const PlatformCodec codec;
  for (const OddEntryCase& test : cases) {
    CAPTURE(std::string(test.name));
    nlohmann::json entry = nlohmann::json::parse(kEntry);
    entry.erase(test.field);
    std::string text = entry.dump();
    text.insert(1, "\"" + std::string(test.field) + "\":" + test.value + ",");
    const auto decoded = codec.DecodeRunner(RunnerId("i-1"), text);
    if (!IsOk(decoded)) continue;
    CHECK(ValueOf(decoded).remaining.value_or(Millis(0)) >= Millis(0));
    CHECK(ValueOf(decoded).remaining.value_or(Millis(0)) <= std::chrono::hours(24 * 366));
  }
}

constexpr const char* kConfig =
    R"({"version":7,"routes":[
{"name":"r1","hostname":"Ficu95.example","path-prefix":"/pufi791/","kind":"stream","timeout-ms":15000,
"target-latency-ms":2500,"priority":1,"service":"huvo11a","max-attempts":1,"sticky":true,
"resumable":false,"gap-aim-ms":400},
{"name":"r2","hostname":"ficu95.example","path-prefix":"/lohu930/","kind":"idempotent",
"timeout-ms":5000,"target-latency-ms":800,"priority":1,"traffic-split":[{"service":"huvo11a",
"weight":90},{"service":"wuno96b","weight":10}],"max-attempts":2},
{"name":"r3","hostname":"ficu95.example","path-prefix":"/new/","kind":"kind-of-tomorrow",
"timeout-ms":5000,"service":"wuno96b"}],
"services":[{"name":"huvo11a","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv-capacity-tokens":243171,"weights-mb":220000.0,"adapter-slots":8,
"loads-per-s":2.1,"models":[{"name":"daka510000","weights-mb":65099.99999999999,"load-s":6.0,
"adapters":37,"adapter-mb":12.0,"warm-s":0.38,"disk-s":0.76}]}},
{"name":"wuno96b","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000}})";

TEST_CASE("platform: the operators' configuration is decoded") {
  const PlatformCodec codec;
  const auto decoded = codec.DecodeRoutes(kConfig);
  REQUIRE(IsOk(decoded));
  const gateway::FleetRoutes& fleet = ValueOf(decoded);
  CHECK(fleet.version == gateway::FleetVersion(7));
  REQUIRE(fleet.routes.size() == 3);
  CHECK(fleet.routes[0].host == "ficu95.example");
  CHECK(fleet.routes[0].kind == gateway::CallKind::kStream);
  CHECK(fleet.routes[0].gap_target == Millis(400));
  CHECK(fleet.routes[1].backends.size() == 2);
  CHECK(fleet.routes[1].backends[1].weight == 10);
  CHECK_MESSAGE(fleet.routes[2].kind == gateway::CallKind::kNonIdempotent,
                "an unknown kind is treated as non-idempotent");
  const gateway::EngineSpec* engine = fleet.Engine(BackendName("huvo11a"));
  REQUIRE(engine != nullptr);
  const gateway::ModelSpec& model = engine->models.at(gateway::ModelName("daka510000"));
  CHECK(model.store_load == Millis(6'000));
  CHECK(model.disk_load == Millis(760));
  CHECK(model.memory_load == Millis(380));
  CHECK(fleet.Engine(BackendName("wuno96b")) == nullptr);
  CHECK(KindOf(codec.DecodeRoutes(R"({"routes":[]})")) == "invalid-argument");
  CHECK(KindOf(codec.DecodeRoutes(R"({"version":1,"routes":[{"name":"r"}]})")) ==
        "invalid-argument");
}

TEST_CASE("platform: reports are decoded and orders are encoded") {
  const PlatformCodec codec;
  const auto report = codec.DecodeReport(Answer(
      200,
      R"({"stage":"colocated","models":[{"name":"m1","version":1,"adapters":["a1"]}],"busy":true,
"seq":2,"waiting":1,"running":12,"coming":["m1/a2@1"],"born":5})"));
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).order_under_way);
  CHECK(ValueOf(report).sequence == gateway::OrderSequence(2));
  CHECK(ValueOf(report).holdings.AdapterCount() == 2);
  CHECK(KindOf(codec.DecodeReport(Answer(503, ""))) == "unavailable");

  gateway::Order order;
  order.runner = RunnerId("i-1");
  order.model = gateway::ModelName("m1");
  order.expected = gateway::OrderSequence(2);
  const HttpMessage message = codec.EncodeOrder(order, InstanceId("node-7"), FencingNumber(41));
  CHECK(message.head.target == "/v1/order");
  CHECK(*message.head.Find("Expect-Instance") == "i-1");
  CHECK(nlohmann::json::parse(message.body) ==
        nlohmann::json::parse(
            R"({"op-type":"load","model":"m1","precondition":2,"holder":"node-7","fence":41})"));
  for (const auto& [status, expected] :
       std::vector<std::pair<int, gateway::OrderAnswer>>{{202, gateway::OrderAnswer::kAccepted},
                                                         {200, gateway::OrderAnswer::kAlreadyHolds},
                                                         {409, gateway::OrderAnswer::kBusy},
                                                         {412, gateway::OrderAnswer::kFenced},
                                                         {421, gateway::OrderAnswer::kRejected},
                                                         {500, gateway::OrderAnswer::kNone}}) {
    CHECK(codec.DecodeOrderAnswer(status) == expected);
  }
}

// Guards against a confirmed configuration that is ignored because of fields that are not used.
TEST_CASE("platform: a configuration may hold more than the gateway uses") {
  const PlatformCodec codec;
  const std::string route =
      R"({"name":"r","hostname":"h.example","path-prefix":"/p/","kind":"idempotent","service":"s")";
  for (const std::string& text :
       {R"({"version":2,"routes":[)" + route +
            R"(,"public":true}],"tenants":[{"name":"t","api-keys":["k1","k2"],"priority":0,)"
            R"("rate-per-s":1.5,"burst":0,"unit":"tokens","plain-tokens":100}]})",
        R"({"version":2,"routes":[)" + route +
            R"(,"timeout-ms":null,"priority":null,"traffic-split":null}],"limits":null})",
        R"({"version":2.0,"routes":[)" + route + R"(,"timeout-ms":1500.5,"max-attempts":2.0}]})"}) {
    CAPTURE(text);
    const auto decoded = codec.DecodeRoutes(text);
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded).version == gateway::FleetVersion(2));
    CHECK(ValueOf(decoded).routes.size() == 1);
  }
}

TEST_CASE("platform: store calls are encoded and their answers are decoded") {
  const PlatformCodec codec;
  CHECK(codec.RangeRequest("servers/", "servers/a b").head.target ==
        "/v1/kv-range?path-prefix=servers%2F&after=servers%2Fa%20b");
  CHECK(codec.WatchRequest("", gateway::StoreRevision(411), Millis(2'500)).head.target ==
        "/v1/kv-watch?path-prefix=&after=411&wait-ms=2500");
  const HttpMessage write = codec.WriteRequest(
      {"my/leader", "node-1", gateway::StoreRevision(0), gateway::LeaseId(77120)});
  CHECK(nlohmann::json::parse(write.body) ==
        nlohmann::json::parse(
            R"({"precondition":[{"key":"my/leader","revision":0}],
"set-keys":[{"key":"my/leader","value":"bm9kZS0x","lease":77120}],"remove":[]})"));

  const auto changes = codec.DecodeWatch(Answer(
      200,
      R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"create-revision":412,
"lease":77120},{"key":"my/old","revision":413,"deleted":true}],"store-revision":413})"));
  REQUIRE(IsOk(changes));
  REQUIRE(ValueOf(changes).items.size() == 2);
  CHECK(ValueOf(changes).items[0].value == "node-1");
  CHECK(ValueOf(changes).items[1].deleted);
  CHECK(ValueOf(changes).position.revision == gateway::StoreRevision(413));

  const auto page =
      codec.DecodeRange(Answer(200, R"({"items":[],"truncated":true,"store-revision":530})"));
  REQUIRE(IsOk(page));
  CHECK(ValueOf(page).truncated);
}

struct EraCase {
  const char* name;
  const char* field;
  std::optional<uint64_t> era;
};

// Guards against a malformed era that counts as a restore, and against positions without their era.
// Guards against one unreadable item that holds up all other changes for good, because the watch is
// repeated from the same position.
TEST_CASE("platform: an unreadable store item does not hold up the others") {
  struct Case {
    const char* name;
    const char* item;
    /// Whether its key counts as present.
    bool present;
  };
  const platform::PlatformCodec codec;
  for (const Case& test :
       {Case{"no key", R"({"value":"YQ==","revision":5})", false},
        Case{"key of another type", R"({"key":7,"value":"YQ==","revision":5})", false},
        Case{"not an object", R"("text")", false},
        Case{"no revision", R"({"key":"servers/a","value":"YQ=="})", false},
        Case{"no value", R"({"key":"servers/a","revision":5})", true},
        Case{"value of another type", R"({"key":"servers/a","value":[],"revision":5})", true}}) {
    CAPTURE(std::string(test.name));
    const std::string sound = R"({"key":"op/config","value":"Yg==","revision":6})";
    const std::string list = std::string("[") + test.item + "," + sound + "]";
    for (const auto& batch :
         {codec.DecodeWatch(Answer(200, R"({"events":)" + list + R"(,"store-revision":6})")),
          codec.DecodeRange(
              Answer(200, R"({"items":)" + list + R"(,"truncated":false,"store-revision":6})"))}) {
      REQUIRE(IsOk(batch));
      const auto& items = ValueOf(batch).items;
      REQUIRE(items.size() == (test.present ? 2U : 1U));
      CHECK(items.back().key == "op/config");
      CHECK(items.back().value == "b");
      if (test.present) CHECK(items.front().value.empty());
    }
  }
}

TEST_CASE("platform: the era of the store is decoded") {
  const std::vector<EraCase> cases = {
      {"absent", nullptr, std::nullopt},
      {"number", "7", 7},
      {"empty", "", std::nullopt},
      {"text", "seven", std::nullopt},
      {"negative", "-1", std::nullopt},
      {"fraction", "1.5", std::nullopt},
      {"followed by text", "7x", std::nullopt},
      {"too large", "99999999999999999999", std::nullopt},
  };
  const PlatformCodec codec;
  for (const EraCase& test : cases) {
    CAPTURE(std::string(test.name));
    HttpMessage answer = Answer(200, R"({"revision":9})");
    if (test.field != nullptr) answer.head.Set("Store-Era", test.field);
    const auto era = codec.DecodeStoreEra(answer.head);
    CHECK(era.has_value() == test.era.has_value());
    if (era && test.era) CHECK(era->value() == *test.era);
    const auto written = codec.DecodeWrite(answer);
    REQUIRE(IsOk(written));
    CHECK(ValueOf(written).era.value() == test.era.value_or(0));
  }
}

// Guards against taking an error of the store for a valid answer, and missing history for an
// absence of changes.
TEST_CASE("platform: errors of the store are typed errors") {
  const PlatformCodec codec;
  for (const auto& [status, kind] :
       std::vector<std::pair<int, const char*>>{{404, "not-found"},
                                                {410, "conflict"},
                                                {412, "conflict"},
                                                {429, "resource-exhausted"},
                                                {503, "unavailable"},
                                                {418, "internal"}}) {
    CAPTURE(status);
    const HttpMessage answer = Answer(status, "{}");
    CHECK(KindOf(codec.DecodeRange(answer)) == kind);
    CHECK(KindOf(codec.DecodeWatch(answer)) == kind);
    CHECK(KindOf(codec.DecodeWrite(answer)) == kind);
    CHECK(KindOf(codec.DecodeLease(answer)) == kind);
    CHECK(KindOf(codec.DecodeRenewal(answer)) == kind);
  }
  CHECK(KindOf(codec.DecodeWatch(Answer(200, "not json"))) == "invalid-argument");
  CHECK(KindOf(codec.DecodeWatch(Answer(200, R"({"events":[]})"))) == "invalid-argument");
}

TEST_CASE("platform: the settings file is decoded and validated") {
  const std::string text =
      R"({"node":"front-regina-1","ip":"10.1.0.38","zone":"regina",
"listen":{"front":"10.1.0.38:8149","ready":"10.1.0.38:8141"},"port-range":[7380,7395],
"bounds":{"grace-s":8,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-slack":58,
"lease-ms":3000,"require-fencing":false,"ceiling-window-s":5},
"platform":{"address":"10.200.1.7:8142","ttl-min-ms":1000},"new-field":[1]})";
  const auto decoded = DecodeSettings(text);
  REQUIRE(IsOk(decoded));
  const gateway::GatewaySettings& settings = ValueOf(decoded);
  CHECK(settings.caller_address == "10.1.0.38:8149");
  CHECK(settings.peer_address == "10.1.0.38:7380");
  CHECK(settings.store_address == "10.200.1.7:8142");
  CHECK(settings.stop_grace == Millis(8'000));
  CHECK_FALSE(settings.orders_fenced);
  CHECK(settings.policy.retry_slack == 58);
  const nlohmann::json good = nlohmann::json::parse(text);
  for (const char* field : {"node", "zone", "ip", "listen", "port-range", "platform"}) {
    CAPTURE(std::string(field));
    nlohmann::json bad = good;
    bad.erase(field);
    CHECK(KindOf(DecodeSettings(bad.dump())) == "invalid-argument");
  }
}

}  // namespace
}  // namespace shallot::platform
