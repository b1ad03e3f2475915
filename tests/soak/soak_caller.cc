#include "tests/soak/soak_caller.h"

#include <fmt/format.h>

#include <algorithm>

namespace shallot::soak {
namespace {

using gateway::CallKind;
using gateway::TimerId;

/// A caller waits this much longer than its call's timeout before it ends the call without an
/// answer.
constexpr Millis kNoAnswerMargin{3'000};
/// Share of the calls whose caller disconnects early, and within which time of the send.
constexpr double kAbandonProbability = 0.06;
constexpr uint64_t kAbandonWithinMs = 250;
/// Share of the calls before which the caller picks a gateway again.
constexpr double kRepickProbability = 0.03;
/// Callers obey Retry-After up to this time.
constexpr Millis kMaxRetryAfter{1'000};
constexpr uint64_t kMaxBodyBytes = 3'000;
/// On a network like a real one, this share of the bodies is long.
constexpr double kLongBodyProbability = 0.2;
constexpr uint64_t kMaxLongBodyBytes = 300'000;
/// Probability that a stream call picks one of the two models that every engine holds at its start;
/// otherwise it picks any model.
constexpr double kInitialModelProbability = 0.8;

}  // namespace

SoakCaller::SoakCaller(SoakFleet* fleet, CallChecker* checker, size_t number)
    : fleet_(fleet), checker_(checker), number_(number), client_(fleet->loop()) {}

SoakCaller::~SoakCaller() {
  StopTimers();
  fleet_->loop()->Cancel(next_timer_);
}

void SoakCaller::StopTimers() {
  fleet_->loop()->Cancel(abandon_timer_);
  fleet_->loop()->Cancel(no_answer_timer_);
}

void SoakCaller::ScheduleNext(Millis pause) {
  const auto millis =
      static_cast<int64_t>(fleet_->random().Exponential(static_cast<double>(kMeanPause.count())));
  next_timer_ = fleet_->loop()->After(pause + Millis(millis), [this] {
    if (!finished_) Send();
  });
}

SentCall SoakCaller::MakeCall() {
  Random& random = fleet_->random();
  const std::vector<SoakRoute> routes = fleet_->Routes();
  const SoakRoute& route = routes[random.Below(routes.size())];
  SentCall call;
  call.id = RequestId(fmt::format("c{}-{}", number_, ++calls_));
  call.kind = route.kind;
  call.resumable = route.resumable;
  call.route = route.name;
  call.max_attempts = route.max_attempts;
  call.timeout = route.timeout;
  call.method = route.kind == CallKind::kIdempotent ? "GET" : "POST";
  call.target = fmt::format("{}{}?n={}", route.prefix, number_, calls_);
  if (call.method == "POST") {
    const bool may_be_long = fleet_->options().incident == Incident::kRealNetwork;
    const bool is_long = may_be_long && random.Unit() < kLongBodyProbability;
    call.body = std::string(random.Below(is_long ? kMaxLongBodyBytes : kMaxBodyBytes), 'x');
  }
  const Incident incident = fleet_->options().incident;
  if (incident == Incident::kDeadlyRequests && route.name == "lookup") {
    call.deadly = random.Unit() < fleet_->deadly_share();
    if (call.deadly) call.target = route.prefix + StandinRunner::kDeadlyQuery;
  }
  if (route.kind == CallKind::kStream) {
    const uint64_t model = random.Unit() < kInitialModelProbability
                               ? random.Below(2)
                               : random.Below(StandinRunner::kModels);
    call.model = fmt::format("m{}", model);
    call.deadly = incident == Incident::kDeadlyCalls && random.Unit() < fleet_->deadly_share();
  }
  call.gateway = *gateway_;
  call.sent_at = fleet_->loop()->Now();
  const auto answered = answered_at_.find(*gateway_);
  call.idle_since = answered == answered_at_.end() ? call.sent_at : answered->second;
  return call;
}

void SoakCaller::Send() {
  if (!gateway_ || fleet_->random().Unit() < kRepickProbability) gateway_ = fleet_->PickGateway();
  call_ = MakeCall();
  result_ = CallResult();
  result_.is_stream = call_.kind == CallKind::kStream;
  retry_after_ = Millis(0);
  server_closes_ = false;
  gateway::HttpMessage request;
  request.head.method = call_.method;
  request.head.target = call_.target;
  request.head.Set("Host", "soak.example");
  request.head.Set("Attempt-Id", call_.id.value());
  request.head.Set("Deadline-Ms", std::to_string(call_.timeout.count()));
  if (!call_.model.empty()) {
    request.head.Set("Model-Name", call_.model);
    request.head.Set("Token-Usage", "1000,60");
    const std::string middle =
        call_.deadly ? fmt::format("{}:100,", StandinRunner::kDeadlyPart) : "";
    request.head.Set("Prompt-Prefix", fmt::format("ab:800,{}{:x}:200", middle, number_));
  }
  request.body = call_.body;
  fleet_->ledger().OnSent(call_);
  exchange_ =
      client_.Start(fleet_->CallerAddress(*gateway_), gateway::FormatRequest(request), {}, this);
  no_answer_timer_ =
      fleet_->loop()->After(call_.timeout + kNoAnswerMargin, [this] { EndWithoutAnswer(); });
  if (fleet_->random().Unit() < kAbandonProbability) {
    abandon_timer_ = fleet_->loop()->After(Millis(fleet_->random().Below(kAbandonWithinMs)),
                                           [this] { Abandon(); });
  }
}

gateway::HeadVerdict SoakCaller::OnHead(const gateway::HttpHead& head) {
  result_.status = head.status;
  result_.sealed = head.Find("Server-Seal") != nullptr;
  server_closes_ = !head.keep_alive;
  const std::string* id = head.Find("Attempt-Id");
  if (id != nullptr && *id != call_.id.value()) {
    fleet_->ledger().AddViolation(
        fmt::format("call {} got the answer of {}", call_.id.value(), *id));
  }
  if (const std::string* pause = head.Find("Retry-After")) {
    retry_after_ = std::min(kMaxRetryAfter, Millis(static_cast<int64_t>(std::stod(*pause) * 1000)));
  }
  return gateway::HeadVerdict::kAccept;
}

void SoakCaller::OnComplete() { End(CallEnd::kAnswered); }

void SoakCaller::OnFailure(gateway::ExchangeFailure failure, const std::string& detail) {
  if (failure == gateway::ExchangeFailure::kMalformed) {
    fleet_->ledger().AddViolation(
        fmt::format("call {} got a malformed answer: {}", call_.id.value(), detail));
  }
  gateway_.reset();
  // Without a connection the call was not sent.
  End(failure == gateway::ExchangeFailure::kNotConnected ? CallEnd::kAbandoned
                                                         : CallEnd::kConnectionLost);
}

void SoakCaller::Abandon() {
  client_.Cancel(*exchange_);
  checker_->OnAbandoned(call_, fleet_->loop()->Now());
  End(CallEnd::kAbandoned);
}

void SoakCaller::EndWithoutAnswer() {
  client_.Cancel(*exchange_);
  gateway_.reset();
  End(CallEnd::kNoAnswer);
}

void SoakCaller::End(CallEnd end) {
  StopTimers();
  exchange_.reset();
  result_.end = end;
  result_.at = fleet_->loop()->Now();
  if (end == CallEnd::kAnswered) answered_at_[call_.gateway] = result_.at;
  // The runners have recorded what they did before the caller could know of it.
  fleet_->processes().ReadRecords();
  fleet_->ledger().OnResult(call_.id, result_);
  checker_->OnResult(call_, result_);
  // Like the platform's callers, it retries at a newly picked gateway, over a new connection.
  if (server_closes_ || result_.status == 503) gateway_.reset();
  ScheduleNext(retry_after_);
}

}  // namespace shallot::soak
