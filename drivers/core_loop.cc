#include "drivers/core_loop.h"

#include <utility>

namespace shallot {

/// Forwards the hub's events to the core and records the end of a drain.
class CoreLoop::Listener final : public HubListener {
 public:
  explicit Listener(CoreLoop* loop) : loop_(loop) {}

  void OnMessage(ConnectionId connection, const Message& message) override {
    loop_->host_->OnMessage(connection, message);
  }
  void OnDisconnect(ConnectionId connection) override { loop_->host_->OnDisconnect(connection); }
  void OnTick() override {
    loop_->host_->OnTick();
    if (loop_->host_->Drained()) loop_->MarkDrained();
  }

 private:
  CoreLoop* loop_;
};

CoreLoop::CoreLoop(HubOptions options, Factory make)
    : hub_(std::move(options)),
      make_(std::move(make)),
      listener_(std::make_unique<Listener>(this)) {}

CoreLoop::~CoreLoop() = default;

Status CoreLoop::Start(ServiceKernel& /*kernel*/) {
  Status bound = hub_.Open();
  if (!IsOk(bound)) return bound;
  host_ = make_(&hub_);
  thread_ = std::thread([this] {
    host_->OnStart();
    hub_.Run(listener_.get());
  });
  return OkStatus();
}

void CoreLoop::Stop() {
  // The adapters post their last results to the ring, so the loop must still be running.
  host_->StopAdapters();
  hub_.Stop();
  thread_.join();
}

void CoreLoop::BeginDrain(const std::string& reason) {
  hub_.ring().PostCompletion([this, reason] { host_->BeginDrain(reason); });
}

bool CoreLoop::WaitUntilDrained(Millis limit) {
  std::unique_lock lock(mutex_);
  return drained_changed_.wait_for(lock, limit, [this] { return drained_; });
}

void CoreLoop::MarkDrained() {
  const std::scoped_lock lock(mutex_);
  drained_ = true;
  drained_changed_.notify_all();
}

}  // namespace shallot
