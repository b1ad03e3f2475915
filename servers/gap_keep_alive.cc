#include "servers/gap_keep_alive.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace shallot {
namespace {

/// Upper bound of the first bucket in seconds.
constexpr double kFirstBoundSeconds = 0.25;
/// Factor applied to the weight of older gaps with each new one; about the last 50 gaps count.
constexpr double kDecay = 0.98;
/// Estimate of a cold start: transfer from the weight store at 1 GB/s, plus the start of a model in
/// the engine.
constexpr double kStoreBytesPerSecond = 1e9;
constexpr double kModelStartSeconds = 1.0;

double ToSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

Millis ToMillis(double seconds) {
  return Millis(static_cast<int64_t>(std::llround(seconds * 1000)));
}

}  // namespace

double GapHistogram::UpperBound(size_t bucket) {
  return kFirstBoundSeconds * std::exp2(static_cast<double>(bucket) / 2);
}

void GapHistogram::Record(Duration gap) {
  const double seconds = std::max(ToSeconds(gap), kFirstBoundSeconds);
  const double position = std::ceil(2 * std::log2(seconds / kFirstBoundSeconds) - 1e-9);
  const size_t bucket = std::min(static_cast<size_t>(position), kBuckets - 1);
  for (float& count : counts_) count *= static_cast<float>(kDecay);
  counts_[bucket] += 1;
  weight_ = weight_ * kDecay + 1;
}

double GapHistogram::ExpectedCost(double keep, double cold_cost, double idle_weight) const {
  if (weight_ == 0) return 0;
  double longer_count = 0;
  double idle = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const double count = counts_[i];
    const double upper = UpperBound(i);
    const double lower = i == 0 ? 0 : UpperBound(i - 1);
    // Assumes gaps to be uniformly distributed within their bucket: the mean of those that end
    // before `keep` lies halfway between the lower bound and `keep`.
    const double within = std::clamp((keep - lower) / (upper - lower), 0.0, 1.0);
    longer_count += count * (1 - within);
    idle += count * (within * (lower + std::min(keep, upper)) / 2 + (1 - within) * keep);
  }
  return (cold_cost * longer_count + idle_weight * idle) / weight_;
}

void GapKeepAlive::SetConfig(std::shared_ptr<const FleetConfig> config) {
  config_ = std::move(config);
  choices_.clear();
  largest_bytes_ = 0;
  if (config_ == nullptr) return;
  for (const auto& [id, entry] : config_->entries) {
    largest_bytes_ = std::max(largest_bytes_, entry.size.value() + entry.kv_cache.value());
  }
}

void GapKeepAlive::SetColdStartTime(const EntryId& entry, Millis cold_time) {
  cold_start_times_[entry] = cold_time;
  choices_.erase(entry);
}

void GapKeepAlive::OnCall(const EntryId& entry, SteadyTime now) {
  RecordCall(entry, now);
  const CatalogEntry* known = config_ == nullptr ? nullptr : config_->FindEntry(entry);
  if (known != nullptr && known->kind == LoadKind::kAdapter) RecordCall(known->base, now);
}

void GapKeepAlive::RecordCall(const EntryId& entry, SteadyTime now) {
  const auto [it, first] = histories_.try_emplace(entry);
  History& history = it->second;
  if (!first && now > history.last_call) {
    history.gaps.Record(now - history.last_call);
    all_gaps_.Record(now - history.last_call);
    ++all_gaps_count_;
    choices_.erase(entry);
  }
  history.last_call = first ? now : std::max(now, history.last_call);
}

double GapKeepAlive::MemoryShare(const CatalogEntry& entry) const {
  if (largest_bytes_ == 0) return 1;
  const uint64_t bytes = entry.size.value() + entry.kv_cache.value();
  return static_cast<double>(bytes) / static_cast<double>(largest_bytes_);
}

Millis GapKeepAlive::ColdStartTime(const EntryId& entry) const {
  const auto measured = cold_start_times_.find(entry);
  if (measured != cold_start_times_.end()) return measured->second;
  const CatalogEntry* known = config_ == nullptr ? nullptr : config_->FindEntry(entry);
  if (known == nullptr) return ToMillis(kModelStartSeconds);
  const double transfer = static_cast<double>(known->size.value()) / kStoreBytesPerSecond;
  return ToMillis(transfer + (known->kind == LoadKind::kModel ? kModelStartSeconds : 0));
}

Millis GapKeepAlive::KeepAlive(const EntryId& entry) const {
  const auto it = histories_.find(entry);
  const bool use_own = it != histories_.end() && it->second.gaps.weight() >= kMinOwnGaps;
  const auto known = choices_.find(entry);
  if (known != choices_.end()) {
    const uint64_t made_at = known->second.all_gaps_count;
    const bool own_choice = made_at == 0;
    const bool fresh = own_choice || all_gaps_count_ - made_at < kRefreshGaps;
    if (use_own == own_choice && fresh) return known->second.keep;
  }
  const Millis keep = ComputeKeepAlive(entry, use_own ? it->second.gaps : all_gaps_);
  choices_[entry] = {keep, use_own ? 0 : all_gaps_count_};
  return keep;
}

Millis GapKeepAlive::ComputeKeepAlive(const EntryId& entry, const GapHistogram& gaps) const {
  const CatalogEntry* known = config_ == nullptr ? nullptr : config_->FindEntry(entry);
  const EntryPolicy policy = known == nullptr ? EntryPolicy() : known->policy;
  const double idle_weight = policy.idle_weight * (known == nullptr ? 1 : MemoryShare(*known));
  if (idle_weight <= 0) return policy.keep_alive_max;
  const double cold_cost = policy.cold_weight * ToSeconds(ColdStartTime(entry));
  const double min_keep = ToSeconds(policy.keep_alive_min);
  const double max_keep = ToSeconds(policy.keep_alive_max);
  // With too few gaps, keeps the entry until its idle time has cost as much as a cold start. This
  // costs at most twice as much as the best choice.
  if (gaps.weight() < kMinOwnGaps) {
    return ToMillis(std::clamp(cold_cost / idle_weight, min_keep, max_keep));
  }
  double best = min_keep;
  double best_cost = gaps.ExpectedCost(min_keep, cold_cost, idle_weight);
  const auto consider = [&](double keep) {
    const double cost = gaps.ExpectedCost(keep, cold_cost, idle_weight);
    if (cost >= best_cost) return;
    best = keep;
    best_cost = cost;
  };
  for (size_t i = 0; i < GapHistogram::kBuckets; ++i) {
    const double bound = GapHistogram::UpperBound(i);
    if (bound > min_keep && bound < max_keep) consider(bound);
  }
  consider(max_keep);
  return ToMillis(best);
}

}  // namespace shallot
