#ifndef DRIVERS_GATEWAY_ADMIN_HANDLER_H_
#define DRIVERS_GATEWAY_ADMIN_HANDLER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Figures of the daemon that the admin address shows.
struct DaemonFigures {
  size_t caller_connections = 0;
  /// Bytes that these connections have allocated, apart from their calls.
  size_t caller_connection_bytes = 0;
  size_t calls_in_progress = 0;
  bool leads_placement = false;
};

/// Answers operators: `GET /metrics` with all metrics as text; as JSON, `GET /quarantine` with the
/// calls that the gateway refuses because such calls crash runners, `GET /limits` with the runners
/// that limit their calls, `GET /runners` with the runners that take no calls now, and `GET /store`
/// with what the gateway has read from the store, and `GET /quotas` with the tokens of each team.
class AdminHandler final : public CallerHandler {
 public:
  AdminHandler(GatewayContext* context, std::function<DaemonFigures()> figures)
      : context_(context), figures_(std::move(figures)) {}

  void OnRequest(CallerConnection* connection, HttpMessage request) override;
  void OnCallerGone(CallerConnection* /*connection*/) override {}

 private:
  std::string Metrics();
  std::string Quarantine() const;
  std::string Limits() const;
  std::string Runners();
  std::string Store() const;
  std::string Quotas() const;

  GatewayContext* context_;
  std::function<DaemonFigures()> figures_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_ADMIN_HANDLER_H_
