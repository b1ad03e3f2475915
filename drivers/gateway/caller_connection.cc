#include "drivers/gateway/caller_connection.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>

#include "core/log.h"

namespace shallot::gateway {

CallerConnection::CallerConnection(CallerListener* listener,
                                   const Poco::Net::StreamSocket& accepted, std::string caller)
    : listener_(listener),
      parser_(HttpParser::Kind::kRequest, listener->limits().max_header_bytes,
              listener->limits().max_body_bytes),
      tcp_(listener->loop(), this, accepted),
      caller_(std::move(caller)),
      held_answer_(listener->budget(), BufferKind::kAnswer),
      held_body_(listener->budget(), BufferKind::kBody) {
  ArmTimer();
}

CallerConnection::~CallerConnection() { StopTimer(); }

void CallerConnection::StopTimer() {
  if (timer_ != TimerId()) listener_->loop()->Cancel(timer_);
  timer_ = TimerId();
}

Millis CallerConnection::TimeLimit() const {
  const CallerLimits& limits = listener_->limits();
  const bool reading = parser_.begun() && !parser_.head_done();
  return reading ? limits.header_timeout : limits.idle_timeout;
}

void CallerConnection::ArmTimer() {
  waiting_since_ = listener_->loop()->Now();
  StartTimer();
}

void CallerConnection::StartTimer() {
  StopTimer();
  if (busy_) return;
  const SteadyTime end = waiting_since_ + Duration(TimeLimit());
  timer_ = listener_->loop()->After(end - listener_->loop()->Now(), [this] {
    timer_ = TimerId();
    if (tcp_.queued_bytes() > 0) {
      // The last answer is still being read; a caller that has gone ends the connection itself.
      ArmTimer();
      return;
    }
    if (listener_->loop()->Now() < waiting_since_ + Duration(TimeLimit())) {
      // A newer configuration allows more time. One that allows less counts from the next wait on:
      // callers that were told the longer time may be about to send.
      StartTimer();
      return;
    }
    // The idle timeout also limits the time between two parts of a request's body.
    LogInfo("caller", "closing the connection: timeout while waiting for data");
    tcp_.Close(false);
    listener_->Drop(this);
  });
}

void CallerConnection::OnData(std::string_view bytes) {
  input_ += bytes;
  if (busy_ || MustReadFirst()) {
    if (input_.size() > kMaxPipelinedBytes) {
      LogWarning("caller", "too many pipelined bytes; closing the connection");
      OnEnd(true);
      tcp_.Close(true);
    }
    return;
  }
  Parse();
}

void CallerConnection::Parse() {
  while (!busy_ && !input_.empty() && tcp_.open() && !closing_when_drained_ && !MustReadFirst()) {
    if (!parser_.begun()) {
      // The configuration may have changed since the connection's last request.
      parser_.SetLimits(listener_->limits().max_header_bytes, listener_->limits().max_body_bytes);
      request_started_at_ = listener_->loop()->Now();
    }
    const Result<size_t> used = parser_.Feed(input_);
    if (!IsOk(used) && discarding_) {
      // The request has its answer already.
      LogInfo("caller", "closing the connection: " + ErrorOf(used).message);
      OnEnd(true);
      return;
    }
    if (!IsOk(used)) {
      const bool large = ErrorOf(used).kind == ErrorKind::kResourceExhausted;
      Refuse(large ? (parser_.body_too_large() ? 413 : 431) : 400, ErrorOf(used).message);
      return;
    }
    ConsumeInput(ValueOf(used));
    if (parser_.head_done()) {
      if (!HasValidFraming(parser_.head())) {
        Refuse(400, "conflicting message lengths");
        return;
      }
      body_ += parser_.TakeBody();
      RefuseBodyWithoutMemory();
      if (closing_when_drained_) return;
      if (!parser_.done() && !discarding_ && !continue_sent_ &&
          parser_.head().Find("Expect") != nullptr) {
        continue_sent_ = true;
        tcp_.Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    if (!parser_.done()) {
      ArmTimer();
      return;
    }
    if (discarding_) {
      discarding_ = false;
      parser_.Reset();
      FinishAnswer();
      continue;
    }
    HandleRequest();
  }
}

void CallerConnection::ConsumeInput(size_t bytes) {
  input_.erase(0, bytes);
  if (input_.empty() && input_.capacity() > kKeptCapacity) std::string().swap(input_);
}

void CallerConnection::RefuseBodyWithoutMemory() {
  if (discarding_) {
    body_.clear();
    return;
  }
  if (listener_->budget() == nullptr) return;
  const HttpHead& head = parser_.head();
  const uint64_t bytes = std::max<uint64_t>(head.content_length.value_or(0), body_.size());
  if (listener_->budget()->MayRead(bytes, held_body_.bytes())) {
    // The whole length counts from the start: uploads that begin together would otherwise all be
    // admitted, and then all be refused half-way.
    held_body_.Set(bytes);
    return;
  }
  body_ = std::string();
  held_body_.Set(0);
  const HttpMessage answer = listener_->handler()->NoMemoryAnswer(head);
  if (head.Find("Expect") != nullptr) {
    // The caller may send its next request in place of this body.
    busy_ = true;
    close_after_ = true;
    Answer(answer);
    return;
  }
  discarding_ = true;
  close_after_ = listener_->closing() || !head.keep_alive;
  Send(FormatAnswer(answer, close_after_));
}

bool CallerConnection::MustReadFirst() const {
  return listener_->budget() != nullptr && !parser_.begun() &&
         tcp_.queued_bytes() > listener_->budget()->limits().per_call;
}

void CallerConnection::Send(std::string_view bytes) {
  tcp_.Send(bytes);
  held_answer_.Set(tcp_.held_bytes());
}

void CallerConnection::OnSent() {
  held_answer_.Set(tcp_.held_bytes());
  if (busy_) {
    listener_->handler()->OnCallerRead(this);
  } else if (!input_.empty()) {
    Parse();
  }
}

bool CallerConnection::HasValidFraming(const HttpHead& head) const {
  if (head.Count("Content-Length") > 1 || head.Count("Host") != 1) return false;
  if (head.Count("Transfer-Encoding") == 0) return true;
  return head.Count("Content-Length") == 0 && head.chunked && head.Count("Transfer-Encoding") == 1;
}

void CallerConnection::HandleRequest() {
  StopTimer();
  HttpMessage request{parser_.head(), std::move(body_)};
  body_.clear();
  continue_sent_ = false;
  busy_ = true;
  close_after_ = !request.head.keep_alive;
  parser_.Reset();
  held_body_.Set(0);  // The call's session counts it from here on.
  listener_->handler()->OnRequest(this, std::move(request));
}

void CallerConnection::Refuse(int status, const std::string& reason) {
  LogInfo("caller", "refused a request with " + std::to_string(status) + ": " + reason);
  HttpMessage answer;
  answer.head.status = status;
  answer.head.reason = "Request Refused";
  answer.head.Set("Content-Type", "text/plain");
  answer.body = reason + "\n";
  busy_ = true;
  close_after_ = true;
  Answer(answer);
}

void CallerConnection::Answer(const HttpMessage& answer) {
  if (listener_->closing()) close_after_ = true;
  Send(FormatAnswer(answer, close_after_));
  FinishAnswer();
}

void CallerConnection::BeginStream(const HttpHead& head) {
  if (listener_->closing()) close_after_ = true;
  Send(FormatChunkedHead(head, close_after_));
}

void CallerConnection::SendChunk(std::string_view data) {
  if (data.empty()) return;
  Send(FormatChunk(data));
  if (tcp_.queued_bytes() <= kMaxQueuedBytes) return;
  LogWarning("caller", "the caller does not read its answer; closing the connection");
  listener_->loop()->After(Duration(0), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && tcp_.open()) OnEnd(true);
  });
}

void CallerConnection::FinishStream() {
  Send(kLastChunk);
  FinishAnswer();
}

void CallerConnection::Abort() {
  busy_ = false;
  tcp_.Close(true);
  held_answer_.Set(0);
  listener_->Drop(this);
}

void CallerConnection::FinishAnswer() {
  busy_ = false;
  if (close_after_) {
    closing_when_drained_ = true;
    if (tcp_.queued_bytes() == 0) OnDrained();
    return;
  }
  ArmTimer();
  if (input_.empty()) return;
  // The next pipelined request is handled from the event loop, not recursively while the previous
  // one is being answered.
  listener_->loop()->After(Duration(0), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) Parse();
  });
}

void CallerConnection::OnDrained() {
  if (!closing_when_drained_) return;
  tcp_.Close(false);
  listener_->Drop(this);
}

void CallerConnection::OnEnd(bool /*reset*/) {
  if (busy_) {
    busy_ = false;
    listener_->handler()->OnCallerGone(this);
  }
  tcp_.Close(false);
  listener_->Drop(this);
}

}  // namespace shallot::gateway
