#ifndef SERVERS_MEMORY_LEDGER_H_
#define SERVERS_MEMORY_LEDGER_H_

#include <map>

#include "core/ids.h"

namespace shallot {

/// Tracks the accelerator memory of one runner that is reserved for each catalogue entry. A
/// reservation is made before the load order and released only after the engine confirmed that the
/// entry is unloaded.
class MemoryLedger {
 public:
  void SetCapacity(Bytes capacity) { capacity_ = capacity; }
  Bytes capacity() const { return capacity_; }
  Bytes reserved() const { return reserved_; }
  /// Capacity that is not reserved; 0 if the reservations exceed the capacity.
  Bytes available() const;

  /// Reserves memory for an entry. Returns false and changes nothing if the memory does not fit or
  /// the entry already has a reservation.
  [[nodiscard]] bool Reserve(const EntryId& entry, Bytes size);
  /// Reserves memory that the engine already uses for the entry, even beyond the capacity. Replaces
  /// an existing reservation.
  void Adopt(const EntryId& entry, Bytes size);
  /// Releases the reservation of the entry; does nothing if there is none.
  void Release(const EntryId& entry);
  /// Reserved bytes of the entry; 0 if there is no reservation.
  Bytes ReservedFor(const EntryId& entry) const;

 private:
  Bytes capacity_;
  Bytes reserved_;
  std::map<EntryId, Bytes> reservations_;
};

}  // namespace shallot

#endif  // SERVERS_MEMORY_LEDGER_H_
