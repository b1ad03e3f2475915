#ifndef DRIVERS_HTTP_REPLY_H_
#define DRIVERS_HTTP_REPLY_H_

#include <functional>
#include <string>

#include "core/bounded_ring.h"
#include "core/result.h"
#include "drivers/http_connection.h"
#include "drivers/http_worker_pool.h"

namespace shallot {

/// Returns the error for an HTTP status other than success: 404 kNotFound, 409 `conflict_kind`, 503
/// kUnavailable, 507 kResourceExhausted, other 4xx kInvalidArgument, all others kUnknownOutcome.
/// `what` names the operation in the message.
Error StatusError(const HttpReply& reply, const std::string& what,
                  ErrorKind conflict_kind = ErrorKind::kConflict);

/// Converts the error of a read-only request: it is safe to repeat, so kUnknownOutcome becomes
/// kUnavailable.
Error AsReadError(const Error& error);

/// Makes one request on `pool`, converts the reply with `convert` on the worker thread and posts
/// `done` with the result to `ring`. The result is kUnavailable if the queue of the pool is full.
template <class T>
void ExchangeAsync(HttpWorkerPool* pool, TaskRing* ring, const HttpRequest& request, Millis timeout,
                   std::function<Result<T>(const Result<HttpReply>&)> convert,
                   std::function<void(const Result<T>&)> done) {
  const bool queued = pool->Submit([=](HttpConnection& connection) {
    const Result<T> result = convert(connection.Exchange(request, timeout));
    ring->PostCompletion([done, result] { done(result); });
  });
  if (queued) return;
  // The result must not be lost, and the thread that runs the ring must not wait for room in it.
  const Result<T> full =
      Error{ErrorKind::kUnavailable, "request queue of the adapter is full", "try again later"};
  if (!ring->TryPost([done, full] { done(full); })) done(full);
}

}  // namespace shallot

#endif  // DRIVERS_HTTP_REPLY_H_
