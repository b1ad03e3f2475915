#ifndef SERVERS_BACKOFF_H_
#define SERVERS_BACKOFF_H_

#include <cstdint>

#include "core/clock.h"

namespace shallot {

/// Doubling delays with jitter between tries that fail.
class Backoff {
 public:
  /// Each delay is drawn between half of and the whole nominal delay.
  Backoff(Millis first, Millis longest, uint64_t seed);

  bool Ready(SteadyTime now) const { return now >= next_; }
  void Failed(SteadyTime now);
  void Succeeded();

 private:
  Millis first_;
  Millis longest_;
  Millis delay_;
  SteadyTime next_ = SteadyTime::min();
  uint64_t seed_;
  uint64_t failures_ = 0;
};

}  // namespace shallot

#endif  // SERVERS_BACKOFF_H_
