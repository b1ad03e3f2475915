#ifndef DRIVERS_ZMQ_HUB_H_
#define DRIVERS_ZMQ_HUB_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/result.h"
#include "servers/peer_link.h"

namespace shallot {

/// CURVE keys in Z85 text (40 characters each). All empty: connections are not encrypted.
struct CurveKeys {
  /// Secret key of this process's own port.
  std::string server_secret;
  /// Public key of the ports that this process connects to.
  std::string server_public;
  /// Key pair of this process's outgoing connections.
  std::string client_public;
  std::string client_secret;
  /// Public keys of the clients that may connect to this process's own port. A port with
  /// `server_secret` refuses all others, so an empty list refuses everyone.
  std::vector<std::string> allowed_clients;

  bool enabled() const { return !server_secret.empty() || !server_public.empty(); }
};

/// How a hub listens and how much it queues.
struct HubOptions {
  /// "IP:port" to listen on; empty: outgoing connections only.
  std::string listen_address;
  CurveKeys keys;
  /// Tasks that other threads may have posted and that have not run yet.
  size_t ring_capacity = 4096;
  /// Messages queued for each connection and direction.
  int high_water_mark = 2048;
  /// Longest time between two ticks.
  Millis tick{10};
};

/// Receives what a hub delivers, on the thread that runs the hub.
class HubListener {
 public:
  virtual ~HubListener() = default;
  virtual void OnMessage(ConnectionId connection, const Message& message) = 0;
  virtual void OnDisconnect(ConnectionId connection) = 0;
  virtual void OnTick() = 0;
};

/// PeerLink over ZeroMQ and the event loop of a core: polls the sockets and the task ring. A
/// broken outgoing connection is reported and never reopened by itself, because a peer that
/// restarted must get a Hello first.
class ZmqHub final : public PeerLink {
 public:
  explicit ZmqHub(HubOptions options);
  ~ZmqHub() override;
  ZmqHub(const ZmqHub&) = delete;
  ZmqHub& operator=(const ZmqHub&) = delete;

  /// Binds the listen address; with keys, starts the check of client keys first. kConflict: another
  /// process uses it. kInvalidArgument: bad address or key.
  Status Open();
  /// Port that the hub listens on, also when the address named port 0.
  int port() const;
  /// Posts work to the thread that runs the hub. Valid as long as the hub.
  TaskRing& ring();
  /// Runs the event loop on this thread until Stop().
  void Run(HubListener* listener);
  /// Ends Run() after the present round. Any thread.
  void Stop();

  ConnectionId Connect(const std::string& address) override;
  void Close(ConnectionId connection) override;
  Status Send(ConnectionId connection, const Message& message) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_ZMQ_HUB_H_
