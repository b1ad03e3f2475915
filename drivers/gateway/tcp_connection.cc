#include "drivers/gateway/tcp_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "core/log.h"

namespace shallot::gateway {
namespace {

/// A caller's connection is closed when sent bytes stay unacknowledged for this long.
constexpr Millis kCallerUnacknowledgedLimit{10'000};
/// Sent bytes are released from the output queue once they are this many and half of it, so that
/// each byte is moved at most once on average. A peer that reads slowly may never drain the queue.
constexpr size_t kReleaseBytes = 65'536;
/// Capacity that an empty output queue keeps for the next bytes. An instance has thousands of kept
/// connections, each with the capacity of its longest answer otherwise.
constexpr size_t kKeptCapacity = 1'024;

void ConfigureSocket(Poco::Net::StreamSocket* socket, Millis unacknowledged_limit) {
  socket->setBlocking(false);
  socket->setNoDelay(true);
  socket->setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_limit.count()));
}

/// Whether the operating system could not take or provide bytes now, but may later. Depending on
/// its version, POCO reports this for a non-blocking socket by an exception or by a negative count.
bool IsTransient(const Poco::Exception& error) {
  return error.code() == EAGAIN || error.code() == EWOULDBLOCK || error.code() == EINTR;
}

}  // namespace

TcpConnection::TcpConnection(EventLoop* loop, TcpHandler* handler,
                             const Poco::Net::StreamSocket& accepted)
    : loop_(loop),
      handler_(handler),
      socket_(std::make_unique<Poco::Net::StreamSocket>(accepted)),
      connected_(true) {
  try {
    ConfigureSocket(socket_.get(), kCallerUnacknowledgedLimit);
    loop_->Add(*socket_, this, false);
  } catch (const Poco::Exception& error) {
    LogWarning("tcp", "cannot use an accepted connection: " + error.displayText());
    socket_.reset();
    failed_ = true;
  }
}

TcpConnection::TcpConnection(EventLoop* loop, TcpHandler* handler, const std::string& address,
                             Millis unacknowledged_limit)
    : loop_(loop), handler_(handler), socket_(std::make_unique<Poco::Net::StreamSocket>()) {
  try {
    socket_->connectNB(Poco::Net::SocketAddress(address));
    ConfigureSocket(socket_.get(), unacknowledged_limit);
    local_port_ = socket_->address().port();
    loop_->Add(*socket_, this, true);
    watching_writable_ = true;
  } catch (const Poco::Exception& error) {
    LogWarning("tcp", "cannot connect to " + address + ": " + error.displayText());
    socket_.reset();
    failed_ = true;
  }
}

TcpConnection::~TcpConnection() { Close(false); }

void TcpConnection::Close(bool abort) {
  if (!socket_) return;
  loop_->Remove(*socket_);
  try {
    if (abort) socket_->setLinger(true, 0);
    socket_->close();
  } catch (const Poco::Exception& error) {
    LogInfo("tcp", "close: " + error.displayText());
  }
  socket_.reset();
}

bool TcpConnection::has_unread_bytes() const {
  if (!socket_) return false;
  try {
    return socket_->available() > 0;
  } catch (const Poco::Exception& error) {
    LogInfo("tcp", "cannot tell the number of unread bytes: " + error.displayText());
    return false;
  }
}

void TcpConnection::CloseAndNotify(bool reset) {
  if (!socket_) return;
  Close(false);
  handler_->OnEnd(reset);
}

void TcpConnection::Send(std::string_view bytes) {
  if (!socket_ || send_failed_) return;
  output_ += bytes;
  if (connected_) Flush();
}

void TcpConnection::Flush() {
  try {
    while (sent_ < output_.size()) {
      const int count =
          socket_->sendBytes(output_.data() + sent_, static_cast<int>(output_.size() - sent_));
      if (count <= 0) break;
      sent_ += static_cast<size_t>(count);
    }
  } catch (const Poco::Exception& error) {
    if (!IsTransient(error)) {
      // The next read reports the failure, after delivering what the peer had sent before it.
      LogInfo("tcp", fmt::format("event=send-failed unsent_bytes={} reason=\"{}\"", queued_bytes(),
                                 error.displayText()));
      send_failed_ = true;
      timed_out_ = error.code() == ETIMEDOUT;
      sent_ = output_.size();
    }
  }
  ReleaseSent();
  UpdateInterest();
}

void TcpConnection::ReleaseSent() {
  if (sent_ == output_.size()) {
    if (output_.capacity() > kKeptCapacity) std::string().swap(output_);
    output_.clear();
    sent_ = 0;
    return;
  }
  if (sent_ < kReleaseBytes || sent_ < output_.size() / 2) return;
  output_ = output_.substr(sent_);
  sent_ = 0;
}

void TcpConnection::UpdateInterest() {
  const bool readable = read_limit_ > 0;
  const bool writable = !connected_ || sent_ < output_.size();
  if (readable == watching_readable_ && writable == watching_writable_) return;
  loop_->SetInterest(*socket_, this, readable, writable);
  watching_readable_ = readable;
  watching_writable_ = writable;
}

void TcpConnection::SetReadLimit(size_t bytes) {
  read_limit_ = std::min(bytes, kReadBytes);
  if (socket_) UpdateInterest();
}

void TcpConnection::OnWritable() {
  if (!socket_) return;
  if (!connected_) {
    const int error = socket_->impl()->socketError();
    if (error != 0) {
      CloseAndNotify(true);
      return;
    }
    connected_ = true;
    handler_->OnConnected();
    if (!socket_) return;
  }
  Flush();
  handler_->OnSent();
  if (socket_ && output_.empty()) handler_->OnDrained();
}

void TcpConnection::OnReadable() {
  if (!socket_ || !connected_) {
    if (socket_) CloseAndNotify(true);
    return;
  }
  if (read_limit_ == 0) {
    // Reports an error. It is read when reading resumes; until then it would be reported again and
    // again.
    loop_->Remove(*socket_);
    watching_readable_ = watching_writable_ = false;
    return;
  }
  static thread_local std::array<char, kReadBytes> buffer;
  int count = 0;
  try {
    count = socket_->receiveBytes(buffer.data(), static_cast<int>(read_limit_));
  } catch (const Poco::Exception& error) {
    if (IsTransient(error)) return;
    timed_out_ = timed_out_ || error.code() == ETIMEDOUT;
    CloseAndNotify(true);
    return;
  }
  if (count < 0) return;
  if (count == 0) {
    // A failed send has taken the socket's error, so the read that should report it sees an end.
    CloseAndNotify(send_failed_);
    return;
  }
  handler_->OnData(std::string_view(buffer.data(), static_cast<size_t>(count)));
}

}  // namespace shallot::gateway
