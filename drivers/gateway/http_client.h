#ifndef DRIVERS_GATEWAY_HTTP_CLIENT_H_
#define DRIVERS_GATEWAY_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  kNotConnected,    ///< No byte of the request was sent.
  kLost,            ///< The peer ended the connection before the answer was complete.
  kUnacknowledged,  ///< As kLost, because the peer no longer acknowledges what was sent.
  kMalformed,       ///< The received bytes are not a valid HTTP answer to a request of this client.
};

/// Decision of the handler on the head of an answer.
enum class HeadVerdict {
  kAccept,
  kSkip,  ///< The answer belongs to another request; the next one may answer this exchange.
};

/// Receives the events of one exchange. It ends with exactly one of OnComplete and OnFailure,
/// unless it is cancelled.
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
  /// Reuse an idle connection only if it has been idle for less than this.
  Millis max_idle{10'000};
  /// Close the connection when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
  Millis unacknowledged_limit{1'500};
  /// An answer with a larger body counts as malformed.
  uint64_t max_body_bytes = 67'108'864;
  /// Checked right before the request is sent on a new connection. If it returns false, nothing is
  /// sent and the exchange fails with kNotConnected. Always sent if empty.
  std::function<bool()> still_wanted = {};
};

/// The connection that an exchange uses, for log lines.
struct ConnectionInfo {
  /// Counts the client's connections.
  uint64_t number = 0;
  /// The connection served another exchange before.
  bool kept = false;
  /// 0 if the connection could not be started.
  uint16_t local_port = 0;
};

/// HTTP/1.1 client with persistent connections and one request at a time on each. Used for backend
/// servers and for the platform's store.
class HttpClient {
 public:
  /// Idle connections are closed after this time, or earlier if the server's Keep-Alive asks for
  /// it.
  static constexpr Millis kIdleLimit{10'000};
  /// Fraction of the server's Keep-Alive timeout that is used, because the server may already be
  /// closing the connection shortly before the timeout.
  static constexpr double kIdleTimeoutFraction = 0.7;

  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `request` (a whole message) to "IP:port". `handler` must live until the exchange ends.
  ExchangeId Start(const std::string& address, std::string request, const ExchangeOptions& options,
                   ExchangeHandler* handler);
  /// Ends an exchange without a callback and resets its connection, so that the server stops work
  /// on the request.
  void Cancel(ExchangeId exchange);
  /// Limits the bytes per read of the exchange's answer; 0 pauses reading. See
  /// TcpConnection::SetReadLimit().
  void SetReadLimit(ExchangeId exchange, size_t bytes);
  /// Closes the idle connections to an address.
  void CloseIdle(const std::string& address);
  /// Nullopt once the exchange has ended.
  std::optional<ConnectionInfo> ConnectionOf(ExchangeId exchange) const;
  /// Connections opened since the client was created.
  uint64_t connections_opened() const { return connections_opened_; }
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
  uint64_t connections_opened_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_HTTP_CLIENT_H_
