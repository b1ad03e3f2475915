#ifndef DRIVERS_CALLER_HTTP_H_
#define DRIVERS_CALLER_HTTP_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/bounded_ring.h"
#include "core/metrics.h"
#include "core/service_kernel.h"
#include "servers/router_core.h"

namespace shallot {

/// The operations of the router core that the HTTP interface for callers uses. All methods are
/// called on the core's thread.
class RouterApi {
 public:
  virtual ~RouterApi() = default;
  virtual CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) = 0;
  virtual void CancelByCaller(const CallId& call) = 0;
  /// Names of the models and adapters in the active configuration.
  virtual std::vector<std::string> ModelNames() const = 0;
};

struct CallerHttpOptions {
  /// "IP:port" to listen on.
  std::string address;
  /// Connections served concurrently, one thread each.
  size_t threads = 256;
  /// Id of this router, a part of the request ids that it generates.
  std::string router;
  /// Bytes of an answer that may be buffered for a slow caller.
  size_t answer_limit = 1U << 20U;
};

/// The HTTP interface for callers: OpenAI-compatible paths and service calls.
class CallerHttp final : public Service {
 public:
  /// Tasks on `ring` run on the core's thread. `ring`, `router` and `metrics` must outlive this
  /// service.
  CallerHttp(CallerHttpOptions options, TaskRing* ring, RouterApi* router,
             MetricsRegistry* metrics);
  ~CallerHttp() override;

  std::string Name() const override { return "caller-http"; }
  Status Start(ServiceKernel& kernel) override;
  void Stop() override;
  /// Port that the server listens on.
  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_CALLER_HTTP_H_
