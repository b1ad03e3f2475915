#ifndef DRIVERS_GATEWAY_HTTP_CLIENT_H_
#define DRIVERS_GATEWAY_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_message.h"

namespace shallot::gateway {

using ExchangeId = StrongNumber<struct ExchangeIdTag>;

/// How an exchange ended without a complete answer.
enum class ExchangeFailure {
  kNotConnected,  ///< No byte of the request was sent.
  kLost,          ///< The connection ended before the answer was complete.
  kMalformed,     ///< The bytes are no HTTP answer.
};

/// What the handler makes of an answer's head.
enum class HeadVerdict {
  kAccept,
  kSkip,  ///< The answer belongs to another request; the next one on the connection may be ours.
};

/// Receives one exchange. Exactly one of OnComplete and OnFailure ends it, unless it is cancelled.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual HeadVerdict OnHead(const HttpHead& head) = 0;
  virtual void OnBody(std::string data) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(ExchangeFailure failure, const std::string& detail) = 0;
};

struct ExchangeOptions {
  Millis connect_timeout{300};
  /// Use a kept connection only when it was idle for less than this.
  Millis max_idle{10'000};
  /// Give the connection up when sent bytes stay unacknowledged this long.
  Millis unacknowledged_limit{1'500};
  /// Answers larger than this are malformed.
  uint64_t max_body_bytes = 67'108'864;
};

/// HTTP/1.1 client with kept connections, one request at a time on each. Serves backend servers
/// and the platform's store alike.
class HttpClient {
 public:
  /// Idle connections are closed after this time when the server states none.
  static constexpr Millis kIdleLimit{10'000};
  /// Part of the server's stated idle time that is used; its close may be on the way before.
  static constexpr double kIdleShare = 0.7;

  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `request` (a whole message) to "IP:port". `handler` must live until the exchange ends.
  ExchangeId Start(const std::string& address, std::string request, const ExchangeOptions& options,
                   ExchangeHandler* handler);
  /// Ends an exchange without a callback and closes its connection, so that the server can stop.
  void Cancel(ExchangeId exchange);
  /// Whether the request's connection was reused, for the log.
  uint64_t connections_opened() const { return opened_; }
  uint64_t connections_open() const { return connections_.size(); }

 private:
  class Connection;
  friend class Connection;
  void Release(Connection* connection, bool reusable);
  Connection* TakeIdle(const std::string& address, Millis max_idle);
  void CloseExpired();

  EventLoop* loop_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<std::string, std::deque<Connection*>> idle_;
  std::map<ExchangeId, Connection*> exchanges_;
  ExchangeId last_exchange_;
  uint64_t opened_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_HTTP_CLIENT_H_
