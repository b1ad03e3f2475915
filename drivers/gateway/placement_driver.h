#ifndef DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_
#define DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/demand_board.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/load_planner.h"
#include "servers/gateway/order_tracker.h"

namespace shallot::gateway {

/// Carries out the election of the placement leader and, while this gateway leads, the planner's
/// orders: calls the store and the runners and passes their answers on to the decisions.
class PlacementDriver {
 public:
  /// Runners answer orders within a few milliseconds; a lost answer costs this much of a cold
  /// start.
  static constexpr Millis kOrderTimeout{150};
  static constexpr Millis kReportTimeout{400};
  static constexpr Millis kTick{25};

  /// `notice` runs with each runner report, for the own waiting calls and the other gateways.
  PlacementDriver(GatewayContext* context, std::function<void(const RunnerNotice&)> notice);

  void Start();
  /// Gives the leadership up for a planned stop.
  void Stop();
  void OnDemand(const DemandReport& report);
  void OnLeaderRecord(const std::optional<LeaderRecord>& record, StoreRevision revision);
  bool Leads() const;
  /// Addresses of the gateways that report demand to this leader.
  std::map<InstanceId, std::string> Reporters() const {
    return board_.Reporters(context_->loop.Now());
  }
  /// A notice came from a leader with this fencing number.
  void OnNoticeFence(FencingNumber fence);

 private:
  void Tick();
  void RunElection();
  void CreateLease();
  void Claim();
  void Renew();
  void Release();
  void OnReleased(const Result<HttpMessage>& answer);
  void RunPlanner();
  void SendOrder(const PlannedOrder& planned);
  void Transmit(const Order& order);
  void OnOrderAnswer(const Order& order, const Result<HttpMessage>& answer);
  void PollReports();
  void AssumeComplete(const Order& order);
  void PollReport(const RunnerId& runner);
  void OnReport(const RunnerId& runner, const Result<HttpMessage>& answer);

  GatewayContext* context_;
  std::function<void(const RunnerNotice&)> notice_;
  LeaderElection election_;
  DemandBoard board_;
  OrderTracker tracker_;
  LoadPlanner planner_;
  std::set<RunnerId> polling_;
  /// Orders are not given before this time where runners do not check fencing numbers.
  BootTime orders_from_{};
  bool led_ = false;
  bool stopping_ = false;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PLACEMENT_DRIVER_H_
