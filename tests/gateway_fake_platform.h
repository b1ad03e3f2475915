#ifndef TESTS_GATEWAY_FAKE_PLATFORM_H_
#define TESTS_GATEWAY_FAKE_PLATFORM_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/event_loop.h"
#include "tests/standin_store.h"

namespace shallot::gateway {

/// Fake platform on the loopback interface: its store and one runner, on one thread. The runner
/// executes orders immediately, and never answers calls to paths that contain "/hang/".
class FakePlatform final : public CallerHandler {
 public:
  FakePlatform();
  ~FakePlatform() override;

  const std::string& store_address() const { return store_address_; }
  const std::string& runner_address() const { return runner_address_; }
  /// Writes a key to the store, asynchronously. May be called from any thread.
  void Put(const std::string& key, const std::string& value);
  /// Removes a key, asynchronously. May be called from any thread.
  void Remove(const std::string& key);
  /// The value of a key in the store, if it exists; waits for the loop's thread.
  std::optional<std::string> StoreValue(const std::string& key);
  /// Ends the connections of all waiting watches, once there are any, and then removes a key;
  /// asynchronously.
  void CutWatchesAndRemove(const std::string& key);
  /// Takes a copy of the store, asynchronously.
  void CopyStore();
  /// Restores the store from the copy and makes these writes before it serves a request,
  /// asynchronously.
  void RestoreStore(const std::vector<std::pair<std::string, std::string>>& writes);
  /// Sets the faults of the store, asynchronously.
  void SetStoreFaults(const StoreFaults& faults);
  /// Connections to the store that have carried a request get no further answer, asynchronously.
  void SilenceStoreConnections();
  /// Number of connections to the store that have carried a request; waits for the loop's thread.
  size_t StoreConnections();
  /// Number of watches that wait for a change; waits for the loop's thread.
  size_t WaitingWatches();
  /// A second address of the store. Calls that arrive there are turned away while
  /// SetSideEntranceFaults() says so; the others are served.
  const std::string& side_entrance() const { return side_entrance_address_; }
  /// Only `silent` and `busy` count, asynchronously.
  void SetSideEntranceFaults(const StoreFaults& faults);
  /// Writes the runner's entry with the models that it holds, asynchronously. May be called from
  /// any thread.
  void PutRunner();
  /// Makes the runner answer all further orders with 409 (busy) instead of executing them.
  void RefuseOrders() { refuse_orders_ = true; }

  uint64_t orders() const { return orders_; }
  uint64_t calls() const { return calls_; }
  uint64_t calls_abandoned() const { return calls_abandoned_; }

  void OnRequest(CallerConnection* connection, HttpMessage request) override;
  void OnCallerGone(CallerConnection* connection) override;

 private:
  /// Queues an action for the loop's thread.
  void Queue(std::function<void()> action);
  void RunQueued();
  void Answer(CallerConnection* connection, int status, const nlohmann::json& body);
  void HandleOrder(CallerConnection* connection, const std::string& body);
  void HandleCall(CallerConnection* connection, const HttpMessage& request);
  nlohmann::json Holdings() const;

  /// Passes requests on to the store, or turns them away.
  class SideEntrance final : public CallerHandler {
   public:
    explicit SideEntrance(FakePlatform* owner) : owner_(owner) {}
    void OnRequest(CallerConnection* connection, HttpMessage request) override;
    void OnCallerGone(CallerConnection* connection) override;
    StoreFaults faults_;

   private:
    FakePlatform* owner_;
  };

  SystemClock clock_;
  EventLoop loop_;
  StandinStore store_;
  StandinStore::Copy copy_;
  CallerListener runner_;
  SideEntrance side_entrance_;
  CallerListener side_listener_;
  std::string store_address_;
  std::string side_entrance_address_;
  std::string runner_address_;
  std::map<std::string, bool> models_;
  uint64_t sequence_ = 0;
  uint64_t heartbeat_ = 0;
  std::atomic<bool> refuse_orders_{false};
  std::atomic<uint64_t> orders_{0};
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> calls_abandoned_{0};
  std::mutex mutex_;
  std::vector<std::function<void()>> queued_;
  std::thread thread_;
};

/// Returns an unused "IP:port" of the loopback interface.
std::string FreeLoopbackAddress();

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_FAKE_PLATFORM_H_
