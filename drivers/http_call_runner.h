#ifndef DRIVERS_HTTP_CALL_RUNNER_H_
#define DRIVERS_HTTP_CALL_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/bounded_ring.h"
#include "drivers/http_connection.h"
#include "servers/backend_server.h"

namespace shallot {

/// Address and capabilities of a backend server.
struct CallRunnerOptions {
  /// "IP:port".
  std::string address;
  /// Calls that run concurrently, one thread each; further calls wait for a thread.
  size_t max_calls = 64;
  /// PATH of `GET PATH/CALLID?offset=N`, which resends an answer from a byte offset; empty if the
  /// backend server does not support it.
  std::string resume_path;
  /// PATH of `DELETE PATH/CALLID`, which stops a call.
  std::string cancel_path;
  /// HTTP status that means that the backend server did not start the call, for example because the
  /// model is not loaded; 0 if there is no such status.
  int not_started_status = 0;
};

/// Runs calls on a backend server over HTTP, one worker thread for each running call, and resumes
/// interrupted streams. All methods are called on the thread of the core whose ring it posts to.
class HttpCallRunner {
 public:
  HttpCallRunner(CallRunnerOptions options, TaskRing* ring);
  ~HttpCallRunner();
  HttpCallRunner(const HttpCallRunner&) = delete;
  HttpCallRunner& operator=(const HttpCallRunner&) = delete;

  /// Sends `request` for `call`; `sink` receives the answer on the core's thread.
  void Start(const Call& call, const HttpRequest& request, AnswerSink* sink);
  /// Stops a call. A call that was not sent yet ends as kNotStarted.
  void Cancel(const CallId& call, const BackendServer::CancelCallback& done);
  /// Aborts the calls in progress and joins the threads; the ring must keep running meanwhile.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_CALL_RUNNER_H_
