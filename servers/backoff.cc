#include "servers/backoff.h"

#include <algorithm>
#include <string>

#include "core/hashing.h"

namespace shallot {

Backoff::Backoff(Millis first, Millis longest, uint64_t seed)
    : first_(first), longest_(longest), delay_(first), seed_(seed) {}

void Backoff::RecordFailure(SteadyTime now) {
  const uint64_t draw = StableHash(std::to_string(++failures_), seed_) % 1024;
  const double share = 0.5 + static_cast<double>(draw) / 2048.0;
  next_ = now + std::chrono::duration_cast<Duration>(delay_ * share);
  delay_ = std::min(delay_ * 2, longest_);
}

void Backoff::RecordSuccess() {
  delay_ = first_;
  next_ = SteadyTime::min();
}

}  // namespace shallot
