#include "drivers/gateway/call_session.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/hashing.h"
#include "core/log.h"
#include "servers/gateway/call_traits.h"

namespace shallot::gateway {
namespace {

/// Minimum time without an answer before an attempt counts as failed, so that a short pause of the
/// runner does not fail it.
constexpr Millis kMinSilence{150};

Millis ToMillis(Duration duration) { return std::chrono::duration_cast<Millis>(duration); }

}  // namespace

CallSession::CallSession(GatewayContext* context, SessionOwner* owner, CallerConnection* connection,
                         HttpMessage request)
    : context_(context),
      owner_(owner),
      connection_(connection),
      request_(std::move(request)),
      started_at_(connection->request_started_at()),
      held_answer_(&context->send_budget, BufferKind::kAnswer),
      held_body_(&context->send_budget, BufferKind::kBody) {
  held_body_.Set(request_.body.size());
}

CallSession::~CallSession() { StopTimers(); }

Millis CallSession::Elapsed() const { return ToMillis(context_->loop.Now() - started_at_); }

Millis CallSession::TimeLeft() const { return ToMillis(deadline_ - context_->loop.Now()); }

Millis CallSession::PatienceLeft() const {
  if (route_->patience == Millis(0)) return TimeLeft();
  const SteadyTime since = answer_begun_ ? last_event_at_ : started_at_;
  return std::min(TimeLeft(), ToMillis(since + route_->patience - context_->loop.Now()));
}

Millis CallSession::WaitedFor() const {
  return waiting_ ? ToMillis(context_->loop.Now() - waiting_since_) : Millis(0);
}

DemandMeter::Key CallSession::DemandKey(bool with_adapter) const {
  return {backend_, call_.model, with_adapter ? call_.adapter : AdapterName()};
}

void CallSession::Start() {
  read_at_ = context_->clock->BootNow();
  const auto decoded = context_->protocol->DecodeCall(request_.head);
  if (!IsOk(decoded)) {
    AnswerWithError(400, ErrorOf(decoded).message, std::nullopt);
    return;
  }
  call_ = ValueOf(decoded);
  routes_ = context_->routes;
  if (routes_ == nullptr || !context_->view.ready()) {
    const Millis since_start = ToMillis(context_->loop.Now() - context_->started_at);
    Refuse("the gateway has not read the configuration and the runners yet",
           RetryAfterWhileStarting(since_start, call_.id));
    return;
  }
  const AccessDecision decision = DecideAccess(
      *routes_, call_, read_at_, context_->proof.proved_at(), context_->settings.policy);
  if (const auto* denial = std::get_if<Denial>(&decision)) {
    route_ = denial->route;
    Deny(*denial);
    return;
  }
  route_ = std::get<Access>(decision).route;
  SetAccess(std::get<Access>(decision), routes_);
  attempts_.SetRoute(*route_);
  backend_ = ChooseBackend(*route_, StableHash(call_.id.value()));
  engine_ = routes_->Engine(backend_);
  traits_ = TraitsOf(backend_, call_, {request_.head.method, request_.head.target, request_.body});
  if (RefuseIfQuarantined() || RefuseIfTooLarge()) return;
  Millis budget = call_.time_budget;
  if (route_->timeout > Millis(0)) budget = std::min(budget, route_->timeout);
  deadline_ = started_at_ + budget;
  deadline_timer_ = context_->loop.After(deadline_ - context_->loop.Now(), [this] {
    deadline_timer_ = TimerId();
    OnDeadline();
  });
  const SteadyTime now = context_->loop.Now();
  context_->RetryShareOf(backend_).OnCall(now);
  Dispatch();
}

std::set<RunnerId> CallSession::RecentlyRejected() const {
  std::set<RunnerId> runners;
  const SteadyTime now = context_->loop.Now();
  for (const auto& [runner, until] : rejected_until_) {
    if (now < until) runners.insert(runner);
  }
  return runners;
}

RunnerPicker::Query CallSession::MakeQuery(const std::set<RunnerId>* excluded) const {
  RunnerPicker::Query query;
  query.backend = backend_;
  query.engine = engine_;
  query.call = &call_;
  query.tried = &tried_;
  query.excluded = excluded;
  query.target_latency = route_->target_latency;
  query.urgency = Urgency();
  return query;
}

bool CallSession::RefuseIfQuarantined() {
  if (traits_.empty() || answer_begun_) return false;
  const auto match = context_->quarantine.Match(traits_, context_->loop.Now());
  if (!match) return false;
  context_->metrics->GetCounter("calls_quarantined_total").Add();
  Refuse(fmt::format("calls with {} crash runners", DescribeTraits(match->traits)),
         std::min<Millis>(match->remaining, CrashQuarantine::kLongestRetryAfter));
  return true;
}

void CallSession::OnQuarantine() {
  if (ended_ || first_event_seen_ || !context_->quarantine.Match(traits_, context_->loop.Now())) {
    return;
  }
  if (in_flight_) {
    context_->client.Cancel(exchange_);
    EndAttempt();
    attempts_.OnGivenUp();
  }
  RefuseIfQuarantined();
}

void CallSession::CountDemand() {
  if (demand_counted_ || engine_ == nullptr) return;
  demand_counted_ = true;
  context_->metrics->GetCounter("calls_demanded_total").Add();
  const SteadyTime now = context_->loop.Now();
  // Only the last part of the prompt counts as demand: the parts before it are shared between
  // calls, and usually some runner has them in its prefix cache.
  const double demand_tokens = call_.prompt.empty()
                                   ? static_cast<double>(call_.prompt_tokens)
                                   : static_cast<double>(call_.prompt.back().tokens);
  context_->meter.OnCall(DemandKey(false), demand_tokens, now);
  if (!call_.adapter.empty()) context_->meter.OnCall(DemandKey(true), demand_tokens, now);
}

void CallSession::Dispatch() {
  if (RefuseIfQuarantined()) return;
  if (!ChargeQuota()) return;
  // Calls above a quota are no demand: placement would load models for calls that do not run.
  CountDemand();
  const std::set<RunnerId> excluded = RecentlyRejected();
  PickError problem = PickError::kNone;
  const auto picked = context_->picker.Pick(MakeQuery(&excluded), context_->loop.Now(), &problem);
  if (!picked) {
    WaitOrRefuse(problem);
    return;
  }
  if (RefuseIfTooLate(*picked)) return;
  if (UsesMemory() && WaitsForBetterRunner(*picked)) return;
  if (picked->willingness.wait > Millis(0)) {
    WaitForRunner(*picked);
    return;
  }
  if (RefuseIfAccessLost()) return;
  waiting_ = false;
  if (RefuseIfArrivedBefore()) return;
  Send(*picked);
}

bool CallSession::MustRunOnce() const {
  return !call_.id.empty() && route_ != nullptr && !route_->repeatable();
}

bool CallSession::RefuseIfArrivedBefore() {
  if (attempts_.sent() > 0 || !MustRunOnce()) return false;
  const SentCalls::Verdict verdict =
      context_->sent_calls.BeforeSend(call_.id, context_->loop.Now());
  if (verdict == SentCalls::Verdict::kSend) return false;
  const bool sent = verdict == SentCalls::Verdict::kSentBefore;
  LogWarning("call",
             fmt::format("event=arrived-again first={} caller={}", sent ? "sent" : "refused",
                         connection_->caller()),
             call_.id.value());
  context_->metrics
      ->GetCounter(
          fmt::format("calls_arrived_again_total{{first=\"{}\"}}", sent ? "sent" : "refused"))
      .Add();
  if (sent) {
    AnswerWithError(502, "a call with this id was sent to a runner before", std::nullopt);
  } else {
    Refuse("a call with this id was refused before", kShortRetryAfter);
  }
  return true;
}

void CallSession::TryDispatch() {
  if (waiting_ && !ended_) Dispatch();
}

void CallSession::Send(const PickedRunner& picked) {
  const RunnerState* runner = context_->view.Find(picked.runner);
  runner_ = picked;
  runner_born_ = runner->entry.born;
  const bool keeps_connection = attempts_.MayUseKeptConnection(runner->entry.address);
  attempts_.OnSent(runner->entry.address);
  tried_.insert(picked.runner);
  rejected_until_.erase(picked.runner);
  sent_at_ = context_->loop.Now();
  first_event_seen_ = false;
  streaming_ = false;
  retry_granted_ = false;
  answer_ = HttpMessage();
  answer_failure_.reset();
  passing_on_ = false;
  paused_before_ = false;
  events_.DropPartial();

  context_->limits.OnSent(picked.runner, sent_at_);
  if (team_) context_->team_service.OnSent(team_->name, call_.ServiceTokens(), sent_at_);
  context_->quarantine.OnSent(traits_, sent_at_);
  RunnerHealth& health = context_->picker.health(picked.runner);
  if (health.OnSent(sent_at_)) {
    LogInfo("runners", "event=runner-opened runner=" + picked.runner.value());
  }
  health.breaker.OnAttempt(sent_at_);
  ++health.in_flight;
  sent_tokens_ = std::max(
      0.0, static_cast<double>(call_.prompt_tokens) - static_cast<double>(picked.kept_tokens));
  health.AddPending(Urgency(), sent_tokens_);
  in_flight_ = true;
  if (UsesMemory()) {
    context_->runner_memory.OnSent({picked.runner, runner_born_}, call_.MemoryTokens());
  }
  if (engine_ != nullptr) {
    context_->picker.prefixes().Sent(picked.runner, call_.PrefixScope(), call_.prompt);
    context_->meter.OnSent(DemandKey(false), picked.runner);
    if (!call_.adapter.empty()) context_->meter.OnSent(DemandKey(true), picked.runner);
  }

  CallEnvelope envelope;
  envelope.runner = picked.runner;
  envelope.time_left = TimeLeft();
  envelope.urgency = Urgency();
  envelope.resume_after = events_.last_id();
  // Teams may have come with a later configuration, while the call was at its first runner.
  envelope.keys_required = keys_required_ || context_->routes->keys_required;
  if (team_) envelope.team = team_->name;
  ExchangeOptions options;
  options.connect_timeout = context_->settings.policy.connect_timeout;
  if (!keeps_connection) options.max_idle = Millis(0);
  exchange_ = context_->client.Start(
      runner->entry.address, FormatRequest(context_->protocol->EncodeCall(request_, envelope)),
      options, this);
  // The connection holds another copy of the body until the runner has read it.
  held_body_.Set(2 * request_.body.size());
  LogSend(envelope.time_left);
  ArmSilenceTimer(SilenceLimit(picked));
}

void CallSession::LogSend(Millis time_left) const {
  const ConnectionInfo connection =
      context_->client.ConnectionOf(exchange_).value_or(ConnectionInfo());
  const auto& failure = attempts_.last_failure();
  const char* after = failure ? AttemptFailureName(*failure) : "none";
  LogInfo("call",
          fmt::format("event=send route={} runner={} attempt={} after={} caller={} connection={} "
                      "kept={} port={} predicted_ms={} kept_tokens={} pace={:.2f} candidates={} "
                      "left_ms={} config={}{}",
                      route_->name.value(), runner_.runner.value(), attempts_.sent(), after,
                      connection_->caller(), connection.number, connection.kept ? "yes" : "no",
                      connection.local_port, runner_.predicted.count(), runner_.kept_tokens,
                      runner_.pace, runner_.candidates, time_left.count(), routes_->version.value(),
                      team_ ? " team=" + team_->name.value() : ""),
          call_.id.value());
  if (!failure) return;
  context_->metrics
      ->GetCounter(fmt::format("calls_sent_again_total{{after=\"{}\",repeatable=\"{}\"}}", after,
                               route_->repeatable() ? "yes" : "no"))
      .Add();
}

Duration CallSession::SilenceLimit(const PickedRunner& picked) const {
  const GatewayPolicy& policy = context_->settings.policy;
  if (route_->kind == CallKind::kStream) {
    const auto targets =
        std::chrono::duration_cast<Duration>(route_->target_latency * policy.first_event_targets);
    return std::max<Duration>(targets, picked.predicted * 3);
  }
  const auto share = std::chrono::duration_cast<Duration>(TimeLeft() * policy.silent_share);
  return std::max<Duration>(share, kMinSilence);
}

void CallSession::ArmSilenceTimer(Duration delay) {
  StopSilenceTimer();
  if (!attempts_.MayGiveUp()) return;
  silence_timer_ = context_->loop.After(delay, [this] {
    silence_timer_ = TimerId();
    OnSilence();
  });
}

void CallSession::StopSilenceTimer() {
  if (silence_timer_ != TimerId()) context_->loop.Cancel(silence_timer_);
  silence_timer_ = TimerId();
}

void CallSession::OnSilence() {
  const std::set<RunnerId> excluded = RecentlyRejected();
  PickError problem = PickError::kNone;
  const auto other = context_->picker.Pick(MakeQuery(&excluded), context_->loop.Now(), &problem);
  // Without another runner to try, or without a retry left, cancelling the attempt would only lose
  // its progress: the runner may be slow but alive.
  if (!other || other->willingness.wait > Millis(0) || tried_.contains(other->runner) ||
      !TakeRetry()) {
    ArmSilenceTimer(SilenceLimit(runner_));
    return;
  }
  RecordFirstEvent(false);
  context_->client.Cancel(exchange_);
  FailAttempt(AttemptFailure::kSilent, "no answer or next event within the silence limit");
}

void CallSession::OnDeadline() {
  if (waiting_) {
    Refuse(fmt::format("no runner of backend {} could serve the call within {} ms",
                       backend_.value(), ToMillis(deadline_ - started_at_).count()),
           kShortRetryAfter);
    return;
  }
  context_->client.Cancel(exchange_);
  EndAttempt();
  if (answer_begun_) {
    AbortAnswer(fmt::format("the time budget of {} ms is exhausted",
                            ToMillis(deadline_ - started_at_).count()));
    return;
  }
  AnswerWithError(504,
                  fmt::format("no answer within the time budget of {} ms",
                              ToMillis(deadline_ - started_at_).count()),
                  std::nullopt);
}

void CallSession::OnCallerGone() {
  connection_ = nullptr;
  if (in_flight_) {
    RecordFirstEvent(false);
    context_->client.Cancel(exchange_);
  }
  EndAttempt();
  Finish("caller-gone", 0, waiting_ ? "while waiting" : "while in flight");
}

void CallSession::OnStopping() {
  if (waiting_ && !ended_) Refuse("the gateway is stopping", kShortRetryAfter);
}

void CallSession::OnProcessExit() {
  if (ended_) return;
  if (waiting_) {
    Refuse("the gateway is stopping", kShortRetryAfter);
    return;
  }
  context_->client.Cancel(exchange_);
  EndAttempt();
  attempts_.OnGivenUp();
  Refuse("the gateway exited before the answer arrived", kShortRetryAfter);
}

void CallSession::EndAttempt() {
  StopSilenceTimer();
  if (!in_flight_) return;
  in_flight_ = false;
  paused_ = false;
  held_body_.Set(request_.body.size());
  RunnerHealth& health = context_->picker.health(runner_.runner);
  if (health.in_flight > 0) --health.in_flight;
  health.sends.OnEnded(sent_at_);
  if (!first_event_seen_) health.RemovePending(Urgency(), sent_tokens_);
  health.breaker.OnProbeEnded();
  if (UsesMemory()) {
    context_->runner_memory.OnEnded({runner_.runner, runner_born_}, call_.MemoryTokens());
  }
  if (engine_ == nullptr) return;
  context_->meter.OnEnded(DemandKey(false), runner_.runner);
  if (!call_.adapter.empty()) context_->meter.OnEnded(DemandKey(true), runner_.runner);
}

bool CallSession::FailIfRun(const std::string& reason) {
  const bool not_run =
      attempts_.NotRun() &&
      (!MustRunOnce() ||
       context_->sent_calls.BeforeRefusal(call_.id, attempts_.sent() > 0, context_->loop.Now()));
  if (not_run) return false;
  AnswerWithError(502, "the call may have run and is not sent again: " + reason, std::nullopt);
  return true;
}

void CallSession::Refuse(const std::string& reason, Millis retry_after) {
  if (FailIfRun(reason)) return;
  AnswerWithError(503, reason, std::max(kMinRetryAfter, retry_after));
}

void CallSession::RefuseForGood(int status, const std::string& reason) {
  if (FailIfRun(reason)) return;
  AnswerWithError(status, reason, std::nullopt);
}

void CallSession::AnswerWithError(int status, const std::string& reason,
                                  std::optional<Millis> retry_after) {
  if (answer_begun_) {
    AbortAnswer(reason);
    return;
  }
  connection_->Answer(context_->protocol->ErrorAnswer(status, call_.id, reason, retry_after));
  Finish(status == 503 || status == 429 ? "refused" : "failed", status,
         fmt::format("reason=\"{}\" retry_after_ms={}", reason,
                     retry_after ? retry_after->count() : 0));
}

void CallSession::ForwardAnswer(HttpMessage answer) {
  held_answer_.Set(0);
  connection_->Answer({context_->protocol->EncodeAnswer(answer.head), std::move(answer.body)});
  Finish("completed", answer.head.status, "");
}

void CallSession::AbortAnswer(const std::string& reason) {
  connection_->Abort();
  Finish("cut-off", 0, fmt::format("reason=\"{}\" events={}", reason, events_.delivered()));
}

void CallSession::StopTimers() {
  for (TimerId* timer : {&deadline_timer_, &silence_timer_}) {
    if (*timer != TimerId()) context_->loop.Cancel(*timer);
    *timer = TimerId();
  }
}

void CallSession::Finish(const std::string& outcome, int status, const std::string& detail) {
  if (ended_) return;
  ended_ = true;
  waiting_ = false;
  SettleQuota();
  StopTimers();
  const std::string route = route_ == nullptr ? "" : route_->name.value();
  LogInfo(
      "call",
      fmt::format("event=end outcome={} status={} route={} elapsed_ms={} attempts={} config={} {}",
                  outcome, status, route, Elapsed().count(), attempts_.sent(),
                  routes_ == nullptr ? 0 : routes_->version.value(),
                  pauses_ == 0 ? detail : fmt::format("pauses={} {}", pauses_, detail)),
      call_.id.value());
  context_->metrics
      ->GetCounter(fmt::format("calls_total{{outcome=\"{}\",route=\"{}\"}}", outcome, route))
      .Add();
  context_->metrics->GetHistogram("call_seconds").Record(context_->loop.Now() - started_at_);
  owner_->OnSessionEnded(connection_);
}

}  // namespace shallot::gateway
