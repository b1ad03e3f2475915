#include "drivers/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <istream>
#include <mutex>
#include <ostream>
#include <utility>

#include "core/log.h"
#include "drivers/connection_guard.h"

namespace shallot {
namespace {

constexpr size_t kReadBytes = 64U << 10U;
// A body that is too large is read and discarded up to this multiple of the limit.
constexpr size_t kMaxDiscardFactor = 4;
// Time that handlers in progress get to send their responses when the server stops.
constexpr Seconds kStopGrace{5};

Poco::Timespan ToTimespan(Millis time) { return Poco::Timespan(time.count() * 1000); }

/// Returns the declared length of a request's body. POCO reads a body of unknown length until the
/// connection ends and cannot distinguish a truncated chunked body from a complete one, so both are
/// rejected.
Result<uint64_t> BodyLength(const Poco::Net::HTTPServerRequest& request) {
  if (request.has("Transfer-Encoding")) {
    return Error{ErrorKind::kInvalidArgument, "the body has no declared length",
                 "send Content-Length instead of Transfer-Encoding"};
  }
  const auto count = std::count_if(request.begin(), request.end(), [](const auto& field) {
    return Poco::icompare(field.first, "Content-Length") == 0;
  });
  if (count == 0) return uint64_t{0};
  const std::string text = request.get("Content-Length");
  uint64_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  if (count > 1 || error != std::errc() || end != text.data() + text.size()) {
    return Error{ErrorKind::kInvalidArgument, "Content-Length is not a single whole number",
                 "send one Content-Length with the size of the body in bytes"};
  }
  return length;
}

class PocoExchange final : public HttpExchange {
 public:
  PocoExchange(Poco::Net::HTTPServerRequest* request, Poco::Net::HTTPServerResponse* response,
               ConnectionWatch* watch, const HttpServerOptions* options)
      : request_(request), response_(response), watch_(watch), options_(options) {
    const Result<uint64_t> length = BodyLength(*request_);
    // The bytes of an unread body would be parsed as the next request.
    if (!IsOk(length) || ValueOf(length) > 0) response_->setKeepAlive(false);
  }

  const std::string& method() const override { return request_->getMethod(); }
  const std::string& target() const override { return request_->getURI(); }
  std::string Header(const std::string& name) const override { return request_->get(name, ""); }

  Result<std::string> ReadBody(size_t limit) override {
    const Result<uint64_t> length = BodyLength(*request_);
    if (!IsOk(length)) return ErrorOf(length);
    if (ValueOf(length) == 0) return std::string();
    watch_->SetLimit(options_->body_timeout, TimeoutAction::kEndReceive);
    std::string body;
    const size_t size = ReadUpTo(limit, &body);
    watch_->ClearLimit();
    if (ValueOf(length) > limit) {
      return Error{ErrorKind::kResourceExhausted, "request body is larger than the limit",
                   "send at most " + std::to_string(limit) + " bytes"};
    }
    if (watch_->expired()) {
      return Error{ErrorKind::kCancelled, "the request body did not arrive in time",
                   "send it within " + std::to_string(options_->body_timeout.count()) + " ms"};
    }
    if (size < ValueOf(length)) {
      return Error{ErrorKind::kInvalidArgument, "the request body ended early",
                   "send as many bytes as Content-Length declares"};
    }
    response_->setKeepAlive(request_->getKeepAlive());
    return body;
  }

  void SetHeader(const std::string& name, const std::string& value) override {
    response_->set(name, value);
  }

  bool SendWhole(int status, const std::string& content_type, const std::string& body) override {
    SetHead(status, content_type);
    const WriteTimeLimit time_limit(this);
    try {
      response_->sendBuffer(body.data(), body.size());
    } catch (const Poco::Exception&) {
      return false;
    }
    return !watch_->expired();
  }

  bool BeginStream(int status, const std::string& content_type) override {
    SetHead(status, content_type);
    response_->setChunkedTransferEncoding(true);
    try {
      out_ = &response_->send();
    } catch (const Poco::Exception&) {
      return false;
    }
    return out_->good();
  }

  bool Write(const std::string& bytes) override {
    if (out_ == nullptr) return false;
    const WriteTimeLimit time_limit(this);
    out_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out_->flush();
    return out_->good();
  }

  bool PeerClosed() override {
    auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(request_);
    if (impl == nullptr) return false;
    try {
      Poco::Net::StreamSocket& socket = impl->socket();
      if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return false;
      char byte = 0;
      return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception&) {
      return true;
    }
  }

 private:
  /// Sets the time limit of a write for the scope of this object.
  struct WriteTimeLimit {
    explicit WriteTimeLimit(PocoExchange* exchange) : watch(exchange->watch_) {
      watch->SetLimit(exchange->options_->response_timeout, TimeoutAction::kClose);
    }
    ~WriteTimeLimit() { watch->ClearLimit(); }
    WriteTimeLimit(const WriteTimeLimit&) = delete;
    WriteTimeLimit& operator=(const WriteTimeLimit&) = delete;
    ConnectionWatch* watch;
  };

  /// Reads the body and stores it in `body` as long as it is within `limit`; returns the number of
  /// bytes read. A body over the limit is still read, up to kMaxDiscardFactor times the limit: if
  /// the server closed the connection with unread data, the peer's TCP stack would discard the
  /// response.
  size_t ReadUpTo(size_t limit, std::string* body) {
    std::string part(kReadBytes, '\0');
    std::istream& in = request_->stream();
    size_t size = 0;
    while (size <= limit * kMaxDiscardFactor && !watch_->expired()) {
      in.read(part.data(), static_cast<std::streamsize>(part.size()));
      const auto got = static_cast<size_t>(in.gcount());
      if (got == 0) break;
      size += got;
      if (size <= limit) body->append(part, 0, got);
    }
    return size;
  }

  void SetHead(int status, const std::string& content_type) {
    response_->setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (!content_type.empty()) response_->setContentType(content_type);
  }

  Poco::Net::HTTPServerRequest* request_;
  Poco::Net::HTTPServerResponse* response_;
  ConnectionWatch* watch_;
  const HttpServerOptions* options_;
  std::ostream* out_ = nullptr;
};

/// State shared by all connections of a server.
struct ServerContext {
  HttpServerOptions options;
  HttpServer::Handler handler;
  ConnectionGuard guard;
};

class HandlerAdapter final : public Poco::Net::HTTPRequestHandler {
 public:
  HandlerAdapter(ServerContext* context, ConnectionWatch* watch)
      : context_(context), watch_(watch) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const bool timed_out = watch_->expired();
    watch_->ClearLimit();
    const HttpServerOptions& options = context_->options;
    if (auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request)) {
      impl->socket().setSendTimeout(ToTimespan(options.send_timeout));
    }
    PocoExchange exchange(&request, &response, watch_, &options);
    // POCO accepts headers that are truncated by the end of the stream as complete. A request
    // without a length whose sender closed its side may be such a case; a truncated body is
    // detected when it is read.
    if (timed_out || (!request.hasContentLength() && exchange.PeerClosed())) {
      response.setKeepAlive(false);
      return;
    }
    context_->handler(exchange);
    watch_->SetLimit(options.keep_alive + options.head_timeout, TimeoutAction::kClose);
  }

 private:
  ServerContext* context_;
  ConnectionWatch* watch_;
};

/// Creates the handlers of one connection.
class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(ServerContext* context, ConnectionWatch* watch)
      : context_(context), watch_(watch) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new HandlerAdapter(context_, watch_);
  }

 private:
  ServerContext* context_;
  ConnectionWatch* watch_;
};

/// A connection with a time limit that starts when a thread begins to serve it.
class GuardedConnection final : public Poco::Net::TCPServerConnection {
 public:
  GuardedConnection(const Poco::Net::StreamSocket& socket, ServerContext* context,
                    Poco::Net::HTTPServerParams::Ptr params)
      : TCPServerConnection(socket), context_(context), params_(std::move(params)) {}

  void run() override {
    ConnectionWatch watch(&context_->guard, socket().impl()->sockfd());
    watch.SetLimit(context_->options.head_timeout, TimeoutAction::kClose);
    const Poco::Net::HTTPRequestHandlerFactory::Ptr factory = new HandlerFactory(context_, &watch);
    Poco::Net::HTTPServerConnection(socket(), params_, factory).run();
  }

 private:
  ServerContext* context_;
  Poco::Net::HTTPServerParams::Ptr params_;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  ConnectionFactory(ServerContext* context, Poco::Net::HTTPServerParams::Ptr params)
      : context_(context), params_(std::move(params)) {}

  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return new GuardedConnection(socket, context_, params_);
  }

 private:
  ServerContext* context_;
  Poco::Net::HTTPServerParams::Ptr params_;
};

Poco::Net::HTTPServerParams::Ptr MakeParams(const HttpServerOptions& options) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(static_cast<int>(options.threads));
  params->setMaxQueued(static_cast<int>(options.queue));
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(ToTimespan(options.keep_alive));
  params->setTimeout(ToTimespan(options.keep_alive));
  return params;
}

}  // namespace

struct HttpServer::State {
  State(HttpServerOptions given, Handler handle)
      : context{.options = std::move(given),
                .handler =
                    [this, handle = std::move(handle)](HttpExchange& exchange) {
                      const ActiveHandler active_handler(this);
                      handle(exchange);
                    },
                .guard = {}},
        pool(1, static_cast<int>(context.options.threads) + 1) {}

  /// Counts a running handler for the scope of this object.
  struct ActiveHandler {
    explicit ActiveHandler(State* in) : state(in) {
      const std::scoped_lock lock(state->mutex);
      ++state->active_handlers;
    }
    ~ActiveHandler() {
      const std::scoped_lock lock(state->mutex);
      --state->active_handlers;
      state->idle.notify_all();
    }
    ActiveHandler(const ActiveHandler&) = delete;
    ActiveHandler& operator=(const ActiveHandler&) = delete;
    State* state;
  };

  ServerContext context;
  std::mutex mutex;
  std::condition_variable idle;
  size_t active_handlers = 0;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::TCPServer> server;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : state_(std::make_unique<State>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { Stop(); }

Status HttpServer::Start() {
  State& state = *state_;
  const HttpServerOptions& options = state.context.options;
  try {
    Poco::Net::ServerSocket socket;
    // Without SO_REUSEPORT, so that a second process on the same port fails to bind.
    socket.bind(Poco::Net::SocketAddress(options.address), true, false);
    socket.listen(static_cast<int>(options.queue));
    const Poco::Net::HTTPServerParams::Ptr params = MakeParams(options);
    state.server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(&state.context, params), state.pool, socket, params);
    state.server->start();
  } catch (const Poco::Exception& error) {
    return Error{ErrorKind::kConflict,
                 "cannot listen on " + options.address + ": " + error.displayText(),
                 "stop the other process or choose another port"};
  }
  return OkStatus();
}

void HttpServer::Stop() {
  if (state_->server == nullptr) return;
  state_->server->stop();
  {
    std::unique_lock lock(state_->mutex);
    state_->idle.wait_for(lock, kStopGrace, [this] { return state_->active_handlers == 0; });
  }
  // Also closes idle connections, which otherwise occupy their threads until the keep-alive
  // timeout.
  state_->context.guard.CloseAll();
  state_->pool.joinAll();
  state_->server.reset();
}

int HttpServer::port() const {
  return state_->server == nullptr ? 0 : state_->server->socket().address().port();
}

}  // namespace shallot
