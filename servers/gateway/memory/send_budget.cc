#include "servers/gateway/memory/send_budget.h"

#include <algorithm>

namespace shallot::gateway {
namespace {

/// Share of the memory for buffers. Strings that grow take up to twice their length.
constexpr double kBufferShare = 0.25;
/// Share of the buffers that answers may take.
constexpr double kAnswerShare = 0.5;
constexpr uint64_t kLeastPerCall = 65'536;
/// More than this per call does not keep a caller busier: it only defers the pause.
constexpr uint64_t kMostPerCall = 1'048'576;
/// The bound of a call as a share of that of all answers.
constexpr uint64_t kCallsAtFullBound = 16;
constexpr double kBytesPerMb = 1'000'000;

}  // namespace

BufferLimits BufferLimits::FromMemory(double memory_mb) {
  BufferLimits limits;
  limits.total = static_cast<uint64_t>(memory_mb * kBytesPerMb * kBufferShare);
  limits.answers = static_cast<uint64_t>(static_cast<double>(limits.total) * kAnswerShare);
  limits.per_call = std::clamp(limits.answers / kCallsAtFullBound, kLeastPerCall, kMostPerCall);
  return limits;
}

void SendBudget::Change(BufferKind kind, uint64_t before, uint64_t after) {
  uint64_t& held = kind == BufferKind::kAnswer ? answers_ : bodies_;
  held = held - std::min(held, before) + after;
}

uint64_t SendBudget::Bound(uint64_t most) const {
  return std::min(most, limits_.answers - std::min(limits_.answers, answers_));
}

uint64_t SendBudget::Allowance(uint64_t queued) const {
  const uint64_t bound = Bound(limits_.per_call);
  const uint64_t left = bound - std::min(bound, queued);
  if (queued == 0) return std::max(left, kMinAllowance);
  return left < kMinAllowance ? 0 : left;
}

bool SendBudget::MayResume(uint64_t queued) const {
  return queued <= Bound(limits_.per_call) / 2 && Allowance(queued) > 0;
}

bool SendBudget::MayRead(uint64_t bytes, uint64_t reserved) const {
  if (bytes <= reserved) return true;
  return answers_ + bodies_ + (bytes - reserved) <= limits_.total;
}

}  // namespace shallot::gateway
