#include "servers/engine_crashes.h"

namespace shallot {

void EngineCrashes::OnLost(const std::vector<CallTrait>& traits, SteadyTime started,
                           SteadyTime now) {
  if (!crashed_.calls.empty() && started <= crashed_.since) {
    if (crashed_.calls.size() >= kMaxCalls) return;
    crashed_.calls.push_back(traits);
    quarantine_.OnCrash(run_, domain_, crashed_.calls, now);
    return;
  }
  if (!unexplained_) unexplained_ = Losses{now, {}};
  if (unexplained_->calls.size() < kMaxCalls) unexplained_->calls.push_back(traits);
}

void EngineCrashes::OnInventory(bool crashed, SteadyTime now) {
  if (!unexplained_ || !crashed) return;
  crashed_ = std::move(*unexplained_);
  unexplained_.reset();
  run_.born = run_.born.Next();
  quarantine_.OnCrash(run_, domain_, crashed_.calls, now);
}

void EngineCrashes::OnTick(SteadyTime now) {
  quarantine_.Update(now);
  if (unexplained_ && now - unexplained_->since > Duration(kMemory)) unexplained_.reset();
}

}  // namespace shallot
