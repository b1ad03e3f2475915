#ifndef SERVERS_GATEWAY_ORDER_TRACKER_H_
#define SERVERS_GATEWAY_ORDER_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_view.h"

namespace shallot::gateway {

enum class OrderKind { kLoad, kUnload };
/// Where a load takes its weights from.
enum class LoadTier { kStore, kDisk, kMemory };

const char* LoadTierName(LoadTier tier);

/// An order to a runner. `expected` makes the runner ignore it when another order came first, so
/// that an order whose answer was lost cannot take effect after a later one.
struct Order {
  RunnerId runner;
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  /// Empty: the model itself.
  AdapterName adapter;
  OrderSequence expected;
  RunnerBirth born;
  LoadTier tier = LoadTier::kDisk;
  /// Time until the order should be complete.
  Millis duration{0};
  /// Nothing that the runner does can delay the order.
  bool certain = false;
};

enum class OrderAnswer {
  kAccepted,
  kAlreadyHolds,  ///< Nothing to do; or, for an adapter's unload, done at once.
  kBusy,          ///< Another order is under way, or another one came first.
  kFenced,        ///< A higher fencing number was seen.
  kRejected,      ///< The order is wrong for this runner.
  kNone,          ///< No answer; the order may still take effect.
};

const char* OrderAnswerName(OrderAnswer answer);

/// Follows the orders of the placement leader: at most one per runner at a time, settled only by
/// the runner's own report. Load pattern: order answers are lost and orders take effect late.
class OrderTracker {
 public:
  /// An order without an answer is sent again at once, this often. `expected` makes that safe: the
  /// runner accepts only one of them.
  static constexpr uint64_t kMaxResends = 4;
  /// Reports are some 100 ms old, so a newer one is asked for this often.
  static constexpr Millis kPollInterval{60};
  static constexpr Millis kUnknownPollInterval{300};
  /// A runner is asked this often at most whether it holds what a gateway cannot find there; each
  /// report has a price.
  static constexpr Millis kConfirmInterval{1'000};

  void OnSent(const Order& order, SteadyTime now);
  /// Whether a runner that answers kAlreadyHolds has carried the order out and counts it.
  static bool CountsAsDone(const Order& order);
  void OnAnswer(const RunnerId& runner, OrderAnswer answer, SteadyTime now);
  /// True when the order without an answer should be sent again; counts the resend.
  bool TakeResend(const RunnerId& runner);
  /// The unload under way at the runner, if any. Its report still lists the model, but the runner
  /// rejects calls for it.
  std::optional<Order> UnloadUnderWay(const RunnerId& runner) const;
  /// Returns the order that the report settled, if any.
  std::optional<Order> OnReport(const RunnerId& runner, const RunnerReport& report);
  /// A report could not be read; the next one is asked for later.
  void OnReportFailed(const RunnerId& runner, SteadyTime now);
  /// Orders that were accepted and must be complete by now, judging by their duration: adapters,
  /// and unloads of models without running calls. Waiting for the report would cost its lag; if one
  /// is not complete after all, the runner rejects what follows.
  std::vector<Order> TakeAssumedComplete(SteadyTime now);
  void OnRunnerGone(const RunnerId& runner);
  void Clear();

  bool Idle(const RunnerId& runner) const { return !pending_.contains(runner); }
  /// Whether a load of the entry is under way anywhere or may be.
  bool Loading(const BackendName& backend, const FleetView& view, const ModelName& model,
               const AdapterName& adapter) const;
  uint64_t StoreLoadsUnderWay() const;
  /// Runners whose report is due; marks them as asked.
  std::vector<RunnerId> TakeDuePolls(SteadyTime now);
  /// Asks for a runner's report at the next poll.
  void RequestPoll(const RunnerId& runner, SteadyTime at);
  /// Asks for a runner's report because a gateway's calls wait for what the runner should hold.
  void RequestConfirmation(const RunnerId& runner, SteadyTime now);

 private:
  struct Pending {
    Order order;
    bool accepted = false;
    bool unanswered = true;
    uint64_t resends = 0;
    SteadyTime next_poll{};
  };

  std::map<RunnerId, Pending> pending_;
  std::map<RunnerId, SteadyTime> requested_polls_;
  std::map<RunnerId, SteadyTime> confirmed_at_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_ORDER_TRACKER_H_
