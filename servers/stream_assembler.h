#ifndef SERVERS_STREAM_ASSEMBLER_H_
#define SERVERS_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>

namespace shallot {

/// Reassembles the frames of one answer by offset. Drops duplicates and holds frames that arrive
/// out of order, up to a limit; a frame beyond the limit is dropped and has to be requested again.
class StreamAssembler {
 public:
  static constexpr uint64_t kMaxHeldBytes = 1U << 20U;
  static constexpr uint64_t kMaxHeldFrames = 256;

  /// Returns the bytes that became contiguous, possibly none.
  std::string Add(uint64_t offset, const std::string& payload);
  /// Offset of the next byte that is missing.
  uint64_t next_offset() const { return next_offset_; }
  /// True when bytes before end_seen() are still missing.
  bool HasGap() const { return next_offset_ < end_seen_; }
  /// End offset of the furthest frame seen, whether it was held or dropped.
  uint64_t end_seen() const { return end_seen_; }
  uint64_t held_bytes() const { return held_bytes_; }
  uint64_t duplicates() const { return duplicates_; }

 private:
  void Hold(uint64_t offset, const std::string& payload);
  void Append(uint64_t offset, const std::string& payload, std::string* ready);

  uint64_t next_offset_ = 0;
  uint64_t end_seen_ = 0;
  uint64_t held_bytes_ = 0;
  uint64_t duplicates_ = 0;
  std::map<uint64_t, std::string> held_;
};

}  // namespace shallot

#endif  // SERVERS_STREAM_ASSEMBLER_H_
