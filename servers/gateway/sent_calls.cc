#include "servers/gateway/sent_calls.h"

#include "core/hashing.h"

namespace shallot::gateway {

SentCalls::Verdict SentCalls::BeforeSend(const RequestId& call, SteadyTime now) {
  Expire(now);
  const Key key = StableHash(call.value());
  const auto found = calls_.find(key);
  if (found == calls_.end()) {
    Record(key, State::kSent, now);
    return Verdict::kSend;
  }
  return found->second == State::kSent ? Verdict::kSentBefore : Verdict::kRefusedBefore;
}

bool SentCalls::BeforeRefusal(const RequestId& call, bool was_sent, SteadyTime now) {
  Expire(now);
  const Key key = StableHash(call.value());
  const auto found = calls_.find(key);
  if (found == calls_.end()) {
    Record(key, State::kRefused, now);
    return true;
  }
  if (!was_sent && found->second == State::kSent) return false;
  found->second = State::kRefused;
  return true;
}

void SentCalls::Record(Key call, State state, SteadyTime now) {
  if (calls_.size() >= kMaxCalls) {
    calls_.erase(arrivals_.front().call);
    arrivals_.pop_front();
  }
  calls_[call] = state;
  arrivals_.push_back({call, now});
}

void SentCalls::Expire(SteadyTime now) {
  while (!arrivals_.empty() && now - arrivals_.front().at >= Duration(kKeepTime)) {
    calls_.erase(arrivals_.front().call);
    arrivals_.pop_front();
  }
}

}  // namespace shallot::gateway
