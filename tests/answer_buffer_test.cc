#include "servers/answer_buffer.h"

#include <doctest/doctest.h>

#include <memory>

namespace shallot {
namespace {

// Guards against gaps or overlaps when a router resumes at any offset.
TEST_CASE("frames from any offset join to the whole answer") {
  AnswerBuffer buffer(std::make_shared<AnswerBudget>(1U << 20U));
  std::string whole;
  for (int i = 0; i < 3000; ++i) {
    const std::string part = std::to_string(i) + std::string(50, 'x');
    whole += part;
    buffer.Append(part);
  }
  for (const uint64_t start : {uint64_t{0}, uint64_t{1}, uint64_t{65'536}, whole.size()}) {
    CAPTURE(start);
    std::string joined;
    for (uint64_t offset = start; offset < buffer.size();) {
      const std::string frame = buffer.FrameAt(offset);
      CHECK(frame.size() <= AnswerBuffer::kMaxFrame);
      joined += frame;
      offset += frame.size();
    }
    CHECK(joined == whole.substr(start));
  }
  CHECK(buffer.FrameAt(whole.size() + 5).empty());
}

// Guards against a budget that fills up because discarded answers still count.
TEST_CASE("a discarded answer returns its bytes to the budget") {
  const auto budget = std::make_shared<AnswerBudget>(10);
  auto buffer = std::make_unique<AnswerBuffer>(budget);
  buffer->Append("0123456789");
  CHECK(budget->Exhausted());
  buffer.reset();
  CHECK(budget->used() == 0);
  CHECK_FALSE(budget->Exhausted());
}

}  // namespace
}  // namespace shallot
