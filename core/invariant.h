#ifndef CORE_INVARIANT_H_
#define CORE_INVARIANT_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

/// The promises of the system, checked in release builds too. Each has a counter on /metrics.
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

/// Counts checks and violations. Thread-safe; one instance for each process or test.
class InvariantMonitor {
 public:
  /// Records one check. Logs an error on violation. Returns `holds`, so that callers can guard.
  bool Check(Invariant invariant, bool holds, std::string_view detail);
  uint64_t checks(Invariant invariant) const;
  uint64_t violations(Invariant invariant) const;
  /// Sum of the violations of all invariants.
  uint64_t TotalViolations() const;
  /// Prometheus text for all invariants.
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
