#ifndef TESTS_SOAK_DISTURBANCE_LOG_H_
#define TESTS_SOAK_DISTURBANCE_LOG_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/clock.h"

namespace shallot::soak {

/// Component that a disturbance affects. Gateways are numbered from 0.
struct Scope {
  enum class Kind {
    kGateway,  ///< A gateway's process or one of its links.
    kStore,
    kRunners,  ///< Any runner or its link; a call may go to any of them.
    kMachine,  ///< The machine that the soak runs on; a delay there delays everything.
  };
  Kind kind = Kind::kMachine;
  size_t gateway = 0;

  static Scope Gateway(size_t gateway) { return {Kind::kGateway, gateway}; }
  static Scope Store() { return {Kind::kStore, 0}; }
  static Scope Runners() { return {Kind::kRunners, 0}; }
  static Scope Machine() { return {Kind::kMachine, 0}; }
  bool operator==(const Scope&) const = default;
};

/// Records which component was disturbed when. Guarantees with a time bound hold only for
/// components that were undisturbed for the platform's stable window.
class DisturbanceLog {
 public:
  /// `planned`: a stop, reload or change of the configuration, which must not affect any call.
  /// Returns the number to pass to End().
  size_t Begin(Scope scope, SteadyTime now, bool planned);
  void End(size_t disturbance, SteadyTime now);
  void Add(Scope scope, SteadyTime from, SteadyTime to, bool planned);

  /// True when no disturbance of these scopes overlaps the time from `from` to `to`. Planned
  /// disturbances are ignored unless `include_planned`.
  bool Undisturbed(const std::vector<Scope>& scopes, SteadyTime from, SteadyTime to,
                   bool include_planned) const;

 private:
  struct Entry {
    Scope scope;
    SteadyTime from;
    std::optional<SteadyTime> to;
    bool planned = false;
  };
  std::vector<Entry> entries_;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_DISTURBANCE_LOG_H_
