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

/// A runner that may serve a call, with the inputs of its score.
struct ReplicaCandidate {
  RunnerId runner;
  /// Calls that this router sent to the runner and that have not ended.
  uint64_t outstanding = 0;
  /// Queue length in the runner's last report, and the age of that report.
  uint64_t reported_queue = 0;
  Duration report_age{0};
  bool loaded = false;
  /// The runner recently served a prompt with the same prefix.
  bool prefix_hint = false;
};

/// Hashes of the prompt prefixes that one runner served recently. Bounded; the oldest is evicted
/// first.
class PrefixHints {
 public:
  /// Takes about 6 KB per runner; a router in a large fleet tracks 2,000 runners.
  static constexpr size_t kMaxHints = 128;
  static constexpr size_t kPrefixBytes = 256;

  /// Hash of the first `kPrefixBytes` bytes of a request body.
  static uint64_t KeyOf(std::string_view body);
  void Remember(uint64_t key);
  bool Contains(uint64_t key) const { return keys_.contains(key); }
  size_t size() const { return keys_.size(); }

 private:
  std::unordered_set<uint64_t> keys_;
  std::deque<uint64_t> order_;
};

/// Expected cost of a candidate, in units of one call; lower is better.
double ReplicaScore(const ReplicaCandidate& candidate);

/// Picks the better of two random candidates. When no candidate has the entry loaded, all routers
/// prefer the same one, so that a burst does not load the entry twice. Null without candidates.
const ReplicaCandidate* PickReplica(const std::vector<ReplicaCandidate>& candidates,
                                    const EntryId& entry, Random* random);

/// Picks the candidate for an order by rendezvous hashing: every router with the same candidates
/// picks the same one. Null without candidates.
const ReplicaCandidate* PickByKey(const std::vector<ReplicaCandidate>& candidates,
                                  const IdempotencyKey& key);

}  // namespace shallot

#endif  // SERVERS_REPLICA_PICKER_H_
