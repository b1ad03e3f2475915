#include "servers/gateway/findings_order.h"

#include <algorithm>

namespace shallot::gateway {

bool FindingsOrder::TakeIfNew(const InstanceId& gateway, const FindingsNumber& number) {
  if (number.run == 0) return true;
  // Old findings that are taken once more do little harm; they end by themselves.
  if (newest_.size() >= kMaxGateways && !newest_.contains(gateway)) newest_.clear();
  std::deque<FindingsNumber>& runs = newest_[gateway];
  const auto known = std::find_if(runs.begin(), runs.end(), [&](const FindingsNumber& newest) {
    return newest.run == number.run;
  });
  if (known != runs.end()) {
    if (number.number <= known->number) return false;
    known->number = number.number;
    return true;
  }
  if (runs.size() >= kMaxRuns) runs.pop_front();
  runs.push_back(number);
  return true;
}

}  // namespace shallot::gateway
