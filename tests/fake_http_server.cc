#include "tests/fake_http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace shallot {
namespace {

class Responder final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Responder(FakeHttpServer::Handler handler) : handler_(std::move(handler)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    FakeRequest received{request.getMethod(), request.getURI(), "", {}};
    Poco::StreamCopier::copyToString(request.stream(), received.body);
    for (const auto& [name, value] : request) received.headers[name] = value;
    const FakeReply reply = handler_(received);
    auto& socket = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    if (reply.disconnect && reply.chunks.empty()) {
      socket.shutdown();
      return;
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    response.setContentType(reply.content_type);
    for (const auto& [name, value] : reply.headers) response.set(name, value);
    if (reply.chunks.empty()) {
      response.sendBuffer(reply.body.data(), reply.body.size());
      return;
    }
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    for (const std::string& chunk : reply.chunks) out << chunk << std::flush;
    if (reply.disconnect) socket.shutdown();
  }

 private:
  FakeHttpServer::Handler handler_;
};

class ResponderFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit ResponderFactory(FakeHttpServer::Handler handler) : handler_(std::move(handler)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Responder(handler_);
  }

 private:
  FakeHttpServer::Handler handler_;
};

}  // namespace

struct FakeHttpServer::State {
  explicit State(Handler handler)
      : pool(2, 16),
        socket(Poco::Net::SocketAddress("127.0.0.1:0")),
        server(new ResponderFactory(std::move(handler)), pool, socket,
               new Poco::Net::HTTPServerParams) {
    server.start();
  }
  Poco::ThreadPool pool;
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
};

FakeHttpServer::FakeHttpServer(Handler handler)
    : state_(std::make_unique<State>(std::move(handler))) {}

FakeHttpServer::~FakeHttpServer() {
  state_->server.stopAll(true);
  state_->pool.joinAll();
}

std::string FakeHttpServer::address() const { return state_->socket.address().toString(); }

std::string RefusingAddress() {
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
  return socket.address().toString();
}

}  // namespace shallot
