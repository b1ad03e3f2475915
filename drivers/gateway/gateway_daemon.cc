#include "drivers/gateway/gateway_daemon.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

#include "core/log.h"
#include "drivers/gateway/runner_answers.h"
#include "servers/gateway/dispatch_order.h"

namespace shallot::gateway {
namespace {

/// Interval of periodic work, such as reading messages of other gateways and dispatching waiting
/// calls.
constexpr Millis kTickInterval{20};
/// Interval of demand reports. One is also sent on the next tick after a call starts to wait.
constexpr Millis kReportInterval{250};
/// Interval of complete demand reports; the ones between contain changes only. A complete one also
/// follows after a change of the leader and after a report that could not be sent.
constexpr Millis kCompleteReportInterval{5'000};
constexpr size_t kPeerMessagesPerTick = 64;
/// Interval at which the settings file is read again, because it may change without a signal.
constexpr Millis kReloadInterval{5'000};
/// Part of the platform's grace period that is reserved for closing connections and exiting.
constexpr Millis kExitReserve{600};
/// Interval at which connections to gateways that no longer exist are closed.
constexpr Millis kPeerCheckInterval{5'000};
/// Retry-After for calls that reach a stopping gateway. It is short because other gateways are
/// ready.
constexpr Millis kStoppingRetryAfter{200};
/// Interval at which WaitUntilDrained checks whether the drain has finished.
constexpr Millis kDrainPollInterval{20};

std::atomic<bool> reload_requested{false};  // NOLINT(readability-identifier-naming)

void OnReloadSignal(int /*signal*/) { reload_requested = true; }

}  // namespace

void CatchReloadSignal() { (void)std::signal(SIGHUP, OnReloadSignal); }

class GatewayDaemon::ReadinessHandler final : public CallerHandler {
 public:
  explicit ReadinessHandler(GatewayDaemon* owner) : owner_(owner) {}
  void OnRequest(CallerConnection* connection, HttpMessage request) override {
    if (request.head.Path() != owner_->context_->protocol->ReadinessPath()) {
      connection->Answer(TextAnswer(404, "Not Found", "text/plain", ""));
      return;
    }
    const bool ready = owner_->Ready();
    connection->Answer(
        TextAnswer(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", "text/plain", ""));
  }
  void OnCallerGone(CallerConnection* /*connection*/) override {}

 private:
  GatewayDaemon* owner_;
};

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, const PlatformProtocol* protocol,
                             SettingsLoader reload)
    : context_(std::make_unique<GatewayContext>(settings, protocol, &clock_, &metrics_)),
      reload_(std::move(reload)),
      readiness_handler_(std::make_unique<ReadinessHandler>(this)),
      admin_handler_(std::make_unique<AdminHandler>(
          context_.get(),
          [this] {
            return DaemonFigures{callers_->connections(), callers_->allocated_bytes(),
                                 sessions_.size(), placement_->Leads()};
          })),
      callers_(std::make_unique<CallerListener>(&context_->loop, "callers", this)),
      readiness_(
          std::make_unique<CallerListener>(&context_->loop, "readiness", readiness_handler_.get())),
      admin_listener_(
          std::make_unique<CallerListener>(&context_->loop, "metrics", admin_handler_.get())),
      config_(std::make_unique<ConfigDriver>(context_.get(),
                                             [this] {
                                               callers_->SetLimits(context_->routes->limits);
                                               quotas_->ApplyQuotas();
                                               DispatchWaitingCalls();
                                             })),
      proof_(std::make_unique<ProofDriver>(context_.get(), config_.get())),
      follower_(std::make_unique<FleetFollower>(context_.get(), config_.get(),
                                                [this] { DispatchWaitingCalls(); })),
      placement_(std::make_unique<PlacementDriver>(
          context_.get(), [this](const RunnerNotice& notice) { OnNotice(notice); })),
      presence_(std::make_unique<PresenceDriver>(context_.get())),
      crash_monitor_(std::make_unique<CrashMonitor>(context_.get())),
      findings_(std::make_unique<FindingsDriver>(context_.get())),
      permits_(std::make_unique<PermitDriver>(context_.get(), placement_.get())),
      quotas_(std::make_unique<QuotaDriver>(context_.get())),
      memory_(std::make_unique<MemoryDriver>(context_.get(), placement_.get())) {
  context_->crash_observer = crash_monitor_.get();
  callers_->SetBudget(&context_->send_budget);
  follower_->SetProofListener(
      [this](BootTime sent_at, bool complete) { proof_->OnUpToDate(sent_at, complete); });
  follower_->SetItemListener(findings_->Prefix(), findings_.get());
  follower_->SetLeaderListener(
      [this](const std::optional<LeaderRecord>& record, StorePosition as_of) {
        placement_->OnLeaderRecord(record, as_of);
      });
  follower_->SetKeyListener(presence_->key(),
                            [this](const std::optional<StorePosition>& key, StorePosition as_of) {
                              presence_->OnKey(key, as_of);
                            });
}

GatewayDaemon::~GatewayDaemon() {
  Stop();
  sessions_.clear();
}

Status GatewayDaemon::Start() {
  const GatewaySettings& settings = context_->settings;
  if (Status opened = callers_->Open(settings.caller_address); !IsOk(opened)) return opened;
  if (Status opened = readiness_->Open(settings.readiness_address); !IsOk(opened)) {
    return opened;
  }
  // A gateway without metrics can still serve calls.
  if (Status opened = admin_listener_->Open(settings.metrics_address); !IsOk(opened)) {
    LogError("metrics", FormatError(ErrorOf(opened)));
  }
  if (Status opened = context_->peers.Open(settings.peer_address); !IsOk(opened)) {
    return opened;
  }
  LogInfo("daemon",
          fmt::format("event=start instance={} domain={} callers={} peers={} store={}",
                      settings.instance.value(), settings.domain.value(), settings.caller_address,
                      settings.peer_address, settings.store_address));
  follower_->Start();
  placement_->Start();
  presence_->Start();
  findings_->Start();
  Tick();
  thread_ = std::thread([this] { context_->loop.Run(); });
  return OkStatus();
}

void GatewayDaemon::Stop() {
  context_->loop.Stop();
  if (!thread_.joinable()) return;
  thread_.join();
  const auto unanswered = Sessions();
  for (const auto& session : unanswered) session->OnProcessExit();
  LogInfo("daemon", fmt::format("event=stop unanswered={}", unanswered.size()));
}

void GatewayDaemon::BeginDrain(const std::string& reason) {
  LogInfo("daemon", "event=drain reason=\"" + reason + "\"");
  drain_requested_ = true;
}

bool GatewayDaemon::WaitUntilDrained(Millis limit) {
  const SteadyTime end = clock_.SteadyNow() + limit;
  while (!drained_ && clock_.SteadyNow() < end) std::this_thread::sleep_for(kDrainPollInterval);
  return drained_;
}

Millis GatewayDaemon::drain_limit() const {
  return std::max(Millis(0), context_->settings.stop_grace - kExitReserve);
}

bool GatewayDaemon::Ready() const { return !draining_ && follower_->ready(); }

void GatewayDaemon::OnRequest(CallerConnection* connection, HttpMessage request) {
  if (draining_ && stop_.RefusesNewCalls(context_->loop.Now(), drain_limit())) {
    connection->Answer(RefusalWithoutSession(CallId(request.head), "the gateway is stopping",
                                             kStoppingRetryAfter));
    return;
  }
  auto session =
      std::make_shared<CallSession>(context_.get(), this, connection, std::move(request));
  sessions_[connection] = session;
  session->Start();
}

void GatewayDaemon::OnCallerGone(CallerConnection* connection) {
  const auto found = sessions_.find(connection);
  if (found == sessions_.end()) return;
  const std::shared_ptr<CallSession> session = found->second;
  sessions_.erase(found);
  context_->loop.Defer([session] {});
  session->OnCallerGone();
}

void GatewayDaemon::OnCallerRead(CallerConnection* connection) {
  const auto found = sessions_.find(connection);
  if (found != sessions_.end()) found->second->OnCallerRead();
}

RequestId GatewayDaemon::CallId(const HttpHead& request) const {
  const auto call = context_->protocol->DecodeCall(request);
  return IsOk(call) ? ValueOf(call).id : RequestId();
}

HttpMessage GatewayDaemon::NoMemoryAnswer(const HttpHead& request) {
  const RequestId id = CallId(request);
  const SendBudget& budget = context_->send_budget;
  LogInfo(
      "call",
      fmt::format("event=no-memory-for-body body_bytes={} held_bodies={} held_answers={} limit={}",
                  request.content_length.value_or(0), budget.held(BufferKind::kBody),
                  budget.held(BufferKind::kAnswer), budget.limits().total),
      id.value());
  context_->metrics->GetCounter("bodies_refused_total").Add();
  return RefusalWithoutSession(id, "the gateway has no memory for the call's body",
                               Millis(SendBudget::kRetryAfterMs));
}

HttpMessage GatewayDaemon::RefusalWithoutSession(const RequestId& id, const std::string& reason,
                                                 Millis retry_after) {
  // Whether the call must run once is not known before its route is. Calls that may be repeated are
  // not recorded as sent, so they are always refused.
  if (!id.empty() && !context_->sent_calls.BeforeRefusal(id, false, context_->loop.Now())) {
    LogWarning("call", "event=arrived-again first=sent", id.value());
    context_->metrics->GetCounter("calls_arrived_again_total{first=\"sent\"}").Add();
    const std::string sent = "a call with this id was sent to a runner before";
    LogInfo("call", fmt::format("event=end outcome=failed status=502 reason=\"{}\"", sent),
            id.value());
    return context_->protocol->ErrorAnswer(502, id, sent, std::nullopt);
  }
  LogInfo("call", fmt::format("event=end outcome=refused status=503 reason=\"{}\"", reason),
          id.value());
  return context_->protocol->ErrorAnswer(503, id, reason, retry_after);
}

void GatewayDaemon::OnSessionEnded(CallerConnection* connection) {
  const auto found = sessions_.find(connection);
  if (found == sessions_.end()) return;
  // The session is still on the call stack, so its destruction is deferred.
  context_->loop.Defer([session = found->second] {});
  sessions_.erase(found);
}

Millis GatewayDaemon::LongestWait(const BackendName& backend, const CallRequest& call) const {
  Millis longest{0};
  for (const auto& [connection, session] : sessions_) {
    if (!session->WaitsForRunner() || session->backend() != backend) continue;
    if (session->call().model == call.model && session->call().adapter == call.adapter) {
      longest = std::max(longest, session->WaitedFor());
    }
  }
  return longest;
}

void GatewayDaemon::DispatchWaitingCalls() {
  std::vector<std::shared_ptr<CallSession>> sessions;
  std::vector<WaitingCall> waiting;
  std::map<TeamName, double> recent;
  for (const auto& [connection, session] : sessions_) {
    if (!session->waiting()) continue;
    sessions.push_back(session);
    const TeamName team = session->team() ? session->team()->name : TeamName();
    waiting.push_back({session->Urgency(), session->deadline(), session->late(), team,
                       session->call().ServiceTokens()});
    if (!team.empty()) recent[team] = context_->team_service.Recent(team, context_->loop.Now());
  }
  for (const size_t index : DispatchOrder(waiting, recent)) sessions[index]->TryDispatch();
}

void GatewayDaemon::OnNotice(const RunnerNotice& notice) {
  NoteReport(context_.get(), notice.runner, notice.report);
  if (placement_->Leads()) {
    for (const auto& [gateway, address] : placement_->NoticeReceivers(notice)) {
      if (!context_->peers.Send(address, notice)) {
        LogInfo("peer", "event=notice-not-sent gateway=" + gateway.value());
      }
    }
  }
  DispatchWaitingCalls();
}

void GatewayDaemon::ReceivePeerMessages() {
  context_->peers.Receive(kPeerMessagesPerTick, [this](const PeerMessage& message) {
    if (const auto* demand = std::get_if<DemandReport>(&message)) {
      placement_->OnDemand(*demand);
      return;
    }
    if (const auto* findings = std::get_if<FindingsReport>(&message)) {
      findings_->OnReport(*findings);
      return;
    }
    if (const auto* request = std::get_if<MemoryRequest>(&message)) {
      memory_->OnRequest(*request);
      return;
    }
    if (const auto* response = std::get_if<MemoryResponse>(&message)) {
      memory_->OnResponse(*response);
      DispatchWaitingCalls();
      return;
    }
    if (const auto* request = std::get_if<PermitRequest>(&message)) {
      permits_->OnRequest(*request);
      return;
    }
    if (const auto* response = std::get_if<PermitResponse>(&message)) {
      permits_->OnResponse(*response);
      return;
    }
    if (const auto* ask = std::get_if<QuotaAsk>(&message)) {
      quotas_->OnAsk(*ask);
      return;
    }
    if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
      quotas_->OnGrant(*grant);
      return;
    }
    if (const auto* version = std::get_if<ConfigVersion>(&message)) {
      config_->OnVersion(*version);
      return;
    }
    if (const auto* copy = std::get_if<ConfigCopy>(&message)) {
      config_->OnCopy(*copy);
      return;
    }
    if (const auto* ask = std::get_if<ProofRequest>(&message)) {
      proof_->OnRequest(*ask);
      return;
    }
    if (const auto* proof = std::get_if<ProofResponse>(&message)) {
      proof_->OnResponse(*proof);
      return;
    }
    OnPeerNotice(std::get<RunnerNotice>(message));
  });
}

void GatewayDaemon::OnPeerNotice(const RunnerNotice& notice) {
  placement_->OnNoticeFence(notice.fence);
  // A former leader that was suspended may send a report that it read before its successor gave
  // orders.
  if (context_->leader && notice.fence < FenceOf(context_->leader->position)) {
    LogInfo("peer", "event=notice-outdated runner=" + notice.runner.value());
    return;
  }
  NoteReport(context_.get(), notice.runner, notice.report);
  DispatchWaitingCalls();
}

void GatewayDaemon::ApplyQuarantineChanges() {
  bool begun = false;
  for (const QuarantineChange& change : context_->quarantine.TakeQuarantineChanges()) {
    LogWarning("crashes", fmt::format("event={} traits={} reason={} crashes={}",
                                      change.begun ? "quarantine" : "quarantine-ended",
                                      DescribeTraits(change.traits), change.reason,
                                      context_->quarantine.crashes()));
    if (!change.begun) continue;
    metrics_.GetCounter("quarantines_total").Add();
    begun = true;
  }
  if (!begun) return;
  for (const auto& session : Sessions()) session->OnQuarantine();
}

std::map<DemandMeter::Key, GatewayDaemon::WaitingDemand> GatewayDaemon::CountWaiting() const {
  std::map<DemandMeter::Key, WaitingDemand> waiting;
  for (const auto& [connection, session] : sessions_) {
    if (!session->WaitsForRunner()) continue;
    const CallRequest& call = session->call();
    WaitingDemand& demand = waiting[{session->backend(), call.model, call.adapter}];
    demand.least_time_left = std::min(demand.least_time_left, session->TimeLeft());
    ++demand.calls;
  }
  return waiting;
}

void GatewayDaemon::ReportDemand() {
  const SteadyTime now = context_->loop.Now();
  if (!demand_due_ && now - last_report_ < Duration(kReportInterval)) return;
  demand_due_ = false;
  last_report_ = now;
  const bool own = placement_->Leads();
  const std::optional<LeaderRecord>& leader = context_->leader;
  if (!own && (!leader || leader->holder == context_->settings.instance)) return;
  const InstanceId& receiver = own ? context_->settings.instance : leader->holder;

  const std::map<DemandMeter::Key, WaitingDemand> waiting = CountWaiting();
  DemandReport report;
  report.gateway = context_->settings.instance;
  report.address = context_->settings.peer_address;
  report.changes_only =
      receiver == reported_to_ && now - last_complete_report_ < Duration(kCompleteReportInterval);
  // Entries whose calls no longer wait are reported once more.
  for (const auto& [key, demand] : waiting) reported_waiting_.insert(key);
  report.entries = report.changes_only ? context_->meter.Changes(reported_waiting_, now)
                                       : context_->meter.Snapshot(now);
  reported_waiting_.clear();
  for (EntryDemand& entry : report.entries) {
    const auto found = waiting.find({entry.backend, entry.model, entry.adapter});
    if (found == waiting.end()) continue;
    entry.waiting = found->second.calls;
    entry.least_time_left = found->second.least_time_left;
    reported_waiting_.insert(found->first);
  }
  report.unreachable = context_->picker.Unreachable(now);
  report.leaving = context_->view.Leaving();
  if (!own) report.paces = context_->picker.TakePaceChanges(now);
  if (!report.changes_only) last_complete_report_ = now;
  reported_to_ = receiver;
  if (own) {
    placement_->OnDemand(report);
    return;
  }
  if (!context_->peers.Send(leader->address, report)) {
    LogInfo("peer", "event=demand-not-sent leader=" + leader->holder.value());
    reported_to_ = InstanceId();
  }
}

void GatewayDaemon::CloseStalePeers() {
  const SteadyTime now = context_->loop.Now();
  if (now - last_peer_check_ < Duration(kPeerCheckInterval)) return;
  last_peer_check_ = now;
  std::set<std::string> known;
  for (const auto& [gateway, address] : context_->gateways) known.insert(address);
  for (const auto& [gateway, address] : placement_->Reporters()) known.insert(address);
  if (context_->leader) known.insert(context_->leader->address);
  context_->peers.CloseAllExcept(known);
}

void GatewayDaemon::ReloadSettings() {
  const SteadyTime now = context_->loop.Now();
  const bool requested = reload_requested.exchange(false);
  if (!requested && now - last_reload_ < Duration(kReloadInterval)) return;
  last_reload_ = now;
  const auto settings = reload_();
  if (!IsOk(settings)) {
    LogError("daemon", "cannot reload the settings: " + FormatError(ErrorOf(settings)));
    return;
  }
  // The addresses of a running process cannot change; only the policy and the grace period are
  // reloaded.
  context_->settings.policy = ValueOf(settings).policy;
  context_->settings.stop_grace = ValueOf(settings).stop_grace;
  if (requested) LogInfo("daemon", "event=reload reason=signal");
}

void GatewayDaemon::TickDrain() {
  if (!draining_) {
    draining_ = true;
    stop_.Begin(context_->loop.Now());
    callers_->SetClosing(true);
    placement_->Stop();
  }
  const StopActions actions = stop_.Decide(context_->loop.Now(), drain_limit(),
                                           {!sessions_.empty() || callers_->HasRequests(),
                                            callers_->accepting(), callers_->connections() > 0});
  if (actions.refuse) {
    for (const auto& session : Sessions()) session->OnStopping();
  }
  if (actions.final_answers) {
    for (const auto& session : Sessions()) session->OnProcessExit();
  }
  if (actions.stop_accepting) callers_->StopAccepting();
  if (actions.close_idle) callers_->CloseIdleConnections();
  if (!actions.exit) return;
  // The loop ends with this iteration, so nothing can arrive after the decision.
  drained_ = true;
  context_->loop.Stop();
}

std::vector<std::shared_ptr<CallSession>> GatewayDaemon::Sessions() const {
  std::vector<std::shared_ptr<CallSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [connection, session] : sessions_) sessions.push_back(session);
  return sessions;
}

void GatewayDaemon::Tick() {
  if (drain_requested_) TickDrain();
  ReloadSettings();
  CloseStalePeers();
  ReceivePeerMessages();
  config_->Tick();
  proof_->Tick();
  for (const RunnerId& runner : context_->view.DropExpired(context_->loop.Now())) {
    LogInfo("runners", "event=runner-lapsed runner=" + runner.value());
  }
  for (const RunnerId& runner : context_->view.ListReturned(context_->loop.Now())) {
    context_->picker.Forget(runner);
    LogInfo("runners", "event=runner-returned reason=entry-stays runner=" + runner.value());
  }
  for (const RunnerId& runner : context_->view.AdoptUnconfirmed(context_->loop.Now())) {
    LogInfo("runners", "event=holdings-from-heartbeat runner=" + runner.value());
  }
  crash_monitor_->Tick();
  ApplyQuarantineChanges();
  ReportDemand();
  // Calls that wait for tokens state so before the requests are sent, and a gateway that issues
  // tokens to itself has them before the next dispatch.
  DispatchWaitingCalls();
  if (quotas_->Tick()) DispatchWaitingCalls();
  if (permits_->Tick()) DispatchWaitingCalls();
  if (memory_->Tick()) DispatchWaitingCalls();
  context_->loop.After(kTickInterval, [this] { Tick(); });
}

}  // namespace shallot::gateway
