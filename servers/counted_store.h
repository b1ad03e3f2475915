#ifndef SERVERS_COUNTED_STORE_H_
#define SERVERS_COUNTED_STORE_H_

#include <string>

#include "core/metrics.h"
#include "servers/platform_store.h"

namespace shallot {

/// Forwards calls to another store and counts them in `shallot_store_calls_total{op=...}` and
/// their errors in `shallot_store_errors_total{op=...,kind=...}`.
class CountedStore final : public PlatformStore {
 public:
  CountedStore(PlatformStore* inner, MetricsRegistry* metrics);

  void Get(const StoreKey& key, GetCallback done) override;
  void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                      Millis ttl, PutCallback done) override;
  void Watch(const StoreKey& key, StoreVersion known, GetCallback done) override;
  void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                    LeaseCallback done) override;
  void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) override;

 private:
  template <class T>
  std::function<void(const Result<T>&)> Counted(const std::string& op,
                                                std::function<void(const Result<T>&)> done);

  PlatformStore* inner_;
  MetricsRegistry* metrics_;
};

}  // namespace shallot

#endif  // SERVERS_COUNTED_STORE_H_
