#ifndef SERVERS_ADMISSION_H_
#define SERVERS_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/call.h"
#include "servers/fleet_config.h"

namespace shallot {

/// Storage tier that holds the weights of an entry, as seen from one runner.
enum class CacheTier { kLoaded, kHostMemory, kDisk, kRemote };
constexpr size_t kCacheTierCount = 4;

/// Name of a tier as used in /status, for example "host-memory".
const char* CacheTierName(CacheTier tier);

/// Inputs of the wait prediction for one candidate runner.
struct WaitInput {
  CacheTier tier = CacheTier::kLoaded;
  /// Calls of the same or a higher class that are served before this one.
  uint64_t calls_ahead = 0;
  /// Calls that the runner executes concurrently; 0 when unknown.
  uint64_t concurrency = 0;
  /// Mean service time reported by the runner; zero when unknown.
  Millis mean_service{0};
};

/// Predicted time until a call completes, split into its parts.
struct PredictedWait {
  Duration queue{0};
  Duration load{0};
  Duration service{0};
  Duration Total() const { return queue + load + service; }
};

struct AdmissionDecision {
  bool admitted = true;
  Reason reason = Reason::kNone;
  /// Estimated delay after which the same call could be admitted.
  Millis retry_after{0};
};

/// Sliding window over the last kMaxSamples observations of one duration.
class DurationSamples {
 public:
  static constexpr size_t kMaxSamples = 16;

  void Add(Duration sample);
  /// The given quantile (0 to 1), or `fallback` without samples.
  Duration Quantile(double quantile, Duration fallback) const;

 private:
  std::array<float, kMaxSamples> seconds_{};
  size_t count_ = 0;
};

/// Admission control: limits the calls in flight of each class, predicts waiting times and refuses
/// early the calls that cannot complete before their deadline. Not thread-safe.
class Admission {
 public:
  /// Maximum number of entries with recorded durations; one more discards all of them.
  static constexpr size_t kMaxRecordedEntries = 4096;
  /// One in this many deadline refusals is turned into an admission, so that new observations
  /// correct estimates that have become too high.
  static constexpr uint64_t kProbeInterval = 16;

  explicit Admission(uint64_t max_calls) : max_calls_(max_calls) {}

  /// Checks the limit on calls in flight. Lower classes may use only a share of `max_calls`; for
  /// premium only premium calls count.
  AdmissionDecision CheckInFlight(CallClass call_class) const;
  PredictedWait Predict(const EntryId& entry, LoadKind kind, const WaitInput& input) const;
  /// Compares the predicted wait on the best candidate with the time left until the deadline. For
  /// premium, `calls_ahead` already excludes the calls of lower classes.
  AdmissionDecision CheckWait(const PredictedWait& wait, Duration remaining);

  void OnAdmitted(CallClass call_class);
  void OnEnded(CallClass call_class);
  uint64_t in_flight() const { return total_; }
  uint64_t in_flight(CallClass call_class) const {
    return in_flight_[static_cast<size_t>(call_class)];
  }

  void RecordLoadTime(const EntryId& entry, LoadKind kind, CacheTier tier, Duration load);
  void RecordServiceTime(const EntryId& entry, Duration service);

 private:
  struct EntryDurations {
    std::array<DurationSamples, kCacheTierCount> load;
    DurationSamples service;
  };
  EntryDurations& DurationsOf(const EntryId& entry);

  uint64_t max_calls_;
  uint64_t total_ = 0;
  uint64_t deadline_refusals_ = 0;
  std::array<uint64_t, kCallClassCount> in_flight_{};
  std::map<EntryId, EntryDurations> durations_;
  /// Load times over all entries, by kind and tier; used for entries without observations.
  std::array<std::array<DurationSamples, kCacheTierCount>, 2> load_times_by_kind_;
};

}  // namespace shallot

#endif  // SERVERS_ADMISSION_H_
