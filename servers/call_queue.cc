#include "servers/call_queue.h"

namespace shallot {
namespace {

size_t Rank(CallClass call_class) { return static_cast<size_t>(call_class); }

/// Rank in the order of service, 0 first: raised premium calls, then other raised and premium
/// calls, then the remaining calls by class.
size_t EffectiveRank(const QueuedCall& call, SteadyTime now) {
  const bool raised = now >= call.raise_at;
  if (call.call_class == CallClass::kPremium) return raised ? 0 : 1;
  return raised ? 1 : 1 + Rank(call.call_class);
}

/// True when `a` is served before `b`, which arrived earlier.
bool Precedes(const QueuedCall& a, const QueuedCall& b, SteadyTime now) {
  const size_t rank_a = EffectiveRank(a, now);
  const size_t rank_b = EffectiveRank(b, now);
  if (rank_a != rank_b) return rank_a < rank_b;
  // Raised and premium calls of equal rank are served by their latest start time.
  return rank_a <= 1 && a.latest_start < b.latest_start;
}

}  // namespace

CallQueue::PushResult CallQueue::Push(const QueuedCall& call) {
  PushResult result;
  const size_t rank = Rank(call.call_class);
  if (counts_[rank] >= bounds_[rank]) {
    result.dropped = DropBelow(call.call_class);
    if (!result.dropped) return result;
  }
  calls_.push_back(call);
  ++counts_[rank];
  result.accepted = true;
  return result;
}

std::optional<CallKey> CallQueue::DropBelow(CallClass call_class) {
  for (size_t rank = kCallClassCount; rank-- > Rank(call_class) + 1;) {
    if (counts_[rank] == 0) continue;
    for (auto newest = calls_.rbegin(); newest != calls_.rend(); ++newest) {
      if (Rank(newest->call_class) != rank) continue;
      const CallKey key = newest->key;
      calls_.erase(std::next(newest).base());
      --counts_[rank];
      return key;
    }
  }
  return std::nullopt;
}

std::optional<CallKey> CallQueue::Pop(SteadyTime now, const Predicate& ready) {
  auto best = calls_.end();
  for (auto call = calls_.begin(); call != calls_.end(); ++call) {
    if (best != calls_.end() && !Precedes(*call, *best, now)) continue;
    if (ready(*call)) best = call;
  }
  if (best == calls_.end()) return std::nullopt;
  const CallKey key = best->key;
  --counts_[Rank(best->call_class)];
  calls_.erase(best);
  return key;
}

bool CallQueue::Remove(const CallKey& key) {
  return !ExtractIf([&key](const QueuedCall& call) { return call.key == key; }).empty();
}

std::vector<QueuedCall> CallQueue::ExtractIf(const Predicate& matches) {
  std::vector<QueuedCall> taken;
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (!matches(*call)) {
      ++call;
      continue;
    }
    --counts_[Rank(call->call_class)];
    taken.push_back(*call);
    call = calls_.erase(call);
  }
  return taken;
}

uint64_t CallQueue::CountOf(CallClass call_class) const { return counts_[Rank(call_class)]; }

uint64_t CallQueue::CountAhead(CallClass call_class) const {
  uint64_t ahead = 0;
  for (size_t rank = 0; rank <= Rank(call_class); ++rank) ahead += counts_[rank];
  return ahead;
}

}  // namespace shallot
