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

/// The router as its caller interface uses it. All methods are called on the core's thread.
class CallerGateway {
 public:
  virtual ~CallerGateway() = default;
  virtual CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) = 0;
  virtual void CancelByCaller(const CallId& call) = 0;
  /// Models and adapters of the catalogue in force.
  virtual std::vector<std::string> ModelNames() const = 0;
};

struct CallerHttpOptions {
  /// "IP:port" for callers.
  std::string address;
  /// Connections served at once.
  size_t threads = 256;
  /// Name of this router, part of the request ids that it makes.
  std::string router;
  /// Answer bytes that may wait for a slow caller.
  size_t answer_limit = 1U << 20U;
};

/// The OpenAI-compatible and service interface for callers.
class CallerHttp final : public Service {
 public:
  /// `ring` leads to the core's thread; it, `gateway` and `metrics` must outlive this service.
  CallerHttp(CallerHttpOptions options, TaskRing* ring, CallerGateway* gateway,
             MetricsRegistry* metrics);
  ~CallerHttp() override;

  std::string Name() const override { return "caller-http"; }
  Status Start(ServiceKernel& kernel) override;
  void Stop() override;
  /// Port that callers connect to.
  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_CALLER_HTTP_H_
