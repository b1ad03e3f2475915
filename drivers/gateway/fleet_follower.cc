#include "drivers/gateway/fleet_follower.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {
FleetFollower::FleetFollower(GatewayContext* context, ConfigDriver* config,
                             std::function<void()> on_change)
    : context_(context),
      config_(config),
      on_change_(std::move(on_change)),
      follower_(&context->loop, &context->store, context->protocol, "", this) {}

void FleetFollower::Start() {
  context_->store.AddListener(this);
  follower_.Start();
}

void FleetFollower::OnStoreRestored() { context_->view.OnStoreRestored(context_->loop.Now()); }

void FleetFollower::OnItem(const StoreItem& item) {
  const PlatformProtocol& protocol = *context_->protocol;
  if (item.key == protocol.RoutesKey()) {
    config_->OnItem(item);
  } else if (item.key.starts_with(protocol.RunnersPrefix())) {
    OnRunner(item);
  } else if (item.key == protocol.LeaderKey() || item.key.starts_with(protocol.GatewaysPrefix())) {
    OnGatewayItem(item);
  } else if (item_listener_ != nullptr && item.key.starts_with(item_prefix_)) {
    item_listener_->OnItem(item);
  }
}

void FleetFollower::OnSnapshot(const std::vector<StoreItem>& items, StorePosition as_of) {
  context_->gateways.clear();
  context_->strong_gateways.clear();
  context_->leader.reset();
  const std::string runners = context_->protocol->RunnersPrefix();
  std::set<RunnerId> present;
  std::optional<StorePosition> key_position;
  for (const StoreItem& item : items) {
    if (item.key == listener_key_) key_position = item.position;
    if (item.key.starts_with(runners)) present.insert(RunnerId(item.key.substr(runners.size())));
    OnItem(item);
  }
  context_->view.Reconcile(present, context_->loop.Now());
  if (leader_listener_) leader_listener_(context_->leader, as_of);
  if (key_listener_) key_listener_(key_position, as_of);
  if (item_listener_ != nullptr) item_listener_->OnSnapshot(items);
  on_change_();
}

void FleetFollower::OnChanges(const std::vector<StoreItem>& items) {
  for (const StoreItem& item : items) ApplyChange(item);
  // Once for all of them: it goes over all waiting calls and their runners.
  if (!items.empty()) on_change_();
}

void FleetFollower::ApplyChange(const StoreItem& item) {
  OnItem(item);
  if (item.key == context_->protocol->LeaderKey() && leader_listener_) {
    leader_listener_(context_->leader, item.position);
  }
  if (item.key == listener_key_ && key_listener_) {
    key_listener_(item.deleted ? std::nullopt : std::optional(item.position), item.position);
  }
}

void FleetFollower::OnStoreSuccess() { follower_.SetFollowers(context_->gateways.size()); }

void FleetFollower::OnUpToDate(BootTime sent_at, bool complete) {
  if (proof_listener_) proof_listener_(sent_at, complete);
}

void FleetFollower::OnRunner(const StoreItem& item) {
  const RunnerId id(item.key.substr(context_->protocol->RunnersPrefix().size()));
  if (item.deleted) {
    context_->view.Remove(id, context_->loop.Now());
    const char* event =
        context_->view.Find(id) == nullptr ? "runner-removed" : "runner-missing-after-outage";
    LogInfo("runners", fmt::format("event={} runner={} revision={}", event, id.value(),
                                   item.position.revision.value()));
    return;
  }
  const auto decoded = context_->protocol->DecodeRunner(id, item.value);
  if (!IsOk(decoded)) {
    LogWarning("runners", "ignoring an invalid runner entry: " + FormatError(ErrorOf(decoded)));
    return;
  }
  RunnerEntry entry = ValueOf(decoded);
  entry.created = item.created;
  const RunnerState* before = context_->view.Find(id);
  const bool was_draining = before != nullptr && before->entry.draining;
  const bool new_or_restarted = context_->view.Apply(entry, context_->loop.Now());
  if (context_->view.Find(id) == nullptr) {
    const char* event = context_->view.ReturnUnconfirmed(id) ? "runner-return-unconfirmed"
                                                             : "runner-entry-outdated";
    LogInfo("runners", fmt::format("event={} runner={} born={} heartbeat={} revision={} created={}",
                                   event, id.value(), entry.born.value(), entry.heartbeat.value(),
                                   item.position.revision.value(), item.created.revision.value()));
    context_->metrics
        ->GetCounter(fmt::format("entries_of_departed_runners_total{{event=\"{}\"}}", event))
        .Add();
    return;
  }
  if (new_or_restarted) context_->picker.Forget(id);
  if (new_or_restarted || entry.draining != was_draining) {
    LogInfo("runners", fmt::format("event={} runner={} backend={} address={} domain={} born={} "
                                   "heartbeat={} revision={}",
                                   entry.draining ? "runner-draining" : "runner-ready", id.value(),
                                   entry.backend.value(), entry.address, entry.domain.value(),
                                   entry.born.value(), entry.heartbeat.value(),
                                   item.position.revision.value()));
  }
}

void FleetFollower::OnGatewayItem(const StoreItem& item) {
  const PlatformProtocol& protocol = *context_->protocol;
  const bool leader_key = item.key == protocol.LeaderKey();
  if (item.deleted) {
    if (leader_key) context_->leader.reset();
    if (!leader_key) {
      const InstanceId gone(item.key.substr(protocol.GatewaysPrefix().size()));
      context_->gateways.erase(gone);
      context_->strong_gateways.erase(gone);
      LogInfo("gateways", fmt::format("event=gateway-left gateway={} revision={}", gone.value(),
                                      item.position.revision.value()));
    }
    return;
  }
  const auto record = DecodeGatewayRecord(item.value, item.position);
  if (!IsOk(record)) {
    LogWarning("gateways",
               "ignoring the record of key " + item.key + ": " + FormatError(ErrorOf(record)));
    return;
  }
  if (leader_key) {
    context_->leader = ValueOf(record);
    return;
  }
  const InstanceId& gateway = ValueOf(record).holder;
  LogInfo("gateways",
          fmt::format("event=gateway-joined gateway={} address={} revision={}", gateway.value(),
                      ValueOf(record).address, item.position.revision.value()));
  context_->gateways[gateway] = ValueOf(record).address;
  if (LeaderElection::IsWeak(ValueOf(record).cpu_share)) {
    context_->strong_gateways.erase(gateway);
  } else {
    context_->strong_gateways.insert(gateway);
  }
}

}  // namespace shallot::gateway
