#ifndef SERVERS_GATEWAY_BALANCE_MEAN_LOAD_H_
#define SERVERS_GATEWAY_BALANCE_MEAN_LOAD_H_

#include <cstdint>

#include "core/clock.h"

namespace shallot::gateway {

/// Mean number of calls at one runner as reported. It shows how many calls the runner gets from all
/// gateways, which a single report does not: it is old and varies by chance.
class MeanLoad {
 public:
  /// Time constant of the mean, during which a gateway with little traffic gets some reports. In
  /// the model of gateway_even_load_test, calls were less even with 6 s.
  static constexpr Millis kMeanTime{15'000};

  void OnReport(uint64_t calls, SteadyTime now);
  /// The mean, with the weight of one report for `usual`.
  double Value(double usual, SteadyTime now) const;

 private:
  double Weight(SteadyTime now) const;

  double mean_ = 0;
  /// Number of reports in the mean, each decaying with kMeanTime.
  double weight_ = 0;
  SteadyTime at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_BALANCE_MEAN_LOAD_H_
