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
#include "servers/gateway/store_contact.h"
#include "servers/gateway/store_position.h"
#include "servers/runner_run.h"

namespace shallot::gateway {

/// Number of orders that a runner has accepted since its start.
using OrderSequence = StrongNumber<struct OrderSequenceTag>;

/// Number of heartbeats that a runner has sent since its start.
using HeartbeatSequence = StrongNumber<struct HeartbeatSequenceTag>;

/// Models and adapters in a runner's accelerator memory, and its local copies of weights.
struct Holdings {
  std::map<ModelName, std::set<AdapterName>> models;
  /// Adapters that the runner is loading; they already occupy adapter slots.
  std::map<ModelName, std::set<AdapterName>> loading_adapters;
  std::set<ModelName> in_memory;
  std::set<ModelName> on_disk;

  bool Holds(const ModelName& model, const AdapterName& adapter) const;
  /// Held, or an adapter that is being loaded.
  bool HoldsOrIsLoading(const ModelName& model, const AdapterName& adapter) const;
  uint64_t AdapterCount() const;
  bool operator==(const Holdings&) const = default;
};

/// A runner's description of itself in the platform's list.
struct RunnerEntry {
  RunnerId id;
  BackendName backend;
  std::string address;
  FailureDomain domain;
  uint64_t slots = 1;
  bool draining = false;
  /// Time until the runner is gone, if it is taken away at short notice.
  std::optional<Millis> remaining;
  RunnerStartTime born;
  /// Sequence number of this description; older ones from the same run are ignored.
  HeartbeatSequence heartbeat;
  /// When the entry was created; it is created again after it was removed. Zero if unknown.
  StorePosition created;
  Holdings holdings;
};

/// A runner's own report of its load, orders and holdings.
struct RunnerReport {
  RunnerStartTime born;
  OrderSequence sequence;
  bool order_under_way = false;
  uint64_t running = 0;
  uint64_t waiting = 0;
  /// Tokens that its running calls hold, and its memory in tokens; absent if it states none.
  std::optional<uint64_t> used_tokens;
  std::optional<uint64_t> memory_tokens;
  Holdings holdings;
};

/// A runner as this process knows it.
struct RunnerState {
  RunnerEntry entry;
  /// Number of orders that the runner has accepted, from its last report.
  OrderSequence sequence;
  SteadyTime sequence_raised_at;
  std::optional<SteadyTime> reported_at;
  /// Holdings from a heartbeat that arrived soon after a report and differs from it.
  std::optional<Holdings> unconfirmed;
  /// The holdings are those of the last report, no order was in progress then, and no heartbeat has
  /// contradicted it since.
  bool holdings_confirmed = false;
  /// An entry of the present run has been read. Until then its backend, address and slots are those
  /// of the run before, and its heartbeats are not counted yet.
  bool described = false;
  /// The run has said in an answer that it is leaving.
  bool leaving = false;
  /// Since when the entry is missing from the list, if a store outage may be the cause.
  std::optional<ContactTime> missing_since;

  bool Usable() const { return !entry.draining; }
};

/// The runners in the platform's list. Applies entries and reports so that older data never
/// replaces newer data, and keeps runners whose entry expired during a store outage.
class FleetView {
 public:
  /// Maximum lag of heartbeats behind reports. Holdings in a heartbeat that differ from those of a
  /// report younger than this are not adopted immediately. The leader requests another report;
  /// other gateways adopt them if no newer report has arrived by then.
  static constexpr Millis kHeartbeatLag{1'500};

  /// Maximum age of reports. A report that shows fewer orders than were counted, this long after
  /// the count last rose, proves the count wrong.
  static constexpr Millis kReportLag{1'000};

  /// A demand report may predate the arrival of a notice that is younger than this: two report
  /// intervals of the gateways.
  static constexpr Millis kConfirmAfter{500};

  /// Runners that have left are remembered for this long, because a copy of the store may be that
  /// old.
  static constexpr Seconds kDepartedMemory{600};
  static constexpr size_t kMaxDeparted = 4'096;

  /// An entry that its runner does not renew leaves the list sooner: after three heartbeat
  /// intervals of about 1.2 s.
  static constexpr Millis kUnrenewedLifetime{5'000};

  /// Adds or updates a runner. Returns true if it is new or has restarted.
  ///
  /// The entry of a run that has left does not prove that the run is back: the store may carry out
  /// a write seconds after its call, or return to an older state. An entry with no higher heartbeat
  /// count than the last one read is ignored; after one with a higher count, the run is listed
  /// again once the count has risen further, or by ListReturned().
  bool Apply(const RunnerEntry& entry, SteadyTime now);
  /// Lists the runs again that had left and whose entry has stayed for kUnrenewedLifetime since it
  /// came back; returns their ids.
  std::vector<RunnerId> ListReturned(SteadyTime now);
  /// Whether a run that has left has an entry with a higher heartbeat count again, but is not
  /// listed yet.
  bool ReturnUnconfirmed(const RunnerId& id) const;
  /// Applies a report about orders from the runner itself or from the placement leader. Returns
  /// true if the runner has restarted.
  bool ApplyReport(const RunnerId& id, const RunnerReport& report, SteadyTime now);
  /// What is known about the runner, as a report; absent if the runner is unknown.
  std::optional<RunnerReport> CurrentReport(const RunnerId& id) const;
  /// The report to expect from the runner after it has accepted a load or unload of one entry;
  /// absent if the runner is unknown.
  std::optional<RunnerReport> ReportAfterOrder(const RunnerId& id, bool load,
                                               const ModelName& model, const AdapterName& adapter,
                                               bool under_way) const;
  /// The entry was removed from the list. The runner is dropped, or marked as missing if its entry
  /// may have expired in an outage of the store.
  void Remove(const RunnerId& id, SteadyTime now);
  /// The whole list was read; runners that are not in `present` count as removed.
  void Reconcile(const std::set<RunnerId>& present, SteadyTime now);
  /// What is known of the store's outages. The calls to the store are recorded there.
  StoreContact& contact() { return contact_; }
  /// The store was restored from a copy. Entries that it lacks now may be newer than the copy, and
  /// entries of runners that are gone may be back until the runners have written again.
  void OnStoreRestored(SteadyTime now);
  /// Adopts holdings from heartbeats that arrived soon after a report and that no newer report has
  /// replaced. Returns the runners whose holdings changed.
  std::vector<RunnerId> AdoptUnconfirmed(SteadyTime now);
  /// Drops missing runners that would be back if they were alive; returns their ids.
  std::vector<RunnerId> DropExpired(SteadyTime now);
  /// The run has said that it is leaving, in an answer to some gateway. It stays unusable until the
  /// runner has restarted, whatever its entry says. Returns true if that was not known.
  bool MarkLeaving(const RunnerRun& run);
  /// The runs for which MarkLeaving() was called.
  std::vector<RunnerRun> Leaving() const;
  /// Another runner responds at this runner's address, so this one is gone.
  void MarkReplaced(const RunnerId& id);
  /// A runner responded that it does not hold the entry; removes it until newer data arrives.
  void ForgetModel(const RunnerId& id, const ModelName& model, const AdapterName& adapter);

  const std::map<RunnerId, RunnerState>& runners() const { return runners_; }
  const RunnerState* Find(const RunnerId& id) const;
  /// Ids of usable runners of a backend.
  std::vector<RunnerId> UsableRunners(const BackendName& backend) const;
  /// Usable runners of a backend that should hold an entry and whose last report is older than
  /// `kConfirmAfter`. If calls at a gateway still wait for the entry, the holdings of these runners
  /// have to be confirmed.
  std::vector<RunnerId> HoldersToConfirm(const BackendName& backend, const ModelName& model,
                                         const AdapterName& adapter, SteadyTime now) const;
  bool ready() const { return list_read_; }

 private:
  /// A runner that has left the list.
  struct Departed {
    RunnerStartTime born;
    /// The highest count that was read of this run.
    HeartbeatSequence heartbeat;
    /// The run had begun to drain, so it takes no calls again.
    bool draining = false;
    bool leaving = false;
    SteadyTime at;
    /// An entry with a higher count that has come back, and since when.
    std::optional<RunnerEntry> returned;
    ContactTime returned_since;
  };

  /// The state at the start of a new run, before its first entry: counts start anew, and nothing is
  /// held. A run that was leaving stays unusable until the entry of the new one says otherwise.
  static RunnerState StateOfNewRun(const RunnerState& before, RunnerStartTime born);
  void Forget(const RunnerId& id, SteadyTime now);
  /// Whether the entry was removed and created again since the one that is known.
  static bool Recreated(const RunnerEntry& known, const RunnerEntry& entry);
  /// Whether an entry of a runner that has left proves that the runner is back.
  bool ProvesReturn(Departed* departed, const RunnerEntry& entry, SteadyTime now) const;
  /// Adds the runner, or replaces its state by that of a new run.
  void List(const RunnerEntry& entry);

  std::map<RunnerId, RunnerState> runners_;
  bool list_read_ = false;
  StoreContact contact_;
  std::map<RunnerId, Departed> departed_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_FLEET_VIEW_H_
