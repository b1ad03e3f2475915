#include "drivers/connection_guard.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace shallot {
namespace {

// Longest sleep of the guard's thread. A limit that is set meanwhile wakes the thread only if it
// expires sooner.
constexpr Seconds kLongestWait{3'600};

}  // namespace

ConnectionWatch::ConnectionWatch(ConnectionGuard* guard, int descriptor)
    : guard_(guard), descriptor_(::dup(descriptor)) {
  guard_->Add(this);
}

ConnectionWatch::~ConnectionWatch() {
  guard_->Remove(this);
  if (descriptor_ >= 0) ::close(descriptor_);
}

void ConnectionWatch::SetLimit(Millis time, Overdue action) {
  const std::scoped_lock lock(guard_->mutex_);
  limited_ = true;
  action_ = action;
  end_ = guard_->clock_.SteadyNow() + time;
  if (end_ < guard_->next_) guard_->changed_.notify_all();
}

void ConnectionWatch::ClearLimit() {
  const std::scoped_lock lock(guard_->mutex_);
  limited_ = false;
}

bool ConnectionWatch::expired() const {
  const std::scoped_lock lock(guard_->mutex_);
  return expired_;
}

ConnectionGuard::ConnectionGuard() : thread_([this] { Run(); }) {}

ConnectionGuard::~ConnectionGuard() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void ConnectionGuard::CloseAll() {
  const std::scoped_lock lock(mutex_);
  closing_ = true;
  for (ConnectionWatch* watch : watches_) End(watch, Overdue::kClose);
}

void ConnectionGuard::Add(ConnectionWatch* watch) {
  const std::scoped_lock lock(mutex_);
  watches_.insert(watch);
  if (closing_) End(watch, Overdue::kClose);
}

void ConnectionGuard::Remove(ConnectionWatch* watch) {
  const std::scoped_lock lock(mutex_);
  watches_.erase(watch);
}

void ConnectionGuard::End(ConnectionWatch* watch, Overdue action) {
  watch->limited_ = false;
  watch->expired_ = true;
  if (watch->descriptor_ < 0) return;
  ::shutdown(watch->descriptor_, action == Overdue::kClose ? SHUT_RDWR : SHUT_RD);
}

SteadyTime ConnectionGuard::EndOverdue() {
  const SteadyTime now = clock_.SteadyNow();
  SteadyTime next = now + kLongestWait;
  for (ConnectionWatch* watch : watches_) {
    if (!watch->limited_) continue;
    if (watch->end_ <= now) {
      End(watch, watch->action_);
    } else {
      next = std::min(next, watch->end_);
    }
  }
  return next;
}

void ConnectionGuard::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    next_ = EndOverdue();
    changed_.wait_for(lock, std::chrono::ceil<Millis>(next_ - clock_.SteadyNow()));
  }
}

}  // namespace shallot
