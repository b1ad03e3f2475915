#include "core/metrics.h"

#include <cmath>

namespace shallot {
namespace {

constexpr Duration kSmallestBound = std::chrono::microseconds(100);

std::string BaseName(const std::string& name) { return name.substr(0, name.find('{')); }

/// Labels of a metric name, with their braces; empty when it has none.
std::string Labels(const std::string& name) {
  const size_t open = name.find('{');
  return open == std::string::npos ? "" : name.substr(open);
}

/// Labels of a bucket: those of the histogram and the upper bound.
std::string BucketLabels(const std::string& labels, const std::string& bound) {
  const std::string bound_label = "le=\"" + bound + "\"}";
  if (labels.empty()) return "{" + bound_label;
  return labels.substr(0, labels.size() - 1) + "," + bound_label;
}

std::string FormatSeconds(Duration duration) {
  return std::to_string(std::chrono::duration<double>(duration).count());
}

template <class Map>
void RenderValues(const Map& map, const char* type, std::string& text) {
  std::string last_base;
  for (const auto& [name, metric] : map) {
    const std::string base = BaseName(name);
    if (base != last_base) text += "# TYPE " + base + " " + type + "\n";
    last_base = base;
    text += name + " " + std::to_string(metric->value()) + "\n";
  }
}

void RenderHistogram(const std::string& name, const LatencyHistogram& histogram,
                     std::string& text) {
  const std::string base = BaseName(name);
  const std::string labels = Labels(name);
  uint64_t cumulative = 0;
  for (size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    cumulative += histogram.BucketCount(i);
    const bool last = i + 1 == LatencyHistogram::kBuckets;
    const std::string bound = last ? "+Inf" : FormatSeconds(LatencyHistogram::UpperBound(i));
    text +=
        base + "_bucket" + BucketLabels(labels, bound) + " " + std::to_string(cumulative) + "\n";
  }
  text += base + "_sum" + labels + " " + FormatSeconds(histogram.Sum()) + "\n";
  text += base + "_count" + labels + " " + std::to_string(cumulative) + "\n";
}

}  // namespace

Duration LatencyHistogram::UpperBound(size_t bucket) {
  return kSmallestBound * (int64_t{1} << bucket);
}

void LatencyHistogram::Record(Duration latency) {
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && latency > UpperBound(bucket)) ++bucket;
  buckets_[bucket].fetch_add(1, std::memory_order_relaxed);
  sum_ns_.fetch_add(latency.count(), std::memory_order_relaxed);
}

uint64_t LatencyHistogram::count() const {
  uint64_t total = 0;
  for (const auto& bucket : buckets_) total += bucket.load(std::memory_order_relaxed);
  return total;
}

uint64_t LatencyHistogram::BucketCount(size_t bucket) const {
  return buckets_[bucket].load(std::memory_order_relaxed);
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const uint64_t total = count();
  if (total == 0) return Duration::zero();
  const auto rank = static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(total)));
  uint64_t cumulative = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    cumulative += BucketCount(i);
    if (cumulative >= rank) return UpperBound(i);
  }
  return UpperBound(kBuckets - 1);
}

Counter& MetricsRegistry::GetCounter(const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& counter = counters_[name];
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

Gauge& MetricsRegistry::GetGauge(const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& gauge = gauges_[name];
  if (!gauge) gauge = std::make_unique<Gauge>();
  return *gauge;
}

LatencyHistogram& MetricsRegistry::GetHistogram(const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& histogram = histograms_[name];
  if (!histogram) histogram = std::make_unique<LatencyHistogram>();
  return *histogram;
}

std::string MetricsRegistry::Render() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  RenderValues(counters_, "counter", text);
  RenderValues(gauges_, "gauge", text);
  std::string last_base;
  for (const auto& [name, histogram] : histograms_) {
    const std::string base = BaseName(name);
    if (base != last_base) text += "# TYPE " + base + " histogram\n";
    last_base = base;
    RenderHistogram(name, *histogram, text);
  }
  return text;
}

}  // namespace shallot
