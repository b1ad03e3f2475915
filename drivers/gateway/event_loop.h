#ifndef DRIVERS_GATEWAY_EVENT_LOOP_H_
#define DRIVERS_GATEWAY_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace Poco::Net {
class Socket;
}  // namespace Poco::Net

namespace shallot::gateway {

/// Receives the readiness of one socket.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() {}
};

using TimerId = StrongNumber<struct TimerIdTag>;

/// Single-threaded loop over non-blocking sockets (POCO PollSet) and timers. All methods but Stop
/// are for the thread that runs it.
class EventLoop {
 public:
  explicit EventLoop(const Clock* clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Watches a socket for reading, and for writing when `writable`. The handler must stay alive
  /// until Remove.
  void Add(const Poco::Net::Socket& socket, SocketHandler* handler, bool writable);
  void SetWritable(const Poco::Net::Socket& socket, bool writable);
  void Remove(const Poco::Net::Socket& socket);

  TimerId After(Duration delay, std::function<void()> run);
  void Cancel(TimerId timer);
  /// Runs after the present round; used to destroy objects that are still on the stack.
  void Defer(std::function<void()> run);

  void Run();
  /// Ends Run(). Any thread.
  void Stop() { stopped_ = true; }
  SteadyTime Now() const { return clock_->SteadyNow(); }
  const Clock* clock() const { return clock_; }

 private:
  /// Longest wait for sockets, so that Stop() takes effect.
  static constexpr Millis kLongestWait{200};

  void RunTimers();
  void RunDeferred();
  void PollOnce();

  struct Impl;
  const Clock* clock_;
  std::unique_ptr<Impl> impl_;
  std::multimap<SteadyTime, TimerId> due_;
  struct Timer {
    SteadyTime at;
    std::function<void()> run;
  };
  std::unordered_map<TimerId, Timer> timers_;
  std::vector<std::function<void()>> deferred_;
  TimerId last_timer_;
  std::atomic<bool> stopped_{false};
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_EVENT_LOOP_H_
