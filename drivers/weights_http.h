#ifndef DRIVERS_WEIGHTS_HTTP_H_
#define DRIVERS_WEIGHTS_HTTP_H_

#include <string>

#include "core/bounded_ring.h"
#include "drivers/http_worker_pool.h"
#include "servers/weight_store.h"

namespace shallot {

/// Reads the status of the platform's weight store over HTTP.
class WeightsHttp final : public WeightStore {
 public:
  /// `address` is "IP:port". `ring` must outlive this object.
  WeightsHttp(const std::string& address, TaskRing* ring);

  void FetchStatus(StatusCallback done) override;
  /// Aborts the requests in progress and joins the thread; the ring must keep running meanwhile.
  void Stop();

 private:
  TaskRing* ring_;
  HttpWorkerPool requests_;
};

}  // namespace shallot

#endif  // DRIVERS_WEIGHTS_HTTP_H_
