#ifndef DRIVERS_ROUTER_DAEMON_H_
#define DRIVERS_ROUTER_DAEMON_H_

#include <memory>
#include <string>

#include "core/result.h"
#include "drivers/daemon.h"
#include "drivers/router_settings.h"

namespace shallot {

/// The router process: core, control plane, caller interface and admin interface.
class RouterDaemon final : public Daemon {
 public:
  explicit RouterDaemon(RouterSettings settings);
  ~RouterDaemon() override;

  Status Start() override;
  void BeginDrain(const std::string& reason) override;
  bool WaitUntilDrained(Millis limit) override;
  Millis drain_limit() const override;
  void Stop() override;

  /// Ports that the router listens on, also when the settings give port 0.
  int caller_port() const;
  int admin_port() const;
  int peer_port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_ROUTER_DAEMON_H_
