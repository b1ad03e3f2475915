#include "servers/gateway/balance/mean_load.h"

#include <cmath>

namespace shallot::gateway {

double MeanLoad::Weight(SteadyTime now) const {
  const std::chrono::duration<double> passed = now - at_;
  return weight_ * std::exp(-passed / std::chrono::duration<double>(kMeanTime));
}

void MeanLoad::OnReport(uint64_t calls, SteadyTime now) {
  weight_ = Weight(now) + 1.0;
  mean_ += (static_cast<double>(calls) - mean_) / weight_;
  at_ = now;
}

double MeanLoad::Value(double usual, SteadyTime now) const {
  const double weight = Weight(now);
  return (mean_ * weight + usual) / (weight + 1.0);
}

}  // namespace shallot::gateway
