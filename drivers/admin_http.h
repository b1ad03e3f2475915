#ifndef DRIVERS_ADMIN_HTTP_H_
#define DRIVERS_ADMIN_HTTP_H_

#include <memory>
#include <string>

#include "core/bounded_ring.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "core/service_kernel.h"

namespace shallot {

/// The operations of a process that its admin interface uses. All methods are called on the thread
/// that drains the task ring of the AdminHttp.
class AdminTarget {
 public:
  virtual ~AdminTarget() = default;
  virtual bool Ready() const = 0;
  /// The status as a JSON object.
  virtual std::string StatusJson() const = 0;
  virtual void BeginDrain(const std::string& reason) = 0;
};

/// The admin interface over HTTP: GET /healthz, /readyz, /metrics and /status, POST /drain.
class AdminHttp final : public Service {
 public:
  /// Calls of `target` are posted to `ring` and run on the thread of the loop that drains it. All
  /// pointers must outlive this service.
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
