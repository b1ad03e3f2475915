#include "drivers/caller_http.h"

#include <atomic>
#include <future>
#include <utility>

#include "core/log.h"
#include "core/random.h"
#include "drivers/answer_channel.h"
#include "drivers/caller_protocol.h"
#include "drivers/http_server.h"

namespace shallot {
namespace {

// Interval at which a waiting call checks whether its caller is still connected. Answers are
// forwarded without waiting for it.
constexpr Millis kCallerCheckInterval{100};
constexpr Seconds kQueryTimeout{2};

const Error kRouterBusy{ErrorKind::kUnavailable,
                        "the router cannot accept more requests at the moment",
                        "try again in a second"};

}  // namespace

struct CallerHttp::State {
  State(CallerHttpOptions given, TaskRing* core_ring, RouterApi* router_api,
        MetricsRegistry* metrics)
      : options(std::move(given)),
        ring(core_ring),
        router(router_api),
        ring_full_count(&metrics->GetCounter("shallot_caller_ring_full_total")),
        caller_gone_count(&metrics->GetCounter("shallot_caller_gone_total")),
        caller_too_slow_count(&metrics->GetCounter("shallot_caller_too_slow_total")),
        id_prefix(options.router + "-" + std::to_string(EntropySeed() % 0xffffffffU) + "-"),
        server({.address = options.address, .threads = options.threads, .queue = options.threads},
               [this](HttpExchange& exchange) { Handle(exchange); }) {}

  void Handle(HttpExchange& exchange);
  void ListModels(HttpExchange& exchange);
  void SendError(HttpExchange& exchange, const Error& error);
  void SendOutcome(HttpExchange& exchange, const Outcome& outcome);
  void RunCall(HttpExchange& exchange, const CallerRequest& request);
  void SendWholeAnswer(HttpExchange& exchange, const std::shared_ptr<AnswerChannel>& channel);
  void StreamAnswer(HttpExchange& exchange, const std::shared_ptr<AnswerChannel>& channel);
  bool SendBatch(HttpExchange& exchange, const AnswerBatch& batch, bool* streaming);
  void Cancel(const std::shared_ptr<AnswerChannel>& channel, Counter* counter);

  CallerHttpOptions options;
  TaskRing* ring;
  RouterApi* router;
  Counter* ring_full_count;
  Counter* caller_gone_count;
  Counter* caller_too_slow_count;
  std::string id_prefix;
  std::atomic<uint64_t> last_request{0};
  HttpServer server;
};

void CallerHttp::State::SendError(HttpExchange& exchange, const Error& error) {
  exchange.SetHeader("X-Shallot-Outcome", OutcomeKindName(OutcomeKind::kNotRun));
  const int status = StatusOfError(error);
  if (status == 503) exchange.SetHeader("Retry-After", "1");
  exchange.SendWhole(status, "application/json", ErrorJson(error));
}

void CallerHttp::State::SendOutcome(HttpExchange& exchange, const Outcome& outcome) {
  const std::string retry_after = RetryAfter(outcome);
  if (!retry_after.empty()) exchange.SetHeader("Retry-After", retry_after);
  exchange.SetHeader("X-Shallot-Outcome", OutcomeKindName(outcome.kind));
  exchange.SendWhole(StatusOfOutcome(outcome), "application/json", OutcomeJson(outcome));
}

void CallerHttp::State::Handle(HttpExchange& exchange) {
  CallerHttpRequest request;
  request.method = exchange.method();
  request.target = exchange.target();
  request.content_type = exchange.Header("Content-Type");
  request.idempotency_key = exchange.Header("Idempotency-Key");
  request.key_time = exchange.Header("X-Shallot-Key-Time");
  request.deadline_ms = exchange.Header("X-Shallot-Deadline-Ms");
  request.call_class = exchange.Header("X-Shallot-Class");
  request.request_id = exchange.Header("X-Request-Id");
  if (request.request_id.empty()) request.request_id = id_prefix + std::to_string(++last_request);
  exchange.SetHeader("X-Request-Id", request.request_id);
  if (request.method == "GET" && request.target == "/v1/models") {
    ListModels(exchange);
    return;
  }
  Result<std::string> body = exchange.ReadBody(kMaxCallerBody);
  if (!IsOk(body)) {
    SendError(exchange, ErrorOf(body));
    return;
  }
  request.body = ValueOf(std::move(body));
  const Result<CallerRequest> parsed = ParseCallerRequest(request);
  if (!IsOk(parsed)) {
    SendError(exchange, ErrorOf(parsed));
    return;
  }
  RunCall(exchange, ValueOf(parsed));
}

void CallerHttp::State::ListModels(HttpExchange& exchange) {
  const auto names = std::make_shared<std::promise<std::vector<std::string>>>();
  std::future<std::vector<std::string>> answer = names->get_future();
  const bool posted = ring->TryPost([this, names] { names->set_value(router->ModelNames()); });
  if (!posted || answer.wait_for(kQueryTimeout) != std::future_status::ready) {
    SendError(exchange, kRouterBusy);
    return;
  }
  exchange.SendWhole(200, "application/json", ModelsJson(answer.get()));
}

void CallerHttp::State::RunCall(HttpExchange& exchange, const CallerRequest& request) {
  auto channel = std::make_shared<AnswerChannel>(options.answer_limit, request.stream);
  channel->SetOnOverflow([this, weak = std::weak_ptr<AnswerChannel>(channel)] {
    const std::shared_ptr<AnswerChannel> full = weak.lock();
    // Runs on the core's thread, which must not wait for room in the ring; the next dropped part
    // retries.
    if (full == nullptr) return;
    (void)ring->TryPost([this, full] { router->CancelByCaller(full->call()); });
  });
  const bool posted = ring->TryPost(
      [this, request, channel] { channel->set_call(router->Submit(request, channel)); });
  if (!posted) {
    ring_full_count->Add();
    SendError(exchange, kRouterBusy);
    return;
  }
  if (request.stream) {
    StreamAnswer(exchange, channel);
  } else {
    SendWholeAnswer(exchange, channel);
  }
}

void CallerHttp::State::Cancel(const std::shared_ptr<AnswerChannel>& channel, Counter* counter) {
  counter->Add();
  ring->PostCompletion([this, channel] { router->CancelByCaller(channel->call()); });
}

void CallerHttp::State::SendWholeAnswer(HttpExchange& exchange,
                                        const std::shared_ptr<AnswerChannel>& channel) {
  AnswerBatch answer;
  while (!answer.end.has_value()) {
    AnswerBatch batch = channel->Wait(kCallerCheckInterval);
    if (batch.empty() && exchange.PeerClosed()) {
      Cancel(channel, caller_gone_count);
      return;
    }
    if (batch.began) {
      answer.http_status = batch.http_status;
      answer.content_type = batch.content_type;
    }
    answer.data += batch.data;
    answer.end = std::move(batch.end);
  }
  if (answer.end->kind != OutcomeKind::kCompleted || channel->overflowed()) {
    SendOutcome(exchange, *answer.end);
    return;
  }
  exchange.SetHeader("X-Shallot-Outcome", OutcomeKindName(OutcomeKind::kCompleted));
  exchange.SendWhole(answer.http_status, answer.content_type, answer.data);
}

bool CallerHttp::State::SendBatch(HttpExchange& exchange, const AnswerBatch& batch,
                                  bool* streaming) {
  if (batch.began) {
    *streaming = true;
    exchange.SetHeader("Cache-Control", "no-cache");
    if (!exchange.BeginStream(batch.http_status, batch.content_type)) return false;
  }
  return batch.data.empty() || exchange.Write(batch.data);
}

void CallerHttp::State::StreamAnswer(HttpExchange& exchange,
                                     const std::shared_ptr<AnswerChannel>& channel) {
  bool streaming = false;
  while (true) {
    const AnswerBatch batch = channel->Wait(kCallerCheckInterval);
    const bool disconnected =
        batch.empty() ? exchange.PeerClosed() : !SendBatch(exchange, batch, &streaming);
    if (disconnected) {
      Cancel(channel, channel->overflowed() ? caller_too_slow_count : caller_gone_count);
      return;
    }
    if (!batch.end.has_value()) continue;
    if (!streaming) {
      SendOutcome(exchange, *batch.end);
    } else if (batch.end->kind != OutcomeKind::kCompleted || channel->overflowed()) {
      exchange.Write("event: error\ndata: " + OutcomeJson(*batch.end) + "\n\n");
    }
    return;
  }
}

CallerHttp::CallerHttp(CallerHttpOptions options, TaskRing* ring, RouterApi* router,
                       MetricsRegistry* metrics)
    : state_(std::make_unique<State>(std::move(options), ring, router, metrics)) {}

CallerHttp::~CallerHttp() = default;

Status CallerHttp::Start(ServiceKernel& /*kernel*/) { return state_->server.Start(); }

void CallerHttp::Stop() { state_->server.Stop(); }

int CallerHttp::port() const { return state_->server.port(); }

}  // namespace shallot
