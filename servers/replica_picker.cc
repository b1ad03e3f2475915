#include "servers/replica_picker.h"

#include <algorithm>
#include <cmath>

#include "core/hashing.h"

namespace shallot {
namespace {

// In calls. A load costs far more than a short queue; a cached prefix saves part of one call.
constexpr double kLoadedBonus = 8.0;
constexpr double kPrefixBonus = 2.0;
// Reports arrive every 500 ms; after two missed reports the last one counts half.
constexpr double kReportHalfLifeSeconds = 1.0;

const ReplicaCandidate* HighestWeight(const std::vector<ReplicaCandidate>& candidates,
                                      const std::string& key) {
  const ReplicaCandidate* best = nullptr;
  uint64_t best_weight = 0;
  for (const ReplicaCandidate& candidate : candidates) {
    const uint64_t weight = RendezvousWeight(key, candidate.runner.value());
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

}  // namespace

uint64_t PrefixHints::KeyOf(std::string_view body) {
  return StableHash(body.substr(0, kPrefixBytes));
}

void PrefixHints::Remember(uint64_t key) {
  if (!keys_.insert(key).second) return;
  order_.push_back(key);
  if (order_.size() <= kMaxHints) return;
  keys_.erase(order_.front());
  order_.pop_front();
}

double ReplicaScore(const ReplicaCandidate& candidate) {
  const double age = std::chrono::duration<double>(candidate.report_age).count();
  const double freshness = std::exp2(-std::max(0.0, age) / kReportHalfLifeSeconds);
  double score = static_cast<double>(candidate.outstanding) +
                 static_cast<double>(candidate.reported_queue) * freshness;
  if (candidate.loaded) score -= kLoadedBonus;
  if (candidate.prefix_hint) score -= kPrefixBonus;
  return score;
}

const ReplicaCandidate* PickReplica(const std::vector<ReplicaCandidate>& candidates,
                                    const EntryId& entry, Random* random) {
  if (candidates.empty()) return nullptr;
  if (candidates.size() == 1) return candidates.data();
  const size_t first = random->Below(candidates.size());
  size_t second = random->Below(candidates.size() - 1);
  if (second >= first) ++second;
  const bool any_loaded = std::any_of(candidates.begin(), candidates.end(),
                                      [](const ReplicaCandidate& each) { return each.loaded; });
  const ReplicaCandidate* a = &candidates[first];
  const ReplicaCandidate* b = &candidates[second];
  if (any_loaded) return ReplicaScore(*b) < ReplicaScore(*a) ? b : a;
  const ReplicaCandidate* preferred = HighestWeight(candidates, entry.value());
  const ReplicaCandidate* other = a == preferred ? b : a;
  return ReplicaScore(*preferred) - kLoadedBonus <= ReplicaScore(*other) ? preferred : other;
}

const ReplicaCandidate* PickByKey(const std::vector<ReplicaCandidate>& candidates,
                                  const IdempotencyKey& key) {
  return HighestWeight(candidates, key.value());
}

}  // namespace shallot
