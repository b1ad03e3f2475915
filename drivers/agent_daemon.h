#ifndef DRIVERS_AGENT_DAEMON_H_
#define DRIVERS_AGENT_DAEMON_H_

#include <memory>
#include <string>

#include "core/result.h"
#include "drivers/agent_settings.h"
#include "drivers/daemon.h"

namespace shallot {

/// The agent process: core, order claims, backend server adapter and admin interface. Start() binds
/// the control port before it contacts the engine, so that a second agent of the same runner fails
/// to start without side effects.
class AgentDaemon final : public Daemon {
 public:
  explicit AgentDaemon(AgentSettings settings);
  ~AgentDaemon() override;

  Status Start() override;
  void BeginDrain(const std::string& reason) override;
  bool WaitUntilDrained(Millis limit) override;
  Millis drain_limit() const override;
  void Stop() override;

  /// Ports that the agent listens on, also when the settings give port 0.
  int control_port() const;
  int admin_port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_AGENT_DAEMON_H_
