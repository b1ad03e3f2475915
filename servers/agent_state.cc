#include "servers/agent_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/log.h"
#include "servers/entry_traits.h"

namespace shallot {
namespace {

Hello MakeHello(const AgentOptions& options) {
  Hello hello;
  hello.sender = options.id;
  hello.incarnation = options.incarnation;
  hello.role = PeerRole::kAgent;
  hello.runner = options.runner;
  hello.failure_domain = options.failure_domain;
  return hello;
}

}  // namespace

AgentCore::State::State(AgentOptions agent_options, AgentEnvironment agent_environment)
    : options(std::move(agent_options)),
      env(agent_environment),
      config(env.invariants),
      slots(options.runner, options.incarnation),
      peers(MakeHello(options), env.clock, env.link, &config, env.metrics,
            {[this] { return Summary(); }, [this] { OnConfig(); },
             [this](ConnectionId connection) { OnConnectionLost(connection); }}),
      loads({options.runner, options.incarnation, options.fencing, options.static_share_interval},
            env.clock, env.engine, this, env.metrics, env.invariants),
      crashes(options.id, {options.runner, RunnerStartTime(options.incarnation.value())},
              options.failure_domain),
      answer_budget(std::make_shared<AnswerBudget>(options.answer_buffer_bytes)),
      self(std::make_shared<State*>(this)) {}

void AgentCore::State::OnConfig() {
  CallQueue::Bounds bounds{};
  for (size_t i = 0; i < bounds.size(); ++i) bounds[i] = config.current()->classes[i].queue_bound;
  queue.SetBounds(bounds);
  loads.OnConfig(config.current());
  LogInfo("config", "revision " + std::to_string(config.revision().value()) + " was applied");
}

void AgentCore::State::OnGrant(const SlotGrant& grant) {
  const GrantResult result = slots.Apply(grant);
  if (result != GrantResult::kAccepted) {
    Count("shallot_agent_grants_refused_total").Add();
    return;
  }
  Count("shallot_agent_grants_total").Add();
  // The owner still grants these released slots, so an earlier confirmation was lost.
  for (const SlotReleased& released : slots.ConfirmedSlots(grant.shard)) peers.Broadcast(released);
  RefuseQueued(
      [this](const QueuedCall& call) { return !call.entry.empty() && !slots.IsActive(call.entry); },
      Reason::kNotGranted, Millis(0));
  ConfirmReleases();
}

void AgentCore::State::ConfirmReleases() {
  // Before the first inventory, the engine may hold entries that the agent does not know.
  if (!loads.inventory_known()) return;
  for (const SlotReleased& slot : slots.UnconfirmedSlots()) {
    if (loads.IsHeld(slot.entry) || RunningCalls(slot.entry) > 0) continue;
    slots.MarkReleased(slot.entry, slot.generation);
    Count("shallot_agent_slots_released_total").Add();
    peers.Broadcast(slot);
  }
}

uint64_t AgentCore::State::Concurrency() const {
  if (env.engine == nullptr) return options.service_concurrency;
  return std::max<uint64_t>(1, loads.concurrency());
}

bool AgentCore::State::Ready() const {
  return config.current() != nullptr && (env.engine == nullptr || loads.inventory_known());
}

LoadSummary AgentCore::State::Summary() const {
  LoadSummary summary;
  summary.running = running_ids.size();
  summary.queued = queue.size();
  summary.concurrency = Concurrency();
  summary.mean_service = std::chrono::ceil<Millis>(mean_service);
  if (env.engine == nullptr) return summary;
  summary.memory_capacity = loads.ledger().capacity();
  summary.memory_reserved = loads.ledger().reserved();
  summary.loaded = loads.Loaded();
  summary.cached_in_memory = loads.cached_in_memory();
  summary.cached_on_disk = loads.cached_on_disk();
  summary.serving = loads.serving();
  return summary;
}

ShardId AgentCore::State::ShardOfEntry(const EntryId& entry) const {
  const CatalogEntry* known = config.current()->FindEntry(entry);
  return ShardOf(known == nullptr ? entry : known->base, config.current()->shard_count);
}

void AgentCore::State::OnConnectionLost(ConnectionId connection) {
  for (auto& [key, call] : calls) {
    if (!call->attached || call->connection != connection) continue;
    call->attached = false;
    call->detached_at = Now();
  }
}

bool AgentCore::State::MustUnload(const EntryId& entry) const {
  if (slots.IsActive(entry)) return false;
  return config.current() != nullptr && slots.HasGrant(ShardOfEntry(entry));
}

uint64_t AgentCore::State::RunningCalls(const EntryId& entry) const {
  const auto found = running_by_entry.find(entry);
  return found == running_by_entry.end() ? 0 : found->second;
}

Millis AgentCore::State::KeepAlive(const EntryId& entry) const {
  const CatalogEntry* known = config.current()->FindEntry(entry);
  if (keep_alive != nullptr) return keep_alive->KeepAlive(entry);
  return known == nullptr ? EntryPolicy().keep_alive_max : known->policy.keep_alive_max;
}

bool AgentCore::State::RequestPermit(const LoadPermitRequest& request) {
  return peers.SendToAny(request);
}

void AgentCore::State::ReturnPermit(uint64_t permit_id) {
  peers.SendToAny(LoadPermitReturn{permit_id, options.runner, Incarnation()});
}

void AgentCore::State::OnLoadRefused(const EntryId& entry, Reason reason, Millis retry_after) {
  // A refused load is not requested again until a new call arrives.
  retry_loads.erase(entry);
  const SteadyTime ready_at = Now() + retry_after + loads.ExpectedWait(entry);
  // After a failed load, calls whose latest start allows the next try stay in the queue.
  const bool temporary = reason == Reason::kLoadFailed;
  RefuseQueued(
      [&](const QueuedCall& call) {
        const CatalogEntry* known = config.current()->FindEntry(call.entry);
        const bool needs = call.entry == entry || (known != nullptr && known->base == entry);
        return needs && (!temporary || ready_at > call.latest_start);
      },
      reason, retry_after);
}

void AgentCore::State::OnLoadMeasured(const EntryId& entry, Millis load_time) {
  if (keep_alive != nullptr) keep_alive->SetColdStartTime(entry, load_time);
}

void AgentCore::State::OnLoaded(const EntryId& entry) {
  retry_loads.erase(entry);
  Dispatch();
}

void AgentCore::State::OnLoadLost(const EntryId& entry, SteadyTime started) {
  const CatalogEntry* known = config.current()->FindEntry(entry);
  if (known != nullptr) crashes.OnLost(TraitsOfEntry(*known), started, Now());
}

void AgentCore::State::OnInventory(bool crashed) {
  // An engine that is stopped as planned has not crashed.
  if (!draining) crashes.OnInventory(crashed, Now());
}

std::optional<CrashNotice> AgentCore::State::MakeCrashNotice() const {
  CrashNotice notice{options.id, false, options.incarnation, crash_notice, crashes.Findings(Now())};
  if (notice.findings.empty()) return std::nullopt;
  return notice;
}

void AgentCore::State::ReportCrashes() {
  // Repeated, because a router may have missed it.
  constexpr Millis kRepeatInterval{2'000};
  crashes.OnTick(Now());
  const bool changed = crashes.TakeChanged();
  if (!changed && Now() < next_crash_notice) return;
  next_crash_notice = Now() + kRepeatInterval;
  if (changed) ++crash_notice;
  const std::optional<CrashNotice> notice = MakeCrashNotice();
  if (!notice) return;
  if (changed) {
    Count("shallot_agent_crash_notices_total").Add();
    LogWarning("crashes", "telling routers of " + std::to_string(notice->findings.crashes.size()) +
                              " crashes of the engine");
  }
  peers.Broadcast(*notice);
}

void AgentCore::State::AdvanceLoads() {
  const SteadyTime now = Now();
  std::erase_if(retry_loads, [now](const auto& item) { return now >= item.second; });
  std::map<EntryId, SteadyTime> wanted = retry_loads;
  for (const QueuedCall& call : queue.calls()) {
    if (call.entry.empty()) continue;
    const auto [found, added] = wanted.try_emplace(call.entry, call.latest_start);
    if (!added) found->second = std::min(found->second, call.latest_start);
  }
  std::vector<LoadDemand> demands;
  demands.reserve(wanted.size());
  for (const auto& [entry, deadline] : wanted) demands.push_back({entry, deadline});
  loads.Advance(std::move(demands));
}

void AgentCore::State::Tick() {
  peers.OnTick();
  SweepCalls();
  ExpireQueued();
  CheckQueueComplete();
  AdvanceLoads();
  ReportCrashes();
  ConfirmReleases();
  Dispatch();
  SendAllPending();
  AdvanceDrain();
  env.metrics->GetGauge("shallot_agent_queued_calls").Set(static_cast<int64_t>(queue.size()));
  env.metrics->GetGauge("shallot_agent_running_calls")
      .Set(static_cast<int64_t>(running_ids.size()));
  env.metrics->GetGauge("shallot_agent_answer_bytes")
      .Set(static_cast<int64_t>(answer_budget->used()));
}

std::string AgentCore::State::StatusJson() const {
  nlohmann::json status;
  status["agent"] = options.id.value();
  status["runner"] = options.runner.value();
  status["backend"] = options.backend.value();
  status["failure_domain"] = options.failure_domain.value();
  status["incarnation"] = options.incarnation.value();
  status["config_revision"] = config.revision().value();
  status["ready"] = Ready();
  status["draining"] = draining;
  status["connections"] = peers.size();
  status["running"] = running_ids.size();
  status["queued"] = queue.size();
  status["memory_capacity"] = loads.ledger().capacity().value();
  status["memory_reserved"] = loads.ledger().reserved().value();
  status["entries"] = nlohmann::json::object();
  for (const auto& [entry, phase] : loads.Phases()) status["entries"][entry.value()] = phase;
  status["slots"] = nlohmann::json::array();
  for (const SlotReleased& slot : slots.HeldSlots()) status["slots"].push_back(slot.entry.value());
  return status.dump();
}

}  // namespace shallot
