#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <pthread.h>

#include <csignal>
#include <exception>
#include <iostream>

#include "main/standin/role.h"

namespace shallot::standin {
namespace {

// Each open connection and each pending watch occupies a thread.
constexpr int kMaxThreads = 1024;

/// Returns whether a request controls or inspects the stand-in; such requests are exempt from
/// faults.
bool IsControl(const Exchange& exchange) {
  return exchange.path() == "/fault" || exchange.path() == "/stats" ||
         exchange.path() == "/executed";
}

class Handler final : public Poco::Net::HTTPRequestHandler {
 public:
  Handler(Role* role, Faults* faults) : role_(role), faults_(faults) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      Exchange exchange(&request, &response);
      Respond(exchange);
    } catch (const std::exception&) {
      // The connection broke or the body has a field of the wrong type.
      response.setKeepAlive(false);
    }
  }

 private:
  void Respond(Exchange& exchange) {
    if (exchange.path() == "/fault") return exchange.Send(faults_->Inject(exchange.body()));
    if (IsControl(exchange)) return exchange.Send(*role_->Handle(exchange));
    const std::string name = exchange.method() + " " + exchange.path();
    if (faults_->Take("outage", name)) return exchange.Send(MessageReply(503, "outage"));
    if (const auto delay = faults_->Take("slow", name)) faults_->WaitFor(Millis(*delay));
    if (faults_->Take("silent", name)) {
      faults_->WaitForStop();
      return exchange.Abort();
    }
    const bool lose_answer = faults_->Take("lose-answer", name).has_value();
    const std::optional<Reply> reply = role_->Handle(exchange);
    if (lose_answer) return exchange.Abort();
    if (reply) exchange.Send(*reply);
  }

  Role* role_;
  Faults* faults_;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(Role* role, Faults* faults) : role_(role), faults_(faults) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(role_, faults_);  // POCO takes ownership.
  }

 private:
  Role* role_;
  Faults* faults_;
};

}  // namespace

int Serve(const Options& options, Role* role, Faults* faults) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  Poco::ThreadPool pool(4, kMaxThreads);
  Poco::Net::ServerSocket socket;
  // SO_REUSEPORT is off: with it, two stand-ins on one port would share its connections.
  socket.bind(Poco::Net::SocketAddress(options.listen), true, false);
  socket.listen(256);
  auto* params = new Poco::Net::HTTPServerParams;  // POCO takes ownership.
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAliveTimeout(Poco::Timespan(120, 0));
  params->setMaxKeepAliveRequests(0);
  Poco::Net::HTTPServer server(new HandlerFactory(role, faults), pool, socket, params);
  server.start();
  std::cerr << "standin: " << options.role << " listens on " << options.listen << std::endl;

  int signal = 0;
  sigwait(&signals, &signal);
  faults->Stop();
  server.stopAll(true);
  pool.joinAll();
  return 0;
}

}  // namespace shallot::standin
