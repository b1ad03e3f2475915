#include "drivers/gateway/http_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/log.h"
#include "drivers/gateway/http_parser.h"
#include "drivers/gateway/tcp_connection.h"

namespace shallot::gateway {
namespace {

constexpr uint64_t kMaxAnswerHeaderBytes = 65'536;
/// Limit of the parser; ExchangeOptions::max_body_bytes is checked for each exchange.
constexpr uint64_t kMaxAnswerBodyBytes = 67'108'864;
/// Bytes of interim answers and of answers to other requests that one exchange may skip.
constexpr uint64_t kMaxSkippedBytes = 262'144;
/// Interim answers of one exchange. A server at work on a request sends one every 20 s (RFC 2518,
/// section 10.1), so this covers ten minutes.
constexpr uint64_t kMaxInterimAnswers = 32;
/// Statuses of answers (RFC 9110, section 15): from 100 interim, from 200 final.
constexpr int kFirstInterimStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastFinalStatus = 599;
/// The server changes to another protocol, which no request of this client asks for.
constexpr int kSwitchingProtocols = 101;
/// Interval at which expired idle connections are closed.
constexpr Millis kSweepInterval{1'000};

/// Time for which the connection may stay idle, from the server's Keep-Alive field.
Millis ServerIdleTimeout(const HttpHead& head) {
  const std::string* field = head.Find("Keep-Alive");
  if (field == nullptr) return HttpClient::kIdleLimit;
  const size_t at = field->find("timeout=");
  if (at == std::string::npos) return HttpClient::kIdleLimit;
  const int64_t seconds = std::strtol(field->c_str() + at + 8, nullptr, 10);
  const auto granted =
      static_cast<int64_t>(static_cast<double>(seconds) * 1000 * HttpClient::kIdleTimeoutFraction);
  return std::min(HttpClient::kIdleLimit, Millis(granted));
}

}  // namespace

class HttpClient::Connection final : public TcpHandler {
 public:
  Connection(HttpClient* client, uint64_t number, std::string address,
             const ExchangeOptions& options)
      : client_(client),
        number_(number),
        address_(std::move(address)),
        parser_(HttpParser::Kind::kAnswer, kMaxAnswerHeaderBytes, kMaxAnswerBodyBytes),
        tcp_(client->loop_, this, address_, options.unacknowledged_limit) {}

  ~Connection() override { StopConnectTimer(); }

  void Begin(ExchangeId exchange, std::string request, const ExchangeOptions& options,
             ExchangeHandler* handler) {
    exchange_ = exchange;
    handler_ = handler;
    ++exchanges_begun_;
    still_wanted_ = options.still_wanted;
    max_body_bytes_ = options.max_body_bytes;
    body_bytes_ = 0;
    parser_.Reset();
    head_delivered_ = false;
    skipped_bytes_ = 0;
    message_bytes_ = 0;
    interim_answers_ = 0;
    tcp_.SetReadLimit(TcpConnection::kReadBytes);
    if (tcp_.connected()) {
      tcp_.Send(request);
      return;
    }
    if (tcp_.failed()) {
      client_->loop_->After(Duration(0), [client = client_, exchange] {
        const auto found = client->exchanges_.find(exchange);
        if (found != client->exchanges_.end()) {
          found->second->Fail(ExchangeFailure::kNotConnected,
                              "the connection could not be started");
        }
      });
      return;
    }
    request_ = std::move(request);
    connect_timer_ = client_->loop_->After(options.connect_timeout, [this] {
      connect_timer_ = TimerId();
      Fail(ExchangeFailure::kNotConnected, "connect timeout");
    });
  }

  void OnConnected() override {
    StopConnectTimer();
    // The process may have been suspended while the connection was being established.
    if (still_wanted_ && !still_wanted_()) {
      Fail(ExchangeFailure::kNotConnected, "the request was withdrawn before it was sent");
      return;
    }
    tcp_.Send(request_);
    request_ = std::string();  // clear() would keep the memory as long as the connection.
  }

  void OnData(std::string_view bytes) override {
    if (handler_ == nullptr) {
      // The server sent bytes without a request.
      client_->Release(this, false);
      return;
    }
    while (!bytes.empty()) {
      const Result<size_t> used = parser_.Feed(bytes);
      if (!IsOk(used)) {
        Fail(ExchangeFailure::kMalformed, ErrorOf(used).message);
        return;
      }
      const size_t consumed = std::min(ValueOf(used), bytes.size());
      bytes.remove_prefix(consumed);
      message_bytes_ += consumed;
      if (!DeliverProgress()) return;
      // The head of an answer may come in parts, and only its end tells that it is skipped.
      if (parser_.head_done() && skipping_) skipped_bytes_ += std::exchange(message_bytes_, 0);
      if (skipped_bytes_ > kMaxSkippedBytes) {
        Fail(ExchangeFailure::kMalformed, "too many bytes that belong to no answer");
        return;
      }
      if (!parser_.done()) return;
      if (!FinishMessage(bytes.empty())) return;
    }
  }

  void OnEnd(bool reset) override {
    if (handler_ == nullptr) {
      client_->Release(this, false);
      return;
    }
    if (!was_connected()) {
      Fail(ExchangeFailure::kNotConnected, "connection refused");
      return;
    }
    // A server that answers early may reset the connection because of the rest of the request, and
    // what it had still to send is then lost. A failed send hides the reset: it takes the socket's
    // error, so that the next read sees an end of stream.
    const bool orderly = !reset && tcp_.all_sent();
    if (orderly && parser_.begun() && parser_.needs_eof() && IsOk(parser_.FeedEof())) {
      if (!DeliverProgress()) return;
      if (skipping_) {
        Fail(ExchangeFailure::kLost, "the connection ended with the answer to another request");
        return;
      }
      ExchangeHandler* handler = TakeHandler();
      client_->Release(this, false);
      handler->OnComplete();
      return;
    }
    if (tcp_.timed_out()) {
      Fail(ExchangeFailure::kUnacknowledged, "the server does not acknowledge the request");
      return;
    }
    if (reset) {
      Fail(ExchangeFailure::kLost, "connection reset");
    } else if (!tcp_.all_sent()) {
      Fail(ExchangeFailure::kLost, "connection closed before the whole request was sent");
    } else {
      Fail(ExchangeFailure::kLost, "connection closed");
    }
  }

  /// Ends the exchange without a callback and closes the connection.
  void Abandon() {
    (void)TakeHandler();
    broken_off_ = true;
    client_->Release(this, false);
  }

  void Fail(ExchangeFailure failure, const std::string& detail) {
    ExchangeHandler* handler = TakeHandler();
    broken_off_ = true;
    client_->Release(this, false);
    if (handler != nullptr) handler->OnFailure(failure, detail);
  }

  /// A server whose answer is no longer wanted, or that still waits for the rest of a request, sees
  /// a reset. The end of the stream would reach it only behind what it has not read, and may mean
  /// that its peer has only finished sending (RFC 9112, section 9.6).
  void Close() { tcp_.Close(broken_off_ || !tcp_.all_sent()); }

  uint64_t number() const { return number_; }
  ConnectionInfo info() const { return {number_, exchanges_begun_ > 1, tcp_.local_port()}; }
  const std::string& address() const { return address_; }
  bool open() const { return tcp_.open(); }
  void SetReadLimit(size_t bytes) { tcp_.SetReadLimit(bytes); }
  SteadyTime idle_since() const { return idle_since_; }
  SteadyTime idle_until() const { return idle_until_; }
  void MarkIdle(SteadyTime now) {
    tcp_.SetReadLimit(TcpConnection::kReadBytes);
    idle_since_ = now;
    idle_until_ = now + idle_timeout_;
  }

 private:
  bool was_connected() const { return tcp_.connected(); }

  void StopConnectTimer() {
    if (connect_timer_ != TimerId()) client_->loop_->Cancel(connect_timer_);
    connect_timer_ = TimerId();
  }

  ExchangeHandler* TakeHandler() {
    StopConnectTimer();
    client_->exchanges_.erase(exchange_);
    exchange_ = ExchangeId();
    return std::exchange(handler_, nullptr);
  }

  /// Ends the exchange and returns false if no answer to it can have this status, or if too many
  /// interim answers have come.
  bool CheckStatus(int status) {
    if (status < kFirstInterimStatus || status > kLastFinalStatus ||
        status == kSwitchingProtocols) {
      Fail(ExchangeFailure::kMalformed, fmt::format("impossible status {:03}", status));
      return false;
    }
    if (status < kFirstFinalStatus && ++interim_answers_ > kMaxInterimAnswers) {
      Fail(ExchangeFailure::kMalformed, "too many answers of interim status");
      return false;
    }
    return true;
  }

  /// Delivers the head and the body bytes parsed so far. Returns false if the handler ended the
  /// exchange.
  bool DeliverProgress() {
    if (!parser_.head_done()) return true;
    if (!head_delivered_) {
      const HttpHead& head = parser_.head();
      if (!CheckStatus(head.status)) return false;
      idle_timeout_ = ServerIdleTimeout(head);
      keep_alive_ = head.keep_alive && !parser_.needs_eof();
      const bool interim = head.status < kFirstFinalStatus;
      skipping_ = interim || handler_->OnHead(head) == HeadVerdict::kSkip;
      head_delivered_ = true;
      if (handler_ == nullptr) return false;
    }
    std::string body = parser_.TakeBody();
    if (skipping_ || body.empty()) return true;
    body_bytes_ += body.size();
    if (body_bytes_ > max_body_bytes_) {
      Fail(ExchangeFailure::kMalformed, "the body exceeds the size limit");
      return false;
    }
    handler_->OnBody(std::move(body));
    return handler_ != nullptr;
  }

  /// Handles a complete message. Returns true if it belonged to another request, so that parsing
  /// continues with the next message.
  bool FinishMessage(bool at_end_of_input) {
    if (skipping_) {
      parser_.Reset();
      head_delivered_ = false;
      message_bytes_ = 0;
      return true;
    }
    // An answer that arrived before the whole request was sent, or that is followed by more bytes,
    // leaves the connection in an unknown state.
    const bool reusable = keep_alive_ && at_end_of_input && tcp_.all_sent();
    ExchangeHandler* handler = TakeHandler();
    client_->Release(this, reusable);
    handler->OnComplete();
    return false;
  }

  HttpClient* client_;
  uint64_t number_;
  std::string address_;
  HttpParser parser_;
  TcpConnection tcp_;
  ExchangeId exchange_;
  ExchangeHandler* handler_ = nullptr;
  std::string request_;
  uint64_t exchanges_begun_ = 0;
  std::function<bool()> still_wanted_;
  uint64_t max_body_bytes_ = kMaxAnswerBodyBytes;
  uint64_t body_bytes_ = 0;
  uint64_t skipped_bytes_ = 0;
  /// Bytes of the current answer that do not count as skipped yet.
  uint64_t message_bytes_ = 0;
  uint64_t interim_answers_ = 0;
  TimerId connect_timer_;
  bool head_delivered_ = false;
  bool skipping_ = false;
  bool keep_alive_ = false;
  /// The last exchange ended before its answer was complete.
  bool broken_off_ = false;
  Millis idle_timeout_{kIdleLimit};
  SteadyTime idle_since_{};
  SteadyTime idle_until_{};
};

HttpClient::HttpClient(EventLoop* loop) : loop_(loop) {
  loop_->After(kSweepInterval, [this] { CloseExpired(); });
}

HttpClient::~HttpClient() = default;

HttpClient::Connection* HttpClient::TakeIdle(const std::string& address, Millis max_idle) {
  const SteadyTime now = loop_->Now();
  while (true) {
    // Release() erases the address with its last connection, so it is looked up in each round.
    const auto found = idle_.find(address);
    if (found == idle_.end()) return nullptr;
    // The most recently used connection is the least likely to be closed by the server.
    Connection* connection = found->second.back();
    if (now >= connection->idle_until()) {
      Release(connection, false);
      continue;
    }
    if (now - connection->idle_since() >= Duration(max_idle)) return nullptr;
    found->second.pop_back();
    if (found->second.empty()) idle_.erase(found);
    return connection;
  }
}

ExchangeId HttpClient::Start(const std::string& address, std::string request,
                             const ExchangeOptions& options, ExchangeHandler* handler) {
  last_exchange_ = last_exchange_.Next();
  Connection* connection = TakeIdle(address, options.max_idle);
  if (connection == nullptr) {
    ++connections_opened_;
    auto fresh = std::make_unique<Connection>(this, connections_opened_, address, options);
    connection = fresh.get();
    connections_[connections_opened_] = std::move(fresh);
  }
  exchanges_[last_exchange_] = connection;
  connection->Begin(last_exchange_, std::move(request), options, handler);
  return last_exchange_;
}

std::optional<ConnectionInfo> HttpClient::ConnectionOf(ExchangeId exchange) const {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return std::nullopt;
  return found->second->info();
}

void HttpClient::Cancel(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found != exchanges_.end()) found->second->Abandon();
}

void HttpClient::SetReadLimit(ExchangeId exchange, size_t bytes) {
  const auto found = exchanges_.find(exchange);
  if (found != exchanges_.end()) found->second->SetReadLimit(bytes);
}

void HttpClient::Release(Connection* connection, bool reusable) {
  if (reusable && connection->open()) {
    connection->MarkIdle(loop_->Now());
    idle_[connection->address()].push_back(connection);
    return;
  }
  const auto idle = idle_.find(connection->address());
  if (idle != idle_.end()) {
    std::erase(idle->second, connection);
    if (idle->second.empty()) idle_.erase(idle);
  }
  connection->Close();
  const auto found = connections_.find(connection->number());
  if (found == connections_.end()) return;
  // The connection may still be on the call stack, so its destruction is deferred.
  std::shared_ptr<Connection> last(std::move(found->second));
  connections_.erase(found);
  loop_->Defer([last] {});
}

void HttpClient::CloseIdle(const std::string& address) {
  // Release() erases the address with its last connection, so it is looked up in each round.
  for (auto found = idle_.find(address); found != idle_.end(); found = idle_.find(address)) {
    Release(found->second.back(), false);
  }
}

void HttpClient::CloseExpired() {
  const SteadyTime now = loop_->Now();
  std::vector<Connection*> expired;
  for (const auto& [address, connections] : idle_) {
    for (Connection* connection : connections) {
      if (now >= connection->idle_until()) expired.push_back(connection);
    }
  }
  for (Connection* connection : expired) Release(connection, false);
  loop_->After(kSweepInterval, [this] { CloseExpired(); });
}

}  // namespace shallot::gateway
