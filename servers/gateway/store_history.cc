#include "servers/gateway/store_history.h"

namespace shallot::gateway {

StoreHistory::Verdict StoreHistory::OnAnswer(std::optional<StoreEra> sent_in,
                                             std::optional<StoreEra> answered_in) {
  if (!era_) {
    era_ = answered_in;
    return Verdict::kCurrent;
  }
  if (answered_in && *answered_in > *era_) {
    era_ = answered_in;
    return Verdict::kRestored;
  }
  const bool sent_before = sent_in && *sent_in < *era_;
  const bool answered_before = answered_in && *answered_in < *era_;
  return sent_before || answered_before ? Verdict::kOutdated : Verdict::kCurrent;
}

}  // namespace shallot::gateway
