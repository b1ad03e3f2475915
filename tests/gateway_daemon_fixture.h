#ifndef TESTS_GATEWAY_DAEMON_FIXTURE_H_
#define TESTS_GATEWAY_DAEMON_FIXTURE_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "drivers/gateway/gateway_daemon.h"
#include "platform/platform_codec.h"
#include "tests/gateway_fake_platform.h"

namespace shallot::gateway {

inline constexpr const char* kConfig =
    R"({"version":1,"routes":[
{"name":"plain","hostname":"h.example","path-prefix":"/p/","kind":"idempotent","timeout-ms":20000,
"target-latency-ms":100,"service":"engine","max-attempts":1},
{"name":"stream","hostname":"h.example","path-prefix":"/s/","kind":"stream","timeout-ms":20000,
"target-latency-ms":800,"service":"models","max-attempts":1,"gap-aim-ms":400}],
"services":[{"name":"engine","max-conns":10},{"name":"models","max-conns":10,"engine":{"slots":8,
"weights-mb":100,"adapter-slots":2,"loads-per-s":2,"models":[{"name":"m1","weights-mb":10,
"load-s":1,"warm-s":0.01,"disk-s":0.02},{"name":"m2","weights-mb":10,"load-s":30}]}}]})";

/// kConfig as another version, with one more route to the runner.
inline std::string ConfigWithRoute(int version, const std::string& prefix) {
  std::string config = kConfig;
  const std::string from = "{\"version\":1,\"routes\":[";
  const std::string route = R"({"name":"added","hostname":"h.example","path-prefix":")" + prefix +
                            R"(","kind":"idempotent","timeout-ms":20000,"target-latency-ms":100,)"
                            R"("service":"engine","max-attempts":1},)";
  config.replace(config.find(from), from.size(),
                 "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route);
  return config;
}

/// Limit on waiting for a condition. Conditions normally hold within a second; only a hang reaches
/// the limit.
inline constexpr Seconds kConditionTimeout{30};

struct Reply {
  int status = 0;
  std::string body;
  std::string retry_after;
  std::string call_id;
};

/// Starts a gateway on addresses that it writes to `settings`, which must outlive it. Another
/// process may take a free port before the gateway does, so a few are tried. Null if none can be
/// had.
inline std::unique_ptr<GatewayDaemon> StartOnFreePorts(GatewaySettings* settings,
                                                       const PlatformProtocol* protocol) {
  constexpr int kTries = 5;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    settings->caller_address = FreeLoopbackAddress();
    settings->readiness_address = FreeLoopbackAddress();
    settings->peer_address = FreeLoopbackAddress();
    settings->metrics_address = FreeLoopbackAddress();
    auto daemon = std::make_unique<GatewayDaemon>(
        *settings, protocol, [settings] { return Result<GatewaySettings>(*settings); });
    const Status started = daemon->Start();
    if (IsOk(started)) return daemon;
    MESSAGE(FormatError(ErrorOf(started)));
  }
  return nullptr;
}

/// A gateway with a fake platform, and a caller of it.
class GatewayFixture {
 public:
  /// `memory_mb`: 0 leaves the default.
  explicit GatewayFixture(const GatewayPolicy& policy = {}, double memory_mb = 0) {
    settings_.policy = policy;
    if (memory_mb > 0) settings_.memory_mb = memory_mb;
    settings_.instance = InstanceId("front-1");
    settings_.domain = FailureDomain("north");
    settings_.store_address = platform_.store_address();
    daemon_ = StartOnFreePorts(&settings_, &codec_);
    REQUIRE(daemon_ != nullptr);
  }

  ~GatewayFixture() { daemon_->Stop(); }

  Reply Send(const std::string& address, const std::string& method, const std::string& path,
             const std::string& body = "", const std::string& model = "",
             const std::string& prompt = "") {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(30, 0));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setHost("h.example");
    request.set("Attempt-Id", call_id_.empty() ? "call-" + std::to_string(++calls_) : call_id_);
    request.set("Deadline-Ms", "10000");
    if (!key_.empty()) request.set("Credential", key_);
    if (!model.empty()) request.set("Model-Name", model);
    if (!prompt.empty()) request.set("Prompt-Prefix", prompt);
    for (const auto& [name, value] : fields_) request.add(name, value);
    request.setContentLength(static_cast<int64_t>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    Reply reply;
    reply.status = response.getStatus();
    reply.retry_after = response.get("Retry-After", "");
    reply.call_id = response.get("Attempt-Id", "");
    Poco::StreamCopier::copyToString(stream, reply.body);
    return reply;
  }

  Reply Call(const std::string& path, const std::string& model = "",
             const std::string& prompt = "") {
    return Send(settings_.caller_address, "POST", path, "body", model, prompt);
  }

  /// As Call(), but returns the bytes that arrive until the gateway closes the connection, or until
  /// `kQuietTime` without any.
  std::string CallRaw(const std::string& path, const std::string& model,
                      const std::string& body = "") {
    constexpr int kQuietTime = 1'000'000;  // Microseconds.
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(settings_.caller_address)};
    const std::string request =
        "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: raw-" +
        std::to_string(++calls_) + "\r\nDeadline-Ms: 10000\r\nModel-Name: " + model +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    std::array<char, 4'096> buffer{};
    while (caller.poll(Poco::Timespan(kQuietTime), Poco::Net::Socket::SELECT_READ)) {
      try {
        const int bytes = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (bytes <= 0) break;
        received.append(buffer.data(), static_cast<size_t>(bytes));
      } catch (const Poco::Exception&) {
        break;  // The gateway has reset the connection.
      }
    }
    return received;
  }

  int Readiness() {
    return Send(settings_.readiness_address, "GET", codec_.ReadinessPath()).status;
  }

  /// Sends readiness requests, each of which waits for its answer, until the condition holds.
  /// Returns false after the time limit.
  template <class Condition>
  bool Await(Condition condition) {
    const SystemClock clock;
    const SteadyTime end = clock.SteadyNow() + kConditionTimeout;
    while (clock.SteadyNow() < end) {
      if (condition()) return true;
      (void)Readiness();
    }
    return false;
  }

  bool AwaitReady() {
    return Await([this] { return Readiness() == 200; });
  }

  void Configure(const std::string& runner_backend) {
    std::string config = kConfig;
    // The fake platform has a single runner, of backend "engine", so the tested backend takes that
    // name.
    if (runner_backend == "models") {
      const std::string from = "\"service\":\"models\"";
      config.replace(config.find(from), from.size(), "\"service\":\"engine\"");
      const std::string name = "{\"name\":\"models\"";
      config.replace(config.find(name), name.size(), "{\"name\":\"engine\"");
      const std::string plain = "{\"name\":\"engine\",\"max-conns\":10},";
      config.erase(config.find(plain), plain.size());
    }
    platform_.Put("op/config", config);
    platform_.PutRunner();
  }

  /// Adds a second runner of backend "engine" that holds m1 and is preferred to the first one.
  void AddRunner(const std::string& address, const std::string& id = "a-0", uint64_t born = 1,
                 const std::string& state = "ready") {
    platform_.Put("servers/" + id,
                  R"({"service":"engine","address":")" + address +
                      R"(","zone":"north","version":"v1","slots":8,"seq":1,"state":")" + state +
                      R"(","born":)" + std::to_string(born) +
                      R"(,"models":[{"name":"m1","version":1,"adapters":[]}]})");
  }

  /// Writes kConfig with its models at backend "engine", and each first text of `changes` replaced
  /// by the second. The runners are those that the test adds.
  void ConfigureModels(std::vector<std::pair<std::string, std::string>> changes) {
    changes.insert(changes.end(), {{"\"service\":\"models\"", "\"service\":\"engine\""},
                                   {"{\"name\":\"engine\",\"max-conns\":10},", ""},
                                   {"{\"name\":\"models\"", "{\"name\":\"engine\""}});
    std::string config = kConfig;
    for (const auto& [from, to] : changes) {
      REQUIRE(config.find(from) != std::string::npos);
      config.replace(config.find(from), from.size(), to);
    }
    platform_.Put("op/config", config);
  }

  /// As ConfigureModels(), with resumable streams and a short gap target.
  void ConfigureResumable() {
    ConfigureModels({{"\"max-attempts\":1,\"gap-aim-ms\":400",
                      "\"max-attempts\":2,\"resumable\":true,\"gap-aim-ms\":50"}});
  }

  FakePlatform platform_;
  platform::PlatformCodec codec_;
  GatewaySettings settings_;
  std::unique_ptr<GatewayDaemon> daemon_;
  int calls_ = 0;
  /// Id of the next calls; empty: each gets another one.
  std::string call_id_;
  /// Further fields of the next requests.
  std::vector<std::pair<std::string, std::string>> fields_;
  /// Key of the next calls; empty: none.
  std::string key_;
};

/// The value of one of the gateway's metrics; 0 if it is not exposed yet.
inline int64_t Metric(GatewayFixture* fixture, const std::string& name) {
  const std::string text =
      "\n" + fixture->Send(fixture->settings_.metrics_address, "GET", "/metrics").body;
  const size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0 : std::stoll(text.substr(at + name.size() + 2));
}

/// A second gateway of a fixture's platform.
class SecondGateway {
 public:
  SecondGateway(const GatewayFixture& first, const std::string& store_address)
      : settings_(first.settings_) {
    settings_.instance = InstanceId("front-2");
    settings_.store_address = store_address;
    daemon_ = StartOnFreePorts(&settings_, &first.codec_);
    REQUIRE(daemon_ != nullptr);
  }
  ~SecondGateway() { daemon_->Stop(); }

  const GatewaySettings& settings() const { return settings_; }

 private:
  GatewaySettings settings_;
  std::unique_ptr<GatewayDaemon> daemon_;
};

/// The answer of a scripted runner up to the end of its head; the id is that of the request.
inline std::string AnswerHead(const std::string& request, const std::string& fields) {
  const std::string name = "Attempt-Id: ";
  const size_t at = request.find(name) + name.size();
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.substr(at, request.find('\r', at) - at) +
         "\r\n" + fields + "\r\n";
}

inline constexpr const char* kChunkedSealed = "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n";
}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_DAEMON_FIXTURE_H_
