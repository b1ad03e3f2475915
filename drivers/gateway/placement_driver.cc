#include "drivers/gateway/placement_driver.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/log.h"
#include "core/random.h"
#include "drivers/gateway/lease_renewal.h"
#include "drivers/gateway/prefix_follower.h"
#include "drivers/gateway/runner_answers.h"
#include "servers/gateway/call_traits.h"

namespace shallot::gateway {
namespace {

/// Interval between attempts to release the leadership at a planned stop.
constexpr Millis kReleaseInterval{500};
/// The next plan starts no sooner than this many times the duration of the last one, so that
/// planning leaves the event loop free for calls on a weak instance.
constexpr int kPlanPauseFactor = 8;
/// Up to this many gateways get all notices.
constexpr size_t kBroadcastGateways = 32;
/// A gateway that had calls for a model within this time gets notices about it.
constexpr Millis kRecentCalls{5'000};

/// Models that only one of the two holds, or with different adapters.
std::set<ModelName> ChangedModels(const Holdings& before, const Holdings& after) {
  std::set<ModelName> changed;
  for (const auto& [model, adapters] : before.models) {
    const auto found = after.models.find(model);
    if (found == after.models.end() || found->second != adapters) changed.insert(model);
  }
  for (const auto& [model, adapters] : after.models) {
    if (!before.models.contains(model)) changed.insert(model);
  }
  return changed;
}

}  // namespace

PlacementDriver::PlacementDriver(GatewayContext* context,
                                 std::function<void(const RunnerNotice&)> on_notice)
    : context_(context),
      on_notice_(std::move(on_notice)),
      election_(context->settings.instance,
                LeaderElection::Term(context->settings.orders_fenced, context->settings.order_lease,
                                     context->settings.min_lease),
                context->settings.orders_fenced, EntropySeed(),
                LeaderElection::IsWeak(context->settings.cpu_share)),
      planner_(&context->settings.policy, &context->view, &tracker_) {}

void PlacementDriver::Start() {
  context_->store.AddListener(this);
  Tick();
}

void PlacementDriver::OnStoreRestored() { election_.OnStoreRestored(context_->clock->BootNow()); }

void PlacementDriver::Stop() {
  if (stopping_) return;
  stopping_ = true;
  Release();
}

void PlacementDriver::Release() {
  if (!Leads()) {
    election_.Stop();
    return;
  }
  // The successor need not wait for the lease to expire. Where runners check fencing numbers, this
  // gateway leads until the store has ended the lease: while the store is unavailable there can be
  // no successor. Elsewhere it must give no order after the lease has ended.
  if (!context_->settings.orders_fenced) election_.Stop();
  context_->store.Start(context_->protocol->EndLeaseRequest(election_.lease()),
                        StoreCalls::kTimeout,
                        [this](const Result<HttpMessage>& answer) { OnReleased(answer); });
}

void PlacementDriver::OnReleased(const Result<HttpMessage>& answer) {
  const bool released = IsOk(answer) && IsOk(context_->protocol->DecodeRenewal(ValueOf(answer)));
  LogInfo("placement", std::string("event=leadership-released done=") + (released ? "yes" : "no"));
  if (released) {
    election_.Stop();
    return;
  }
  context_->loop.After(kReleaseInterval, [this] { Release(); });
}

void PlacementDriver::OnNoticeFence(FencingNumber fence) {
  election_.OnLeaderNotice(fence, context_->clock->BootNow());
}

bool PlacementDriver::Leads() const { return election_.Leads(context_->clock->BootNow()); }

void PlacementDriver::OnDemand(const DemandReport& report) {
  const SteadyTime now = context_->loop.Now();
  demand_aggregator_.Apply(report, now);
  for (const RunnerRun& run : report.leaving) NoteLeaving(context_, run, "peer");
  for (const auto& [runner, pace] : report.paces) {
    if (context_->view.Find(runner) == nullptr) continue;
    context_->picker.health(runner).pace.OnReport(pace, now);
  }
  if (!Leads()) return;
  AnswerWaitingCalls(report);
  // Calls that wait for a model which a runner already holds mean that a gateway missed the notice.
  // Polling the runner sends its report to all gateways again.
  for (const EntryDemand& demand : report.entries) {
    if (demand.waiting == 0) continue;
    for (const RunnerId& holder :
         context_->view.HoldersToConfirm(demand.backend, demand.model, demand.adapter, now)) {
      if (tracker_.Idle(holder)) tracker_.RequestConfirmation(holder, now);
    }
  }
}

std::map<InstanceId, std::string> PlacementDriver::KnownGateways() const {
  std::map<InstanceId, std::string> gateways = demand_aggregator_.Reporters(context_->loop.Now());
  gateways.insert(context_->gateways.begin(), context_->gateways.end());
  gateways.erase(context_->settings.instance);
  return gateways;
}

std::map<InstanceId, std::string> PlacementDriver::NoticeReceivers(const RunnerNotice& notice) {
  std::map<InstanceId, std::string> gateways = KnownGateways();
  Holdings& announced = announced_[notice.runner];
  const std::set<ModelName> changed = ChangedModels(announced, notice.report.holdings);
  announced = notice.report.holdings;
  const RunnerState* runner = context_->view.Find(notice.runner);
  if (gateways.size() <= kBroadcastGateways || runner == nullptr) return gateways;
  std::set<InstanceId> concerned;
  for (const ModelName& model : changed) {
    concerned.merge(demand_aggregator_.GatewaysUsing(runner->entry.backend, model, kRecentCalls,
                                                     context_->loop.Now()));
  }
  std::erase_if(gateways, [&](const auto& gateway) { return !concerned.contains(gateway.first); });
  return gateways;
}

void PlacementDriver::AnswerWaitingCalls(const DemandReport& report) {
  if (report.gateway == context_->settings.instance) return;
  if (KnownGateways().size() <= kBroadcastGateways) return;
  for (const EntryDemand& demand : report.entries) {
    if (demand.waiting == 0) continue;
    for (const RunnerId& id : context_->view.UsableRunners(demand.backend)) {
      const RunnerState* runner = context_->view.Find(id);
      if (!runner->entry.holdings.Holds(demand.model, demand.adapter)) continue;
      const auto known = context_->view.CurrentReport(id);
      if (!context_->peers.Send(report.address, RunnerNotice{id, *known, election_.fence()})) {
        LogInfo("peer", "event=notice-not-sent gateway=" + report.gateway.value());
      }
    }
  }
}

void PlacementDriver::OnLeaderRecord(const std::optional<LeaderRecord>& record,
                                     StorePosition as_of) {
  NoteStrongerGateways();
  election_.OnRecord(record, as_of, context_->clock->BootNow());
}

void PlacementDriver::Tick() {
  RunElection();
  if (Leads()) {
    ReportLostLoads();
    PollReports();
    RunPlanner();
  } else if (was_leader_) {
    LogWarning("placement",
               fmt::format("event=leadership-lost fence={}", election_.fence().value()));
    was_leader_ = false;
    tracker_.Clear();
    planner_.Clear();
    demand_aggregator_.Clear();
    announced_.clear();
  }
  context_->loop.After(kTickInterval, [this] { Tick(); });
}

void PlacementDriver::NoteStrongerGateways() {
  std::optional<Millis> notice_lag;
  if (!context_->strong_gateways.empty()) {
    notice_lag = PrefixFollower::WatchPause(context_->gateways.size());
  }
  election_.SetStrongerGateways(notice_lag);
}

void PlacementDriver::RunElection() {
  NoteStrongerGateways();
  switch (election_.Next(context_->clock->BootNow())) {
    case LeaderElection::Action::kNone:
      return;
    case LeaderElection::Action::kCreateLease:
      CreateLease();
      return;
    case LeaderElection::Action::kClaim:
      Claim();
      return;
    case LeaderElection::Action::kRenew:
      Renew();
      return;
  }
}

void PlacementDriver::CreateLease() {
  const BootTime sent = context_->clock->BootNow();
  const GatewaySettings& settings = context_->settings;
  const Millis term =
      LeaderElection::Term(settings.orders_fenced, settings.order_lease, settings.min_lease);
  context_->store.Start(context_->protocol->LeaseRequest(term), StoreCalls::kTimeout,
                        [this, sent](const Result<HttpMessage>& answer) {
                          const BootTime now = context_->clock->BootNow();
                          if (!IsOk(answer)) {
                            election_.OnLease(std::nullopt, Millis(0), sent, now);
                            return;
                          }
                          const auto lease = context_->protocol->DecodeLease(ValueOf(answer));
                          if (!IsOk(lease)) {
                            LogWarning("placement",
                                       "cannot get a lease: " + FormatError(ErrorOf(lease)));
                            election_.OnLease(std::nullopt, Millis(0), sent, now);
                            return;
                          }
                          election_.OnLease(ValueOf(lease).lease, ValueOf(lease).term, sent, now);
                        });
}

void PlacementDriver::Claim() {
  const GatewaySettings& settings = context_->settings;
  const bool reclaims = election_.ReclaimsOwnRecord();
  const ConditionalWrite write{context_->protocol->LeaderKey(), EncodeGatewayRecord(settings),
                               election_.ClaimCondition(), election_.lease()};
  context_->store.Start(
      context_->protocol->WriteRequest(write), StoreCalls::kTimeout,
      [this, reclaims](const Result<HttpMessage>& answer) {
        const BootTime now = context_->clock->BootNow();
        if (!IsOk(answer)) {
          LogInfo("placement", "event=claim-failed reason=\"" + ErrorOf(answer).message + "\"");
          election_.OnClaim(std::nullopt, false, now);
          return;
        }
        const auto position = context_->protocol->DecodeWrite(ValueOf(answer));
        if (!IsOk(position)) {
          LogInfo("placement", "event=claim-failed reason=\"" + ErrorOf(position).message + "\"");
          election_.OnClaim(std::nullopt, ErrorOf(position).kind == ErrorKind::kConflict, now);
          return;
        }
        election_.OnClaim(ValueOf(position), false, now);
        LogInfo("placement",
                fmt::format("event=leadership-gained fence={}", election_.fence().value()));
        // The orders of two holders must be this far apart where runners do not tell them apart. A
        // leader that returns to its own record keeps the time that it had.
        if (context_->settings.orders_fenced) {
          orders_allowed_from_ = now;
        } else if (!reclaims) {
          orders_allowed_from_ = now + context_->settings.order_lease;
        }
        for (const auto& [id, runner] : context_->view.runners()) {
          tracker_.RequestPoll(id, context_->loop.Now());
        }
      });
}

void PlacementDriver::Renew() {
  const BootTime sent = context_->clock->BootNow();
  context_->store.Start(context_->protocol->RenewRequest(election_.lease()), StoreCalls::kTimeout,
                        [this, sent](const Result<HttpMessage>& answer) {
                          election_.OnRenewed(RenewalOutcome(*context_->protocol, answer), sent,
                                              context_->clock->BootNow());
                        });
}

void PlacementDriver::PollReports() {
  const SteadyTime now = context_->loop.Now();
  was_leader_ = true;
  for (const auto& [id, runner] : context_->view.runners()) {
    const bool complete =
        runner.holdings_confirmed && runner.entry.holdings.loading_adapters.empty();
    if (context_->routes == nullptr || !runner.Usable() || complete) continue;
    if (context_->routes->Engine(runner.entry.backend) != nullptr) tracker_.RequestPoll(id, now);
  }
  for (const Order& order : tracker_.TakeAssumedComplete(now)) AssumeComplete(order);
  for (const RunnerId& runner : tracker_.TakeDuePolls(now)) PollReport(runner);
}

void PlacementDriver::ReportLostLoads() {
  const auto lost = [this](const Order& order) {
    const RunnerState* runner = context_->view.Find(order.runner);
    return runner != nullptr && (!runner->Usable() || runner->entry.born > order.born ||
                                 context_->quarantine.Knows({order.runner, order.born}));
  };
  for (const Order& order : tracker_.TakeLostLoads(lost)) {
    const RunnerState* runner = context_->view.Find(order.runner);
    // A runner that drains ends as planned.
    if (!runner->Usable()) continue;
    LogInfo("placement",
            fmt::format("event=load-lost runner={} model={} adapter={}", order.runner.value(),
                        order.model.value(), order.adapter.value()));
    context_->crash_observer->OnCallLost(
        {{order.runner, order.born},
         order.sent_at,
         TraitsOfEntry(runner->entry.backend, order.model, order.adapter)});
    if (runner->entry.born > order.born) tracker_.OnRunnerGone(order.runner);
  }
}

void PlacementDriver::AssumeComplete(const Order& order) {
  auto report = context_->view.ReportAfterOrder(order.runner, order.kind == OrderKind::kLoad,
                                                order.model, order.adapter, false);
  if (!report) return;
  // The acceptance of an unload has already raised the sequence in the view, so the new one is
  // computed from the order.
  report->sequence = order.expected.Next();
  LogInfo("placement",
          fmt::format("event=order-assumed-complete runner={} op={} model={} adapter={} "
                      "sequence={}",
                      order.runner.value(), order.kind == OrderKind::kLoad ? "load" : "unload",
                      order.model.value(), order.adapter.value(), report->sequence.value()));
  on_notice_(RunnerNotice{order.runner, *report, election_.fence()});
}

void PlacementDriver::PollReport(const RunnerId& runner) {
  const RunnerState* state = context_->view.Find(runner);
  if (state == nullptr) {
    tracker_.OnRunnerGone(runner);
    return;
  }
  if (context_->routes == nullptr || context_->routes->Engine(state->entry.backend) == nullptr) {
    return;
  }
  if (!polled_runners_.insert(runner).second) return;
  context_->calls.Start(
      state->entry.address, context_->protocol->ReportRequest(runner), kReportTimeout,
      [this, runner](const Result<HttpMessage>& answer) { OnReport(runner, answer); });
}

void PlacementDriver::OnReport(const RunnerId& runner, const Result<HttpMessage>& answer) {
  polled_runners_.erase(runner);
  if (!IsOk(answer)) {
    LogInfo("placement", fmt::format("event=report-failed runner={} reason=\"{}\"", runner.value(),
                                     ErrorOf(answer).message));
    const SteadyTime failed_at = context_->loop.Now();
    tracker_.OnReportFailed(runner, failed_at);
    planner_.OnOrderFailed(runner, failed_at);
    // Only a failed connection means that the runner is unreachable; when an answer is missing, the
    // runner may just be busy.
    if (ErrorOf(answer).kind == ErrorKind::kUnavailable) {
      context_->picker.health(runner).OnUnreachable(failed_at);
    }
    return;
  }
  context_->picker.health(runner).OnReachable();
  NoteOwnAnswer(runner, ValueOf(answer).head);
  const auto decoded = context_->protocol->DecodeReport(ValueOf(answer));
  if (!IsOk(decoded)) {
    LogWarning("placement",
               "invalid report of runner " + runner.value() + ": " + FormatError(ErrorOf(decoded)));
    return;
  }
  const SteadyTime now = context_->loop.Now();
  RunnerReport report = ValueOf(decoded);
  const std::optional<Order> settled = tracker_.OnReport(runner, report);
  if (const auto unload = tracker_.UnloadUnderWay(runner)) {
    report.holdings.models.erase(unload->model);
  }
  NoteReport(context_, runner, report);
  if (settled) {
    planner_.OnLoaded(*settled, now);
    LogInfo("placement",
            fmt::format("event=order-settled runner={} op={} model={} adapter={} sequence={}",
                        runner.value(), settled->kind == OrderKind::kLoad ? "load" : "unload",
                        settled->model.value(), settled->adapter.value(), report.sequence.value()));
  }
  if (Leads()) on_notice_(RunnerNotice{runner, report, election_.fence()});
}

void PlacementDriver::NoteOwnAnswer(const RunnerId& runner, const HttpHead& head) {
  const RunnerState* state = context_->view.Find(runner);
  if (state == nullptr) return;
  const AnswerMetadata metadata = context_->protocol->DecodeAnswer(head);
  NoteLoad(context_, runner, metadata);
  if (!metadata.leaving) return;
  NoteLeaving(context_, {runner, state->entry.born}, "answer");
}

void PlacementDriver::RunPlanner() {
  if (context_->routes == nullptr || context_->clock->BootNow() < orders_allowed_from_) return;
  const SteadyTime now = context_->loop.Now();
  if (now < next_plan_) return;
  const auto& demand = demand_aggregator_.Totals(now);
  const std::set<RunnerId> unreachable = demand_aggregator_.Unreachable(now);
  std::map<RunnerId, double> limits;
  for (const LimitFinding& limit : context_->limits.Limited()) {
    limits[limit.run.runner] = limit.calls_per_s;
  }
  const std::map<RunnerId, double> paces = context_->picker.LastingPaces(now);
  for (const auto& [name, backend] : context_->routes->backends) {
    if (!backend.engine) continue;
    const LoadPlanner::Input input{name,   &*backend.engine,      &demand, &unreachable,
                                   limits, &context_->quarantine, paces};
    for (const PlannedOrder& planned : planner_.Plan(input, now)) SendOrder(planned);
  }
  next_plan_ = now + (context_->loop.Now() - now) * kPlanPauseFactor;
}

void PlacementDriver::SendOrder(const PlannedOrder& planned) {
  const Order& order = planned.order;
  const RunnerState* runner = context_->view.Find(order.runner);
  // Leadership is checked again right before each order, because the process may have been
  // suspended since the plan was made.
  if (runner == nullptr || !Leads()) return;
  tracker_.OnSent(order, context_->loop.Now());
  context_->metrics
      ->GetCounter(fmt::format("orders_total{{op=\"{}\",tier=\"{}\"}}",
                               order.kind == OrderKind::kLoad ? "load" : "unload",
                               LoadTierName(order.tier)))
      .Add();
  LogInfo("placement",
          fmt::format("event=order-sent runner={} op={} model={} adapter={} tier={} expected={} "
                      "fence={} reason={}",
                      order.runner.value(), order.kind == OrderKind::kLoad ? "load" : "unload",
                      order.model.value(), order.adapter.value(), LoadTierName(order.tier),
                      order.expected.value(), election_.fence().value(), planned.reason));
  Transmit(order);
}

void PlacementDriver::Transmit(const Order& order) {
  const RunnerState* runner = context_->view.Find(order.runner);
  if (runner == nullptr) return;
  context_->calls.Start(
      runner->entry.address,
      context_->protocol->EncodeOrder(order, context_->settings.instance, election_.fence()),
      kOrderTimeout,
      [this, order](const Result<HttpMessage>& answer) { OnOrderAnswer(order, answer); },
      [this] { return Leads(); });
}

void PlacementDriver::OnOrderAnswer(const Order& order, const Result<HttpMessage>& answer) {
  OrderAnswer verdict = OrderAnswer::kNone;
  if (IsOk(answer)) {
    NoteOwnAnswer(order.runner, ValueOf(answer).head);
    verdict = context_->protocol->DecodeOrderAnswer(ValueOf(answer).head.status);
  } else if (ErrorOf(answer).kind == ErrorKind::kUnavailable) {
    verdict = OrderAnswer::kRejected;
  }
  if (verdict != OrderAnswer::kAccepted) {
    LogInfo("placement",
            fmt::format("event=order-answer runner={} model={} answer={}", order.runner.value(),
                        order.model.value(), OrderAnswerName(verdict)));
  }
  const SteadyTime now = context_->loop.Now();
  if (verdict == OrderAnswer::kNone && Leads() && tracker_.TakeResend(order.runner)) {
    Transmit(order);
    return;
  }
  tracker_.OnAnswer(order.runner, verdict, now);
  if (verdict == OrderAnswer::kRejected || verdict == OrderAnswer::kNone) {
    planner_.OnOrderFailed(order.runner, now);
  }
  if (verdict == OrderAnswer::kAccepted && order.kind == OrderKind::kUnload &&
      order.adapter.empty()) {
    // The runner rejects calls for the model from now on, so all gateways must stop sending them.
    const auto report =
        context_->view.ReportAfterOrder(order.runner, false, order.model, order.adapter, true);
    if (report) on_notice_(RunnerNotice{order.runner, *report, election_.fence()});
  }
  if (verdict == OrderAnswer::kAlreadyHolds && !OrderTracker::CountsAsDone(order)) {
    auto report = context_->view.ReportAfterOrder(order.runner, order.kind == OrderKind::kLoad,
                                                  order.model, order.adapter, false);
    if (report) {
      // The runner did not count this order, so its sequence is unchanged.
      report->sequence = order.expected;
      on_notice_(RunnerNotice{order.runner, *report, election_.fence()});
    }
  }
  if (verdict == OrderAnswer::kFenced) election_.OnFenced(context_->clock->BootNow());
}

}  // namespace shallot::gateway
