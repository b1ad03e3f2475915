#include "drivers/proto_codec.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/random.h"

namespace shallot {
namespace {

Call SampleCall() {
  Call call;
  call.id = CallId("call-1");
  call.attempt = Attempt(3);
  call.request_id = RequestId("req\xff");
  call.entry = EntryId("proof-v2");
  call.service = BackendName("orders");
  call.call_class = CallClass::kBatch;
  call.remaining = Millis(1234);
  call.repeatable = false;
  call.idempotency_key = IdempotencyKey("key-\xfe");
  call.stream = true;
  call.method = "POST";
  call.path = "/orders?x=\xfd";
  call.content_type = "application/json";
  call.body = std::string("\0binary\xff", 8);
  call.slot_generation = Generation(9);
  call.traits = {CallTrait("body:1"), CallTrait("entry:\xff")};
  return call;
}

LoadSummary SampleLoad() {
  LoadSummary load;
  load.running = 1;
  load.queued = 2;
  load.concurrency = 3;
  load.mean_service = Millis(4);
  load.memory_capacity = Bytes(5);
  load.memory_reserved = Bytes(6);
  load.loaded = {EntryId("a"), EntryId("b")};
  load.cached_in_memory = {EntryId("c")};
  load.cached_on_disk = {EntryId("d"), EntryId("e")};
  load.serving = false;
  return load;
}

Outcome SampleOutcome() {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = Reason::kInvalidRequest;
  outcome.retry_after = Millis(700);
  outcome.http_status = 503;
  outcome.content_type = "text/plain";
  outcome.total_length = 1ULL << 40U;
  outcome.message = "bad \xff text";
  return outcome;
}

/// One message of each type with every field set.
std::vector<Message> AllKinds() {
  return {
      Hello{InstanceId("r1"), Incarnation(7), PeerRole::kAgent, RunnerId("run"),
            FailureDomain("regina"), ConfigRevision(8), true},
      Heartbeat{9, ConfigRevision(10), true, SampleLoad()},
      CallStart{SampleCall()},
      CallCancel{CallId("c"), Attempt(2)},
      CallResume{CallId("c"), Attempt(2), 77},
      CallFrame{CallId("c"), Attempt(2), 88, std::string("\0\xff", 2), 404, "text/plain\xff"},
      CallOutcome{CallId("c"), Attempt(2), SampleOutcome()},
      CallAck{CallId("c"), Attempt(2)},
      SlotGrant{ShardId(1),
                StoreVersion(2),
                Incarnation(3),
                {{EntryId("e"), RunnerId("r"), Generation(4), SlotState::kReleasing},
                 {EntryId("f"), RunnerId("r"), Generation(5), SlotState::kActive}}},
      SlotReleased{ShardId(1), EntryId("e"), RunnerId("r"), Generation(4)},
      ConfigPull{ConfigRevision(11)},
      ConfigPush{ConfigRevision(12), "[head]\n", "[snapshot]\n"},
      LoadPermitRequest{13,
                        RunnerId("r"),
                        EntryId("e"),
                        LoadKind::kAdapter,
                        Millis(14),
                        Incarnation(15),
                        {12, 13}},
      LoadPermit{15, RunnerId("r"), Millis(16)},
      LoadPermitReturn{17, RunnerId("r"), Incarnation(5)},
      DrainOrder{"maintenance", Millis(18)},
      CrashNotice{InstanceId("a1"),
                  true,
                  Incarnation(18),
                  19,
                  {{{{RunnerId("r"), RunnerStartTime(20)},
                     FailureDomain("regina"),
                     {{CallTrait("body:1"), CallTrait("entry:\xff")}},
                     {CallTrait("entry:e")},
                     {CallTrait("body:2")}}},
                   {{{CallTrait("body:1")}, 1, Millis(21)}}}},
  };
}

// Guards against a field that is not encoded or not decoded.
TEST_CASE("every message type is decoded to the value that was encoded") {
  const std::vector<Message> messages = AllKinds();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (size_t kind = 0; kind < messages.size(); ++kind) {
    CAPTURE(kind);
    REQUIRE(messages[kind].index() == kind);
    const Result<std::string> bytes = EncodeMessage(messages[kind]);
    REQUIRE(IsOk(bytes));
    const Result<Message> decoded = DecodeMessage(ValueOf(bytes));
    REQUIRE(IsOk(decoded));
    CHECK(ValueOf(decoded) == messages[kind]);
  }
}

struct BadBytesCase {
  const char* name;
  std::string bytes;
  const char* expected;
};

// Guards against input from an unrelated or newer process being accepted as a valid message.
TEST_CASE("malformed input is rejected with a reason") {
  const std::vector<BadBytesCase> cases = {
      {"empty", "", "has no known type"},
      {"unknown kind", std::string("\xf8\x07\x01", 3), "has no known type"},
      {"truncated", std::string("\x0a\x05", 2), "not valid protobuf"},
      {"not protobuf", "GET / HTTP/1.1\r\n\r\n", "not valid protobuf"},
      {"sender not UTF-8", std::string("\x0a\x03\x0a\x01\xff", 5), "not valid protobuf"},
      {"role out of range", std::string("\x0a\x02\x18\x02", 4), "\"role\" is out of range"},
      {"class out of range", std::string("\x1a\x02\x30\x05", 4), "\"call_class\" is out of range"},
      {"oversized", std::string(kMaxMessageBytes + 1, 'x'), "larger than 8 MB"},
  };
  for (const BadBytesCase& test : cases) {
    CAPTURE(test.name);
    const Result<Message> decoded = DecodeMessage(test.bytes);
    REQUIRE_FALSE(IsOk(decoded));
    CHECK(ErrorOf(decoded).kind == ErrorKind::kInvalidArgument);
    CHECK(ErrorOf(decoded).message.find(test.expected) != std::string::npos);
  }
}

// Guards against a time from a peer that overflows when it is added to the current time.
TEST_CASE("times beyond 30 days are rejected") {
  const Millis limit(30LL * 24 * 3'600'000);
  const auto messages = [](Millis time) {
    Call call = SampleCall();
    call.remaining = time;
    Heartbeat heartbeat;
    heartbeat.load.mean_service = time;
    CallOutcome outcome{CallId("c"), Attempt(1), SampleOutcome()};
    outcome.outcome.retry_after = time;
    return std::vector<Message>{
        CallStart{call},
        heartbeat,
        outcome,
        LoadPermitRequest{1, RunnerId("r"), EntryId("e"), LoadKind::kModel, time, {}, {}},
        LoadPermit{1, RunnerId("r"), time},
        DrainOrder{"x", time}};
  };
  for (const Millis time : {limit, -limit}) {
    for (const Message& message : messages(time)) {
      CHECK(IsOk(DecodeMessage(ValueOf(EncodeMessage(message)))));
    }
  }
  for (const Millis time : {limit + Millis(1), -limit - Millis(1), Millis::max(), Millis::min()}) {
    for (const Message& message : messages(time)) {
      CAPTURE(message.index());
      const Result<Message> decoded = DecodeMessage(ValueOf(EncodeMessage(message)));
      REQUIRE_FALSE(IsOk(decoded));
      CHECK(ErrorOf(decoded).message.find("is out of range") != std::string::npos);
    }
  }
}

TEST_CASE("a message over the limit is not encoded") {
  const Message message = CallFrame{CallId("c"), Attempt(1), 0, std::string(kMaxMessageBytes, 'x')};
  const Result<std::string> bytes = EncodeMessage(message);
  REQUIRE_FALSE(IsOk(bytes));
  CHECK(ErrorOf(bytes).kind == ErrorKind::kInvalidArgument);
}

// Guards against a crash or an endless loop on corrupted input: changes single bytes of valid
// messages.
TEST_CASE("corrupted input does not crash the decoder") {
  Random random(20);
  for (const Message& message : AllKinds()) {
    const std::string bytes = ValueOf(EncodeMessage(message));
    for (int round = 0; round < 200; ++round) {
      std::string damaged = bytes;
      damaged[random.Below(damaged.size())] = static_cast<char>(random.Below(256));
      const Result<Message> decoded = DecodeMessage(damaged);
      if (IsOk(decoded)) CHECK(IsOk(EncodeMessage(ValueOf(decoded))));
    }
  }
}

}  // namespace
}  // namespace shallot
