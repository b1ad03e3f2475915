#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/result.h"
#include "drivers/gateway/event_loop.h"

namespace Poco::Net {
class ServerSocket;
}  // namespace Poco::Net

namespace shallot::soak {

/// Fault that a proxy applies to its connections.
enum class LinkFault {
  kNone,
  kDelay,        ///< Data is forwarded later, in order.
  kCutToServer,  ///< Bytes towards the server are held until the fault ends.
  kCutToClient,  ///< Bytes towards the client are held until the fault ends.
  kDark,         ///< Both directions are held; new connections are accepted and get nothing.
  kSilenceOpen,  ///< Connections open at its start forward nothing any more; new ones work.
  kResetOpen,    ///< Connections open at its start are reset; new ones work.
  kRefuse,       ///< All connections are reset, new ones too.
};

const char* LinkFaultName(LinkFault fault);

/// Sizes of the sockets that a proxy accepts; 0 leaves the operating system's. Those of loopback
/// are far larger than on a network, and hide what happens when a peer's window is full.
struct NetworkShape {
  int segment_bytes = 0;
  int receive_buffer_bytes = 0;
};

/// Loopback TCP proxy in front of one server, on the event loop of the soak.
class FaultProxy final : public gateway::SocketHandler {
 public:
  FaultProxy(gateway::EventLoop* loop, std::string server_address);
  ~FaultProxy() override;

  Status Open(const std::string& address);
  /// For the connections accepted after the next Open().
  void SetShape(const NetworkShape& shape) { shape_ = shape; }
  /// The server has crashed: resets all connections, and new ones are refused until Open().
  void Close();
  bool open() const { return socket_ != nullptr; }
  /// `delay` is used by LinkFault::kDelay only.
  void SetFault(LinkFault fault, Millis delay);
  void OnReadable() override;

 private:
  class Link;
  friend class Link;
  bool IsHeld(bool to_server) const;
  void DropLink(Link* link);

  gateway::EventLoop* loop_;
  std::string server_address_;
  std::unique_ptr<Poco::Net::ServerSocket> socket_;
  std::map<Link*, std::unique_ptr<Link>> links_;
  NetworkShape shape_;
  LinkFault fault_ = LinkFault::kNone;
  Millis delay_{0};
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
