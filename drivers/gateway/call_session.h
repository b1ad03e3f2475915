#ifndef DRIVERS_GATEWAY_CALL_SESSION_H_
#define DRIVERS_GATEWAY_CALL_SESSION_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/event_stream.h"
#include "drivers/gateway/gateway_context.h"
#include "servers/gateway/attempt_policy.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/waiting_policy.h"

namespace shallot::gateway {

/// Told when sessions end or wait.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void OnSessionEnded(CallerConnection* connection) = 0;
  /// A call began to wait for its model; the leader should hear of it at once.
  virtual void OnWaitingChanged() = 0;
  /// How long the longest waiting call for this model has waited.
  virtual Millis LongestWait(const BackendName& backend, const CallRequest& call) const = 0;
};

/// One call from its arrival to its single final answer. Carries out what the policies decide.
class CallSession final : public ExchangeHandler {
 public:
  CallSession(GatewayContext* context, SessionOwner* owner, CallerConnection* connection,
              HttpMessage request);
  ~CallSession() override;

  void Start();
  /// The caller went away.
  void OnCallerGone();
  /// The process is stopping. Calls that no runner has are refused while they can still go
  /// elsewhere.
  void OnStopping();
  /// The process ends now: the call gets the answer that is true at this moment.
  void OnProcessEnd();
  /// Tries again to place a waiting call, after news about runners.
  void TryPlace();

  bool waiting() const { return waiting_; }
  Millis WaitedFor() const;
  Millis TimeLeft() const;
  const CallRequest& call() const { return call_; }
  const BackendName& backend() const { return backend_; }

  HeadVerdict OnHead(const HttpHead& head) override;
  void OnBody(std::string data) override;
  void OnComplete() override;
  void OnFailure(ExchangeFailure failure, const std::string& detail) override;

 private:
  /// Retry-After of refusals because of passing conditions.
  static constexpr Millis kSoon{300};

  DemandMeter::Key MeterKey(bool with_adapter) const;
  Millis Elapsed() const;
  std::set<RunnerId> RecentlyRejected() const;
  void Place();
  void BeginWaiting(PickProblem problem);
  /// Predicts, at first and whenever the last prediction fails, whether the wait can succeed;
  /// refuses the call when it cannot.
  bool MayKeepWaiting(bool began, Millis waited);
  void Send(const PickedRunner& picked);
  uint64_t Urgency() const;
  void ArmSilenceTimer(Duration delay);
  Duration SilenceLimit(const PickedRunner& picked) const;
  void OnSilence();
  void OnTimeUp();
  void EndAttempt();
  void ForwardEvents();
  void FailAttempt(AttemptFailure failure, const std::string& detail);
  void NoteFailure(AttemptFailure failure, const std::string& detail);
  void FollowUp(AttemptFailure failure);
  void Refuse(const std::string& reason, Millis retry_after);
  void AnswerOwn(int status, const std::string& reason, std::optional<Millis> retry_after);
  void AnswerRunner(const HttpMessage& answer);
  void CutOff(const std::string& reason);
  void Finish(const std::string& outcome, int status, const std::string& detail);
  void StopTimers();

  GatewayContext* context_;
  SessionOwner* owner_;
  CallerConnection* connection_;
  HttpMessage request_;
  CallRequest call_;
  std::shared_ptr<const FleetRoutes> routes_;
  const Route* route_ = nullptr;
  const EngineSpec* engine_ = nullptr;
  BackendName backend_;
  SteadyTime began_{};
  SteadyTime deadline_{};
  SteadyTime waiting_since_{};
  bool waiting_ = false;
  Millis expected_wait_{0};
  Millis expected_load_{0};
  bool ended_ = false;
  TimerId time_up_timer_;
  TimerId silence_timer_;
  std::set<RunnerId> tried_;
  std::map<RunnerId, SteadyTime> rejected_until_;
  uint64_t runs_ = 0;
  uint64_t attempts_ = 0;

  // The present attempt.
  ExchangeId exchange_;
  PickedRunner runner_;
  SteadyTime sent_at_{};
  double sent_tokens_ = 0;
  bool in_flight_ = false;
  bool first_event_seen_ = false;
  bool streaming_ = false;
  HttpMessage answer_;
  std::optional<AttemptFailure> answer_failure_;

  // The answer to the caller.
  bool answer_begun_ = false;
  EventStream events_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CALL_SESSION_H_
