#ifndef SERVERS_GATEWAY_MEMORY_SEND_BUDGET_H_
#define SERVERS_GATEWAY_MEMORY_SEND_BUDGET_H_

#include <cstdint>

namespace shallot::gateway {

/// Limits on what a gateway buffers for its callers, in bytes.
struct BufferLimits {
  /// Unsent bytes of one call's answer.
  uint64_t per_call = 0;
  /// Answers of all calls.
  uint64_t answers = 0;
  /// Answers and request bodies of all calls. The part above `answers` is left for bodies, so that
  /// callers that do not read their answers cannot cause the refusal of other calls.
  uint64_t total = 0;

  /// `memory_mb`: memory that the process may use, in units of 1,000,000 bytes.
  static BufferLimits FromMemory(double memory_mb);
};

/// What a call buffers.
enum class BufferKind { kAnswer, kBody };

/// Decides which calls may buffer more bytes and which pause, from the bytes held by all of them.
/// Load pattern: many callers that read slowly or not at all, and many uploads at once, on a
/// gateway with little memory. A call's bound shrinks with the memory left (dynamic threshold): it
/// may hold at most as much as is free. A call whose caller has read everything may always
/// continue, so a slow caller does not delay another one. All decisions take constant time.
class SendBudget {
 public:
  /// A call whose caller has read everything may always read this many bytes from its runner.
  static constexpr uint64_t kMinAllowance = 4'096;
  /// Retry-After of a call whose body does not fit; slow callers are cut off after some seconds.
  static constexpr int64_t kRetryAfterMs = 1'000;

  explicit SendBudget(const BufferLimits& limits) : limits_(limits) {}

  /// The bytes that an owner holds change from `before` to `after`. See HeldBytes.
  void Change(BufferKind kind, uint64_t before, uint64_t after);

  /// Bytes that a call may read from its runner while `queued` bytes wait for its caller. 0: it
  /// pauses until MayResume().
  uint64_t Allowance(uint64_t queued) const;
  /// Whether a paused call may read again.
  bool MayResume(uint64_t queued) const;
  /// Whether an answer of which `held` bytes are buffered may be buffered further before its caller
  /// gets the first part of it.
  bool MayBuffer(uint64_t held) const { return held <= Bound(limits_.answers); }
  /// Whether a request body of `bytes` may be read, of which `reserved` are already held.
  bool MayRead(uint64_t bytes, uint64_t reserved) const;

  const BufferLimits& limits() const { return limits_; }
  uint64_t held(BufferKind kind) const { return kind == BufferKind::kAnswer ? answers_ : bodies_; }

 private:
  /// What one call may hold, at most `most`.
  uint64_t Bound(uint64_t most) const;

  BufferLimits limits_;
  uint64_t answers_ = 0;
  uint64_t bodies_ = 0;
};

/// Bytes that one owner holds. They are released when it is destroyed.
class HeldBytes {
 public:
  /// `budget` may be null; then nothing is counted.
  HeldBytes(SendBudget* budget, BufferKind kind) : budget_(budget), kind_(kind) {}
  ~HeldBytes() { Set(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void Set(uint64_t bytes) {
    if (budget_ != nullptr) budget_->Change(kind_, bytes_, bytes);
    bytes_ = bytes;
  }
  uint64_t bytes() const { return bytes_; }

 private:
  SendBudget* budget_;
  BufferKind kind_;
  uint64_t bytes_ = 0;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_MEMORY_SEND_BUDGET_H_
