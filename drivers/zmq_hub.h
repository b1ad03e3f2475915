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

/// CURVE keys in Z85 encoding (40 characters each). All empty: connections are not encrypted.
struct CurveKeys {
  /// Secret key of this process's listening port.
  std::string server_secret;
  /// Public key of the ports that this process connects to.
  std::string server_public;
  /// Key pair for this process's outgoing connections.
  std::string client_public;
  std::string client_secret;
  /// Public keys of the clients that may connect to this process's listening port. A port with
  /// `server_secret` rejects all others, so with an empty list it rejects every client.
  std::vector<std::string> allowed_clients;

  bool enabled() const { return !server_secret.empty() || !server_public.empty(); }
};

/// Listen address, keys and queue limits of a hub.
struct HubOptions {
  /// "IP:port" to listen on; empty: outgoing connections only.
  std::string listen_address;
  CurveKeys keys;
  /// Capacity of the ring of tasks that other threads post.
  size_t ring_capacity = 4096;
  /// Most messages queued for each connection and direction.
  int high_water_mark = 2048;
  /// Longest time between two ticks.
  Millis tick{10};
};

/// Receives the events of a hub, on the thread that runs the hub.
class HubListener {
 public:
  virtual ~HubListener() = default;
  virtual void OnMessage(ConnectionId connection, const Message& message) = 0;
  virtual void OnDisconnect(ConnectionId connection) = 0;
  virtual void OnTick() = 0;
};

/// PeerLink over ZeroMQ, and the event loop of a core: polls the sockets and the task ring. A
/// broken outgoing connection is reported and never reopened automatically, because a peer that
/// restarted must get a Hello first.
class ZmqHub final : public PeerLink {
 public:
  explicit ZmqHub(HubOptions options);
  ~ZmqHub() override;
  ZmqHub(const ZmqHub&) = delete;
  ZmqHub& operator=(const ZmqHub&) = delete;

  /// Binds the listen address; with keys, starts the authentication of clients first. kConflict:
  /// another process uses the address. kInvalidArgument: invalid address or key.
  Status Open();
  /// Port that the hub listens on, also when the address has port 0; 0 when it does not listen.
  int port() const;
  /// Ring of tasks that run on the hub's thread. Lives as long as the hub.
  TaskRing& ring();
  /// Runs the event loop on this thread until Stop().
  void Run(HubListener* listener);
  /// Makes Run() return after its current iteration. Thread-safe.
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
