#ifndef DRIVERS_CONNECTION_GUARD_H_
#define DRIVERS_CONNECTION_GUARD_H_

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include "core/clock.h"

namespace shallot {

class ConnectionGuard;

/// What happens to a connection whose time is over.
enum class Overdue {
  kEndReceive,  ///< Reads find the end of the stream; an answer can still be sent.
  kClose,       ///< Reads and writes fail.
};

/// The time limit of one connection. Used by the thread that serves the connection.
class ConnectionWatch {
 public:
  /// Holds a duplicate of the descriptor, so that a limit never hits a descriptor that was closed
  /// and reused.
  ConnectionWatch(ConnectionGuard* guard, int descriptor);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  /// Replaces the limit by one that ends after `time`.
  void SetLimit(Millis time, Overdue action);
  /// The connection may take any time from now on.
  void ClearLimit();
  /// Whether a limit has passed.
  bool expired() const;

 private:
  friend class ConnectionGuard;

  ConnectionGuard* guard_;
  int descriptor_;
  // Guarded by the mutex of the guard.
  bool limited_ = false;
  bool expired_ = false;
  Overdue action_ = Overdue::kClose;
  SteadyTime end_{};
};

/// Ends connections that exceed their time limit, on a thread of its own. A socket's own timeout
/// restarts with every byte, so a peer that sends one byte at a time never reaches it.
class ConnectionGuard {
 public:
  ConnectionGuard();
  /// All watches must be gone.
  ~ConnectionGuard();
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;

  /// Closes all connections and every later one at once.
  void CloseAll();

 private:
  friend class ConnectionWatch;

  void Add(ConnectionWatch* watch);
  void Remove(ConnectionWatch* watch);
  void Run();
  /// Ends overdue connections; returns the earliest end of the others.
  SteadyTime EndOverdue();
  static void End(ConnectionWatch* watch, Overdue action);

  const SystemClock clock_{};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::set<ConnectionWatch*> watches_;
  /// When the thread looks at the limits next.
  SteadyTime next_{};
  bool closing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace shallot

#endif  // DRIVERS_CONNECTION_GUARD_H_
