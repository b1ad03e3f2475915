#ifndef DRIVERS_GATEWAY_CALL_SESSION_H_
#define DRIVERS_GATEWAY_CALL_SESSION_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/event_stream.h"
#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/access/caller_access.h"
#include "servers/gateway/attempt_policy.h"
#include "servers/gateway/call_attempts.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/memory/send_budget.h"
#include "servers/gateway/waiting_policy.h"

namespace shallot::gateway {

/// Receives state changes of call sessions.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void OnSessionEnded(CallerConnection* connection) = 0;
  /// A call started to wait for its model. The leader should be informed without delay.
  virtual void OnWaitStarted() = 0;
  /// Longest time that a waiting call for the same model and adapter has waited so far.
  virtual Millis LongestWait(const BackendName& backend, const CallRequest& call) const = 0;
};

/// Handles one call from its arrival to its single final answer. Executes the decisions of the
/// policies (call_attempts.h, waiting_policy.h).
class CallSession final : public ExchangeHandler {
 public:
  CallSession(GatewayContext* context, SessionOwner* owner, CallerConnection* connection,
              HttpMessage request);
  ~CallSession() override;

  void Start();
  /// The caller closed its connection.
  void OnCallerGone();
  /// The caller has read some of its answer.
  void OnCallerRead();
  /// The process is stopping. Refuses a call that no runner has yet, while the caller can still
  /// send it to another gateway.
  void OnStopping();
  /// The process is about to exit. Answers the call according to its current state.
  void OnProcessExit();
  /// Refuses the call if the quarantine that has begun covers it and its answer has not begun.
  void OnQuarantine();
  /// Tries again to send a waiting call to a runner, after the state of some runner changed.
  void TryDispatch();

  bool waiting() const { return waiting_; }
  /// Whether the call waits for a runner, and not for tokens of its team's quota.
  bool WaitsForRunner() const { return waiting_ && (quota_team_ == nullptr || charged_at_); }
  Millis WaitedFor() const;
  Millis TimeLeft() const;
  SteadyTime deadline() const { return deadline_; }
  /// Whether the call's target latency has passed.
  bool late() const { return Elapsed() > route_->target_latency; }
  /// 0 is the most urgent, 9 the least.
  uint64_t Urgency() const { return urgency_; }
  /// The team that holds the call's key, as of the configuration by which the call was admitted;
  /// absent if none does.
  const std::optional<Team>& team() const { return team_; }
  const CallRequest& call() const { return call_; }
  const BackendName& backend() const { return backend_; }

  HeadVerdict OnHead(const HttpHead& head) override;
  void OnBody(std::string data) override;
  void OnComplete() override;
  void OnFailure(ExchangeFailure failure, const std::string& detail) override;

 private:
  /// Retry-After of refusals for temporary conditions.
  static constexpr Millis kShortRetryAfter{300};

  DemandMeter::Key DemandKey(bool with_adapter) const;
  Millis Elapsed() const;
  /// Time within which the next event must arrive, or the caller gives up.
  Millis PatienceLeft() const;
  std::set<RunnerId> RecentlyRejected() const;
  void Dispatch();
  /// Counts the call as demand for its model and adapter, once.
  void CountDemand();
  /// Takes over what the configuration `routes` says about the call's key.
  void SetAccess(const Access& access, std::shared_ptr<const FleetRoutes> routes);
  /// Refuses a call that has waited if the configuration now in force no longer admits its key.
  /// Returns true if it does.
  bool RefuseIfAccessLost();
  void Deny(const Denial& denial);
  /// Takes the call's cost from its team's quota. Returns false while the call waits for that, and
  /// if it was refused.
  bool ChargeQuota();
  /// Gives back what the call was charged if it has not run; it no longer waits for tokens.
  void SettleQuota();
  /// Refuses the call if calls like it crash runners. Returns true if it does.
  bool RefuseIfQuarantined();
  RunnerPicker::Query MakeQuery(const std::set<RunnerId>* excluded) const;
  /// Waits for a permit of a limited runner.
  void WaitForRunner(const PickedRunner& picked);
  /// Refuses the call if its first event would come after the caller has given up.
  bool RefuseIfTooLate(const PickedRunner& picked);
  void WaitOrRefuse(PickError problem);
  /// Whether the runners of the call's backend state how much memory they have.
  bool UsesMemory() const;
  /// Refuses the call if no runner has the memory for it. Returns true if it does.
  bool RefuseIfTooLarge();
  /// The best runner that is expected to have memory for the call, or else the one where most is
  /// expected to be free.
  std::optional<RunnerRun> BestForMemory();
  /// Asks for memory of a runner; the call waits for it.
  void WantMemory(const RunnerRun& run);
  /// Whether the call should wait a moment for memory of a better runner than `picked`, which may
  /// have its prompt in the cache. Asks for that memory if so.
  bool WaitsForBetterRunner(const PickedRunner& picked);
  /// Predicts whether the model will be available before the deadline, at first and whenever the
  /// last prediction no longer holds. Refuses the call and returns false if it will not.
  /// `longest_wait`: SessionOwner::LongestWait().
  bool MayKeepWaiting(bool newly_waiting, Millis longest_wait);
  /// Whether the call must run once for all of its arrivals at this gateway.
  bool MustRunOnce() const;
  /// Ends this arrival of a call if another one was sent or refused. Returns true if it does.
  bool RefuseIfArrivedBefore();
  void Send(const PickedRunner& picked);
  void LogSend(Millis time_left) const;
  void ArmSilenceTimer(Duration delay);
  void StopSilenceTimer();
  Duration SilenceLimit(const PickedRunner& picked) const;
  void OnSilence();
  void OnDeadline();
  void EndAttempt();
  void ForwardEvents();
  /// The first part of the answer has arrived from the runner.
  void OnAnswerBegins();
  /// Buffers a part of an answer that is not a stream, or passes it on without buffering if the
  /// gateway lacks memory.
  void BufferAnswer(const std::string& data);
  /// Counts what this call buffers, and pauses reading from its runner if the caller's unread part
  /// of the answer is too long.
  void UpdateBudget();
  void FailAttempt(AttemptFailure failure, const std::string& detail);
  void RecordFailure(AttemptFailure failure, const std::string& detail);
  void ContinueAfterFailure(AttemptFailure failure);
  /// When to come back after a refusal although runners are known: when the first of them opens.
  Millis RetryAfterRefusal();
  /// Draws on the retry limit, unless a retry has already been granted for this attempt.
  bool TakeRetry();
  /// Records the pace of the answer when an event is passed on to the caller.
  void RecordEventPace();
  /// Counts the answer as late if its first event or one of its pauses was. Returns the figures for
  /// the log.
  std::string RecordStreamPace();
  /// Records how long the runner took to the first event, or how long it took without one.
  void RecordFirstEvent(bool arrived);
  void Refuse(const std::string& reason, Millis retry_after);
  /// As Refuse(), with another status than 503 and without a time after which to try again.
  void RefuseForGood(int status, const std::string& reason);
  /// Answers with 502 if the call may have run, or its answer has begun. Returns true if it did.
  bool FailIfRun(const std::string& reason);
  void AnswerWithError(int status, const std::string& reason, std::optional<Millis> retry_after);
  void ForwardAnswer(HttpMessage answer);
  void AbortAnswer(const std::string& reason);
  void Finish(const std::string& outcome, int status, const std::string& detail);
  void StopTimers();

  GatewayContext* context_;
  SessionOwner* owner_;
  CallerConnection* connection_;
  HttpMessage request_;
  CallRequest call_;
  /// When the call was read, or later. The check of its key refers to this time, so that a freeze
  /// of the process after it does not matter.
  BootTime read_at_{};
  std::shared_ptr<const FleetRoutes> routes_;
  /// The configuration by which the call was last admitted, and what it said.
  std::shared_ptr<const FleetRoutes> admitted_by_;
  std::optional<Team> team_;
  bool keys_required_ = false;
  bool demand_counted_ = false;
  uint64_t urgency_ = 0;
  const Route* route_ = nullptr;
  const EngineSpec* engine_ = nullptr;
  BackendName backend_;
  SteadyTime started_at_{};
  SteadyTime deadline_{};
  SteadyTime waiting_since_{};
  bool waiting_ = false;
  Millis expected_wait_{0};
  Millis expected_load_{0};
  bool ended_ = false;
  /// When the call first waited for memory of a runner.
  std::optional<SteadyTime> memory_wanted_at_;
  TimerId deadline_timer_;
  TimerId silence_timer_;
  /// What the call shares with others, first the trait that only its repeats have.
  std::vector<CallTrait> traits_;
  std::set<RunnerId> tried_;
  std::map<RunnerId, SteadyTime> rejected_until_;
  CallAttempts attempts_;
  /// The team whose quota the call counts for; null if there is no limit.
  const Team* quota_team_ = nullptr;
  QuotaTicket quota_ticket_;
  double quota_cost_ = 0;
  std::optional<BootTime> charged_at_;

  // State of the current attempt.
  ExchangeId exchange_;
  PickedRunner runner_;
  RunnerStartTime runner_born_;
  SteadyTime sent_at_{};
  double sent_tokens_ = 0;
  bool in_flight_ = false;
  bool retry_granted_ = false;
  SteadyTime last_event_at_{};
  bool first_event_seen_ = false;
  bool streaming_ = false;
  HttpMessage answer_;
  std::optional<AttemptFailure> answer_failure_;
  /// The answer is not a stream, but its caller gets it in parts.
  bool passing_on_ = false;
  /// Reading from the runner is paused until the caller has read more.
  bool paused_ = false;
  /// It was paused during this attempt. If the runner then ends the connection, its caller caused
  /// that.
  bool paused_before_ = false;

  // State of the answer to the caller.
  bool answer_begun_ = false;
  EventStream events_;
  /// Time from the arrival of the call to the first event, and the longest time between two events
  /// since then, also over several runners.
  std::optional<Millis> first_event_after_;
  Millis longest_gap_{0};
  uint64_t pauses_ = 0;
  HeldBytes held_answer_;
  HeldBytes held_body_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CALL_SESSION_H_
