#ifndef SERVERS_ENGINE_CRASHES_H_
#define SERVERS_ENGINE_CRASHES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/crash_quarantine.h"

namespace shallot {

/// Tells crashes of an agent's engine from connections that merely ended, and collects the traits
/// of the calls and loads that were lost with it. Load pattern: one call crashes the engine while
/// others wait for their answers there. Not thread-safe.
class EngineCrashes {
 public:
  /// Losses that turn out to be no crash within this time are forgotten.
  static constexpr Seconds kMemory{10};
  /// Calls that are remembered for one crash.
  static constexpr size_t kMaxCalls = 64;

  /// `first_run`: identifies the engine's present run; each crash ends one run.
  EngineCrashes(InstanceId agent, RunnerRun first_run, FailureDomain domain)
      : quarantine_(std::move(agent)), run_(std::move(first_run)), domain_(std::move(domain)) {}

  /// A call or load that began at `started` was lost before its answer had begun.
  void OnLost(const std::vector<CallTrait>& traits, SteadyTime started, SteadyTime now);
  /// The engine began to answer a call.
  void OnAnswerBegun(const std::vector<CallTrait>& traits, SteadyTime now) {
    quarantine_.OnAnswerBegun(traits, now);
  }
  /// The engine was asked for its inventory. `crashed`: it did not accept the connection, or it no
  /// longer holds what it held.
  void OnInventory(bool crashed, SteadyTime now);
  void OnTick(SteadyTime now);

  /// What the routers have to know.
  CrashFindings Findings(SteadyTime now) const { return quarantine_.Own(now); }
  /// Whether Findings() has changed since the last call of this function.
  bool TakeChanged() { return quarantine_.TakeChanged(); }

 private:
  struct Losses {
    SteadyTime since;
    std::vector<std::vector<CallTrait>> calls;
  };

  CrashQuarantine quarantine_;
  RunnerRun run_;
  FailureDomain domain_;
  /// Lost calls whose cause is not known yet.
  std::optional<Losses> unexplained_;
  /// Lost calls of the last crash. Others that were sent before it may be reported later.
  Losses crashed_;
};

}  // namespace shallot

#endif  // SERVERS_ENGINE_CRASHES_H_
