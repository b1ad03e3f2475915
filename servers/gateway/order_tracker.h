#ifndef SERVERS_GATEWAY_ORDER_TRACKER_H_
#define SERVERS_GATEWAY_ORDER_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_view.h"

namespace shallot::gateway {

enum class OrderKind { kLoad, kUnload };
/// Where a load reads its weights from.
enum class LoadTier { kStore, kDisk, kMemory };

const char* LoadTierName(LoadTier tier);

/// An order to a runner. The runner ignores it if it has accepted another order since `expected`,
/// so an order whose answer was lost cannot take effect after a later one.
struct Order {
  RunnerId runner;
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  /// Empty if the order is for the model itself.
  AdapterName adapter;
  OrderSequence expected;
  RunnerStartTime born;
  LoadTier tier = LoadTier::kDisk;
  /// Expected time until the order is complete.
  Millis duration{0};
  /// Nothing at the runner, such as running calls, can delay the order.
  bool cannot_be_delayed = false;
  /// Set by OrderTracker::OnSent().
  SteadyTime sent_at{};
};

enum class OrderAnswer {
  kAccepted,
  kAlreadyHolds,  ///< Nothing to do; for the unload of an adapter: done immediately.
  kBusy,          ///< Another order is in progress or was accepted first.
  kFenced,        ///< The runner has seen a higher fencing number.
  kRejected,      ///< The order is invalid for this runner.
  kNone,          ///< No answer; the order may still take effect.
};

const char* OrderAnswerName(OrderAnswer answer);

/// Tracks the placement leader's pending orders, at most one per runner. Answers may be lost and
/// orders may take effect late, so an order is pending until the runner's own report shows it
/// complete or TakeAssumedComplete() returns it.
class OrderTracker {
 public:
  /// How many times an order without an answer is resent immediately. Resending is safe because the
  /// runner accepts only one order per `expected`.
  static constexpr uint64_t kMaxResends = 4;
  /// Interval of report requests while an accepted order is in progress; reports lag by about 100
  /// ms. kUnknownPollInterval applies when it is unknown whether the order was accepted or when a
  /// report could not be read.
  static constexpr Millis kPollInterval{60};
  static constexpr Millis kUnknownPollInterval{300};
  /// Minimum interval between requests to confirm one runner's holdings; each report has a cost.
  static constexpr Millis kConfirmInterval{1'000};

  void OnSent(const Order& order, SteadyTime now);
  /// Whether an answer of kAlreadyHolds means that the runner has executed and counted the order.
  static bool CountsAsDone(const Order& order);
  void OnAnswer(const RunnerId& runner, OrderAnswer answer, SteadyTime now);
  /// Returns true and counts the resend if the unanswered order should be sent again.
  bool TakeResend(const RunnerId& runner);
  /// The accepted unload of a model in progress at the runner, if any. The runner's report still
  /// lists the model, but it rejects calls for it.
  std::optional<Order> UnloadUnderWay(const RunnerId& runner) const;
  /// Returns the order that the report shows to be complete, if any.
  std::optional<Order> OnReport(const RunnerId& runner, const RunnerReport& report);
  /// Records that a report could not be read, and postpones the next request.
  void OnReportFailed(const RunnerId& runner, SteadyTime now);
  /// Removes and returns accepted orders that must be complete by now, judging by their duration:
  /// adapter orders, and unloads of models without running calls. Waiting for the report would add
  /// its lag; if an order is not complete after all, the runner rejects the next one.
  std::vector<Order> TakeAssumedComplete(SteadyTime now);
  void OnRunnerGone(const RunnerId& runner);
  void Clear();

  bool Idle(const RunnerId& runner) const { return !pending_.contains(runner); }
  /// Whether a load or unload of a model, not of an adapter, is pending at the runner.
  bool ModelOrderPending(const RunnerId& runner) const;
  /// Returns the pending loads for which `lost` holds now for the first time.
  std::vector<Order> TakeLostLoads(const std::function<bool(const Order&)>& lost);
  /// Loads that are or may be in progress.
  std::vector<Order> PendingLoads() const;
  uint64_t StoreLoadsUnderWay() const;
  /// Returns the runners to request a report from now, and schedules their next request.
  std::vector<RunnerId> TakeDuePolls(SteadyTime now);
  /// Schedules a request for a runner's report at `at`, unless one is already scheduled.
  void RequestPoll(const RunnerId& runner, SteadyTime at);
  /// Requests a runner's report, at most once per kConfirmInterval, because calls at a gateway wait
  /// for an entry that the runner should hold.
  void RequestConfirmation(const RunnerId& runner, SteadyTime now);

 private:
  struct Pending {
    Order order;
    bool accepted = false;
    bool unanswered = true;
    uint64_t resends = 0;
    bool reported_lost = false;
    SteadyTime next_poll{};
  };

  std::map<RunnerId, Pending> pending_;
  std::map<RunnerId, SteadyTime> requested_polls_;
  std::map<RunnerId, SteadyTime> confirmation_requested_at_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ORDER_TRACKER_H_
