#include "drivers/gateway/event_loop.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <algorithm>
#include <vector>

namespace shallot::gateway {

struct EventLoop::Impl {
  Poco::Net::PollSet polls;
  std::unordered_map<const Poco::Net::SocketImpl*, SocketHandler*> handlers;
};

EventLoop::EventLoop(const Clock* clock) : clock_(clock), impl_(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

void EventLoop::Add(const Poco::Net::Socket& socket, SocketHandler* handler, bool writable) {
  using Poco::Net::PollSet;
  impl_->handlers[socket.impl()] = handler;
  impl_->polls.add(socket, PollSet::POLL_READ | (writable ? PollSet::POLL_WRITE : 0));
}

void EventLoop::SetInterest(const Poco::Net::Socket& socket, SocketHandler* handler, bool readable,
                            bool writable) {
  using Poco::Net::PollSet;
  if (!readable && !writable) {
    Remove(socket);
    return;
  }
  const int mode = (readable ? PollSet::POLL_READ : 0) | (writable ? PollSet::POLL_WRITE : 0);
  if (impl_->handlers.insert_or_assign(socket.impl(), handler).second) {
    impl_->polls.add(socket, mode);
  } else {
    impl_->polls.update(socket, mode);
  }
}

void EventLoop::Remove(const Poco::Net::Socket& socket) {
  if (impl_->handlers.erase(socket.impl()) > 0) impl_->polls.remove(socket);
}

TimerId EventLoop::After(Duration delay, std::function<void()> run) {
  last_timer_ = last_timer_.Next();
  const SteadyTime at = Now() + std::max(delay, Duration(0));
  due_.emplace(at, last_timer_);
  timers_[last_timer_] = Timer{at, std::move(run)};
  return last_timer_;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = timers_.find(timer);
  if (found == timers_.end()) return;
  const auto range = due_.equal_range(found->second.at);
  for (auto entry = range.first; entry != range.second; ++entry) {
    if (entry->second != timer) continue;
    due_.erase(entry);
    break;
  }
  timers_.erase(found);
}

void EventLoop::Defer(std::function<void()> run) { deferred_.push_back(std::move(run)); }

void EventLoop::RunTimers() {
  const SteadyTime now = Now();
  while (!due_.empty() && due_.begin()->first <= now) {
    const TimerId timer = due_.begin()->second;
    due_.erase(due_.begin());
    const auto found = timers_.find(timer);
    if (found == timers_.end()) continue;
    const std::function<void()> run = std::move(found->second.run);
    timers_.erase(found);
    run();
  }
}

void EventLoop::RunDeferred() {
  while (!deferred_.empty()) {
    std::vector<std::function<void()>> round;
    round.swap(deferred_);
    for (const auto& run : round) run();
  }
}

void EventLoop::PollOnce() {
  Duration wait = kMaxPollWait;
  if (!due_.empty()) wait = std::clamp(due_.begin()->first - Now(), Duration(0), wait);
  const auto micros = std::chrono::ceil<std::chrono::microseconds>(wait).count();
  // PollSet truncates its timeout to whole milliseconds. Round up, because a timeout below 1 ms
  // would become 0 and the loop would spin.
  const auto rounded = (micros + 999) / 1000 * 1000;
  const auto ready = impl_->polls.poll(Poco::Timespan(rounded));
  for (const auto& [socket, mode] : ready) {
    using Poco::Net::PollSet;
    // A handler that ran earlier in this iteration may have removed the socket.
    auto handler = impl_->handlers.find(socket.impl());
    if (handler == impl_->handlers.end()) continue;
    if ((mode & PollSet::POLL_WRITE) != 0) handler->second->OnWritable();
    if (mode == PollSet::POLL_WRITE) continue;
    handler = impl_->handlers.find(socket.impl());
    if (handler != impl_->handlers.end()) handler->second->OnReadable();
  }
}

void EventLoop::Run() {
  while (!stopped_) {
    PollOnce();
    RunTimers();
    RunDeferred();
  }
}

}  // namespace shallot::gateway
