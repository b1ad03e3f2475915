#ifndef DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_
#define DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/demand_aggregator.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/load_planner.h"
#include "servers/gateway/order_tracker.h"

namespace shallot::gateway {

/// Performs the I/O of the placement leader's election and, while this gateway leads, of the
/// planner's orders: calls the store and the runners and passes their answers to LeaderElection,
/// OrderTracker and LoadPlanner.
class PlacementDriver final : public StoreRestoreListener {
 public:
  /// Runners answer orders within a few milliseconds; a lost answer delays a cold start by this
  /// much.
  static constexpr Millis kOrderTimeout{150};
  static constexpr Millis kReportTimeout{400};
  static constexpr Millis kTickInterval{25};

  /// `on_notice` is called with each runner report, to dispatch this gateway's waiting calls and to
  /// inform the other gateways.
  PlacementDriver(GatewayContext* context, std::function<void(const RunnerNotice&)> on_notice);

  void Start();
  /// Releases the leadership before a planned stop.
  void Stop();
  void OnDemand(const DemandReport& report);
  void OnStoreRestored() override;
  void OnLeaderRecord(const std::optional<LeaderRecord>& record, StorePosition as_of);
  bool Leads() const;
  /// Addresses of the gateways that report demand to this leader.
  std::map<InstanceId, std::string> Reporters() const {
    return demand_aggregator_.Reporters(context_->loop.Now());
  }
  /// Gateways to which the notice is sent. In a large fleet, these are the ones with calls for the
  /// models that it changes; the others learn of the change from the runner's heartbeat.
  std::map<InstanceId, std::string> NoticeReceivers(const RunnerNotice& notice);
  /// A notice was received from a leader with this fencing number.
  void OnNoticeFence(FencingNumber fence);

 private:
  void Tick();
  void RunElection();
  void NoteStrongerGateways();
  void CreateLease();
  void Claim();
  void Renew();
  void Release();
  void OnReleased(const Result<HttpMessage>& answer);
  void RunPlanner();
  /// Tells the gateway which runners hold the entries that its calls wait for.
  void AnswerWaitingCalls(const DemandReport& report);
  std::map<InstanceId, std::string> KnownGateways() const;
  void SendOrder(const PlannedOrder& planned);
  void Transmit(const Order& order);
  void OnOrderAnswer(const Order& order, const Result<HttpMessage>& answer);
  void PollReports();
  /// Reports loads whose runners have crashed meanwhile.
  void ReportLostLoads();
  void AssumeComplete(const Order& order);
  void PollReport(const RunnerId& runner);
  /// Records a leaving runner's answer to an order or a report request.
  void NoteOwnAnswer(const RunnerId& runner, const HttpHead& head);
  void OnReport(const RunnerId& runner, const Result<HttpMessage>& answer);

  GatewayContext* context_;
  std::function<void(const RunnerNotice&)> on_notice_;
  LeaderElection election_;
  DemandAggregator demand_aggregator_;
  OrderTracker tracker_;
  LoadPlanner planner_;
  std::set<RunnerId> polled_runners_;
  /// Holdings of the last notice about each runner.
  std::map<RunnerId, Holdings> announced_;
  SteadyTime next_plan_{};
  /// Earliest time for orders. Where runners do not check fencing numbers, it is `order_lease`
  /// after the leadership was gained.
  BootTime orders_allowed_from_{};
  bool was_leader_ = false;
  bool stopping_ = false;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_
