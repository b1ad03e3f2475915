// Median latency that the router and the agent add to a call, compared in the same run with plain
// round trips over the same libraries: POCO HTTP, and ZeroMQ with protobuf messages of 2 kB.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>
#include <iostream>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

#include "bench/bench_platform.h"
#include "bench/bench_report.h"
#include "drivers/agent_daemon.h"
#include "drivers/http_server.h"
#include "drivers/platform_http.h"
#include "drivers/router_daemon.h"
#include "drivers/wire/shallot.pb.h"
#include "servers/config_editor.h"

namespace shallot::bench {
namespace {

constexpr int kMeasuredRounds = 3000;
constexpr int kWarmUpRounds = 300;
constexpr size_t kBodyBytes = 2000;

const char* const kConfig =
    "[fleet]\nname = bench\nshards = 1\n[service desk]\ndescription = x\n[route desk all]\nmethod "
    "= GET\npath = /\nrepeatable = true\n";

double MeasureMicroseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

double Median(std::vector<double> values) {
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
                   values.end());
  return values[values.size() / 2];
}

/// HTTP client with one persistent connection to a loopback port.
class HttpClient {
 public:
  explicit HttpClient(int port) : session_("127.0.0.1", static_cast<uint16_t>(port)) {
    session_.setKeepAlive(true);
  }
  /// Returns the status of a GET; the body is read and discarded.
  int Get(const std::string& path) {
    Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
    request.setKeepAlive(true);
    session_.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session_.receiveResponse(response), body);
    return response.getStatus();
  }

 private:
  Poco::Net::HTTPClientSession session_;
};

/// ROUTER socket on a thread of its own that echoes protobuf messages of 2 kB to a DEALER socket.
class ZmqEcho {
 public:
  ZmqEcho() : server_(context_, zmq::socket_type::router), client_(context_, ZMQ_DEALER) {
    server_.bind("tcp://127.0.0.1:*");
    client_.connect(server_.get(zmq::sockopt::last_endpoint));
    thread_ = std::thread([this] { Serve(); });
  }
  ~ZmqEcho() {
    // Serve() returns on a message that is not valid protobuf. Unlike socket_t::send, the C
    // function does not throw.
    zmq_send(client_.handle(), "end", 3, 0);
    thread_.join();
  }
  ZmqEcho(const ZmqEcho&) = delete;
  ZmqEcho& operator=(const ZmqEcho&) = delete;

  void RoundTrip() {
    wire::Envelope envelope;
    envelope.mutable_call_start()->set_body(body_);
    client_.send(zmq::buffer(envelope.SerializeAsString()), zmq::send_flags::none);
    zmq::message_t reply;
    if (client_.recv(reply).has_value()) envelope.ParseFromArray(reply.data(), Size(reply));
  }

 private:
  static int Size(const zmq::message_t& message) { return static_cast<int>(message.size()); }
  void Serve() {
    while (true) {
      zmq::message_t identity;
      zmq::message_t request;
      if (!server_.recv(identity).has_value() || !server_.recv(request).has_value()) return;
      wire::Envelope envelope;
      if (!envelope.ParseFromArray(request.data(), Size(request))) return;
      server_.send(identity, zmq::send_flags::sndmore);
      server_.send(zmq::buffer(envelope.SerializeAsString()), zmq::send_flags::none);
    }
  }

  std::string body_ = std::string(kBodyBytes, 'x');
  zmq::context_t context_;
  zmq::socket_t server_;
  zmq::socket_t client_;
  std::thread thread_;
};

/// Writes the fleet configuration through the platform's HTTP interface; false when that fails.
bool ApplyConfig(const std::string& platform_address) {
  std::counting_semaphore<> wake(0);
  TaskRing ring(64, [&] { wake.release(); });
  PlatformHttp platform(platform_address, &ring);
  const SystemClock clock;
  ConfigEditor editor(&platform, &clock, 1);
  bool done = false;
  bool applied = false;
  editor.ApplyText(kConfig, {OperatorName("bench"), "benchmark", ConfigRevision(0)},
                   [&](const Result<ConfigRevision>& revision) {
                     done = true;
                     applied = IsOk(revision);
                     if (!applied) std::cerr << FormatError(ErrorOf(revision)) << '\n';
                   });
  while (!done) {
    wake.acquire();
    ring.RunPending(64);
  }
  platform.Stop();
  return applied;
}

ProcessSettings MakeProcess(const std::string& id) {
  ProcessSettings process;
  process.id = InstanceId(id);
  process.failure_domain = FailureDomain("d1");
  process.region = Region("r1");
  return process;
}

std::string InstanceJson(const std::string& id, const std::string& role, int port,
                         const std::string& runner) {
  return R"({"id":")" + id + R"(","role":")" + role + R"(","address":"127.0.0.1:)" +
         std::to_string(port) + R"(","failure_domain":"d1","region":"r1","runner":")" + runner +
         R"(","backend":"desk","leaving":false})";
}

/// One router and one agent in this process, in front of a plain HTTP service.
class SmallFleet {
 public:
  SmallFleet(const std::string& platform, const std::string& service)
      : agent_(MakeAgent(platform, service)), router_(MakeRouter(platform)) {}

  bool Start(BenchPlatform* platform) {
    if (!IsOk(agent_.Start()) || !IsOk(router_.Start())) return false;
    platform->SetInstances("[" + InstanceJson("a1", "agent", agent_.control_port(), "w1") + "," +
                           InstanceJson("r1", "router", router_.peer_port(), "") + "]");
    return true;
  }
  int caller_port() const { return router_.caller_port(); }
  void Stop() {
    router_.Stop();
    agent_.Stop();
  }

 private:
  static AgentSettings MakeAgent(const std::string& platform, const std::string& service) {
    AgentSettings settings;
    settings.process = MakeProcess("a1");
    settings.runner = RunnerId("w1");
    settings.backend = BackendName("desk");
    settings.control_address = settings.admin_address = "127.0.0.1:0";
    settings.service_address = service;
    settings.platform_address = platform;
    return settings;
  }
  static RouterSettings MakeRouter(const std::string& platform) {
    RouterSettings settings;
    settings.process = MakeProcess("r1");
    settings.caller_address = settings.peer_address = settings.admin_address = "127.0.0.1:0";
    settings.platform_address = platform;
    settings.caller_threads = 8;
    return settings;
  }

  AgentDaemon agent_;
  RouterDaemon router_;
};

/// Waits up to 10 s for a call to succeed; false when none does.
bool WaitUntilServed(HttpClient* caller) {
  const auto end = std::chrono::steady_clock::now() + Seconds(10);
  while (std::chrono::steady_clock::now() < end) {
    if (caller->Get("/services/desk/x") == 200) return true;
    std::this_thread::sleep_for(Millis(50));
  }
  return false;
}

int Measure() {
  const std::string answer(kBodyBytes, 'x');
  HttpServer service({.address = "127.0.0.1:0", .threads = 8}, [&](HttpExchange& exchange) {
    exchange.SendWhole(200, "text/plain", answer);
  });
  BenchPlatform platform;
  if (!IsOk(service.Start()) || !IsOk(platform.Start())) return 1;
  if (!ApplyConfig(platform.address())) return 1;
  SmallFleet fleet(platform.address(), "127.0.0.1:" + std::to_string(service.port()));
  if (!fleet.Start(&platform)) return 1;
  HttpClient caller(fleet.caller_port());
  HttpClient direct(service.port());
  ZmqEcho echo;
  if (!WaitUntilServed(&caller)) {
    std::cerr << "hops_bench: no call through the router succeeded within 10 s\n";
    return 1;
  }
  std::vector<double> routed_times;
  std::vector<double> http_times;
  std::vector<double> zmq_times;
  int failures = 0;
  // Interleaved, so that other load on the machine affects all three equally.
  for (int i = 0; i < kWarmUpRounds + kMeasuredRounds; ++i) {
    const double routed_us =
        MeasureMicroseconds([&] { failures += caller.Get("/services/desk/x") != 200; });
    const double http_us = MeasureMicroseconds([&] { failures += direct.Get("/x") != 200; });
    const double zmq_us = MeasureMicroseconds([&] { echo.RoundTrip(); });
    if (i < kWarmUpRounds) continue;
    routed_times.push_back(routed_us);
    http_times.push_back(http_us);
    zmq_times.push_back(zmq_us);
  }
  const double added_us = Median(routed_times) - Median(http_times);
  Print({"hops_http_round_trip_median", Median(http_times), "us", 0});
  Print({"hops_zmq_round_trip_median", Median(zmq_times), "us", 0});
  Print({"hops_added_by_router_and_agent_median", added_us, "us",
         Median(http_times) + Median(zmq_times)});
  Print({"hops_failed_calls", static_cast<double>(failures), "calls", 0});
  fleet.Stop();
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace shallot::bench

int main() {
  try {
    return shallot::bench::Measure();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "hops_bench: %s\n", error.what());
    return 1;
  }
}
