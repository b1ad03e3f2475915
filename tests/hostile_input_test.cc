#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "servers/config_head.h"
#include "servers/placement_codec.h"

namespace shallot {
namespace {

// The inputs were found by the fuzz targets in fuzz/ or trigger the same faults.

// Guards against a number whose conversion has undefined behaviour or wraps to a huge generation.
TEST_CASE("stored slots with numbers that are not whole are rejected") {
  for (const std::string slot :
       {R"(["m",-161.5,0])", R"(["m",-1,0])", R"(["m",1e300,0])", R"(["m",1.0,0])", R"(["m",1,-1])",
        R"(["m",1,2])", R"(["m",1,1e300])", R"(["m",true,0])"}) {
    CAPTURE(slot);
    const auto parsed = ParseSlots(R"({"w":[)" + slot + "]}");
    REQUIRE_FALSE(IsOk(parsed));
    CHECK(ErrorOf(parsed).kind == ErrorKind::kInvalidArgument);
  }
  CHECK(IsOk(ParseSlots(R"({"w":[["m",18446744073709551615,1]]})")));
}

// Guards invariant 9: a negative revision was read as the largest one, so that no later change
// counted as newer.
TEST_CASE("a configuration head with revisions that are not whole is rejected") {
  for (const std::string revision : {"-1", "1.5", "1e300", "-161.5", "\"1\"", "null"}) {
    CAPTURE(revision);
    CHECK_FALSE(IsOk(ParseConfigHead(R"({"revision":)" + revision + R"(,"snapshot":)" + revision +
                                     R"(,"changes":[]})")));
    CHECK_FALSE(IsOk(
        ParseConfigHead(R"({"revision":1,"snapshot":1,"changes":[],"base":)" + revision + "}")));
  }
  CHECK(IsOk(ParseConfigHead(R"({"revision":1,"snapshot":1,"changes":[],"base":1})")));
}

TEST_CASE("the changes of a configuration head do not wrap around") {
  CHECK_FALSE(IsOk(ParseConfigHead(
      R"({"revision":0,"snapshot":18446744073709551615,"changes":[{"revision":0,"id":"x",)"
      R"("author":"a","time":"t","reason":"r","sections":[]}]})")));
}

}  // namespace
}  // namespace shallot
