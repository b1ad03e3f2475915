#ifndef DRIVERS_GATEWAY_BUFFERED_CALL_H_
#define DRIVERS_GATEWAY_BUFFERED_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/result.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_client.h"
#include "drivers/gateway/http_message.h"

namespace shallot::gateway {

/// HTTP calls that buffer the whole answer, for small messages: store calls, runners' reports and
/// orders. Each call ends with exactly one callback, at the latest at its timeout.
class BufferedCalls {
 public:
  /// Errors: kUnavailable if nothing was sent, kDisconnected and kUnknownOutcome if the call may
  /// have taken effect.
  using Done = std::function<void(const Result<HttpMessage>&)>;
  /// Whether an answer with this head belongs to a caller's call. Connections are shared with those
  /// calls, and a runner may send a second copy of an answer late.
  using IsCallAnswer = std::function<bool(const HttpHead&)>;

  /// Maximum size of an answer's body; the largest ones are pages of the store.
  static constexpr uint64_t kMaxBodyBytes = 16'777'216;

  BufferedCalls(EventLoop* loop, HttpClient* client, IsCallAnswer is_call_answer)
      : loop_(loop), client_(client), is_call_answer_(std::move(is_call_answer)) {}
  ~BufferedCalls();

  /// `still_wanted`: see ExchangeOptions.
  void Start(const std::string& address, const HttpMessage& request, Millis timeout, Done done,
             std::function<bool()> still_wanted = {});
  /// See HttpClient::CloseIdle().
  void CloseIdle(const std::string& address) { client_->CloseIdle(address); }
  SteadyTime Now() const { return loop_->Now(); }

 private:
  class Call;
  void Finish(uint64_t number, const Result<HttpMessage>& result);

  EventLoop* loop_;
  HttpClient* client_;
  IsCallAnswer is_call_answer_;
  std::map<uint64_t, std::shared_ptr<Call>> calls_;
  uint64_t last_number_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_BUFFERED_CALL_H_
