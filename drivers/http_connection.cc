#include "drivers/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <istream>
#include <mutex>
#include <ostream>

namespace shallot {
namespace {

// A connection that was idle for longer is replaced: servers commonly close idle connections after
// 5 s or more, and a request on a connection that is being closed has an unknown outcome.
constexpr Seconds kMaxIdle{4};
constexpr Millis kConnectTimeout{2000};
constexpr Millis kSendTimeout{10'000};
constexpr size_t kReadBytes = 64U << 10U;
constexpr size_t kMaxResponseBody = 16U << 20U;
/// Bytes up to the end of a response's head, with the interim responses before it. POCO skips those
/// of status 100 without a limit.
constexpr size_t kMaxHeadBytes = 256U << 10U;
/// Statuses of final responses (RFC 9110, section 15).
constexpr int kFirstFinalStatus = 200;
constexpr int kLastFinalStatus = 599;

/// A socket that records whether any byte was sent and whether the peer closed the connection, and
/// limits the head of a response.
class TrackingSocketImpl final : public Poco::Net::StreamSocketImpl {
 public:
  int sendBytes(const void* buffer, int length, int flags) override {
    const int sent = Poco::Net::StreamSocketImpl::sendBytes(buffer, length, flags);
    if (sent > 0) sent_any_ = true;
    return sent;
  }
  int receiveBytes(void* buffer, int length, int flags) override {
    if (reading_head_ && head_bytes_ > kMaxHeadBytes) {
      throw Poco::Net::MessageException(
          "the head of the response and what precedes it are too long");
    }
    if (reading_head_ && clock_.SteadyNow() > head_deadline_) {
      throw Poco::TimeoutException("no final response in time");
    }
    const int got = Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (got == 0) peer_closed_ = true;
    if (got > 0) head_bytes_ += static_cast<size_t>(got);
    return got;
  }
  /// Prepares for a request whose response must begin within `timeout`.
  void BeginExchange(Millis timeout) {
    sent_any_ = false;
    reading_head_ = true;
    head_bytes_ = 0;
    head_deadline_ = clock_.SteadyNow() + timeout;
  }
  /// The head of the response is complete.
  void EndHead() { reading_head_ = false; }
  bool sent_any() const { return sent_any_; }
  bool peer_closed() const { return peer_closed_; }

 private:
  const SystemClock clock_{};
  bool sent_any_ = false;
  bool peer_closed_ = false;
  bool reading_head_ = false;
  size_t head_bytes_ = 0;
  SteadyTime head_deadline_{};
};

/// An HTTP session over a socket that is already connected, because POCO's automatic reconnection
/// would repeat a request unnoticed.
class Session final : public Poco::Net::HTTPClientSession {
 public:
  explicit Session(const Poco::Net::StreamSocket& socket) : Poco::Net::HTTPClientSession(socket) {
    setKeepAlive(true);
    setKeepAliveTimeout(Poco::Timespan(3600, 0));
  }
};

/// True if an idle connection was closed by the peer or holds unsolicited bytes. Makes one system
/// call; POCO's poll() makes four.
bool IsStale(Poco::Net::StreamSocket* socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket->impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Poco::Timespan ToTimespan(Millis time) { return Poco::Timespan(time.count() * 1000); }

Poco::Net::HTTPRequest MakeRequest(const HttpRequest& from, const std::string& address) {
  Poco::Net::HTTPRequest to(from.method, from.path, Poco::Net::HTTPMessage::HTTP_1_1);
  to.set("Host", address);
  to.setKeepAlive(true);
  if (!from.content_type.empty()) to.setContentType(from.content_type);
  if (!from.body.empty() || from.method == "POST" || from.method == "PUT") {
    to.setContentLength64(static_cast<int64_t>(from.body.size()));
  }
  for (const HttpHeader& header : from.headers) to.set(header.name, header.value);
  return to;
}

HttpReply MakeReply(const Poco::Net::HTTPResponse& from) {
  HttpReply to;
  to.status = from.getStatus();
  if (from.has("Content-Type")) to.content_type = from.get("Content-Type");
  if (from.hasContentLength()) to.content_length = from.getContentLength64();
  for (const auto& [name, value] : from) to.headers.push_back({name, value});
  return to;
}

}  // namespace

std::string HttpReply::Header(const std::string& name) const {
  for (const HttpHeader& header : headers) {
    if (Poco::icompare(header.name, name) == 0) return header.value;
  }
  return {};
}

std::string EncodePath(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "?#&=+;:", encoded);
  return encoded;
}

std::string EncodeQuery(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "?#&=+;:/", encoded);
  return encoded;
}

struct HttpConnection::State {
  Error MakeError(const std::string& problem) const {
    const bool sent = socket_impl != nullptr && socket_impl->sent_any();
    return Error{sent ? ErrorKind::kUnknownOutcome : ErrorKind::kUnavailable,
                 address + ": " + problem,
                 sent ? "check whether the request took effect" : "check that it is running"};
  }
  /// Sets the receive timeout, rounded up to a multiple of 5 s. Unchanged values are skipped, which
  /// saves most calls a system call.
  void SetReceiveTimeout(Millis timeout);
  void Close();
  void CloseIfStale();
  void Open();
  Result<HttpReply> Send(const HttpRequest& request, Millis timeout);

  std::string address;
  std::unique_ptr<Session> session;
  /// Owned by the socket of `session`.
  TrackingSocketImpl* socket_impl = nullptr;
  std::istream* body = nullptr;
  /// Bytes of the body not yet read; -1 if the body has no declared length.
  int64_t body_left = 0;
  /// Receive timeout of the socket; zero if not set yet.
  Millis receive_timeout{0};
  SteadyTime last_used{};
  const SystemClock clock{};
  /// Guards `shared_socket`, which Abort() uses from another thread.
  std::mutex mutex;
  Poco::Net::StreamSocket shared_socket;
  std::atomic<bool> aborted{false};
};

void HttpConnection::State::SetReceiveTimeout(Millis timeout) {
  constexpr Millis kStep{5000};
  const Millis rounded = (timeout + kStep - Millis(1)) / kStep * kStep;
  if (rounded == receive_timeout) return;
  session->socket().setReceiveTimeout(ToTimespan(rounded));
  receive_timeout = rounded;
}

void HttpConnection::State::Close() {
  body = nullptr;
  socket_impl = nullptr;
  session.reset();
  const std::scoped_lock lock(mutex);
  shared_socket = Poco::Net::StreamSocket();
}

void HttpConnection::State::CloseIfStale() {
  if (session == nullptr) return;
  const bool unread = body != nullptr;
  const bool idle = clock.SteadyNow() - last_used > kMaxIdle;
  if (unread || idle || IsStale(&session->socket())) Close();
}

void HttpConnection::State::Open() {
  if (session != nullptr) return;
  auto* impl = new TrackingSocketImpl;
  Poco::Net::StreamSocket socket(impl);
  socket.connect(Poco::Net::SocketAddress(address), ToTimespan(kConnectTimeout));
  socket.setNoDelay(true);
  socket.setSendTimeout(ToTimespan(kSendTimeout));
  receive_timeout = Millis(0);
  session = std::make_unique<Session>(socket);
  socket_impl = impl;
  const std::scoped_lock lock(mutex);
  shared_socket = socket;
}

Result<HttpReply> HttpConnection::State::Send(const HttpRequest& request, Millis timeout) {
  CloseIfStale();
  Open();
  if (aborted.load()) return Error{ErrorKind::kUnavailable, address + ": aborted", ""};
  socket_impl->BeginExchange(timeout);
  SetReceiveTimeout(timeout);
  Poco::Net::HTTPRequest outgoing = MakeRequest(request, address);
  session->sendRequest(outgoing) << request.body;
  Poco::Net::HTTPResponse response;
  std::istream& stream = session->receiveResponse(response);
  socket_impl->EndHead();
  HttpReply reply = MakeReply(response);
  if (reply.status < kFirstFinalStatus || reply.status > kLastFinalStatus) {
    const Error failure = MakeError("impossible status " + std::to_string(reply.status));
    Close();
    return failure;
  }
  const bool empty = reply.status == 204 || reply.status == 304 || request.method == "HEAD";
  body_left = empty ? 0 : reply.content_length;
  body = &stream;
  last_used = clock.SteadyNow();
  return reply;
}

HttpConnection::HttpConnection(const std::string& address) : state_(std::make_unique<State>()) {
  state_->address = address;
}

HttpConnection::~HttpConnection() = default;

Result<HttpReply> HttpConnection::Begin(const HttpRequest& request, Millis timeout) {
  try {
    return state_->Send(request, timeout);
  } catch (const Poco::Exception& error) {
    const Error failure = state_->MakeError(error.displayText());
    state_->Close();
    return failure;
  }
}

Result<std::string> HttpConnection::ReadSome(Millis timeout) {
  State& state = *state_;
  if (state.body == nullptr) return std::string();
  if (state.body_left == 0) {
    state.body = nullptr;
    return std::string();
  }
  try {
    if (state.body->rdbuf()->in_avail() <= 0) state.SetReceiveTimeout(timeout);
    // peek() waits for the next bytes; in_avail() then tells how many can be read without waiting.
    const bool more = state.body->peek() != std::char_traits<char>::eof();
    if (more) {
      const auto size = std::min<std::streamsize>(state.body->rdbuf()->in_avail(), kReadBytes);
      std::string bytes(static_cast<size_t>(size), '\0');
      bytes.resize(static_cast<size_t>(state.body->rdbuf()->sgetn(bytes.data(), size)));
      if (state.body_left > 0) state.body_left -= static_cast<int64_t>(bytes.size());
      state.last_used = state.clock.SteadyNow();
      return bytes;
    }
  } catch (const Poco::Exception& error) {
    const Error failure = state.MakeError(error.displayText());
    state.Close();
    return failure;
  }
  // Reading a complete chunked body stops before the peer closes the connection.
  const bool truncated = state.body_left > 0 || state.socket_impl->peer_closed() ||
                         state.session->networkException() != nullptr;
  if (truncated) {
    const Error failure = state.MakeError("the connection broke before the end of the response");
    state.Close();
    return failure;
  }
  state.body = nullptr;
  return std::string();
}

Result<HttpReply> HttpConnection::Exchange(const HttpRequest& request, Millis timeout) {
  Result<HttpReply> head = Begin(request, timeout);
  if (!IsOk(head)) return head;
  HttpReply reply = ValueOf(std::move(head));
  while (true) {
    const Result<std::string> bytes = ReadSome(timeout);
    if (!IsOk(bytes)) return ErrorOf(bytes);
    if (ValueOf(bytes).empty()) return reply;
    if (reply.body.size() + ValueOf(bytes).size() > kMaxResponseBody) {
      Reset();
      return Error{ErrorKind::kResourceExhausted,
                   state_->address + ": response is larger than 16 MB", ""};
    }
    reply.body += ValueOf(bytes);
  }
}

void HttpConnection::Reset() { state_->Close(); }

void HttpConnection::Abort() {
  state_->aborted.store(true);
  const std::scoped_lock lock(state_->mutex);
  try {
    if (state_->shared_socket.impl()->initialized()) state_->shared_socket.shutdown();
  } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch): already disconnected
  }
}

}  // namespace shallot
