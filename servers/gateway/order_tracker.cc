#include "servers/gateway/order_tracker.h"

#include <algorithm>

namespace shallot::gateway {

const char* LoadTierName(LoadTier tier) {
  switch (tier) {
    case LoadTier::kStore:
      return "store";
    case LoadTier::kDisk:
      return "disk";
    case LoadTier::kMemory:
      return "memory";
  }
  return "unknown";
}

const char* OrderAnswerName(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kAlreadyHolds:
      return "already-holds";
    case OrderAnswer::kBusy:
      return "busy";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kRejected:
      return "rejected";
    case OrderAnswer::kNone:
      return "no-answer";
  }
  return "unknown";
}

void OrderTracker::OnSent(const Order& order, SteadyTime now) {
  Pending& pending = pending_[order.runner];
  pending = Pending();
  pending.order = order;
  pending.order.sent_at = now;
  pending.next_poll = now + order.duration;
}

bool OrderTracker::CountsAsDone(const Order& order) {
  return order.kind == OrderKind::kUnload && !order.adapter.empty();
}

void OrderTracker::OnAnswer(const RunnerId& runner, OrderAnswer answer, SteadyTime now) {
  const auto found = pending_.find(runner);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  pending.unanswered = false;
  switch (answer) {
    case OrderAnswer::kAccepted:
      pending.accepted = true;
      pending.next_poll = now + pending.order.duration;
      return;
    case OrderAnswer::kAlreadyHolds:
      if (CountsAsDone(pending.order)) {
        pending.accepted = true;
        pending.next_poll = now;
        return;
      }
      // The runner did nothing, so its order sequence has not advanced.
      pending_.erase(found);
      return;
    case OrderAnswer::kNone:
      pending.next_poll = now;
      return;
    case OrderAnswer::kBusy:
    case OrderAnswer::kFenced:
    case OrderAnswer::kRejected:
      pending_.erase(found);
      RequestPoll(runner, now);
      return;
  }
}

bool OrderTracker::TakeResend(const RunnerId& runner) {
  const auto found = pending_.find(runner);
  if (found == pending_.end() || found->second.resends >= kMaxResends) return false;
  ++found->second.resends;
  found->second.unanswered = true;
  return true;
}

std::optional<Order> OrderTracker::UnloadUnderWay(const RunnerId& runner) const {
  const auto found = pending_.find(runner);
  if (found == pending_.end() || !found->second.accepted) return std::nullopt;
  const Order& order = found->second.order;
  if (order.kind != OrderKind::kUnload || !order.adapter.empty()) return std::nullopt;
  return order;
}

std::optional<Order> OrderTracker::OnReport(const RunnerId& runner, const RunnerReport& report) {
  const auto found = pending_.find(runner);
  if (found == pending_.end()) return std::nullopt;
  Pending& pending = found->second;
  const Order order = pending.order;
  if (report.born != order.born) {
    pending_.erase(found);
    return std::nullopt;
  }
  if (report.sequence > order.expected) {
    pending.accepted = true;
    const auto loading = report.holdings.loading_adapters.find(order.model);
    const bool adapter_loading = !order.adapter.empty() &&
                                 loading != report.holdings.loading_adapters.end() &&
                                 loading->second.contains(order.adapter);
    if (report.order_under_way || adapter_loading) return std::nullopt;
    pending_.erase(found);
    return order;
  }
  // No answer came and the runner has not accepted the order. The same or another order can be sent
  // in its place: the runner accepts only one order for this sequence.
  if (!pending.accepted && !pending.unanswered) pending_.erase(found);
  return std::nullopt;
}

void OrderTracker::OnReportFailed(const RunnerId& runner, SteadyTime now) {
  const auto found = pending_.find(runner);
  if (found != pending_.end()) found->second.next_poll = now + kUnknownPollInterval;
}

std::vector<Order> OrderTracker::TakeAssumedComplete(SteadyTime now) {
  std::vector<Order> complete;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const Pending& pending = entry->second;
    if (!pending.accepted || !pending.order.cannot_be_delayed || now < pending.next_poll) {
      ++entry;
      continue;
    }
    complete.push_back(pending.order);
    entry = pending_.erase(entry);
  }
  return complete;
}

bool OrderTracker::ModelOrderPending(const RunnerId& runner) const {
  const auto found = pending_.find(runner);
  return found != pending_.end() && found->second.order.adapter.empty();
}

std::vector<Order> OrderTracker::TakeLostLoads(const std::function<bool(const Order&)>& lost) {
  std::vector<Order> loads;
  for (auto& [runner, pending] : pending_) {
    if (pending.order.kind != OrderKind::kLoad || pending.reported_lost) continue;
    if (!lost(pending.order)) continue;
    pending.reported_lost = true;
    loads.push_back(pending.order);
  }
  return loads;
}

std::vector<Order> OrderTracker::PendingLoads() const {
  std::vector<Order> loads;
  for (const auto& [runner, pending] : pending_) {
    if (pending.order.kind == OrderKind::kLoad) loads.push_back(pending.order);
  }
  return loads;
}

uint64_t OrderTracker::StoreLoadsUnderWay() const {
  return static_cast<uint64_t>(
      std::count_if(pending_.begin(), pending_.end(), [](const auto& entry) {
        const Order& order = entry.second.order;
        return order.kind == OrderKind::kLoad && order.adapter.empty() &&
               order.tier == LoadTier::kStore;
      }));
}

std::vector<RunnerId> OrderTracker::TakeDuePolls(SteadyTime now) {
  std::vector<RunnerId> due;
  for (auto& [runner, pending] : pending_) {
    if (pending.unanswered || now < pending.next_poll) continue;
    pending.next_poll = now + (pending.accepted ? kPollInterval : kUnknownPollInterval);
    due.push_back(runner);
  }
  for (auto poll = requested_polls_.begin(); poll != requested_polls_.end();) {
    if (now < poll->second) {
      ++poll;
      continue;
    }
    if (Idle(poll->first)) due.push_back(poll->first);
    poll = requested_polls_.erase(poll);
  }
  return due;
}

void OrderTracker::OnRunnerGone(const RunnerId& runner) {
  pending_.erase(runner);
  confirmation_requested_at_.erase(runner);
}

void OrderTracker::Clear() {
  pending_.clear();
  confirmation_requested_at_.clear();
}

void OrderTracker::RequestConfirmation(const RunnerId& runner, SteadyTime now) {
  const auto [last, first] = confirmation_requested_at_.try_emplace(runner, now);
  if (!first) {
    if (now - last->second < Duration(kConfirmInterval)) return;
    last->second = now;
  }
  RequestPoll(runner, now);
}

void OrderTracker::RequestPoll(const RunnerId& runner, SteadyTime at) {
  requested_polls_.try_emplace(runner, at);
}

}  // namespace shallot::gateway
