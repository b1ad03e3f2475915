#ifndef DRIVERS_SERVICE_HTTP_H_
#define DRIVERS_SERVICE_HTTP_H_

#include <cstddef>
#include <string>

#include "core/bounded_ring.h"
#include "drivers/http_call_runner.h"
#include "servers/backend_server.h"

namespace shallot {

/// Client of a plain service over HTTP. Callbacks are posted to the ring of the core that uses it.
class ServiceHttp final : public PlainService {
 public:
  /// `address` is "IP:port". At most `max_calls` calls run concurrently. `ring` must outlive this
  /// object.
  ServiceHttp(const std::string& address, size_t max_calls, TaskRing* ring);

  void StartCall(const Call& call, AnswerSink* sink) override;
  void CancelCall(const CallId& call, CancelCallback done) override;

  /// Aborts the requests in progress and joins the threads; the ring must keep running meanwhile.
  void Stop();

 private:
  HttpCallRunner calls_;
};

}  // namespace shallot

#endif  // DRIVERS_SERVICE_HTTP_H_
