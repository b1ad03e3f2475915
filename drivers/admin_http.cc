#include "drivers/admin_http.h"

#include <functional>
#include <future>
#include <optional>

#include "drivers/caller_protocol.h"
#include "drivers/http_server.h"

namespace shallot {
namespace {

constexpr Seconds kQueryTimeout{2};
constexpr size_t kThreads = 4;
constexpr size_t kMaxBody = 4096;

}  // namespace

struct AdminHttp::State {
  State(const std::string& address, TaskRing* core_ring, AdminTarget* admin_target,
        const MetricsRegistry* registry, const InvariantMonitor* monitor)
      : ring(core_ring),
        target(admin_target),
        metrics(registry),
        invariants(monitor),
        server({.address = address,
                .threads = kThreads,
                .queue = kThreads * 4,
                .keep_alive = Millis(2000)},
               [this](HttpExchange& exchange) { Handle(exchange); }) {}

  void Handle(HttpExchange& exchange);
  void HandleGet(HttpExchange& exchange);
  void HandleDrain(HttpExchange& exchange);
  /// Runs `query` on the core's thread; returns nothing if the ring is full or the core does not
  /// respond in time.
  template <class T>
  std::optional<T> QueryCore(std::function<T()> query);

  TaskRing* ring;
  AdminTarget* target;
  const MetricsRegistry* metrics;
  const InvariantMonitor* invariants;
  HttpServer server;
};

template <class T>
std::optional<T> AdminHttp::State::QueryCore(std::function<T()> query) {
  const auto promise = std::make_shared<std::promise<T>>();
  std::future<T> answer = promise->get_future();
  if (!ring->TryPost([promise, query] { promise->set_value(query()); })) return std::nullopt;
  if (answer.wait_for(kQueryTimeout) != std::future_status::ready) return std::nullopt;
  return answer.get();
}

void AdminHttp::State::Handle(HttpExchange& exchange) {
  if (exchange.method() == "GET") {
    HandleGet(exchange);
    return;
  }
  if (exchange.method() == "POST" && exchange.target() == "/drain") {
    HandleDrain(exchange);
    return;
  }
  exchange.SendWhole(404, "application/json",
                     ErrorJson({ErrorKind::kNotFound, "there is no such operation",
                                "use GET /healthz, /readyz, /metrics, /status or POST /drain"}));
}

void AdminHttp::State::HandleGet(HttpExchange& exchange) {
  const std::string& path = exchange.target();
  if (path == "/metrics") {
    exchange.SendWhole(200, "text/plain; version=0.0.4", metrics->Render() + invariants->Render());
    return;
  }
  if (path == "/healthz") {
    const bool alive = QueryCore<bool>([] { return true; }).has_value();
    exchange.SendWhole(alive ? 200 : 503, "text/plain", alive ? "ok\n" : "core does not answer\n");
    return;
  }
  if (path == "/readyz") {
    const bool ready = QueryCore<bool>([this] { return target->Ready(); }).value_or(false);
    exchange.SendWhole(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    return;
  }
  const auto status = path == "/status"
                          ? QueryCore<std::string>([this] { return target->StatusJson(); })
                          : std::optional<std::string>();
  if (status.has_value()) {
    exchange.SendWhole(200, "application/json", *status);
    return;
  }
  const Error error = path == "/status"
                          ? Error{ErrorKind::kUnavailable, "the core does not answer", "try again"}
                          : Error{ErrorKind::kNotFound, "there is no path " + path,
                                  "use /healthz, /readyz, /metrics or /status"};
  exchange.SendWhole(StatusOfError(error), "application/json", ErrorJson(error));
}

void AdminHttp::State::HandleDrain(HttpExchange& exchange) {
  const Result<std::string> body = exchange.ReadBody(kMaxBody);
  const std::string reason =
      IsOk(body) && !ValueOf(body).empty() ? ValueOf(body) : "ordered by an operator";
  if (!ring->TryPost([this, reason] { target->BeginDrain(reason); })) {
    exchange.SendWhole(503, "application/json",
                       ErrorJson({ErrorKind::kUnavailable, "the core is busy", "try again"}));
    return;
  }
  exchange.SendWhole(202, "application/json", "{\"draining\":true}");
}

AdminHttp::AdminHttp(const std::string& address, TaskRing* ring, AdminTarget* target,
                     const MetricsRegistry* metrics, const InvariantMonitor* invariants)
    : state_(std::make_unique<State>(address, ring, target, metrics, invariants)) {}

AdminHttp::~AdminHttp() = default;

Status AdminHttp::Start(ServiceKernel& /*kernel*/) { return state_->server.Start(); }

void AdminHttp::Stop() { state_->server.Stop(); }

int AdminHttp::port() const { return state_->server.port(); }

}  // namespace shallot
