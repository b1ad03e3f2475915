#ifndef SERVERS_REPLICA_PICKER_H_
#define SERVERS_REPLICA_PICKER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"

namespace shallot {

/// What is known about a runner that may serve a call.
struct ReplicaCandidate {
  RunnerId runner;
  /// Calls that this router has sent there and that have not ended.
  uint64_t outstanding = 0;
  /// Queue in the runner's last report, and the age of that report.
  uint64_t reported_queue = 0;
  Duration report_age{0};
  bool loaded = false;
  /// The runner served a prompt with the same beginning.
  bool prefix_hint = false;
};

/// Prompt beginnings that one runner served recently; bounded, oldest forgotten first.
class PrefixHints {
 public:
  /// About 6 KB for each runner; a router of a large fleet knows 2,000 of them.
  static constexpr size_t kMaxHints = 128;
  static constexpr size_t kPrefixBytes = 256;

  /// Hash of the beginning of a request body.
  static uint64_t KeyOf(std::string_view body);
  void Remember(uint64_t key);
  bool Contains(uint64_t key) const { return keys_.contains(key); }
  size_t size() const { return keys_.size(); }

 private:
  std::unordered_set<uint64_t> keys_;
  std::deque<uint64_t> order_;
};

/// Expected cost of a candidate in calls; lower is better.
double ReplicaScore(const ReplicaCandidate& candidate);

/// The better of two random candidates. When none has the entry loaded, all routers favour the
/// same candidate, so that a burst does not load the entry twice. Null when there is none.
const ReplicaCandidate* PickReplica(const std::vector<ReplicaCandidate>& candidates,
                                    const EntryId& entry, Random* random);

/// The candidate for an order: the same on every router that sees the same candidates.
const ReplicaCandidate* PickByKey(const std::vector<ReplicaCandidate>& candidates,
                                  const IdempotencyKey& key);

}  // namespace shallot

#endif  // SERVERS_REPLICA_PICKER_H_
