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

/// Receives readiness events of one socket.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() {}
};

using TimerId = StrongNumber<struct TimerIdTag>;

/// Single-threaded event loop over non-blocking sockets (POCO PollSet) and timers. All methods
/// except Stop() must be called on the thread that runs the loop, or before it runs.
class EventLoop {
 public:
  explicit EventLoop(const Clock* clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Watches a socket for reading and, if `writable` is set, for writing. The handler must outlive
  /// the matching Remove().
  void Add(const Poco::Net::Socket& socket, SocketHandler* handler, bool writable);
  /// Changes what a socket is watched for; it may be unknown. A socket that is watched for nothing
  /// is not polled at all, because the operating system reports errors in any case.
  void SetInterest(const Poco::Net::Socket& socket, SocketHandler* handler, bool readable,
                   bool writable);
  void Remove(const Poco::Net::Socket& socket);

  TimerId After(Duration delay, std::function<void()> run);
  void Cancel(TimerId timer);
  /// Runs a function at the end of the current iteration. Used to destroy objects whose methods are
  /// still on the call stack.
  void Defer(std::function<void()> run);

  void Run();
  /// Makes Run() return. May be called from any thread.
  void Stop() { stopped_ = true; }
  SteadyTime Now() const { return clock_->SteadyNow(); }
  const Clock* clock() const { return clock_; }

 private:
  /// Limit on the time that one poll may block, so that Stop() takes effect.
  static constexpr Millis kMaxPollWait{200};

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
