#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/platform_codec_fixture.h"

namespace shallot::platform {
namespace {

using gateway::HttpHead;
using gateway::HttpMessage;

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

struct EraCase {
  const char* name;
  const char* field;
  std::optional<uint64_t> era;
};

// Guards against a malformed era that counts as a restore, and against positions without their era.
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

}  // namespace
}  // namespace shallot::platform
