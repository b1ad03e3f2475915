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

/// Small calls whose whole answer is needed: the store, runners' reports and orders. Each ends with
/// one callback, at the latest when its time is up.
class BufferedCalls {
 public:
  /// kUnavailable: nothing was sent. kUnknownOutcome: the call may have taken effect.
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
