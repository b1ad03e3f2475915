#include "drivers/service_http.h"

#include <utility>

namespace shallot {

ServiceHttp::ServiceHttp(const std::string& address, size_t max_calls, TaskRing* ring)
    : calls_(
          {.address = address, .max_calls = max_calls, .resume_path = "", .cancel_path = "/calls"},
          ring) {}

void ServiceHttp::StartCall(const Call& call, AnswerSink* sink) {
  HttpRequest request;
  request.method = call.method;
  request.path = call.path;
  request.content_type = call.content_type;
  request.body = call.body;
  request.headers = {{"X-Call-Id", call.id.value()}};
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key.value()});
  }
  calls_.Start(call, request, sink);
}

void ServiceHttp::CancelCall(const CallId& call, CancelCallback done) { calls_.Cancel(call, done); }

void ServiceHttp::Stop() { calls_.Stop(); }

}  // namespace shallot
