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

/// Where the weights of an entry are, seen from one runner.
enum class CacheTier { kLoaded, kHostMemory, kDisk, kRemote };
constexpr size_t kCacheTierCount = 4;

/// Name of a tier as used in /status, for example "host-memory".
const char* CacheTierName(CacheTier tier);

/// What admission knows about a runner that may serve a call.
struct WaitInput {
  CacheTier tier = CacheTier::kLoaded;
  /// Calls of the same or a higher class that are served before this one.
  uint64_t calls_ahead = 0;
  /// Calls that the runner serves at once; 0 when unknown.
  uint64_t concurrency = 0;
  /// Mean service time in the runner's report; zero when unknown.
  Millis mean_service{0};
};

/// Parts of a predicted time to the end of a call.
struct PredictedWait {
  Duration queue{0};
  Duration load{0};
  Duration service{0};
  Duration Total() const { return queue + load + service; }
};

struct AdmissionVerdict {
  bool admitted = true;
  Reason reason = Reason::kNone;
  /// When the same call could be admitted.
  Millis retry_after{0};
};

/// Recent observations of one duration. Old ones are replaced.
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

/// Decides whether a call is taken on: bounds the calls in flight for each class, predicts the
/// wait and refuses early what cannot be answered in time. Not thread-safe.
class Admission {
 public:
  /// Entries whose durations are remembered; beyond it the memory starts anew.
  static constexpr size_t kMaxLearnedEntries = 4096;
  /// One in so many refusals for the deadline is admitted all the same, so that estimates that have
  /// become too high are corrected.
  static constexpr uint64_t kProbeEvery = 16;

  explicit Admission(uint64_t max_calls) : max_calls_(max_calls) {}

  /// Checks the bound of calls in flight. Low classes may use only a share of `max_calls`; premium
  /// counts only its own calls.
  AdmissionVerdict CheckInFlight(CallClass call_class) const;
  PredictedWait Predict(const EntryId& entry, LoadKind kind, const WaitInput& input) const;
  /// Compares the best candidate with the time left. Premium is checked without its queue behind
  /// lower classes, which `calls_ahead` already leaves out.
  AdmissionVerdict CheckWait(const PredictedWait& wait, Duration remaining);

  void OnAdmitted(CallClass call_class);
  void OnEnded(CallClass call_class);
  uint64_t in_flight() const { return total_; }
  uint64_t in_flight(CallClass call_class) const {
    return in_flight_[static_cast<size_t>(call_class)];
  }

  void LearnLoad(const EntryId& entry, LoadKind kind, CacheTier tier, Duration load);
  void LearnService(const EntryId& entry, Duration service);

 private:
  struct Learned {
    std::array<DurationSamples, kCacheTierCount> load;
    DurationSamples service;
  };
  Learned& LearnedOf(const EntryId& entry);

  uint64_t max_calls_;
  uint64_t total_ = 0;
  uint64_t deadline_refusals_ = 0;
  std::array<uint64_t, kCallClassCount> in_flight_{};
  std::map<EntryId, Learned> learned_;
  /// Loads of all entries, by kind and tier; the estimate for an entry without own observations.
  std::array<std::array<DurationSamples, kCacheTierCount>, 2> loads_of_kind_;
};

}  // namespace shallot

#endif  // SERVERS_ADMISSION_H_
