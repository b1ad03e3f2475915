#include "servers/gateway/balance/own_sends.h"

#include <algorithm>
#include <cmath>

namespace shallot::gateway {

void OwnSends::OnSent(SteadyTime now) {
  unreported_.push_back(now);
  recent_ = Recent(now) + 1.0;
  recent_at_ = now;
}

void OwnSends::OnEnded(SteadyTime sent_at) {
  const auto found = std::lower_bound(unreported_.begin(), unreported_.end(), sent_at);
  if (found != unreported_.end() && *found == sent_at) {
    unreported_.erase(found);
  } else {
    ++ended_since_;
  }
}

void OwnSends::OnReport(SteadyTime now) {
  while (!unreported_.empty() && unreported_.front() + Duration(kReportTravel) <= now) {
    unreported_.pop_front();
  }
  ended_since_ = 0;
}

double OwnSends::Recent(SteadyTime now) const {
  const std::chrono::duration<double> passed = now - recent_at_;
  return recent_ * std::exp(-passed / std::chrono::duration<double>(kRecentTime));
}

}  // namespace shallot::gateway
