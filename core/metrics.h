#ifndef CORE_METRICS_H_
#define CORE_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.h"

namespace shallot {

/// Monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Add(uint64_t by = 1) { value_.fetch_add(by, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// Value that can increase and decrease. Thread-safe.
class Gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(int64_t by) { value_.fetch_add(by, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// Latency histogram whose bucket bounds double from 100 us to about 28 minutes. Thread-safe.
class LatencyHistogram {
 public:
  static constexpr size_t kBuckets = 25;
  /// Upper bound of a bucket. The last bucket also holds all longer latencies.
  static Duration UpperBound(size_t bucket);

  void Record(Duration latency);
  uint64_t count() const;
  Duration Sum() const { return Duration(sum_ns_.load(std::memory_order_relaxed)); }
  uint64_t BucketCount(size_t bucket) const;
  /// Upper bound of the bucket that holds the given quantile (0 to 1); zero when empty.
  Duration Quantile(double quantile) const;

 private:
  std::array<std::atomic<uint64_t>, kBuckets> buckets_{};
  std::atomic<int64_t> sum_ns_{0};
};

/// The metrics of a process. A name includes its labels, as in `calls_total{class="status"}`.
/// Returned references stay valid for the lifetime of the registry. Thread-safe.
class MetricsRegistry {
 public:
  Counter& GetCounter(const std::string& name);
  Gauge& GetGauge(const std::string& name);
  LatencyHistogram& GetHistogram(const std::string& name);
  /// All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>> gauges_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms_;
};

}  // namespace shallot

#endif  // CORE_METRICS_H_
