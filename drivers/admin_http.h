#ifndef DRIVERS_ADMIN_HTTP_H_
#define DRIVERS_ADMIN_HTTP_H_

#include <memory>
#include <string>

#include "core/bounded_ring.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "core/service_kernel.h"

namespace shallot {

/// A process as its operators' interface sees it. All methods are called on the core's thread.
class AdminTarget {
 public:
  virtual ~AdminTarget() = default;
  virtual bool Ready() const = 0;
  /// JSON object.
  virtual std::string StatusJson() const = 0;
  virtual void BeginDrain(const std::string& reason) = 0;
};

/// The interface for operators: GET /healthz, /readyz, /metrics and /status, POST /drain.
class AdminHttp final : public Service {
 public:
  /// `ring` leads to the core's thread. All must outlive this service.
  AdminHttp(const std::string& address, TaskRing* ring, AdminTarget* target,
            const MetricsRegistry* metrics, const InvariantMonitor* invariants);
  ~AdminHttp() override;

  std::string Name() const override { return "admin-http"; }
  Status Start(ServiceKernel& kernel) override;
  void Stop() override;
  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_ADMIN_HTTP_H_
