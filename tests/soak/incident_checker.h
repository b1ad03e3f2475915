#ifndef TESTS_SOAK_INCIDENT_CHECKER_H_
#define TESTS_SOAK_INCIDENT_CHECKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// Checks the guarantees around incidents that runners suffer: calls that crash them, more calls
/// than the limits that they name, and calls although they are leaving or closed.
class IncidentChecker {
 public:
  explicit IncidentChecker(SoakFleet* fleet);

  void OnResult(const SentCall& call, const CallResult& result);
  /// Checks the guarantees that are stated over all calls of the run. Called once, at its end.
  void CheckEnd();

 private:
  /// Sound calls that runners may take, and those of them that were completed.
  struct Served {
    uint64_t calls = 0;
    uint64_t completed = 0;
    double Share() const { return static_cast<double>(completed) / static_cast<double>(calls); }
  };

  /// Arrivals at a limited runner.
  struct LimitedArrivals {
    /// Arrivals of the present window.
    std::deque<SteadyTime> window;
    /// When a gateway first passed on an answer with the limit.
    std::map<size_t, SteadyTime> informed;
    bool exceeded = false;
  };

  /// What a runner has told a gateway, and the calls that reached it since.
  struct ToldGateway {
    std::optional<SteadyTime> leaving_since;
    SteadyTime closed_at{};
    SteadyTime closed_until{};
    uint64_t arrivals = 0;
  };

  void OnTold(const SentCall& call, const RunnerId& runner, const CallLedger::Told& told);
  void CheckTold(const SentCall& call, const RunnerId& runner, SteadyTime at);
  void OnArrival(const SentCall& call, const RunnerId& runner, SteadyTime at);
  void CheckDeadly(const SentCall& call, SteadyTime at);
  void CheckLimit(const SentCall& call, const RunnerId& runner, SteadyTime at);
  /// Whether all deadly calls of the run are repeats of one request.
  bool OneRequest() const { return fleet_->options().incident == Incident::kDeadlyRequests; }
  size_t CrashesToKnow() const;
  /// From when on the gateways have to know the deadly calls; SteadyTime::max() without crashes.
  SteadyTime CrashesKnownFrom() const;

  SoakFleet* fleet_;
  uint64_t late_deadly_calls_ = 0;
  Served before_crashes_;
  Served after_crashes_;
  std::map<std::pair<RunnerId, size_t>, ToldGateway> told_;
  std::map<RunnerId, LimitedArrivals> limited_;
  /// The limited runner that each call was last sent to.
  std::map<RequestId, RunnerId> sent_to_limited_;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_INCIDENT_CHECKER_H_
