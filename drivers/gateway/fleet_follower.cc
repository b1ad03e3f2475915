#include "drivers/gateway/fleet_follower.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {
namespace {

/// Common prefix of the leader's key and the gateways' keys.
std::string OwnPrefix(const PlatformProtocol& protocol) {
  const std::string leader = protocol.LeaderKey();
  return leader.substr(0, leader.rfind('/') + 1);
}

}  // namespace

class FleetFollower::RoutesListener final : public PrefixListener {
 public:
  explicit RoutesListener(FleetFollower* owner) : owner_(owner) {}
  void OnSnapshot(const std::vector<StoreItem>& items, StoreRevision /*revision*/) override {
    for (const StoreItem& item : items) owner_->OnRoutes(item);
  }
  void OnChange(const StoreItem& item) override { owner_->OnRoutes(item); }
  void OnTrouble() override {}
  void OnAnswered() override {}

 private:
  FleetFollower* owner_;
};

class FleetFollower::RunnersListener final : public PrefixListener {
 public:
  explicit RunnersListener(FleetFollower* owner) : owner_(owner) {}

  void OnSnapshot(const std::vector<StoreItem>& items, StoreRevision /*revision*/) override {
    GatewayContext& context = *owner_->context_;
    const size_t prefix = context.protocol->RunnersPrefix().size();
    std::set<RunnerId> present;
    for (const StoreItem& item : items) {
      present.insert(RunnerId(item.key.substr(prefix)));
      owner_->OnRunner(item);
    }
    context.view.Reconcile(present, context.loop.Now());
    owner_->changed_();
  }
  void OnChange(const StoreItem& item) override {
    owner_->OnRunner(item);
    owner_->changed_();
  }
  void OnTrouble() override { owner_->context_->view.OnStoreTrouble(owner_->context_->loop.Now()); }
  void OnAnswered() override { owner_->context_->view.OnStoreAnswer(owner_->context_->loop.Now()); }

 private:
  FleetFollower* owner_;
};

class FleetFollower::GatewaysListener final : public PrefixListener {
 public:
  explicit GatewaysListener(FleetFollower* owner) : owner_(owner) {}

  void OnSnapshot(const std::vector<StoreItem>& items, StoreRevision revision) override {
    GatewayContext& context = *owner_->context_;
    context.gateways.clear();
    context.leader.reset();
    for (const StoreItem& item : items) owner_->OnGatewayItem(item);
    if (owner_->leader_listener_) owner_->leader_listener_(context.leader, revision);
  }
  void OnChange(const StoreItem& item) override {
    owner_->OnGatewayItem(item);
    if (item.key != owner_->context_->protocol->LeaderKey()) return;
    if (owner_->leader_listener_) {
      owner_->leader_listener_(owner_->context_->leader, item.revision);
    }
  }
  void OnTrouble() override {}
  void OnAnswered() override {}

 private:
  FleetFollower* owner_;
};

FleetFollower::FleetFollower(GatewayContext* context, std::function<void()> changed)
    : context_(context),
      changed_(std::move(changed)),
      routes_listener_(std::make_unique<RoutesListener>(this)),
      runners_listener_(std::make_unique<RunnersListener>(this)),
      gateways_listener_(std::make_unique<GatewaysListener>(this)) {
  const PlatformProtocol& protocol = *context->protocol;
  const auto follow = [&](const std::string& prefix, PrefixListener* listener) {
    return std::make_unique<PrefixFollower>(&context->loop, &context->calls, &protocol,
                                            context->settings.store_address, prefix, listener);
  };
  routes_ = follow(protocol.RoutesKey(), routes_listener_.get());
  runners_ = follow(protocol.RunnersPrefix(), runners_listener_.get());
  gateways_ = follow(OwnPrefix(protocol), gateways_listener_.get());
}

FleetFollower::~FleetFollower() = default;

void FleetFollower::Start() {
  routes_->Start();
  runners_->Start();
  gateways_->Start();
}

void FleetFollower::OnRoutes(const StoreItem& item) {
  if (item.deleted || item.key != context_->protocol->RoutesKey()) return;
  const auto decoded = context_->protocol->DecodeRoutes(item.value);
  if (!IsOk(decoded)) {
    LogError("config", "keeping the present configuration: " + FormatError(ErrorOf(decoded)));
    return;
  }
  const FleetRoutes& fleet = ValueOf(decoded);
  if (context_->routes && fleet.version <= context_->routes->version) return;
  LogInfo("config", fmt::format("event=config-applied version={} revision={} routes={}",
                                fleet.version.value(), item.revision.value(), fleet.routes.size()));
  context_->routes = std::make_shared<const FleetRoutes>(fleet);
  changed_();
}

void FleetFollower::OnRunner(const StoreItem& item) {
  const RunnerId id(item.key.substr(context_->protocol->RunnersPrefix().size()));
  if (item.deleted) {
    LogInfo("runners", fmt::format("event=runner-removed runner={} revision={}", id.value(),
                                   item.revision.value()));
    context_->view.Remove(id, context_->loop.Now());
    return;
  }
  const auto entry = context_->protocol->DecodeRunner(id, item.value);
  if (!IsOk(entry)) {
    LogWarning("runners", "ignored an entry: " + FormatError(ErrorOf(entry)));
    return;
  }
  const RunnerState* before = context_->view.Find(id);
  const bool was_draining = before != nullptr && before->entry.draining;
  const bool started = context_->view.Apply(ValueOf(entry), context_->loop.Now());
  if (started) context_->picker.Forget(id);
  if (started || ValueOf(entry).draining != was_draining) {
    LogInfo("runners", fmt::format("event={} runner={} backend={} address={} domain={} born={} "
                                   "revision={}",
                                   ValueOf(entry).draining ? "runner-draining" : "runner-ready",
                                   id.value(), ValueOf(entry).backend.value(),
                                   ValueOf(entry).address, ValueOf(entry).domain.value(),
                                   ValueOf(entry).born.value(), item.revision.value()));
  }
}

void FleetFollower::OnGatewayItem(const StoreItem& item) {
  const PlatformProtocol& protocol = *context_->protocol;
  const bool leader_key = item.key == protocol.LeaderKey();
  if (item.deleted) {
    if (leader_key) context_->leader.reset();
    if (!leader_key) {
      const size_t prefix = protocol.GatewaysPrefix().size();
      if (item.key.size() > prefix) context_->gateways.erase(InstanceId(item.key.substr(prefix)));
    }
    return;
  }
  const auto record = DecodeGatewayRecord(item.value, item.revision);
  if (!IsOk(record)) {
    LogWarning("gateways", FormatError(ErrorOf(record)));
    return;
  }
  if (leader_key) {
    context_->leader = ValueOf(record);
    return;
  }
  context_->gateways[ValueOf(record).holder] = ValueOf(record).address;
}

}  // namespace shallot::gateway
