#include "servers/merged_rows.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot {
namespace {

using Json = nlohmann::json;

// Guards against a finding that is listed once for each gateway, and against replies of other
// programs that end the command.
TEST_CASE("rows of several gateways are merged by their key") {
  struct Case {
    const char* name;
    std::vector<std::string> replies;
    const char* expected;
  };
  for (const Case& test : std::vector<Case>{
           {"no gateways", {}, "[]"},
           {"two gateways with one row, the larger values count",
            {R"({"gateway":"g1","rows":[{"id":"a","left":5,"n":1}]})",
             R"({"gateway":"g2","rows":[{"id":"a","left":7,"n":0}]})"},
            R"([{"id":"a","left":7,"n":1,"gateways":["g1","g2"]}])"},
           {"rows that differ in the key",
            {R"({"gateway":"g1","rows":[{"id":"b"},{"id":"a"}]})"},
            R"([{"id":"a","gateways":["g1"]},{"id":"b","gateways":["g1"]}])"},
           {"not a gateway's reply", {R"({"rows":5})", R"([1])", R"({"gateway":"g1"})"}, "[]"}}) {
    CAPTURE(std::string(test.name));
    std::vector<Json> replies;
    for (const std::string& reply : test.replies) replies.push_back(Json::parse(reply));
    CHECK(MergeGatewayRows(replies, "rows", {"id"}) == Json::parse(test.expected));
  }
}

}  // namespace
}  // namespace shallot
