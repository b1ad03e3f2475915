#include "servers/gateway/store_contact.h"

namespace shallot::gateway {

const char* StoreCallEndName(StoreCallEnd end) {
  switch (end) {
    case StoreCallEnd::kAnswered:
      return "answered";
    case StoreCallEnd::kRefused:
      return "refused";
    case StoreCallEnd::kDisconnected:
      return "disconnected";
    case StoreCallEnd::kNoAnswer:
      return "no-answer";
  }
  return "unknown";
}

void StoreContact::OnSignOfLife(SteadyTime now) {
  if (interrupted_) {
    interrupted_ = false;
    last_gap_ = last_sign_ ? std::chrono::duration_cast<Millis>(now - *last_sign_) : Millis(0);
    // Without an earlier sign of life the length of the outage is unknown.
    if (!last_sign_ || last_gap_ >= kShortestOutage) {
      outage_ended_at_ = now;
      outage_time_ += last_gap_;
    }
  }
  last_sign_ = now;
}

void StoreContact::OnCall(StoreCallEnd end, SteadyTime sent_at, SteadyTime now) {
  if (end == StoreCallEnd::kAnswered) {
    OnSignOfLife(now);
    return;
  }
  if (end == StoreCallEnd::kDisconnected && !interrupted_ && now - sent_at >= kAcceptedAfter) {
    last_sign_ = now;
    return;
  }
  // The store has served another call meanwhile, so only this call's connection has failed.
  if (last_sign_ && sent_at < *last_sign_) return;
  interrupted_ = true;
}

void StoreContact::OnRestored(SteadyTime now) {
  interrupted_ = false;
  last_sign_ = now;
  outage_ended_at_ = now;
}

}  // namespace shallot::gateway
