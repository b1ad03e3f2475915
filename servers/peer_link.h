#ifndef SERVERS_PEER_LINK_H_
#define SERVERS_PEER_LINK_H_

#include <string>

#include "core/ids.h"
#include "core/result.h"
#include "servers/messages.h"

namespace shallot {

/// Identifies one connection to another process. A connection that replaces another has a new id.
using ConnectionId = StrongNumber<struct ConnectionIdTag>;

/// Sends messages on connections. Called only on the thread of the core that uses it; received
/// messages are delivered to that core as events.
class PeerLink {
 public:
  virtual ~PeerLink() = default;
  /// Opens a connection to "IP:port" in the background.
  virtual ConnectionId Connect(const std::string& address) = 0;
  /// Closes the connection; nothing more is received on it.
  virtual void Close(ConnectionId connection) = 0;
  /// Hands the message to the transport. kResourceExhausted when its queue is full; success does
  /// not mean that the peer received it.
  virtual Status Send(ConnectionId connection, const Message& message) = 0;
};

}  // namespace shallot

#endif  // SERVERS_PEER_LINK_H_
