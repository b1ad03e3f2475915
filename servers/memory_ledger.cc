#include "servers/memory_ledger.h"

namespace shallot {

Bytes MemoryLedger::available() const {
  if (reserved_ >= capacity_) return Bytes(0);
  return Bytes(capacity_.value() - reserved_.value());
}

bool MemoryLedger::Reserve(const EntryId& entry, Bytes size) {
  if (size > available()) return false;
  if (!reservations_.emplace(entry, size).second) return false;
  reserved_ = Bytes(reserved_.value() + size.value());
  return true;
}

void MemoryLedger::Adopt(const EntryId& entry, Bytes size) {
  Release(entry);
  reservations_.emplace(entry, size);
  reserved_ = Bytes(reserved_.value() + size.value());
}

void MemoryLedger::Release(const EntryId& entry) {
  const auto found = reservations_.find(entry);
  if (found == reservations_.end()) return;
  reserved_ = Bytes(reserved_.value() - found->second.value());
  reservations_.erase(found);
}

Bytes MemoryLedger::ReservedFor(const EntryId& entry) const {
  const auto found = reservations_.find(entry);
  return found == reservations_.end() ? Bytes(0) : found->second;
}

}  // namespace shallot
