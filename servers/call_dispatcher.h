#ifndef SERVERS_CALL_DISPATCHER_H_
#define SERVERS_CALL_DISPATCHER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "servers/admission.h"
#include "servers/crash_quarantine.h"
#include "servers/replica_picker.h"
#include "servers/retry_budget.h"
#include "servers/router_core.h"
#include "servers/runner_directory.h"
#include "servers/stream_assembler.h"

namespace shallot {

/// A call in progress at the router.
struct ActiveCall {
  enum class Phase {
    kUnplaced,    ///< No runner is chosen; nothing of the current attempt was sent.
    kConnecting,  ///< A runner is chosen; the call is not sent to it yet.
    kSent,
  };

  static constexpr int kDefaultStatus = 200;
  static constexpr const char* kDefaultType = "text/event-stream";

  uint64_t number = 0;
  Call call;
  std::shared_ptr<CallerSink> sink;
  SteadyTime submitted;
  SteadyTime deadline;
  LoadKind kind = LoadKind::kModel;
  uint64_t prefix_key = 0;
  Phase phase = Phase::kUnplaced;
  bool ended = false;

  /// Runner of the current attempt; empty in phase kUnplaced.
  RunnerId runner;
  /// Incarnation of the agent to which the current attempt was sent.
  Incarnation runner_incarnation;
  SteadyTime phase_since;
  SteadyTime next_attempt_at;
  SteadyTime give_up_at;
  std::set<RunnerId> tried_runners;
  /// Refusals for transient reasons; the retries after them need no retry token.
  uint64_t transient_refusals = 0;
  bool needs_retry_token = false;
  /// True when an earlier attempt was sent and abandoned without proof that it did not run.
  bool maybe_ran = false;
  bool cancel_sent = false;
  /// Outcome of the last attempt that did not run; reported when no other attempt is possible.
  std::optional<Outcome> last_not_run;

  StreamAssembler assembler;
  /// HTTP status and content type from the first frame; the defaults apply when the backend server
  /// sent none.
  int answer_status = kDefaultStatus;
  std::string answer_type = kDefaultType;
  std::string buffered;
  uint64_t forwarded = 0;
  bool begin_sent = false;
  /// Outcome reported by the agent, kept while bytes of the answer are still missing.
  std::optional<Outcome> outcome;
  /// When the connection to the runner was lost after the attempt was sent.
  std::optional<SteadyTime> lost_at;
  SteadyTime next_resume;
  CacheTier tier = CacheTier::kLoaded;
  bool runner_had_capacity = false;
  /// This call started the load of its entry, as far as this router knows.
  bool measures_load = false;
  bool first_frame_seen = false;
  SteadyTime wake_at;
};

/// Handles calls from admission to their single outcome: chooses runners, sends attempts, retries,
/// resumes, assembles answers and enforces deadlines.
class CallDispatcher {
 public:
  struct Options {
    InstanceId id;
    Incarnation incarnation;
    uint64_t max_calls = 2048;
    uint64_t seed = 1;
  };

  CallDispatcher(Options options, RouterEnvironment environment, RunnerDirectory* directory,
                 CrashQuarantine* quarantine);

  CallId Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink);
  void CancelByCaller(const CallId& id);
  void OnTick();
  void OnRunnerConnected(const RunnerId& runner, Incarnation incarnation);
  void OnRunnerDisconnected(const RunnerId& runner);
  void OnRunnerRemoved(const RunnerId& runner);
  void OnFrame(const RunnerId& runner, const CallFrame& frame);
  void OnOutcome(const RunnerId& runner, const CallOutcome& message);
  void SetConfig(const std::shared_ptr<const FleetConfig>& config);
  void SetPlacement(const ShardPlacement& placement);
  void BeginDrain() { draining_ = true; }

  const std::shared_ptr<const FleetConfig>& config() const { return config_; }
  size_t in_progress() const { return by_number_.size(); }
  uint64_t waiting() const;
  const Admission& admission() const { return admission_; }
  /// Number of calls that ended as not run, by reason name.
  const std::map<std::string, uint64_t>& refusals() const { return refusals_; }
  /// Versions of the placements in use, by shard.
  std::map<ShardId, StoreVersion> PlacementVersions() const;
  /// The slot of an entry on a runner, or null.
  const Slot* FindSlot(const EntryId& entry, const RunnerId& runner) const;
  double retry_tokens() const { return budget_.tokens(); }
  const CrashQuarantine& quarantine() const { return *quarantine_; }

 private:
  using CallPtr = std::shared_ptr<ActiveCall>;
  struct PlacedShard {
    StoreVersion version;
    std::vector<EntryId> entries;
  };
  struct Candidates {
    std::vector<ReplicaCandidate> all;
    std::vector<PredictedWait> waits;
  };

  // Submission.
  Outcome Validate(const CallerRequest& request, ActiveCall* active) const;
  Outcome ValidateService(const CallerRequest& request, ActiveCall* active) const;
  bool KeyOutlivesClaim(const CallerRequest& request, const ActiveCall& active) const;
  Outcome ResolveClass(const CallerRequest& request, ActiveCall* active) const;
  Outcome Admit(const CallPtr& active);
  /// Refuses calls that have what crashes runners.
  Outcome CheckQuarantine(const ActiveCall& active) const;
  void Refuse(const CallPtr& active, const Outcome& outcome);

  // Placement.
  Candidates FindCandidates(const ActiveCall& active, bool include_tried) const;
  std::optional<ReplicaCandidate> MakeCandidate(const ActiveCall& active,
                                                const RunnerId& runner) const;
  CacheTier TierOf(const ActiveCall& active, const RunnerView& view) const;
  PredictedWait PredictOn(const ActiveCall& active, const RunnerView& view) const;
  uint64_t CallsAhead(const RunnerView& view, CallClass call_class) const;
  void RecordColdStart(ActiveCall* active);
  bool IsLoadedAnywhere(const ActiveCall& active) const;
  void Place(const CallPtr& active);
  void DeferPlacement(const CallPtr& active, Millis delay);
  void Assign(const CallPtr& active, const RunnerId& runner);
  void Start(const CallPtr& active);
  void Release(ActiveCall* active);

  // Progress.
  void Advance(const CallPtr& active);
  void AdvanceConnecting(const CallPtr& active);
  void AdvanceUnplaced(const CallPtr& active);
  void AdvanceSent(const CallPtr& active);
  void Reschedule(const CallPtr& active);
  SteadyTime NextWake(const ActiveCall& active) const;
  SteadyTime CancelTime(const ActiveCall& active) const;
  void SendCancel(ActiveCall* active);
  void SendResume(ActiveCall* active);
  void FailOversizedAnswer(const CallPtr& active);
  void Deliver(const CallPtr& active, const std::string& ready);
  void TryFinish(const CallPtr& active);
  void FinishCompleted(const CallPtr& active);
  void HandleNotRun(const CallPtr& active, const Outcome& outcome);
  void HandleFailed(const CallPtr& active, const Outcome& outcome);
  void AbandonAttempt(const CallPtr& active, const std::string& message);
  void StartNextAttempt(const CallPtr& active, bool may_have_run);
  void RecordDurations(const ActiveCall& active, bool first_frame, bool finished);
  void EndAtDeadline(const CallPtr& active);
  void End(const CallPtr& active, Outcome outcome);
  void DetectPause(SteadyTime now);
  bool EndsByDeadline(const ActiveCall& active) const;
  void Ack(const RunnerId& runner, const CallId& call, Attempt attempt);
  CallPtr FindCall(const CallId& id) const;
  std::vector<CallPtr> CallsOn(const RunnerId& runner) const;
  SteadyTime Now() const { return environment_.clock->SteadyNow(); }

  Options options_;
  RouterEnvironment environment_;
  RunnerDirectory* directory_;
  CrashQuarantine* quarantine_;
  Random random_;
  Admission admission_;
  RetryBudget budget_{0.1};
  std::shared_ptr<const FleetConfig> config_;
  bool draining_ = false;
  SteadyTime last_tick_;
  /// When this process last resumed after a pause; detected as a long gap between ticks.
  SteadyTime resumed_at_ = SteadyTime::min();
  uint64_t last_number_ = 0;
  std::unordered_map<CallId, uint64_t> numbers_;
  std::unordered_map<uint64_t, CallPtr> by_number_;
  std::set<std::pair<SteadyTime, uint64_t>> wakes_;
  std::map<RunnerId, std::set<uint64_t>> by_runner_;
  std::map<ShardId, PlacedShard> placements_;
  std::unordered_map<EntryId, std::vector<Slot>> slots_;
  std::map<std::string, uint64_t> refusals_;

  /// A model or adapter load that was started by a call of this router.
  struct ColdStart {
    SteadyTime started;
    /// Until this time a report of the runner may lack the loaded entry, because reports lag.
    SteadyTime valid_until;
  };
  std::map<std::pair<EntryId, RunnerId>, ColdStart> cold_starts_;

  struct ClassMetrics {
    std::array<Counter*, 4> outcomes{};
    LatencyHistogram* latency = nullptr;
    LatencyHistogram* first_byte = nullptr;
  };
  std::array<ClassMetrics, kCallClassCount> class_metrics_;
  Counter* retries_;
  Counter* resumes_;
  Counter* superseded_frames_;
  Counter* lost_attempts_;
  Counter* pauses_;
  Gauge* in_flight_;
};

}  // namespace shallot

#endif  // SERVERS_CALL_DISPATCHER_H_
