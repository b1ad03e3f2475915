#ifndef SERVERS_GATEWAY_LIMIT_ALLOCATION_H_
#define SERVERS_GATEWAY_LIMIT_ALLOCATION_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "servers/gateway/fleet_view.h"

namespace shallot::gateway {

/// Divides the calls that limited runners take among the models that they hold, in proportion to
/// the models' calls. Load pattern: runners in need hold several models each, which together get
/// more calls than the runners take, while other runners have room.
class LimitAllocation {
 public:
  struct HeldModel {
    ModelName model;
    double calls_per_s = 0;
    /// A runner without a limit holds it, too, and gets its calls.
    bool held_elsewhere = false;
  };

  /// Adds a limited runner with the models that it holds.
  void Add(const RunnerId& runner, double calls_per_s, const std::vector<HeldModel>& models);
  /// Calls a second that exceed the limits of all runners that hold the model; 0 if a runner
  /// without a limit holds it or none does.
  double Excess(const ModelName& model) const;
  /// Whether the runners that hold the model can serve nearly all of its calls.
  bool Sufficient(const ModelName& model) const;
  /// Whether the runner counts as a replica of a model that it holds. A limited runner does so only
  /// if no other holds the model.
  bool Serves(const RunnerId& runner, const ModelName& model) const;
  /// Whether the runner could also serve a model with so many calls.
  bool HasRoom(const RunnerId& runner, double calls_per_s) const;

 private:
  /// Share of a model's calls that may exceed the limits before another runner has to load it.
  static constexpr double kToleratedExcess = 0.2;

  struct Demand {
    double calls_per_s = 0;
    /// Calls a second that limited runners take.
    double allowed = 0;
  };

  std::map<ModelName, Demand> models_;
  /// Calls a second that each limited runner takes besides those for its models.
  std::map<RunnerId, double> spare_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_LIMIT_ALLOCATION_H_
