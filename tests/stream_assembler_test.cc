#include "servers/stream_assembler.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "core/random.h"

namespace shallot {
namespace {

// Guards against answers with missing, repeated or swapped bytes.
TEST_CASE("frames are put in order") {
  struct Case {
    const char* name;
    std::vector<std::pair<uint64_t, std::string>> frames;
    std::string expected;
    bool gap;
  };
  const std::vector<Case> cases = {
      {"in order", {{0, "ab"}, {2, "cd"}}, "abcd", false},
      {"duplicate", {{0, "ab"}, {0, "ab"}, {2, "cd"}}, "abcd", false},
      {"swapped", {{2, "cd"}, {0, "ab"}}, "abcd", false},
      {"gap", {{0, "ab"}, {4, "ef"}}, "ab", true},
      {"overlap", {{0, "abc"}, {1, "bcde"}}, "abcde", false},
      {"held overlap", {{3, "de"}, {2, "cdef"}, {0, "ab"}}, "abcdef", false},
      {"longer duplicate", {{2, "c"}, {2, "cd"}, {0, "ab"}}, "abcd", false},
      {"empty frame", {{0, ""}, {0, "a"}}, "a", false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    StreamAssembler assembler;
    std::string got;
    for (const auto& [offset, payload] : c.frames) got += assembler.Add(offset, payload);
    CHECK(got == c.expected);
    CHECK(assembler.HasGap() == c.gap);
    CHECK(assembler.next_offset() == c.expected.size());
  }
}

// Guards against unbounded memory use by frames that arrive out of order.
TEST_CASE("held frames are bounded and a dropped one leaves a gap") {
  StreamAssembler assembler;
  for (uint64_t i = 0; i < 2 * StreamAssembler::kMaxHeldFrames; ++i) assembler.Add(2 * i + 1, "x");
  CHECK(assembler.held_bytes() == StreamAssembler::kMaxHeldFrames);
  StreamAssembler large;
  const std::string payload(StreamAssembler::kMaxHeldBytes, 'x');
  large.Add(1, payload);
  large.Add(1 + payload.size(), "y");
  CHECK(large.held_bytes() == payload.size());
  large.Add(0, "a");
  CHECK(large.held_bytes() == 0);
  CHECK(large.HasGap());
}

// Guards against a wrong text after combinations of loss, duplication and reordering that the table
// does not cover.
TEST_CASE("random frames give the whole text") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    std::string text;
    for (int i = 0; i < 300; ++i) text += static_cast<char>('a' + random.Below(26));
    StreamAssembler assembler;
    std::string got;
    for (int i = 0; i < 5'000 && got.size() < text.size(); ++i) {
      const uint64_t offset = random.Below(text.size());
      got += assembler.Add(offset, text.substr(offset, 1 + random.Below(20)));
    }
    CHECK(got == text);
    CHECK(assembler.held_bytes() == 0);
  }
}

}  // namespace
}  // namespace shallot
