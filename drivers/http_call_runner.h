#ifndef DRIVERS_HTTP_CALL_RUNNER_H_
#define DRIVERS_HTTP_CALL_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "core/bounded_ring.h"
#include "drivers/http_connection.h"
#include "servers/backend_server.h"

namespace shallot {

/// How a backend server is reached and what it can do.
struct CallRunnerOptions {
  /// "IP:port".
  std::string address;
  /// Calls that run at once, one thread each; further calls wait for a thread.
  size_t max_calls = 64;
  /// Path of `GET PATH/CALLID?offset=N`, which repeats a part of an answer; empty when the backend
  /// server cannot.
  std::string resume_path;
  /// Path of `DELETE PATH/CALLID`, which stops a call.
  std::string cancel_path;
  /// Status by which the backend server says that it does not run the call, for example because the
  /// model is not loaded; 0 when no status says so.
  int not_started_status = 0;
};

/// Runs calls at a backend server over HTTP, one worker thread for each running call, and resumes
/// broken streams. All methods belong to the thread of the core whose ring it posts to.
class HttpCallRunner {
 public:
  HttpCallRunner(CallRunnerOptions options, TaskRing* ring);
  ~HttpCallRunner();
  HttpCallRunner(const HttpCallRunner&) = delete;
  HttpCallRunner& operator=(const HttpCallRunner&) = delete;

  /// Sends `request` for `call`; the answer goes to `sink`.
  void Start(const Call& call, const HttpRequest& request, AnswerSink* sink);
  /// Stops a call. One that was not sent yet ends as kNotStarted.
  void Cancel(const CallId& call, const BackendServer::CancelCallback& done);
  /// Breaks the calls in progress and joins the threads; the ring must still be run meanwhile.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_CALL_RUNNER_H_
