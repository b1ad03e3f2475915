#include "servers/granted_slots.h"

#include <doctest/doctest.h>

namespace shallot {
namespace {

SlotGrant MakeGrant(uint64_t version, uint64_t incarnation, std::vector<Slot> slots) {
  return {ShardId(0), StoreVersion(version), Incarnation(incarnation), std::move(slots)};
}

Slot MakeSlot(const std::string& entry, uint64_t generation, SlotState state = SlotState::kActive,
              const std::string& runner = "r") {
  return {EntryId(entry), RunnerId(runner), Generation(generation), state};
}

struct GrantCase {
  const char* name;
  uint64_t version;
  uint64_t incarnation;
  GrantResult expected;
};

// Guards against a router with outdated data that grants a slot which has moved to another runner.
TEST_CASE("grants of other incarnations and older versions are refused") {
  const std::vector<GrantCase> cases = {
      {"newer version", 6, 7, GrantResult::kAccepted},
      {"same version", 5, 7, GrantResult::kAccepted},
      {"older version", 4, 7, GrantResult::kOutdated},
      {"earlier incarnation", 6, 6, GrantResult::kOtherIncarnation},
      {"later incarnation", 6, 8, GrantResult::kOtherIncarnation},
  };
  for (const GrantCase& test : cases) {
    CAPTURE(test.name);
    GrantedSlots slots(RunnerId("r"), Incarnation(7));
    REQUIRE(slots.Apply(MakeGrant(5, 7, {MakeSlot("m", 1)})) == GrantResult::kAccepted);
    CHECK(slots.Apply(MakeGrant(test.version, test.incarnation, {})) == test.expected);
    CHECK(slots.IsActive(EntryId("m")) == (test.expected != GrantResult::kAccepted));
  }
}

// Guards against loading an entry under a generation whose release was confirmed.
TEST_CASE("a released generation is never active again") {
  GrantedSlots slots(RunnerId("r"), Incarnation(7));
  slots.Apply(MakeGrant(1, 7, {MakeSlot("m", 3, SlotState::kReleasing)}));
  CHECK_FALSE(slots.IsActive(EntryId("m")));
  REQUIRE(slots.UnconfirmedSlots().size() == 1);
  slots.MarkReleased(EntryId("m"), Generation(3));
  CHECK(slots.UnconfirmedSlots().empty());
  CHECK(slots.ConfirmedSlots(ShardId(0)).size() == 1);
  slots.Apply(MakeGrant(2, 7, {MakeSlot("m", 3)}));
  CHECK_FALSE(slots.IsActive(EntryId("m")));
  slots.Apply(MakeGrant(3, 7, {MakeSlot("m", 4)}));
  CHECK(slots.IsActive(EntryId("m")));
  CHECK(slots.ConfirmedSlots(ShardId(0)).empty());
}

// Guards against applying the slots of another runner.
TEST_CASE("slots of other runners are ignored") {
  GrantedSlots slots(RunnerId("r"), Incarnation(7));
  slots.Apply(MakeGrant(1, 7, {MakeSlot("m", 1, SlotState::kActive, "other")}));
  CHECK(slots.HasGrant(ShardId(0)));
  CHECK_FALSE(slots.HasGrant(ShardId(1)));
  CHECK_FALSE(slots.IsActive(EntryId("m")));
}

}  // namespace
}  // namespace shallot
