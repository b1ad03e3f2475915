#include "drivers/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <istream>
#include <mutex>
#include <ostream>
#include <utility>

#include "core/log.h"

namespace shallot {
namespace {

constexpr size_t kReadBytes = 64U << 10U;
// Multiple of the limit up to which a body that is too large is read and discarded.
constexpr size_t kMaxDiscard = 4;
// Time that handlers in progress get to send their answers when the server stops.
constexpr Seconds kStopGrace{5};

Poco::Timespan ToTimespan(Millis time) { return Poco::Timespan(time.count() * 1000); }

class PocoExchange final : public HttpExchange {
 public:
  PocoExchange(Poco::Net::HTTPServerRequest* request, Poco::Net::HTTPServerResponse* response)
      : request_(request), response_(response) {}

  const std::string& method() const override { return request_->getMethod(); }
  const std::string& target() const override { return request_->getURI(); }
  std::string Header(const std::string& name) const override { return request_->get(name, ""); }

  Result<std::string> ReadBody(size_t limit) override {
    std::string body;
    std::string part(kReadBytes, '\0');
    std::istream& in = request_->stream();
    size_t size = 0;
    // A body over the limit is still read, within bounds: if the server closed a connection with
    // unread data, the peer's system would discard the answer.
    while (size <= limit * kMaxDiscard) {
      in.read(part.data(), static_cast<std::streamsize>(part.size()));
      const auto got = static_cast<size_t>(in.gcount());
      if (got == 0) break;
      size += got;
      if (size <= limit) body.append(part, 0, got);
    }
    if (size <= limit) return body;
    response_->setKeepAlive(false);
    return Error{ErrorKind::kResourceExhausted, "request body is larger than the limit",
                 "send at most " + std::to_string(limit) + " bytes"};
  }

  void SetHeader(const std::string& name, const std::string& value) override {
    response_->set(name, value);
  }

  bool SendWhole(int status, const std::string& content_type, const std::string& body) override {
    SetHead(status, content_type);
    try {
      response_->sendBuffer(body.data(), body.size());
    } catch (const Poco::Exception&) {
      return false;
    }
    return true;
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
  void SetHead(int status, const std::string& content_type) {
    response_->setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (!content_type.empty()) response_->setContentType(content_type);
  }

  Poco::Net::HTTPServerRequest* request_;
  Poco::Net::HTTPServerResponse* response_;
  std::ostream* out_ = nullptr;
};

class HandlerAdapter final : public Poco::Net::HTTPRequestHandler {
 public:
  HandlerAdapter(const HttpServer::Handler* handler, Millis send_timeout)
      : handler_(handler), send_timeout_(send_timeout) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    if (auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request)) {
      impl->socket().setSendTimeout(ToTimespan(send_timeout_));
    }
    PocoExchange exchange(&request, &response);
    (*handler_)(exchange);
  }

 private:
  const HttpServer::Handler* handler_;
  Millis send_timeout_;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(const HttpServer::Handler* handler, Millis send_timeout)
      : handler_(handler), send_timeout_(send_timeout) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new HandlerAdapter(handler_, send_timeout_);
  }

 private:
  const HttpServer::Handler* handler_;
  Millis send_timeout_;
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
      : options(std::move(given)),
        handler([this, handle = std::move(handle)](HttpExchange& exchange) {
          const Presence presence(this);
          handle(exchange);
        }),
        pool(1, static_cast<int>(options.threads) + 1) {}

  /// Counts a handler in progress.
  struct Presence {
    explicit Presence(State* in) : state(in) {
      const std::scoped_lock lock(state->mutex);
      ++state->active;
    }
    ~Presence() {
      const std::scoped_lock lock(state->mutex);
      --state->active;
      state->idle.notify_all();
    }
    Presence(const Presence&) = delete;
    Presence& operator=(const Presence&) = delete;
    State* state;
  };

  HttpServerOptions options;
  std::mutex mutex;
  std::condition_variable idle;
  size_t active = 0;
  Handler handler;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : state_(std::make_unique<State>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { Stop(); }

Status HttpServer::Start() {
  State& state = *state_;
  try {
    Poco::Net::ServerSocket socket;
    // Without SO_REUSEPORT, so that a second process on the port fails.
    socket.bind(Poco::Net::SocketAddress(state.options.address), true, false);
    socket.listen(static_cast<int>(state.options.queue));
    state.server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(&state.handler, state.options.send_timeout), state.pool, socket,
        MakeParams(state.options));
    state.server->start();
  } catch (const Poco::Exception& error) {
    return Error{ErrorKind::kConflict,
                 "cannot listen on " + state.options.address + ": " + error.displayText(),
                 "stop the other process or choose another port"};
  }
  return OkStatus();
}

void HttpServer::Stop() {
  if (state_->server == nullptr) return;
  state_->server->stop();
  {
    std::unique_lock lock(state_->mutex);
    state_->idle.wait_for(lock, kStopGrace, [this] { return state_->active == 0; });
  }
  // Also closes idle connections, which hold their threads until the keep-alive time ends.
  state_->server->stopAll(true);
  state_->pool.joinAll();
  state_->server.reset();
}

int HttpServer::port() const {
  return state_->server == nullptr ? 0 : state_->server->socket().address().port();
}

}  // namespace shallot
