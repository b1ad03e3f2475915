#include "servers/load_budget.h"

#include <algorithm>
#include <tuple>

namespace shallot {

LoadBudget::LoadBudget(const Clock* clock) : clock_(clock), refilled_(clock->SteadyNow()) {}

void LoadBudget::SetLimits(const FleetConfig& config) {
  loads_per_second_ = config.weight_loads_per_second;
  max_models_ = config.weight_loads_in_flight;
  max_adapters_ = config.adapter_loads_in_flight;
}

uint64_t& LoadBudget::InFlight(LoadKind kind) {
  return kind == LoadKind::kModel ? models_in_flight_ : adapters_in_flight_;
}

bool LoadBudget::HasCapacity(LoadKind kind) const {
  if (kind == LoadKind::kAdapter) return adapters_in_flight_ < max_adapters_;
  return models_in_flight_ < max_models_ && tokens_ >= 1;
}

void LoadBudget::Request(const LoadPermitRequest& request, const InstanceId& via) {
  const SteadyTime now = clock_->SteadyNow();
  Expire(now);
  RevokeOtherIncarnations(request.runner, request.incarnation);
  RevokeClosed(request);
  const PermitKey key{request.runner, request.permit_id};
  const auto granted = granted_.find(key);
  if (granted != granted_.end()) {
    const auto left = std::chrono::duration_cast<Millis>(granted->second.expiry - now);
    outbox_.push_back({{request.permit_id, request.runner, left}, via});
    return;
  }
  const auto waiting = waiting_.find(key);
  if (waiting != waiting_.end()) {
    waiting->second.deadline = now + request.remaining;
    waiting->second.via = via;
    return;
  }
  if (waiting_.size() >= kMaxWaiting) return;
  waiting_[key] = {now + request.remaining, ++arrivals_, request.kind, via};
}

void LoadBudget::Return(const RunnerId& runner, uint64_t permit_id) {
  const PermitKey key{runner, permit_id};
  waiting_.erase(key);
  const auto granted = granted_.find(key);
  if (granted == granted_.end()) return;
  --InFlight(granted->second.kind);
  granted_.erase(granted);
}

/// An agent that died during a load returns no permit. Its successor may never request one, if all
/// slots have moved to other runners, so its connection to a router revokes the old permits too.
void LoadBudget::RevokeOtherIncarnations(const RunnerId& runner, Incarnation incarnation) {
  const auto [known, first] = incarnations_.try_emplace(runner, incarnation);
  if (first || known->second == incarnation) return;
  RevokeRunners([&](const RunnerId& other) { return other == runner; });
  incarnations_[runner] = incarnation;
}

void LoadBudget::RevokeClosed(const LoadPermitRequest& request) {
  const auto closed = [&](const PermitKey& key) {
    // A permit with a higher number was requested after this request was sent.
    return key.first == request.runner && key.second < request.permit_id &&
           std::find(request.open_permits.begin(), request.open_permits.end(), key.second) ==
               request.open_permits.end();
  };
  if (request.open_permits.empty()) return;
  std::erase_if(waiting_, [&](const auto& item) { return closed(item.first); });
  std::erase_if(granted_, [&](const auto& item) {
    if (!closed(item.first)) return false;
    --InFlight(item.second.kind);
    return true;
  });
}

void LoadBudget::RevokeRunners(const std::function<bool(const RunnerId&)>& gone) {
  std::erase_if(incarnations_, [&](const auto& item) { return gone(item.first); });
  std::erase_if(waiting_, [&](const auto& item) { return gone(item.first.first); });
  std::erase_if(granted_, [&](const auto& item) {
    if (!gone(item.first.first)) return false;
    --InFlight(item.second.kind);
    return true;
  });
}

void LoadBudget::Expire(SteadyTime now) {
  for (auto it = granted_.begin(); it != granted_.end();) {
    if (now < it->second.expiry) {
      ++it;
      continue;
    }
    --InFlight(it->second.kind);
    it = granted_.erase(it);
  }
  std::erase_if(waiting_, [now](const auto& item) { return now >= item.second.deadline; });
}

void LoadBudget::Refill(SteadyTime now) {
  const double passed = std::chrono::duration<double>(now - refilled_).count();
  // Tokens accumulate up to the amount of 1 s, but at least to one load.
  tokens_ = std::min(tokens_ + passed * loads_per_second_, std::max(1.0, loads_per_second_));
  refilled_ = now;
}

void LoadBudget::Grant(const PermitKey& key, const WaitingRequest& waiting, SteadyTime now) {
  const bool model = waiting.kind == LoadKind::kModel;
  const Millis valid = model ? kModelPermitLifetime : kAdapterPermitLifetime;
  if (model) tokens_ -= 1;
  ++InFlight(waiting.kind);
  granted_[key] = {now + valid, waiting.kind};
  outbox_.push_back({{key.second, key.first, valid}, waiting.via});
}

std::vector<BudgetGrant> LoadBudget::GrantPermits() {
  const SteadyTime now = clock_->SteadyNow();
  Expire(now);
  Refill(now);
  std::vector<std::pair<PermitKey, WaitingRequest>> order(waiting_.begin(), waiting_.end());
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return std::tie(a.second.deadline, a.second.arrival) <
           std::tie(b.second.deadline, b.second.arrival);
  });
  for (const auto& [key, waiting] : order) {
    if (!HasCapacity(waiting.kind)) continue;
    Grant(key, waiting, now);
    waiting_.erase(key);
  }
  std::vector<BudgetGrant> grants;
  grants.swap(outbox_);
  return grants;
}

void LoadBudget::Clear() {
  waiting_.clear();
  granted_.clear();
  incarnations_.clear();
  outbox_.clear();
  models_in_flight_ = 0;
  adapters_in_flight_ = 0;
  tokens_ = 0;
  refilled_ = clock_->SteadyNow();
}

}  // namespace shallot
