#ifndef DRIVERS_PLATFORM_HTTP_H_
#define DRIVERS_PLATFORM_HTTP_H_

#include <string>

#include "core/bounded_ring.h"
#include "drivers/http_worker_pool.h"
#include "servers/instance_list.h"
#include "servers/platform_store.h"

namespace shallot {

/// Client of the platform's key-value service and instance list over HTTP. Callbacks are posted to
/// the ring of the core that uses it.
class PlatformHttp final : public PlatformStore, public InstanceList {
 public:
  /// `address` is "IP:port". `ring` must outlive this object.
  PlatformHttp(const std::string& address, TaskRing* ring);
  ~PlatformHttp() override;
  PlatformHttp(const PlatformHttp&) = delete;
  PlatformHttp& operator=(const PlatformHttp&) = delete;

  void Get(const StoreKey& key, GetCallback done) override;
  void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                      Millis ttl, PutCallback done) override;
  void Watch(const StoreKey& key, StoreVersion known, GetCallback done) override;
  void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                    LeaseCallback done) override;
  void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) override;
  void Fetch(FetchCallback done) override;

  /// Aborts the requests in progress and joins the threads; the ring must keep running meanwhile.
  void Stop();

 private:
  TaskRing* ring_;
  HttpWorkerPool requests_;
  /// A watch waits for up to 20 s, so watches have their own threads and do not delay other
  /// requests.
  HttpWorkerPool watches_;
};

/// Parses the response to `GET /instances`. kInternal if it is malformed.
Result<std::vector<InstanceRecord>> ParseInstances(const std::string& json);

}  // namespace shallot

#endif  // DRIVERS_PLATFORM_HTTP_H_
