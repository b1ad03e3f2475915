#ifndef SERVERS_MEMORY_LEDGER_H_
#define SERVERS_MEMORY_LEDGER_H_

#include <map>

#include "core/ids.h"

namespace shallot {

/// Accelerator memory of one runner by catalogue entry. A reservation is made before a load order
/// and released only after the engine confirmed that the entry is gone.
class MemoryLedger {
 public:
  void SetCapacity(Bytes capacity) { capacity_ = capacity; }
  Bytes capacity() const { return capacity_; }
  Bytes reserved() const { return reserved_; }
  /// Capacity that is not reserved; 0 when the engine holds more than its capacity.
  Bytes available() const;

  /// Reserves memory for an entry. Returns false and changes nothing when it does not fit or the
  /// entry has a reservation already.
  [[nodiscard]] bool Reserve(const EntryId& entry, Bytes size);
  /// Records what the engine already holds, even beyond the capacity; replaces a reservation.
  void Adopt(const EntryId& entry, Bytes size);
  /// Gives the reservation of the entry back; does nothing when there is none.
  void Release(const EntryId& entry);
  /// Reserved bytes of the entry; 0 when there is no reservation.
  Bytes ReservedFor(const EntryId& entry) const;

 private:
  Bytes capacity_;
  Bytes reserved_;
  std::map<EntryId, Bytes> reservations_;
};

}  // namespace shallot

#endif  // SERVERS_MEMORY_LEDGER_H_
