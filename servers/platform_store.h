#ifndef SERVERS_PLATFORM_STORE_H_
#define SERVERS_PLATFORM_STORE_H_

#include <functional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

namespace shallot {

/// A value in the platform store. `version` 0 means that the key is absent.
struct VersionedValue {
  StoreVersion version;
  std::string value;

  bool operator==(const VersionedValue&) const = default;
};

/// A granted lease.
struct LeaseGrant {
  /// Increases with each new holder.
  FencingNumber fencing;
  /// Measured from the moment before the request was sent.
  Millis ttl{0};
};

/// Client of the platform's key-value service. Every call runs its callback exactly once, on the
/// caller's thread; only fakes may run it before the call returns.
///
/// Errors: kConflict (the version differs or another holder has the lease; nothing was changed),
/// kUnavailable (nothing was changed), kUnknownOutcome (the write may have taken effect).
class PlatformStore {
 public:
  using GetCallback = std::function<void(const Result<VersionedValue>&)>;
  using PutCallback = std::function<void(const Result<StoreVersion>&)>;
  using LeaseCallback = std::function<void(const Result<LeaseGrant>&)>;
  using DoneCallback = std::function<void(const Status&)>;

  virtual ~PlatformStore() = default;

  /// Linearizable read.
  virtual void Get(const StoreKey& key, GetCallback done) = 0;
  /// Writes if the stored version equals `expected` (0: the key is absent). With a `ttl` of zero
  /// the value does not expire.
  virtual void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                              Millis ttl, PutCallback done) = 0;
  /// Waits until the version differs from `known` or about 20 s have passed, then returns the
  /// current value.
  virtual void Watch(const StoreKey& key, StoreVersion known, GetCallback done) = 0;
  /// Acquires or renews the lease on `key` for `holder`.
  virtual void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                            LeaseCallback done) = 0;
  virtual void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_PLATFORM_STORE_H_
