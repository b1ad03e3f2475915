#include "drivers/connection_guard.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace shallot {
namespace {

// Longest sleep of the guard's thread. A limit that is set meanwhile wakes the thread only if it
// expires sooner.
constexpr Seconds kMaxWait{3'600};

}  // namespace

ConnectionWatch::ConnectionWatch(ConnectionGuard* guard, int descriptor)
    : guard_(guard), descriptor_(::dup(descriptor)) {
  guard_->Add(this);
}

ConnectionWatch::~ConnectionWatch() {
  guard_->Remove(this);
  if (descriptor_ >= 0) ::close(descriptor_);
}

void ConnectionWatch::SetLimit(Millis time, TimeoutAction action) {
  const std::scoped_lock lock(guard_->mutex_);
  limited_ = true;
  action_ = action;
  expiry_ = guard_->clock_.SteadyNow() + time;
  if (expiry_ < guard_->next_check_) guard_->changed_.notify_all();
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
  for (ConnectionWatch* watch : watches_) End(watch, TimeoutAction::kClose);
}

void ConnectionGuard::Add(ConnectionWatch* watch) {
  const std::scoped_lock lock(mutex_);
  watches_.insert(watch);
  if (closing_) End(watch, TimeoutAction::kClose);
}

void ConnectionGuard::Remove(ConnectionWatch* watch) {
  const std::scoped_lock lock(mutex_);
  watches_.erase(watch);
}

void ConnectionGuard::End(ConnectionWatch* watch, TimeoutAction action) {
  watch->limited_ = false;
  watch->expired_ = true;
  if (watch->descriptor_ < 0) return;
  ::shutdown(watch->descriptor_, action == TimeoutAction::kClose ? SHUT_RDWR : SHUT_RD);
}

SteadyTime ConnectionGuard::EndExpired() {
  const SteadyTime now = clock_.SteadyNow();
  SteadyTime next = now + kMaxWait;
  for (ConnectionWatch* watch : watches_) {
    if (!watch->limited_) continue;
    if (watch->expiry_ <= now) {
      End(watch, watch->action_);
    } else {
      next = std::min(next, watch->expiry_);
    }
  }
  return next;
}

void ConnectionGuard::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    next_check_ = EndExpired();
    changed_.wait_for(lock, std::chrono::ceil<Millis>(next_check_ - clock_.SteadyNow()));
  }
}

}  // namespace shallot
