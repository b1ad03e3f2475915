#ifndef SERVERS_WEIGHT_STORE_H_
#define SERVERS_WEIGHT_STORE_H_

#include <functional>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

namespace shallot {

/// Load and speed of the platform's weight store.
struct WeightStoreStatus {
  /// Number of loads in flight over all runners.
  uint64_t model_loads = 0;
  uint64_t adapter_loads = 0;
  /// Time that a full-speed load of 1 GB currently takes.
  Millis per_gigabyte{0};
};

/// The platform's rate-limited store of checkpoints. Engines read checkpoints from it directly;
/// this interface only reads its status.
class WeightStore {
 public:
  using StatusCallback = std::function<void(const Result<WeightStoreStatus>&)>;

  virtual ~WeightStore() = default;
  virtual void FetchStatus(StatusCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_WEIGHT_STORE_H_
