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
  /// Rises with each new holder.
  FencingNumber fencing;
  /// Counted from the moment before the request was sent.
  Millis ttl{0};
};

/// The platform's key-value service. Every call completes by exactly one callback on the thread
/// of the caller; a callback may run before the call returns only in fakes.
///
/// Errors: kConflict (the version differs or another holds the lease; nothing was changed),
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
  /// Writes when the stored version equals `expected` (0: the key is absent). A `ttl` of zero
  /// keeps the value for good.
  virtual void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                              Millis ttl, PutCallback done) = 0;
  /// Waits until the version differs from `known` or about 20 s have passed, then answers with
  /// the value as it is.
  virtual void Watch(const StoreKey& key, StoreVersion known, GetCallback done) = 0;
  /// Acquires or renews the lease on `key` for `holder`.
  virtual void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                            LeaseCallback done) = 0;
  virtual void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_PLATFORM_STORE_H_
