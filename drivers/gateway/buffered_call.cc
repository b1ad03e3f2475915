#include "drivers/gateway/buffered_call.h"

#include <utility>

#include "core/log.h"

namespace shallot::gateway {

namespace {

ErrorKind KindOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return ErrorKind::kUnavailable;
    case ExchangeFailure::kLost:
      return ErrorKind::kDisconnected;
    case ExchangeFailure::kUnacknowledged:
    case ExchangeFailure::kMalformed:
      return ErrorKind::kUnknownOutcome;
  }
  return ErrorKind::kInternal;
}

}  // namespace

class BufferedCalls::Call final : public ExchangeHandler {
 public:
  Call(BufferedCalls* owner, uint64_t number, Done done)
      : owner_(owner), number_(number), done_(std::move(done)) {}

  HeadVerdict OnHead(const HttpHead& head) override {
    if (owner_->is_call_answer_(head)) {
      LogWarning("http",
                 "event=foreign-answer reason=\"the answer of a call came to an order, a "
                 "report or a store call\"");
      return HeadVerdict::kSkip;
    }
    answer_.head = head;
    return HeadVerdict::kAccept;
  }
  void OnBody(std::string data) override { answer_.body += data; }
  void OnComplete() override { owner_->Finish(number_, std::move(answer_)); }
  void OnFailure(ExchangeFailure failure, const std::string& detail) override {
    owner_->Finish(number_, Error{KindOf(failure), detail, "try again"});
  }

  BufferedCalls* owner_;
  uint64_t number_;
  Done done_;
  HttpMessage answer_;
  ExchangeId exchange_;
  TimerId timer_;
};

BufferedCalls::~BufferedCalls() = default;

void BufferedCalls::Start(const std::string& address, const HttpMessage& request, Millis timeout,
                          Done done, std::function<bool()> still_wanted) {
  const uint64_t number = ++last_number_;
  auto call = std::make_shared<Call>(this, number, std::move(done));
  calls_[number] = call;
  ExchangeOptions options;
  options.connect_timeout = std::min(options.connect_timeout, timeout);
  options.unacknowledged_limit = std::min(options.unacknowledged_limit, timeout);
  options.max_body_bytes = kMaxBodyBytes;
  options.still_wanted = std::move(still_wanted);
  call->timer_ = loop_->After(timeout, [this, number] {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    client_->Cancel(found->second->exchange_);
    Finish(number, Error{ErrorKind::kUnknownOutcome, "no answer in time", "try again"});
  });
  call->exchange_ = client_->Start(address, FormatRequest(request), options, call.get());
}

void BufferedCalls::Finish(uint64_t number, const Result<HttpMessage>& result) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  const std::shared_ptr<Call> call = found->second;
  calls_.erase(found);
  loop_->Cancel(call->timer_);
  loop_->Defer([call] {});
  call->done_(result);
}

}  // namespace shallot::gateway
