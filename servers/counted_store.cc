#include "servers/counted_store.h"

#include <utility>

namespace shallot {

CountedStore::CountedStore(PlatformStore* inner, MetricsRegistry* metrics)
    : inner_(inner), metrics_(metrics) {}

template <class T>
std::function<void(const Result<T>&)> CountedStore::Counted(
    const std::string& op, std::function<void(const Result<T>&)> done) {
  metrics_->GetCounter("shallot_store_calls_total{op=\"" + op + "\"}").Add();
  return [this, op, done = std::move(done)](const Result<T>& result) {
    if (!IsOk(result)) {
      const std::string kind = ErrorKindName(ErrorOf(result).kind);
      metrics_->GetCounter("shallot_store_errors_total{op=\"" + op + "\",kind=\"" + kind + "\"}")
          .Add();
    }
    done(result);
  };
}

void CountedStore::Get(const StoreKey& key, GetCallback done) {
  inner_->Get(key, Counted<VersionedValue>("get", std::move(done)));
}

void CountedStore::CompareAndSwap(const StoreKey& key, StoreVersion expected,
                                  const std::string& value, Millis ttl, PutCallback done) {
  inner_->CompareAndSwap(key, expected, value, ttl, Counted<StoreVersion>("cas", std::move(done)));
}

void CountedStore::Watch(const StoreKey& key, StoreVersion known, GetCallback done) {
  inner_->Watch(key, known, Counted<VersionedValue>("watch", std::move(done)));
}

void CountedStore::AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                                LeaseCallback done) {
  inner_->AcquireLease(key, holder, ttl, Counted<LeaseGrant>("lease", std::move(done)));
}

void CountedStore::ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) {
  inner_->ReleaseLease(key, holder, Counted<std::monostate>("release", std::move(done)));
}

}  // namespace shallot
