#include "drivers/http_call_runner.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "core/log.h"
#include "drivers/http_reply.h"
#include "drivers/http_worker_pool.h"

namespace shallot {
namespace {

// The core cancels a call at its deadline; the margin lets the response to that cancellation arrive
// before the connection times out.
constexpr Millis kDeadlineMargin{3000};
// Longest time without data within an answer; engines send a token every 35 ms in 95% of the cases.
constexpr Millis kReadTimeout{20'000};
constexpr Millis kCancelTimeout{3000};
constexpr int kMaxResumes = 4;
constexpr Millis kResumeDelay{50};
constexpr int kMaxCancels = 4;
constexpr Millis kCancelRetryDelay{20};
constexpr size_t kControlThreads = 4;
constexpr size_t kMaxErrorDetail = 200;
// An answer of a declared length up to this size is passed to the core in one task.
constexpr int64_t kMaxWholeAnswerBytes = 256 << 10;

enum class Phase { kQueued, kSent, kCancelled };

/// One call, shared between the core's thread and a worker thread.
struct RunningCall {
  CallId id;
  RequestId request_id;
  HttpRequest request;
  Millis timeout{0};
  AnswerSink* sink = nullptr;
  std::atomic<Phase> phase{Phase::kQueued};
  std::atomic<bool> answer_begun{false};
  std::atomic<bool> ended{false};
};
using RunningCallPtr = std::shared_ptr<RunningCall>;

Result<CancelResult> ToCancelResult(const Result<HttpReply>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const HttpReply& reply = ValueOf(result);
  if (reply.status == 404) return CancelResult::kNotFound;
  if (reply.status == 204) return CancelResult::kStopped;
  if (reply.status != 200) return StatusError(reply, "cancellation");
  const nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
  const bool ended =
      json.is_object() && json.contains("result") && json["result"] == "already-ended";
  return ended ? CancelResult::kAlreadyEnded : CancelResult::kStopped;
}

}  // namespace

struct HttpCallRunner::State {
  State(CallRunnerOptions given, TaskRing* core_ring)
      : options(std::move(given)),
        ring(core_ring),
        workers({.address = options.address, .max_threads = options.max_calls}),
        control({.address = options.address, .max_threads = kControlThreads}) {}

  void Run(HttpConnection& connection, const RunningCallPtr& call);
  /// Forwards the answer from `offset` to the sink; returns true if the call has ended.
  bool ForwardAnswer(HttpConnection& connection, const RunningCallPtr& call, const HttpReply& head,
                     uint64_t* offset);
  bool ForwardWhole(HttpConnection& connection, const RunningCallPtr& call, const HttpReply& head);
  void EndWithErrorStatus(HttpConnection& connection, const RunningCallPtr& call,
                          const HttpReply& head, ExecutionEnd end);
  void ResumeUntilEnd(HttpConnection& connection, const RunningCallPtr& call, uint64_t offset);
  void PostBegin(const RunningCallPtr& call, const HttpReply& head);
  void PostEnd(const RunningCallPtr& call, ExecutionEnd end, const std::string& message);
  void RemoveAndEnd(const RunningCallPtr& call, ExecutionEnd end, const std::string& message);
  void SendCancel(HttpConnection& connection, const RunningCallPtr& call, const CallId& id,
                  const BackendServer::CancelCallback& done);

  CallRunnerOptions options;
  TaskRing* ring;
  HttpWorkerPool workers;
  HttpWorkerPool control;
  /// Accessed on the core's thread only.
  std::unordered_map<CallId, RunningCallPtr> calls;
};

void HttpCallRunner::State::RemoveAndEnd(const RunningCallPtr& call, ExecutionEnd end,
                                         const std::string& message) {
  const auto found = calls.find(call->id);
  if (found != calls.end() && found->second == call) calls.erase(found);
  call->sink->OnEnd(end, message);
}

void HttpCallRunner::State::PostEnd(const RunningCallPtr& call, ExecutionEnd end,
                                    const std::string& message) {
  call->ended.store(true);
  ring->PostCompletion([this, call, end, message] { RemoveAndEnd(call, end, message); });
}

void HttpCallRunner::State::PostBegin(const RunningCallPtr& call, const HttpReply& head) {
  if (call->answer_begun.exchange(true)) return;
  ring->PostCompletion([call, status = head.status, type = head.content_type] {
    call->sink->OnBegin(status, type);
  });
}

void HttpCallRunner::State::Run(HttpConnection& connection, const RunningCallPtr& call) {
  Phase queued = Phase::kQueued;
  if (!call->phase.compare_exchange_strong(queued, Phase::kSent)) {
    PostEnd(call, ExecutionEnd::kNotStarted, "cancelled before it was sent");
    return;
  }
  const Result<HttpReply> head = connection.Begin(call->request, call->timeout);
  uint64_t offset = 0;
  if (!IsOk(head)) {
    const Error& error = ErrorOf(head);
    if (error.kind == ErrorKind::kUnavailable) {
      PostEnd(call, ExecutionEnd::kNotStarted, error.message);
      return;
    }
    LogWarning("backend", error.message, call->request_id.value());
  } else if (ForwardAnswer(connection, call, ValueOf(head), &offset)) {
    return;
  }
  ResumeUntilEnd(connection, call, offset);
}

void HttpCallRunner::State::EndWithErrorStatus(HttpConnection& connection,
                                               const RunningCallPtr& call, const HttpReply& head,
                                               ExecutionEnd end) {
  const Result<std::string> body = connection.ReadSome(call->timeout);
  std::string detail = IsOk(body) ? ValueOf(body).substr(0, kMaxErrorDetail) : "";
  if (!IsOk(body) || ValueOf(body).size() != static_cast<size_t>(head.content_length)) {
    connection.Reset();
  }
  PostEnd(call, end,
          "backend server answered with status " + std::to_string(head.status) + ": " + detail);
}

bool HttpCallRunner::State::ForwardWhole(HttpConnection& connection, const RunningCallPtr& call,
                                         const HttpReply& head) {
  std::string body;
  while (true) {
    const Result<std::string> bytes = connection.ReadSome(kReadTimeout);
    if (!IsOk(bytes)) return false;
    if (ValueOf(bytes).empty()) break;
    body += ValueOf(bytes);
  }
  call->answer_begun.store(true);
  call->ended.store(true);
  // One task on the core's thread instead of three.
  ring->PostCompletion([this, call, body, status = head.status, type = head.content_type] {
    call->sink->OnBegin(status, type);
    if (!body.empty()) call->sink->OnData(body);
    RemoveAndEnd(call, ExecutionEnd::kCompleted, "");
  });
  return true;
}

bool HttpCallRunner::State::ForwardAnswer(HttpConnection& connection, const RunningCallPtr& call,
                                          const HttpReply& head, uint64_t* offset) {
  if (head.status == options.not_started_status) {
    EndWithErrorStatus(connection, call, head, ExecutionEnd::kNotStarted);
    return true;
  }
  if (head.status >= 500) {
    EndWithErrorStatus(connection, call, head, ExecutionEnd::kFailed);
    return true;
  }
  const bool whole = head.content_length >= 0 && head.content_length <= kMaxWholeAnswerBytes;
  if (whole && !call->answer_begun.load()) return ForwardWhole(connection, call, head);
  PostBegin(call, head);
  while (true) {
    const Result<std::string> bytes = connection.ReadSome(kReadTimeout);
    if (!IsOk(bytes)) return false;
    if (ValueOf(bytes).empty()) break;
    *offset += ValueOf(bytes).size();
    ring->PostCompletion([call, data = ValueOf(bytes)] { call->sink->OnData(data); });
  }
  PostEnd(call, ExecutionEnd::kCompleted, "");
  return true;
}

void HttpCallRunner::State::ResumeUntilEnd(HttpConnection& connection, const RunningCallPtr& call,
                                           uint64_t offset) {
  const std::string message = "connection to the backend server broke and could not be resumed";
  if (options.resume_path.empty()) {
    PostEnd(call, ExecutionEnd::kUnknown, "connection to the backend server broke");
    return;
  }
  for (int attempt = 0; attempt < kMaxResumes && !workers.stopping(); ++attempt) {
    if (attempt > 0) workers.Pause(kResumeDelay * attempt);
    HttpRequest request;
    request.path = options.resume_path + "/" + EncodePath(call->id.value()) +
                   "?offset=" + std::to_string(offset);
    const Result<HttpReply> head = connection.Begin(request, call->timeout);
    if (!IsOk(head)) continue;
    if (ValueOf(head).status != 200) {
      connection.Reset();
      break;
    }
    if (ForwardAnswer(connection, call, ValueOf(head), &offset)) return;
  }
  PostEnd(call, ExecutionEnd::kUnknown, message);
}

void HttpCallRunner::State::SendCancel(HttpConnection& connection, const RunningCallPtr& call,
                                       const CallId& id,
                                       const BackendServer::CancelCallback& done) {
  HttpRequest request;
  request.method = "DELETE";
  request.path = options.cancel_path + "/" + EncodePath(id.value());
  Result<CancelResult> result = CancelResult::kNotFound;
  for (int attempt = 0; attempt < kMaxCancels && !control.stopping(); ++attempt) {
    if (attempt > 0) control.Pause(kCancelRetryDelay);
    result = ToCancelResult(connection.Exchange(request, kCancelTimeout));
    const bool not_found = IsOk(result) && ValueOf(result) == CancelResult::kNotFound;
    // A cancellation can overtake its call, so "not found" may mean "not yet received" while the
    // call runs.
    if (!not_found || call == nullptr || call->ended.load()) break;
  }
  ring->PostCompletion([done, result] { done(result); });
}

HttpCallRunner::HttpCallRunner(CallRunnerOptions options, TaskRing* ring)
    : state_(std::make_shared<State>(std::move(options), ring)) {}

HttpCallRunner::~HttpCallRunner() { Stop(); }

void HttpCallRunner::Start(const Call& call, const HttpRequest& request, AnswerSink* sink) {
  auto running = std::make_shared<RunningCall>();
  running->id = call.id;
  running->request_id = call.request_id;
  running->request = request;
  running->timeout = std::max(call.remaining, Millis(0)) + kDeadlineMargin;
  running->sink = sink;
  state_->calls[call.id] = running;
  State* state = state_.get();
  const bool queued = state->workers.Submit(
      [state, running](HttpConnection& connection) { state->Run(connection, running); });
  if (queued) return;
  const std::string full = "queue of calls to the backend server is full";
  const bool posted = state->ring->TryPost(
      [state, running, full] { state->RemoveAndEnd(running, ExecutionEnd::kNotStarted, full); });
  // The thread that runs the ring must not wait for room in it.
  if (!posted) state->RemoveAndEnd(running, ExecutionEnd::kNotStarted, full);
}

void HttpCallRunner::Cancel(const CallId& call, const BackendServer::CancelCallback& done) {
  const auto found = state_->calls.find(call);
  const RunningCallPtr running = found == state_->calls.end() ? nullptr : found->second;
  Phase queued = Phase::kQueued;
  if (running != nullptr && running->phase.compare_exchange_strong(queued, Phase::kCancelled)) {
    const Result<CancelResult> stopped = CancelResult::kStopped;
    if (!state_->ring->TryPost([done, stopped] { done(stopped); })) done(stopped);
    return;
  }
  State* state = state_.get();
  const bool submitted =
      state->control.Submit([state, running, call, done](HttpConnection& connection) {
        state->SendCancel(connection, running, call, done);
      });
  if (submitted) return;
  const Result<CancelResult> full =
      Error{ErrorKind::kUnavailable, "queue of cancellations is full", "try again later"};
  if (!state->ring->TryPost([done, full] { done(full); })) done(full);
}

void HttpCallRunner::Stop() {
  state_->control.Stop();
  state_->workers.Stop();
}

}  // namespace shallot
