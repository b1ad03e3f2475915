#ifndef TESTS_CONTROL_PLANE_FIXTURE_H_
#define TESTS_CONTROL_PLANE_FIXTURE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "servers/config_editor.h"
#include "servers/control_plane_core.h"
#include "servers/placement_codec.h"
#include "tests/fake_platform_store.h"

namespace shallot {

/// An instance list whose records are set by the test.
class FakeInstanceList final : public InstanceList {
 public:
  void Fetch(FetchCallback done) override {
    ++fetches;
    if (down) return done(Error{ErrorKind::kUnavailable, "list is down", "retry"});
    done(records);
  }

  std::vector<InstanceRecord> records;
  bool down = false;
  int fetches = 0;
};

/// The control plane of one router, and a record of its notifications and messages.
class FakeRouter final : public ControlListener {
 public:
  void OnConfig(const std::shared_ptr<const FleetConfig>& config) override {
    revisions.push_back(config->revision);
  }
  void OnPlacement(const ShardPlacement& placement) override {
    placements[placement.shard] = placement;
  }
  void OnInstances(const std::vector<InstanceRecord>& instances) override { list = instances; }
  void SendToRunner(const RunnerId& runner, const Message& message) override {
    to_runners.emplace_back(runner, message);
  }
  void SendToRouter(const InstanceId& router, const Message& message) override {
    to_routers.emplace_back(router, message);
  }

  /// Returns the messages of one type that were sent to a runner.
  template <class T>
  std::vector<T> SentTo(const std::string& runner) const {
    std::vector<T> found;
    for (const auto& [to, message] : to_runners) {
      const T* typed = std::get_if<T>(&message);
      if (to.value() == runner && typed != nullptr) found.push_back(*typed);
    }
    return found;
  }

  InstanceId id;
  std::unique_ptr<ControlPlaneCore> core;
  MetricsRegistry metrics;
  /// False simulates a paused router: it is not ticked and receives no messages.
  bool running = true;
  std::vector<ConfigRevision> revisions;
  std::map<ShardId, ShardPlacement> placements;
  std::vector<InstanceRecord> list;
  std::vector<std::pair<RunnerId, Message>> to_runners;
  std::deque<std::pair<InstanceId, Message>> to_routers;
};

/// Routers and runners that share a store, an instance list and a manual clock.
class ControlFleet {
 public:
  explicit ControlFleet(int routers, int runners) {
    for (int i = 0; i < runners; ++i) AddRunner("r" + std::to_string(i), i % 3);
    for (int i = 0; i < routers; ++i) AddRouter("router" + std::to_string(i), i % 3);
  }

  void AddRunner(const std::string& name, int domain) {
    InstanceRecord record;
    record.id = InstanceId("agent-" + name);
    record.role = PeerRole::kAgent;
    record.failure_domain = FailureDomain("d" + std::to_string(domain));
    record.runner = RunnerId(name);
    record.backend = BackendName("b");
    list.records.push_back(record);
  }

  void AddRouter(const std::string& name, int domain) {
    InstanceRecord record;
    record.id = InstanceId(name);
    record.role = PeerRole::kRouter;
    record.failure_domain = FailureDomain("d" + std::to_string(domain));
    list.records.push_back(record);
    auto router = std::make_unique<FakeRouter>();
    router->id = record.id;
    router->core = std::make_unique<ControlPlaneCore>(
        ControlPlaneOptions{record.id, record.failure_domain, Region("r")}, &clock, &store, &list,
        &router->metrics, &invariants);
    router->core->SetListener(router.get());
    routers.push_back(std::move(router));
  }

  void RemoveInstance(const std::string& id) {
    std::erase_if(list.records,
                  [&](const InstanceRecord& record) { return record.id.value() == id; });
  }

  /// Writes a configuration and returns its revision, or 0 on error. Requires that the store does
  /// not delay its answers.
  ConfigRevision Configure(const std::string& text) {
    const auto revision = std::make_shared<ConfigRevision>();
    editor.ApplyText(text, {OperatorName("kim"), "test", ConfigRevision(0)},
                     [revision](const Result<ConfigRevision>& result) {
                       if (IsOk(result)) *revision = ValueOf(result);
                     });
    return *revision;
  }

  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(50)) {
      clock.Advance(Millis(50));
      Step();
    }
  }

  /// Ticks all running routers once and delivers their messages, without advancing the clock.
  void Step() {
    for (const auto& router : routers) {
      if (router->running) router->core->OnTick();
    }
    store.Deliver();
    for (const auto& router : routers) DeliverFrom(router.get());
  }

  FakeRouter* Find(const InstanceId& id) {
    for (const auto& router : routers) {
      if (router->id == id) return router.get();
    }
    return nullptr;
  }

  /// Returns the router that holds the lease of a shard, or null if there is none.
  FakeRouter* Owner(uint64_t shard) {
    return Find(store.Holder("leases/placement/" + std::to_string(shard)));
  }

  /// Returns the slots of the first `shards` shards in the store.
  std::vector<Slot> StoredSlots(uint64_t shards) const {
    std::vector<Slot> all;
    for (uint64_t i = 0; i < shards; ++i) {
      const auto slots = ParseSlots(store.Value("placement/" + std::to_string(i)));
      all.insert(all.end(), ValueOf(slots).begin(), ValueOf(slots).end());
    }
    return all;
  }

  ManualClock clock;
  FakePlatformStore store{&clock};
  FakeInstanceList list;
  InvariantMonitor invariants;
  ConfigEditor editor{&store, &clock, 1};
  std::vector<std::unique_ptr<FakeRouter>> routers;
  /// If false, messages between routers are lost.
  bool routers_connected = true;

 private:
  void DeliverFrom(FakeRouter* from) {
    while (!from->to_routers.empty()) {
      const auto [to, message] = from->to_routers.front();
      from->to_routers.pop_front();
      FakeRouter* target = Find(to);
      if (target == nullptr || !target->running || !routers_connected) continue;
      target->core->OnRouterMessage(from->id, message);
    }
  }
};

}  // namespace shallot

#endif  // TESTS_CONTROL_PLANE_FIXTURE_H_
