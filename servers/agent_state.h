#ifndef SERVERS_AGENT_STATE_H_
#define SERVERS_AGENT_STATE_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "servers/agent_call.h"
#include "servers/agent_core.h"
#include "servers/agent_peers.h"
#include "servers/config_replica.h"
#include "servers/engine_crashes.h"
#include "servers/granted_slots.h"
#include "servers/load_scheduler.h"

namespace shallot {

/// Components, calls and other state of an agent. The methods are grouped by the file that defines
/// them.
struct AgentCore::State final : public LoadSchedulerHost {
  using CallPtr = std::shared_ptr<AgentCall>;

  State(AgentOptions agent_options, AgentEnvironment agent_environment);

  // agent_state.cc: configuration, slots and the interface to the load scheduler.
  SteadyTime Now() const { return env.clock->SteadyNow(); }
  Counter& Count(const std::string& name) { return env.metrics->GetCounter(name); }
  void OnConfig();
  void OnGrant(const SlotGrant& grant);
  void ConfirmReleases();
  LoadSummary Summary() const;
  uint64_t Concurrency() const;
  bool Ready() const;
  ShardId ShardOfEntry(const EntryId& entry) const;
  void OnConnectionLost(ConnectionId connection);
  std::string StatusJson() const;
  bool MayLoad(const EntryId& entry) const override { return slots.IsActive(entry); }
  bool MustUnload(const EntryId& entry) const override;
  uint64_t RunningCalls(const EntryId& entry) const override;
  Millis KeepAlive(const EntryId& entry) const override;
  bool RequestPermit(const LoadPermitRequest& request) override;
  void ReturnPermit(uint64_t permit_id) override;
  void OnLoadRefused(const EntryId& entry, Reason reason, Millis retry_after) override;
  void OnLoadMeasured(const EntryId& entry, Millis load_time) override;
  void OnLoaded(const EntryId& entry) override;
  void OnLoadLost(const EntryId& entry, SteadyTime started) override;
  void OnInventory(bool crashed) override;
  void AdvanceLoads();

  // agent_admission.cc: admission of calls to the queue, and refusal of queued calls.
  void OnCallStart(ConnectionId connection, const Call& call);
  void Admit(const CallPtr& call);
  bool CancelEarlierAttempts(const Call& started);
  Outcome CheckAdmission(const AgentCall& call) const;
  Outcome CheckTarget(const Call& call) const;
  Outcome CheckDeadline(const AgentCall& call) const;
  void LoadForRetry(const EntryId& entry);
  void Enqueue(const CallPtr& call);
  void ExpireQueued();
  void RefuseQueued(const CallQueue::Predicate& matches, Reason reason, Millis retry_after);
  Millis PredictedWait(const EntryId& entry, CallClass call_class) const;
  Millis QueueWait(CallClass call_class) const;
  Millis ServiceTimeEstimate(CallClass call_class) const;
  /// Service time that about nine in ten calls of the class do not exceed; zero when unknown.
  Millis ServiceTimeBound(CallClass call_class) const;
  bool HasTombstone(const CallKey& key) const { return tombstones.contains(key); }
  /// True when the attempt was cancelled here while it was queued, so that it did not run.
  bool DidNotRun(const CallKey& key) const;
  void AddTombstone(const CallKey& key, bool did_not_run);
  void CheckQueueComplete() const;

  // agent_execution.cc: running calls and their answers.
  void Dispatch();
  bool CanStart(const QueuedCall& queued) const;
  void Run(const CallPtr& call);
  void OnBegin(const CallPtr& call, int http_status, const std::string& content_type);
  void OnData(const CallPtr& call, const std::string& payload);
  void OnExecutionEnd(const CallPtr& call, ExecutionEnd end, const std::string& message);
  Outcome OutcomeOf(const AgentCall& call, ExecutionEnd end, const std::string& message) const;
  void RecordServiceTime(const AgentCall& call);
  /// Notes a call that may have crashed the engine.
  void OnCallLost(const AgentCall& call);
  /// The engine's crashes, for routers; absent if there are none.
  std::optional<CrashNotice> MakeCrashNotice() const;
  void ReportCrashes();
  void Finish(const CallPtr& call, const Outcome& outcome);
  void SendPending(AgentCall& call);
  void SendAllPending();

  // agent_resume.cc: cancellation, resume, acknowledgement and expiry of calls.
  void OnCallCancel(ConnectionId connection, const CallCancel& cancel);
  void OnCallResume(ConnectionId connection, const CallResume& resume);
  void OnCallAck(const CallAck& ack);
  void Attach(AgentCall& call, ConnectionId connection, uint64_t offset);
  void CancelCall(const CallPtr& call, Reason reason);
  void CancelAtBackend(const CallPtr& call, Reason reason);
  void SweepCalls();
  void EraseExpired();
  void SendOutcome(ConnectionId connection, const CallKey& key, const Outcome& outcome);
  CallPtr FindCall(const CallKey& key) const;

  // agent_orders.cc: claims of calls that must run at most once.
  void ClaimOrder(const CallPtr& call);
  std::string ClaimPrefix() const;
  bool IsClaimantLost(const ClaimReply& reply) const;
  Outcome RefusalOf(const AgentCall& call, const ClaimReply& reply) const;
  void OnClaim(const CallPtr& call, const ClaimReply& reply);
  void OnClaimGranted(const CallPtr& call);
  void ReplayAnswer(const CallPtr& call, const OrderAnswer& answer);
  void RecordOrderAnswer(const CallPtr& call, const Outcome& outcome);
  void Refuse(const CallPtr& call, const Outcome& outcome);
  void FinishRecorded(const CallPtr& call);
  void ReleaseClaim(const CallPtr& call);
  void CheckSingleRun(const AgentCall& call);
  OrderClaims::DoneCallback MakeRecordedCallback(const CallPtr& call);

  // agent_drain.cc: drain of the calls and release of the slots.
  void BeginDrain(const std::string& reason, Millis grace);
  void AdvanceDrain();
  void EndGracePeriod();
  void ReleaseSlots();
  bool HasOpenCalls() const;
  bool SlotsHandedOver() const;
  bool Drained() const;

  void Tick();

  AgentOptions options;
  AgentEnvironment env;
  ConfigReplica config;
  GrantedSlots slots;
  AgentPeers peers;
  LoadScheduler loads;
  EngineCrashes crashes;
  /// Number of the last crash notice, and when it is sent again.
  uint64_t crash_notice = 0;
  SteadyTime next_crash_notice;
  CallQueue queue;
  std::shared_ptr<AnswerBudget> answer_budget;
  KeepAlivePolicy* keep_alive = nullptr;
  std::map<CallKey, CallPtr> calls;
  /// Marks a cancelled attempt, so that a late start of it is refused.
  struct Tombstone {
    SteadyTime since;
    /// True if the attempt was queued here and did not run; false if it was unknown when it was
    /// cancelled.
    bool did_not_run = false;
  };
  std::map<CallKey, Tombstone> tombstones;
  /// Number of running calls by entry, and the ids of all running calls: two attempts of a call
  /// never run at once.
  std::map<EntryId, uint64_t> running_by_entry;
  std::set<CallId> running_ids;
  /// Entries to load although the calls for them were refused, with the time at which the request
  /// expires. The retry-after of the refused calls relies on these loads.
  std::map<EntryId, SteadyTime> retry_loads;
  /// Idempotency keys of the most recent orders that ran here, to detect a second run.
  std::set<IdempotencyKey> executed_orders;
  std::deque<IdempotencyKey> executed_orders_by_age;
  /// Smoothed service time by class; zero when unknown.
  std::array<Duration, kCallClassCount> service_time{};
  /// Smoothed absolute deviation of the service time from its mean, by class.
  std::array<Duration, kCallClassCount> service_deviation{};
  Duration mean_service{0};
  uint64_t next_claim = 0;
  bool draining = false;
  bool grace_period_ended = false;
  SteadyTime drain_started;
  SteadyTime drain_until;
  std::optional<SteadyTime> slots_released_at;
  /// Callbacks hold a weak pointer to it, so that they do nothing after the agent is destroyed.
  std::shared_ptr<State*> self;
};

}  // namespace shallot

#endif  // SERVERS_AGENT_STATE_H_
