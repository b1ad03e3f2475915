#ifndef DRIVERS_GATEWAY_CALLER_LISTENER_H_
#define DRIVERS_GATEWAY_CALLER_LISTENER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/result.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_message.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/memory/send_budget.h"

namespace Poco::Net {
class ServerSocket;
}  // namespace Poco::Net

namespace shallot::gateway {

class CallerConnection;

/// Handles requests from callers' connections.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  /// A whole request has been read. The handler answers it on `connection`, now or later.
  virtual void OnRequest(CallerConnection* connection, HttpMessage request) = 0;
  /// The caller closed the connection before its request was answered. `connection` is about to be
  /// destroyed.
  virtual void OnCallerGone(CallerConnection* connection) = 0;
  /// The caller has read some of its answer.
  virtual void OnCallerRead(CallerConnection* /*connection*/) {}
  /// The answer to a call whose body there is no memory for.
  virtual HttpMessage NoMemoryAnswer(const HttpHead& request);
};

/// Accepts connections on one address and reads HTTP/1.1 requests from them, all on one loop.
/// Malformed and oversized requests are rejected here and do not reach the handler.
class CallerListener final : public SocketHandler {
 public:
  CallerListener(EventLoop* loop, std::string name, CallerHandler* handler);
  ~CallerListener() override;

  /// Returns kConflict when it cannot listen on the address.
  Status Open(const std::string& address);
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  const CallerLimits& limits() const { return limits_; }
  /// Counts what the connections hold, and refuses bodies that do not fit. The budget must outlive
  /// the listener.
  void SetBudget(SendBudget* budget) { budget_ = budget; }
  SendBudget* budget() const { return budget_; }
  /// While set, each answer has "Connection: close" and its connection is closed after it.
  void SetClosing(bool closing) { closing_ = closing; }
  bool closing() const { return closing_; }
  /// Takes the connections that the kernel has accepted, and then closes the listening socket.
  void StopAccepting();
  bool accepting() const { return socket_ != nullptr; }
  /// Closes the connections that have no request in progress.
  void CloseIdleConnections();
  /// Whether a request, or a part of one, has arrived that has no answer yet, or an answer has not
  /// been sent whole.
  bool HasRequests() const;
  size_t connections() const { return connections_.size(); }
  /// Bytes that the connections have allocated, apart from their calls.
  size_t allocated_bytes() const;
  EventLoop* loop() const { return loop_; }
  CallerHandler* handler() const { return handler_; }
  const std::string& name() const { return name_; }

  void OnReadable() override;
  /// Destroys a connection at the end of the current loop iteration.
  void Drop(CallerConnection* connection);

 private:
  /// Accepts one connection. Returns false if none is pending.
  bool AcceptOne();

  /// Limit on connections accepted per loop iteration, so that calls in progress are not delayed.
  static constexpr int kMaxAcceptsPerIteration = 64;

  EventLoop* loop_;
  std::string name_;
  CallerHandler* handler_;
  /// Null before Open() and after StopAccepting().
  std::unique_ptr<Poco::Net::ServerSocket> socket_;
  CallerLimits limits_;
  SendBudget* budget_ = nullptr;
  bool closing_ = false;
  std::map<CallerConnection*, std::unique_ptr<CallerConnection>> connections_;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CALLER_LISTENER_H_
