#ifndef CORE_INVARIANT_H_
#define CORE_INVARIANT_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

/// Invariants of the system, checked in release builds too. Each has counters on /metrics.
enum class Invariant {
  kReplicasWithinDecision,
  kMemoryWithinCapacity,
  kNoSilentDrop,
  kWholeAnswer,
  kNotRunDidNotRun,
  kOrderAtMostOnce,
  kNoNewWorkWhileLeaving,
  kDrainCutsNothing,
  kConfigNeverReverts,
  kCount,
};

/// Metric label of an invariant, for example "memory_within_capacity".
const char* InvariantName(Invariant invariant);

/// Counts checks and violations of invariants. Thread-safe; one object per process or test.
class InvariantMonitor {
 public:
  /// Counts one check; counts and logs a violation when `holds` is false. Returns `holds`.
  bool Check(Invariant invariant, bool holds, std::string_view detail);
  uint64_t checks(Invariant invariant) const;
  uint64_t violations(Invariant invariant) const;
  /// Sum of the violations of all invariants.
  uint64_t TotalViolations() const;
  /// Counters of all invariants in the Prometheus text format.
  std::string Render() const;

 private:
  struct Counts {
    std::atomic<uint64_t> checks{0};
    std::atomic<uint64_t> violations{0};
  };
  std::array<Counts, static_cast<size_t>(Invariant::kCount)> counts_;
};

}  // namespace shallot

#endif  // CORE_INVARIANT_H_
