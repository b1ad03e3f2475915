#include "servers/gateway/store_history.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace shallot::gateway {
namespace {

using Verdict = StoreHistory::Verdict;

struct AnswerCase {
  const char* name;
  std::optional<uint64_t> sent_in;
  std::optional<uint64_t> answered_in;
  Verdict verdict;
  std::optional<uint64_t> era_after;
};

std::optional<StoreEra> Era(std::optional<uint64_t> era) {
  return era ? std::optional(StoreEra(*era)) : std::nullopt;
}

// Guards against revisions, conditions and leases that are used across a restore of the store.
TEST_CASE("gateway: verdict on an answer of the store by the eras of the call") {
  const std::vector<AnswerCase> cases = {
      {"sent and answered in the present era", 4, 4, Verdict::kCurrent, 4},
      {"answered in a new era", 4, 5, Verdict::kRestored, 5},
      {"several restores at once", 4, 7, Verdict::kRestored, 7},
      {"sent before a restore that is known", 3, 4, Verdict::kOutdated, 4},
      {"answer of an earlier era", 3, 3, Verdict::kOutdated, 4},
      {"sent before any era was known", std::nullopt, 4, Verdict::kCurrent, 4},
      {"sent before any era was known, answered earlier", std::nullopt, 3, Verdict::kOutdated, 4},
      {"no era named", 4, std::nullopt, Verdict::kCurrent, 4},
      {"no era named, sent before a restore that is known", 3, std::nullopt, Verdict::kOutdated, 4},
  };
  for (const AnswerCase& test : cases) {
    CAPTURE(std::string(test.name));
    StoreHistory history;
    REQUIRE(history.OnAnswer(std::nullopt, StoreEra(4)) == Verdict::kCurrent);
    CHECK(history.OnAnswer(Era(test.sent_in), Era(test.answered_in)) == test.verdict);
    CHECK(history.era() == Era(test.era_after));
  }
}

// Guards against a store without eras that counts as restored.
TEST_CASE("gateway: a store that names no era is never restored") {
  StoreHistory history;
  for (int call = 0; call < 3; ++call) {
    CHECK(history.OnAnswer(history.era(), std::nullopt) == Verdict::kCurrent);
  }
  CHECK_FALSE(history.era());
}

}  // namespace
}  // namespace shallot::gateway
