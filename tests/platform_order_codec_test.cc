#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/platform_codec_fixture.h"

namespace shallot::platform {
namespace {

using gateway::HttpMessage;

TEST_CASE("platform: reports are decoded and orders are encoded") {
  const PlatformCodec codec;
  const auto report = codec.DecodeReport(Answer(
      200,
      R"({"stage":"colocated","models":[{"name":"m1","version":1,"adapters":["a1"]}],"busy":true,
"seq":2,"waiting":1,"running":12,"kv-used":81000,"kv-total":243171,"coming":["m1/a2@1"],"born":5})"));
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).order_under_way);
  CHECK(ValueOf(report).sequence == gateway::OrderSequence(2));
  CHECK(ValueOf(report).holdings.AdapterCount() == 2);
  CHECK(ValueOf(report).used_tokens == 81'000);
  CHECK(ValueOf(report).memory_tokens == 243'171);
  CHECK_FALSE(ValueOf(codec.DecodeReport(Answer(200, R"({"models":[]})"))).used_tokens);
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

}  // namespace
}  // namespace shallot::platform
