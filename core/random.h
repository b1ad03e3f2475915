#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>
#include <memory>

namespace shallot {

/// Seeded pseudo-random number generator (PCG). Equal seeds give equal sequences. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed);
  ~Random();
  Random(const Random&) = delete;
  Random& operator=(const Random&) = delete;

  uint64_t Next();
  /// Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound);
  /// Uniform in [0, 1).
  double Unit();
  /// Exponentially distributed with the given mean.
  double Exponential(double mean);

 private:
  struct Engine;
  std::unique_ptr<Engine> engine_;
};

/// Random seed from the operating system, for ids and jitter in daemons.
uint64_t EntropySeed();

}  // namespace shallot

#endif  // CORE_RANDOM_H_
