#ifndef SERVERS_CALL_QUEUE_H_
#define SERVERS_CALL_QUEUE_H_

#include <array>
#include <functional>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/call.h"

namespace shallot {

/// One attempt of one call.
using CallKey = std::pair<CallId, Attempt>;

/// A call that waits in the queue of an agent.
struct QueuedCall {
  CallKey key;
  /// Empty for a call to a plain service.
  EntryId entry;
  CallClass call_class = CallClass::kInteractive;
  /// Latest start time with which the call can still end by its deadline.
  SteadyTime latest_start;
  /// From this time on the priority is raised: a premium call precedes all others, and any other
  /// call competes with the premium calls that are not raised.
  SteadyTime raise_at;
};

/// Priority queue of waiting calls with a size limit for each class.
class CallQueue {
 public:
  using Bounds = std::array<uint64_t, kCallClassCount>;
  using Predicate = std::function<bool(const QueuedCall&)>;

  struct PushResult {
    bool accepted = false;
    /// Call that was dropped to make room; it is no longer in the queue.
    std::optional<CallKey> dropped;
  };

  void SetBounds(const Bounds& bounds) { bounds_ = bounds; }
  /// Adds a call. When its class is full, the newest call of the lowest class below it is dropped;
  /// without such a call the new one is not accepted.
  PushResult Push(const QueuedCall& call);
  /// Removes and returns the next call that satisfies `ready`.
  std::optional<CallKey> Pop(SteadyTime now, const Predicate& ready);
  /// Returns false when the call is not in the queue.
  bool Remove(const CallKey& key);
  /// Removes and returns the calls that satisfy `matches`, in order of arrival.
  std::vector<QueuedCall> ExtractIf(const Predicate& matches);

  size_t size() const { return calls_.size(); }
  uint64_t CountOf(CallClass call_class) const;
  /// Waiting calls that are served before a new call of the class.
  uint64_t CountAhead(CallClass call_class) const;
  /// Waiting calls in order of arrival.
  const std::list<QueuedCall>& calls() const { return calls_; }

 private:
  std::optional<CallKey> DropBelow(CallClass call_class);

  Bounds bounds_{};
  std::list<QueuedCall> calls_;
  std::array<uint64_t, kCallClassCount> counts_{};
};

}  // namespace shallot

#endif  // SERVERS_CALL_QUEUE_H_
