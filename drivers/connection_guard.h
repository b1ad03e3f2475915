#ifndef DRIVERS_CONNECTION_GUARD_H_
#define DRIVERS_CONNECTION_GUARD_H_

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include "core/clock.h"

namespace shallot {

class ConnectionGuard;

/// What happens to a connection when its time limit expires.
enum class TimeoutAction {
  kEndReceive,  ///< Reads return end of stream; a response can still be sent.
  kClose,       ///< Reads and writes fail.
};

/// The time limit of one connection. Used on the thread that serves the connection.
class ConnectionWatch {
 public:
  /// Duplicates the descriptor, so that an expired limit never affects a descriptor that was closed
  /// and reused.
  ConnectionWatch(ConnectionGuard* guard, int descriptor);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  /// Replaces the limit with one that expires after `time`.
  void SetLimit(Millis time, TimeoutAction action);
  /// Removes the limit.
  void ClearLimit();
  /// Whether a limit has expired, also after ClearLimit().
  bool expired() const;

 private:
  friend class ConnectionGuard;

  ConnectionGuard* guard_;
  int descriptor_;
  // Guarded by the mutex of the guard.
  bool limited_ = false;
  bool expired_ = false;
  TimeoutAction action_ = TimeoutAction::kClose;
  SteadyTime expiry_{};
};

/// Ends connections that exceed their time limit, on a dedicated thread. A socket timeout restarts
/// with every byte, so a peer that sends one byte at a time never reaches it.
class ConnectionGuard {
 public:
  ConnectionGuard();
  /// All watches must have been destroyed.
  ~ConnectionGuard();
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;

  /// Closes all connections, and every later one as soon as it is added.
  void CloseAll();

 private:
  friend class ConnectionWatch;

  void Add(ConnectionWatch* watch);
  void Remove(ConnectionWatch* watch);
  void Run();
  /// Ends the connections whose limit has expired; returns the earliest expiry of the others.
  SteadyTime EndExpired();
  static void End(ConnectionWatch* watch, TimeoutAction action);

  const SystemClock clock_{};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::set<ConnectionWatch*> watches_;
  /// When the thread checks the limits next.
  SteadyTime next_check_{};
  bool closing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace shallot

#endif  // DRIVERS_CONNECTION_GUARD_H_
