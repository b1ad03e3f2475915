#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "servers/gateway/memory/send_budget.h"

namespace shallot::gateway {
namespace {

// Guards against limits that leave a small instance no memory for anything else.
TEST_CASE("send budget: limits follow the instance's memory") {
  struct Case {
    double memory_mb;
    uint64_t per_call;
    uint64_t answers;
    uint64_t total;
  };
  for (const Case& test :
       {Case{4, 65'536, 500'000, 1'000'000}, Case{120, 937'500, 15'000'000, 30'000'000},
        Case{512, 1'048'576, 64'000'000, 128'000'000}}) {
    CAPTURE(test.memory_mb);
    const BufferLimits limits = BufferLimits::FromMemory(test.memory_mb);
    CHECK(limits.per_call == test.per_call);
    CHECK(limits.answers == test.answers);
    CHECK(limits.total == test.total);
  }
}

// Guards against slow callers that together exceed the gateway's memory, or that leave nothing for
// a caller that reads at once.
TEST_CASE("send budget: callers that do not read stay below the bound and delay no other") {
  for (const size_t callers : {1, 21, 100, 1'000}) {
    CAPTURE(callers);
    SendBudget budget(BufferLimits::FromMemory(120));
    std::deque<HeldBytes> held;
    for (size_t index = 0; index < callers; ++index)
      held.emplace_back(&budget, BufferKind::kAnswer);
    std::mt19937 random(7);
    for (int step = 0; step < 200'000; ++step) {
      HeldBytes& call = held[random() % callers];
      const uint64_t read = std::min<uint64_t>(budget.Allowance(call.bytes()), 32'768);
      call.Set(call.bytes() + read);
      CHECK(call.bytes() <= budget.limits().per_call);
    }
    CHECK(budget.held(BufferKind::kAnswer) <=
          budget.limits().answers + callers * SendBudget::kMinAllowance);
    CHECK(budget.Allowance(0) >= SendBudget::kMinAllowance);
    CHECK(budget.MayRead(1'000'000, 0));
    held.clear();
    CHECK(budget.held(BufferKind::kAnswer) == 0);
  }
}

// Guards against a pause that ends after each sent byte, and against one that never ends.
TEST_CASE("send budget: a paused call resumes below the lower mark") {
  SendBudget budget(BufferLimits::FromMemory(120));
  HeldBytes call(&budget, BufferKind::kAnswer);
  const uint64_t bound = budget.limits().per_call;
  call.Set(bound);
  CHECK(budget.Allowance(bound) == 0);
  CHECK_FALSE(budget.MayResume(bound));
  CHECK_FALSE(budget.MayResume(bound / 2 + 1));
  CHECK(budget.MayResume(bound / 2));
  HeldBytes others(&budget, BufferKind::kAnswer);
  others.Set(budget.limits().answers);
  CHECK_FALSE(budget.MayResume(bound / 2));
  CHECK(budget.MayResume(0));
  CHECK_FALSE(budget.MayBuffer(1));
}

// Guards against uploads that are all admitted and together exceed the memory.
TEST_CASE("send budget: bodies are admitted up to the total") {
  SendBudget budget(BufferLimits::FromMemory(40));
  std::deque<HeldBytes> held;
  constexpr uint64_t kBody = 4'000'000;
  int admitted = 0;
  for (int upload = 0; upload < 100; ++upload) {
    held.emplace_back(&budget, BufferKind::kBody);
    if (!budget.MayRead(kBody, 0)) continue;
    held.back().Set(kBody);
    ++admitted;
  }
  CHECK(admitted == 2);
  CHECK(budget.MayRead(kBody, kBody));
  CHECK(budget.held(BufferKind::kBody) <= budget.limits().total);
}

}  // namespace
}  // namespace shallot::gateway
