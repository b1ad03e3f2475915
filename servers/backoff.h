#ifndef SERVERS_BACKOFF_H_
#define SERVERS_BACKOFF_H_

#include <cstdint>

#include "core/clock.h"

namespace shallot {

/// Exponential backoff with jitter after failed attempts.
class Backoff {
 public:
  /// The nominal delay doubles from `first` up to `longest`; each actual delay is drawn between
  /// half and all of it.
  Backoff(Millis first, Millis longest, uint64_t seed);

  bool Ready(SteadyTime now) const { return now >= next_; }
  void RecordFailure(SteadyTime now);
  void RecordSuccess();

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
