#ifndef SERVERS_GATEWAY_FLEET_VIEW_H_
#define SERVERS_GATEWAY_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/fleet_routes.h"

namespace shallot::gateway {

/// Unix time in milliseconds of a runner's start; tells two runs under one id apart.
using RunnerBirth = StrongNumber<struct RunnerBirthTag>;
/// Orders that a runner has accepted since its start.
using OrderSequence = StrongNumber<struct OrderSequenceTag>;

/// Heartbeats of a runner since its start.
using HeartbeatSequence = StrongNumber<struct HeartbeatSequenceTag>;

/// Models and adapters in a runner's accelerator memory, and copies of weights at hand.
struct Holdings {
  std::map<ModelName, std::set<AdapterName>> models;
  /// Adapters under way to the runner; they occupy adapter slots.
  std::map<ModelName, std::set<AdapterName>> coming;
  std::set<ModelName> in_memory;
  std::set<ModelName> on_disk;

  bool Holds(const ModelName& model, const AdapterName& adapter) const;
  /// Held, or an adapter that is on its way.
  bool HoldsOrFetches(const ModelName& model, const AdapterName& adapter) const;
  uint64_t AdapterCount() const;
  bool operator==(const Holdings&) const = default;
};

/// What a runner says about itself in the platform's list.
struct RunnerEntry {
  RunnerId id;
  BackendName backend;
  std::string address;
  FailureDomain domain;
  uint64_t slots = 1;
  bool draining = false;
  /// Time until a runner that is taken away at short notice is gone.
  std::optional<Millis> remaining;
  RunnerBirth born;
  /// Counts what the runner has said of itself since its start; older news is ignored.
  HeartbeatSequence heartbeat;
  Holdings holdings;
};

/// A runner's own answer about its load and orders.
struct RunnerReport {
  RunnerBirth born;
  OrderSequence sequence;
  bool order_under_way = false;
  uint64_t running = 0;
  uint64_t waiting = 0;
  Holdings holdings;
};

/// A runner as this process knows it.
struct RunnerState {
  RunnerEntry entry;
  /// Orders that the runner has accepted, from its last report.
  OrderSequence sequence;
  SteadyTime sequence_raised_at;
  std::optional<SteadyTime> reported_at;
  /// Holdings of a heartbeat that came soon after a report and differs from it.
  std::optional<Holdings> unconfirmed;
  /// The holdings are those of the last report, no order was under way then, and no heartbeat has
  /// said otherwise since.
  bool settled = false;
  /// The entry is missing from the list, but the store's trouble may be the cause.
  std::optional<SteadyTime> missing_since;

  bool Usable() const { return !entry.draining; }
};

/// The runners of the platform's list. Applies entries and reports so that older news never
/// replaces newer ones, and keeps runners whose entry lapsed while the store was in trouble.
class FleetView {
 public:
  /// An entry that lapsed during store trouble is taken as gone this long after the store's
  /// return. The platform states that entries of live runners are back within about 2 s.
  static constexpr Millis kLapseGrace{2'500};

  /// Heartbeats lag behind reports by up to this, so holdings that differ from a newer report are
  /// not taken over at once. The leader asks for another report; elsewhere they are taken over when
  /// no newer report has come by then.
  static constexpr Millis kHeartbeatLag{1'500};

  /// Reports may be this old. A report that shows fewer orders than were counted this long after
  /// the last one proves the count wrong.
  static constexpr Millis kReportLag{1'000};

  /// A demand report may have crossed a notice that is younger than this: two report intervals of
  /// the gateways.
  static constexpr Millis kConfirmAfter{500};

  /// Adds or updates a runner. Returns true when it is new or started again.
  bool Apply(const RunnerEntry& entry, SteadyTime now);
  /// Applies what the runner itself or the placement leader reported about orders.
  void ApplyReport(const RunnerId& id, const RunnerReport& report, SteadyTime now);
  /// Holdings of the runner after a load or unload of one entry that it has accepted.
  std::optional<RunnerReport> AfterOrder(const RunnerId& id, bool load, const ModelName& model,
                                         const AdapterName& adapter, bool under_way) const;
  /// The entry was removed from the list.
  void Remove(const RunnerId& id, SteadyTime now);
  /// The whole list was read; runners that are not in `present` are missing.
  void Reconcile(const std::set<RunnerId>& present, SteadyTime now);
  /// A call to the store failed without an answer.
  void OnStoreTrouble(SteadyTime now);
  /// A call to the store was answered after trouble.
  void OnStoreAnswer(SteadyTime now);
  /// Takes over what heartbeats said soon after a report that no newer report has confirmed.
  /// Returns the runners whose holdings changed.
  std::vector<RunnerId> AdoptUnconfirmed(SteadyTime now);
  /// Drops missing runners whose grace has passed; returns their ids.
  std::vector<RunnerId> DropLapsed(SteadyTime now);
  /// Another runner answers at its address: it is gone.
  void MarkReplaced(const RunnerId& id);
  /// A runner answered that it does not hold the model; forgets it until newer news.
  void ForgetModel(const RunnerId& id, const ModelName& model, const AdapterName& adapter);

  const std::map<RunnerId, RunnerState>& runners() const { return runners_; }
  const RunnerState* Find(const RunnerId& id) const;
  /// Ids of usable runners of a backend.
  std::vector<RunnerId> UsableRunners(const BackendName& backend) const;
  /// Usable runners of a backend that should hold an entry, by a report that is not of just now. A
  /// gateway whose calls wait for the entry all the same may know better.
  std::vector<RunnerId> DoubtedHolders(const BackendName& backend, const ModelName& model,
                                       const AdapterName& adapter, SteadyTime now) const;
  bool ready() const { return list_read_; }

 private:
  bool InTrouble(SteadyTime now) const;

  std::map<RunnerId, RunnerState> runners_;
  bool list_read_ = false;
  bool store_away_ = false;
  std::optional<SteadyTime> store_back_at_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_FLEET_VIEW_H_
