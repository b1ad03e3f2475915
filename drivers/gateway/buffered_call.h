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
  /// Errors: kUnavailable if nothing was sent, kUnknownOutcome if the call may have taken effect.
  using Done = std::function<void(const Result<HttpMessage>&)>;

  BufferedCalls(EventLoop* loop, HttpClient* client) : loop_(loop), client_(client) {}
  ~BufferedCalls();

  void Start(const std::string& address, const HttpMessage& request, Millis timeout, Done done);

 private:
  class Call;
  void Finish(uint64_t number, const Result<HttpMessage>& result);

  EventLoop* loop_;
  HttpClient* client_;
  std::map<uint64_t, std::shared_ptr<Call>> calls_;
  uint64_t last_number_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_BUFFERED_CALL_H_
