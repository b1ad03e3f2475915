#include "tests/raw_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>

namespace shallot {
namespace {

/// Limit on one blocking call; only a hang reaches it.
const Poco::Timespan kSocketTimeout(30, 0);

}  // namespace

bool RawConnection::Send(std::string_view bytes) {
  try {
    while (!bytes.empty()) {
      const int sent = socket_->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

std::string RawConnection::ReadHead() {
  std::string head;
  try {
    char byte = 0;
    while (!head.ends_with("\r\n\r\n")) {
      if (socket_->receiveBytes(&byte, 1) <= 0) return {};
      head += byte;
    }
    return head;
  } catch (const Poco::Exception&) {
    return {};
  }
}

std::string RawConnection::ReadBytes(size_t count) {
  std::string bytes;
  std::array<char, 16'384> buffer{};
  try {
    while (bytes.size() < count) {
      const size_t wanted = std::min(buffer.size(), count - bytes.size());
      const int got = socket_->receiveBytes(buffer.data(), static_cast<int>(wanted));
      if (got <= 0) break;
      bytes.append(buffer.data(), static_cast<size_t>(got));
    }
  } catch (const Poco::Exception&) {
    return bytes;
  }
  return bytes;
}

uint64_t RawConnection::SendWithoutEnd(std::string_view bytes, uint64_t limit) {
  uint64_t sent = 0;
  while (sent < limit && Send(bytes)) sent += bytes.size();
  return sent;
}

bool RawConnection::Pause(std::chrono::milliseconds pause) {
  try {
    const Poco::Timespan limit(std::chrono::microseconds(pause).count());
    if (!socket_->poll(limit, Poco::Net::Socket::SELECT_READ)) return true;
    char byte = 0;
    return socket_->receiveBytes(&byte, 1) > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool RawConnection::WorkUntilReset(std::chrono::milliseconds limit) {
  const Poco::Timespan time(std::chrono::microseconds(limit).count());
  return socket_->poll(time, Poco::Net::Socket::SELECT_ERROR);
}

void RawConnection::EndStream() {
  try {
    socket_->shutdownSend();
  } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch): the peer has reset it
  }
}

void RawConnection::Reset() {
  try {
    socket_->setLinger(true, 0);
    socket_->close();
  } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch): the peer has reset it
  }
}

void RawConnection::AwaitClose() {
  std::array<char, 4096> discarded{};
  try {
    while (socket_->receiveBytes(discarded.data(), static_cast<int>(discarded.size())) > 0) {
    }
  } catch (const Poco::Exception&) {
    return;
  }
}

RawServer::RawServer(Script script, const RawServerOptions& options)
    : script_(std::move(script)),
      send_timeout_(options.send_timeout),
      listener_(std::make_unique<Poco::Net::ServerSocket>(
          Poco::Net::SocketAddress("127.0.0.1", uint16_t{0}))),
      address_(listener_->address().toString()) {
  // Accepted sockets inherit both.
  if (options.receive_buffer_bytes > 0) {
    listener_->setReceiveBufferSize(options.receive_buffer_bytes);
  }
  if (options.segment_bytes > 0) {
    listener_->setOption(IPPROTO_TCP, TCP_MAXSEG, options.segment_bytes);
  }
  thread_ = std::jthread([this] { Serve(); });
}

RawServer::~RawServer() {
  stopping_ = true;
  try {
    // Unblocks the accepting thread.
    Poco::Net::StreamSocket wake{Poco::Net::SocketAddress(address_)};
  } catch (const Poco::Exception&) {
    listener_->close();
  }
  thread_.join();
}

void RawServer::Serve() {
  while (true) {
    auto socket = std::make_shared<Poco::Net::StreamSocket>(listener_->acceptConnection());
    if (stopping_) return;
    socket->setReceiveTimeout(kSocketTimeout);
    socket->setSendTimeout(Poco::Timespan(std::chrono::microseconds(send_timeout_).count()));
    const int number = accepted_++;
    connections_.emplace_back([this, socket, number] {
      RawConnection connection(socket.get());
      script_(&connection, number);
      socket->close();
    });
  }
}

}  // namespace shallot
