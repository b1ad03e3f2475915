#ifndef SERVERS_GATEWAY_BALANCE_RUNNER_PACE_H_
#define SERVERS_GATEWAY_BALANCE_RUNNER_PACE_H_

#include <optional>

#include "core/clock.h"

namespace shallot::gateway {

/// Expected pace of one runner: the time that work takes there over the time that it usually takes,
/// from the values that the runner states with its answers. Separates a lasting difference between
/// runners from interference by neighbours on the same machine, which ends within about half a
/// second.
class RunnerPace {
 public:
  /// Correlation time of interference: what is known of it loses its value with this time constant.
  static constexpr Millis kInterference{500};
  /// The stated value changes many times a second, so values within this time are averaged.
  static constexpr Millis kPresentTime{200};
  /// Averaging time of the lasting pace: thirty times that of interference, so that a single one
  /// that triples the pace moves it by less than a tenth.
  static constexpr Millis kLastingTime{15'000};
  /// Longest time for which one value stands in the lasting pace, because it shows one moment only.
  static constexpr Millis kValueTime{1'000};
  /// Half-life of the lasting pace of a runner that has stated none for kForgetAfter, so that it is
  /// tried again. Without that time, a runner that is always slow would count as less slow.
  static constexpr Millis kForgetHalfLife{20'000};
  static constexpr Millis kForgetAfter{5'000};
  /// Bounds of the stated values; a slower runner counts as failing by its observed slowness.
  static constexpr double kFastest = 0.25;
  static constexpr double kSlowest = 8.0;

  /// `pace`: as stated; 1 is as usual.
  void OnReport(double pace, SteadyTime now);
  /// Expected mean over the time `over` from now.
  double Expected(Millis over, SteadyTime now) const;

  /// Expected pace without interference, for decisions that hold for longer than it lasts.
  double Lasting(SteadyTime now) const;
  /// Whether any value has been stated.
  bool known() const { return at_.has_value(); }

 private:
  /// Mean over kPresentTime.
  double present_ = 1.0;
  double lasting_ = 1.0;
  /// Number of values in `lasting_`; the assumption that the runner is as usual counts as one.
  double values_ = 1.0;
  std::optional<SteadyTime> at_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_BALANCE_RUNNER_PACE_H_
