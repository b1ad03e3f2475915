#include "servers/memory_ledger.h"

#include <doctest/doctest.h>

namespace shallot {
namespace {

// Guards against overcommitted memory and against reservations that are never released.
TEST_CASE("reservations never exceed the capacity") {
  MemoryLedger ledger;
  ledger.SetCapacity(Bytes(100));
  CHECK(ledger.Reserve(EntryId("a"), Bytes(60)));
  CHECK_FALSE(ledger.Reserve(EntryId("b"), Bytes(41)));
  CHECK(ledger.Reserve(EntryId("b"), Bytes(40)));
  CHECK(ledger.available() == Bytes(0));
  ledger.Release(EntryId("a"));
  ledger.Release(EntryId("a"));
  CHECK(ledger.reserved() == Bytes(40));
  CHECK(ledger.available() == Bytes(60));
}

// Guards against a second load of an entry that already has memory reserved.
TEST_CASE("an entry cannot be reserved twice") {
  MemoryLedger ledger;
  ledger.SetCapacity(Bytes(100));
  CHECK(ledger.Reserve(EntryId("a"), Bytes(10)));
  CHECK_FALSE(ledger.Reserve(EntryId("a"), Bytes(10)));
  CHECK(ledger.ReservedFor(EntryId("a")) == Bytes(10));
}

// Guards against an integer underflow when the engine initially uses more than its capacity.
TEST_CASE("adopted memory may exceed the capacity and leaves none available") {
  MemoryLedger ledger;
  ledger.SetCapacity(Bytes(100));
  ledger.Adopt(EntryId("a"), Bytes(150));
  CHECK(ledger.available() == Bytes(0));
  CHECK_FALSE(ledger.Reserve(EntryId("b"), Bytes(1)));
  ledger.Adopt(EntryId("a"), Bytes(90));
  CHECK(ledger.available() == Bytes(10));
}

}  // namespace
}  // namespace shallot
