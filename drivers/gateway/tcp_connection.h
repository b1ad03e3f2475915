#ifndef DRIVERS_GATEWAY_TCP_CONNECTION_H_
#define DRIVERS_GATEWAY_TCP_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "drivers/gateway/event_loop.h"

namespace Poco::Net {
class StreamSocket;
}  // namespace Poco::Net

namespace shallot::gateway {

/// Receives the events of a connection. A handler may close the connection in any callback.
class TcpHandler {
 public:
  virtual ~TcpHandler() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view bytes) = 0;
  /// The peer closed the connection, or it failed (`reset`; see TcpConnection::timed_out()). No
  /// further callback follows.
  virtual void OnEnd(bool reset) = 0;
  /// The peer has read some of the queued bytes; the queue may be empty now.
  virtual void OnSent() {}
  /// All queued bytes have been passed to the operating system.
  virtual void OnDrained() {}
};

/// Non-blocking TCP connection on an EventLoop. Bytes that the operating system does not take yet,
/// because the peer reads slowly, stay in an output queue and are sent as it reads.
class TcpConnection final : public SocketHandler {
 public:
  /// Maximum number of bytes per read.
  static constexpr size_t kReadBytes = 32'768;

  /// Takes ownership of an accepted connection.
  TcpConnection(EventLoop* loop, TcpHandler* handler, const Poco::Net::StreamSocket& accepted);
  /// Starts to connect to "IP:port"; OnConnected or OnEnd follows.
  TcpConnection(EventLoop* loop, TcpHandler* handler, const std::string& address,
                Millis unacknowledged_limit);
  ~TcpConnection() override;

  void Send(std::string_view bytes);
  /// Bytes that the operating system has not taken yet.
  size_t queued_bytes() const { return output_.size() - sent_; }
  /// Bytes that the output queue holds, including those sent that it has not released yet.
  size_t held_bytes() const { return output_.size(); }
  /// Bytes that the output queue has allocated.
  size_t allocated_bytes() const { return output_.capacity(); }
  /// Limits the bytes per read; 0 pauses reading. Then the end of the connection is noticed only
  /// after reading has resumed, behind the bytes that arrived before it.
  void SetReadLimit(size_t bytes);
  /// Whether the operating system has taken all bytes passed to Send(). False for good once a send
  /// has failed.
  bool all_sent() const { return !send_failed_ && queued_bytes() == 0; }
  /// Whether the operating system has received bytes that were not read yet.
  bool has_unread_bytes() const;
  /// Port of this end, which the peer's log names; 0 if there is no connection.
  uint16_t local_port() const { return local_port_; }
  bool connected() const { return connected_; }
  bool open() const { return socket_ != nullptr; }
  /// Whether the connection failed because the peer did not acknowledge what was sent.
  bool timed_out() const { return timed_out_; }
  /// True when the constructor could not set the connection up.
  bool failed() const { return failed_; }
  /// Closes immediately; queued bytes are lost. With `abort`, the peer gets a connection reset.
  void Close(bool abort);

  void OnReadable() override;
  void OnWritable() override;

 private:
  void Flush();
  void ReleaseSent();
  /// Tells the loop what to watch the socket for.
  void UpdateInterest();
  void CloseAndNotify(bool reset);

  EventLoop* loop_;
  TcpHandler* handler_;
  std::unique_ptr<Poco::Net::StreamSocket> socket_;
  std::string output_;
  size_t sent_ = 0;
  uint16_t local_port_ = 0;
  bool connected_ = false;
  bool failed_ = false;
  bool send_failed_ = false;
  bool timed_out_ = false;
  bool watching_readable_ = true;
  bool watching_writable_ = false;
  size_t read_limit_ = kReadBytes;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_TCP_CONNECTION_H_
