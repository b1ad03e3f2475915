#include "servers/admission.h"

#include <algorithm>
#include <cmath>

namespace shallot {
namespace {

// Share of max_calls up to which each class is admitted, in descending priority. Premium has its
// own limit; the decreasing shares reserve capacity for each class above all lower classes.
constexpr std::array<double, kCallClassCount> kInFlightShare = {1.0, 0.9, 0.8, 0.7, 0.5};
// A high quantile, so that an admitted call usually meets its deadline.
constexpr double kDurationQuantile = 0.9;
// Defaults until a load has been observed. They are low on purpose: a call that waits for a slow
// load is still answered or refused in time by its agent, while a call refused here yields no
// observation.
constexpr std::array<Millis, kCacheTierCount> kDefaultModelLoad = {Millis(0), Millis(250),
                                                                   Millis(1'000), Millis(3'000)};
constexpr std::array<Millis, kCacheTierCount> kDefaultAdapterLoad = {Millis(0), Millis(10),
                                                                     Millis(20), Millis(100)};
constexpr Millis kDefaultService{500};
constexpr uint64_t kDefaultConcurrency = 8;
constexpr Millis kShortestRetryAfter{200};
constexpr Millis kLongestRetryAfter{60'000};

Millis ClampRetryAfter(Duration wait) {
  return std::clamp(std::chrono::ceil<Millis>(wait), kShortestRetryAfter, kLongestRetryAfter);
}

}  // namespace

const char* CacheTierName(CacheTier tier) {
  constexpr std::array<const char*, kCacheTierCount> kNames = {"loaded", "host-memory", "disk",
                                                               "remote"};
  return kNames[static_cast<size_t>(tier)];
}

void DurationSamples::Add(Duration sample) {
  seconds_[count_ % kMaxSamples] = std::chrono::duration<float>(sample).count();
  ++count_;
}

Duration DurationSamples::Quantile(double quantile, Duration fallback) const {
  const size_t size = std::min(count_, kMaxSamples);
  if (size == 0) return fallback;
  auto sorted = seconds_;
  const auto rank = std::min(size - 1, static_cast<size_t>(quantile * static_cast<double>(size)));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<ptrdiff_t>(rank),
                   sorted.begin() + static_cast<ptrdiff_t>(size));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<float>(sorted[rank]));
}

AdmissionDecision Admission::CheckInFlight(CallClass call_class) const {
  const bool premium = call_class == CallClass::kPremium;
  const uint64_t used = premium ? in_flight(call_class) : total_;
  const double share = kInFlightShare[static_cast<size_t>(call_class)];
  if (static_cast<double>(used) < share * static_cast<double>(max_calls_)) return {};
  return {.admitted = false, .reason = Reason::kOverload, .retry_after = Millis(1'000)};
}

PredictedWait Admission::Predict(const EntryId& entry, LoadKind kind,
                                 const WaitInput& input) const {
  const auto tier = static_cast<size_t>(input.tier);
  const Duration default_estimate =
      kind == LoadKind::kAdapter ? kDefaultAdapterLoad[tier] : kDefaultModelLoad[tier];
  const Duration default_load = load_times_by_kind_[static_cast<size_t>(kind)][tier].Quantile(
      kDurationQuantile, default_estimate);
  const Duration reported = input.mean_service > Millis(0) ? input.mean_service : kDefaultService;
  const auto it = durations_.find(entry);
  PredictedWait wait;
  wait.load = default_load;
  wait.service = reported;
  if (it != durations_.end()) {
    wait.load = it->second.load[tier].Quantile(kDurationQuantile, default_load);
    wait.service = it->second.service.Quantile(kDurationQuantile, reported);
  }
  if (input.tier == CacheTier::kLoaded) wait.load = Duration(0);
  const uint64_t concurrency = input.concurrency > 0 ? input.concurrency : kDefaultConcurrency;
  if (input.calls_ahead < concurrency) return wait;
  const auto waiting = static_cast<double>(input.calls_ahead + 1 - concurrency);
  const Duration service_time = input.mean_service > Millis(0) ? reported : wait.service;
  // The queueing time is a sum of service times whose standard deviation is close to their mean,
  // so one standard deviation of the sum is added. With the mean alone, 10 to 12% of the admitted
  // calls missed their deadline at twice the capacity.
  const double services = (waiting + std::sqrt(waiting)) / static_cast<double>(concurrency);
  wait.queue = std::chrono::duration_cast<Duration>(service_time * services);
  return wait;
}

AdmissionDecision Admission::CheckWait(const PredictedWait& wait, Duration remaining) {
  if (wait.Total() <= remaining) return {};
  const Duration excess = wait.Total() - remaining;
  if (wait.load + wait.service <= remaining) {
    return {.admitted = false, .reason = Reason::kOverload, .retry_after = ClampRetryAfter(excess)};
  }
  if (++deadline_refusals_ % kProbeInterval == 0) return {};
  return {.admitted = false, .reason = Reason::kDeadline, .retry_after = ClampRetryAfter(excess)};
}

void Admission::OnAdmitted(CallClass call_class) {
  ++in_flight_[static_cast<size_t>(call_class)];
  ++total_;
}

void Admission::OnEnded(CallClass call_class) {
  uint64_t& count = in_flight_[static_cast<size_t>(call_class)];
  if (count == 0) return;
  --count;
  --total_;
}

void Admission::RecordLoadTime(const EntryId& entry, LoadKind kind, CacheTier tier, Duration load) {
  load_times_by_kind_[static_cast<size_t>(kind)][static_cast<size_t>(tier)].Add(load);
  DurationsOf(entry).load[static_cast<size_t>(tier)].Add(load);
}

void Admission::RecordServiceTime(const EntryId& entry, Duration service) {
  DurationsOf(entry).service.Add(service);
}

Admission::EntryDurations& Admission::DurationsOf(const EntryId& entry) {
  if (durations_.size() >= kMaxRecordedEntries && !durations_.contains(entry)) durations_.clear();
  return durations_[entry];
}

}  // namespace shallot
