#ifndef DRIVERS_CORE_LOOP_H_
#define DRIVERS_CORE_LOOP_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "core/service_kernel.h"
#include "drivers/admin_http.h"
#include "drivers/zmq_hub.h"

namespace shallot {

/// The core of a daemon and its adapters. Built after the hub is bound. All methods but
/// StopAdapters() are called on the hub's thread; the constructor and the destructor run on other
/// threads.
class CoreHost : public HubListener, public AdminTarget {
 public:
  /// Called on the core's thread before any other event.
  virtual void OnStart() {}
  virtual bool Drained() const = 0;
  /// Called from another thread while the core's thread still runs the tasks of its ring.
  virtual void StopAdapters() = 0;
};

/// Runs a core and the hub's event loop on a dedicated thread. Reports when a drain is complete.
class CoreLoop final : public Service {
 public:
  using Factory = std::function<std::unique_ptr<CoreHost>(ZmqHub*)>;

  /// `make` builds the core once the port is bound, so that a second process on the same port has
  /// no effect on external systems.
  CoreLoop(HubOptions options, Factory make);
  ~CoreLoop() override;

  std::string Name() const override { return "core"; }
  Status Start(ServiceKernel& kernel) override;
  void Stop() override;

  /// Asks the core to drain; repeated calls have no effect. Thread-safe.
  void BeginDrain(const std::string& reason);
  /// Waits up to `limit` for the core to be drained. Returns whether it is.
  bool WaitUntilDrained(Millis limit);
  /// The event loop; tasks posted to its ring run on the core's thread.
  ZmqHub& hub() { return hub_; }
  /// Null before Start().
  CoreHost* host() { return host_.get(); }

 private:
  class Listener;
  void MarkDrained();

  ZmqHub hub_;
  Factory make_;
  std::unique_ptr<CoreHost> host_;
  std::unique_ptr<Listener> listener_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;
};

}  // namespace shallot

#endif  // DRIVERS_CORE_LOOP_H_
