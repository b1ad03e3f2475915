#include "drivers/gateway/peer_channel.h"

#include <optional>
#include <set>
#include <zmq.hpp>

#include "core/log.h"
#include "drivers/gateway/peer_codec.h"

namespace shallot::gateway {
namespace {

/// Maximum number of messages queued for a peer. A newer report replaces older ones, so a few are
/// enough.
constexpr int kQueueLength = 64;
/// A connection is replaced when a heartbeat gets no answer within the timeout.
constexpr int kHeartbeatIntervalMs = 500;
constexpr int kHeartbeatTimeoutMs = 1500;
/// A connection attempt to a powered-off instance gets no answer, and the operating system would
/// repeat the SYN packet only after 1, 3 and 7 s.
constexpr int kConnectTimeoutMs = 500;
constexpr int kReconnectIntervalMs = 100;

}  // namespace

struct PeerChannel::Impl {
  zmq::context_t context{1};
  std::optional<zmq::socket_t> incoming;
  std::map<std::string, zmq::socket_t> outgoing;
};

PeerChannel::PeerChannel() : impl_(std::make_unique<Impl>()) {}
PeerChannel::~PeerChannel() = default;

Status PeerChannel::Open(const std::string& address) {
  try {
    impl_->incoming.emplace(impl_->context, zmq::socket_type::pull);
    impl_->incoming->set(zmq::sockopt::linger, 0);
    impl_->incoming->set(zmq::sockopt::rcvhwm, kQueueLength * 16);
    impl_->incoming->bind("tcp://" + address);
  } catch (const zmq::error_t& error) {
    return Error{ErrorKind::kConflict,
                 "cannot listen for gateways on " + address + ": " + error.what(),
                 "stop the process that uses the port or configure another one"};
  }
  return OkStatus();
}

bool PeerChannel::Send(const std::string& address, const PeerMessage& message) {
  try {
    auto peer = impl_->outgoing.find(address);
    if (peer == impl_->outgoing.end()) {
      zmq::socket_t socket(impl_->context, zmq::socket_type::push);
      socket.set(zmq::sockopt::linger, 0);
      socket.set(zmq::sockopt::sndhwm, kQueueLength);
      socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
      socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
      socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
      socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
      socket.set(zmq::sockopt::tcp_maxrt, kHeartbeatTimeoutMs);
      socket.connect("tcp://" + address);
      peer = impl_->outgoing.emplace(address, std::move(socket)).first;
    }
    const std::string bytes = EncodePeerMessage(message);
    return peer->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t& error) {
    LogWarning("peer", "cannot send to " + address + ": " + error.what());
    return false;
  }
}

void PeerChannel::CloseAllExcept(const std::set<std::string>& keep) {
  std::erase_if(impl_->outgoing, [&](const auto& peer) { return !keep.contains(peer.first); });
}

void PeerChannel::Receive(size_t limit, const std::function<void(const PeerMessage&)>& handle) {
  if (!impl_->incoming) return;
  for (size_t count = 0; count < limit; ++count) {
    zmq::message_t frame;
    try {
      if (!impl_->incoming->recv(frame, zmq::recv_flags::dontwait)) return;
    } catch (const zmq::error_t& error) {
      LogWarning("peer", std::string("cannot receive: ") + error.what());
      return;
    }
    const auto message = DecodePeerMessage(frame.to_string());
    if (!IsOk(message)) {
      LogWarning("peer", FormatError(ErrorOf(message)));
      continue;
    }
    handle(ValueOf(message));
  }
}

}  // namespace shallot::gateway
