#ifndef DRIVERS_HTTP_REPLY_H_
#define DRIVERS_HTTP_REPLY_H_

#include <functional>
#include <string>

#include "core/bounded_ring.h"
#include "core/result.h"
#include "drivers/http_connection.h"
#include "drivers/http_worker_pool.h"

namespace shallot {

/// The error that an HTTP status other than success stands for: 404 kNotFound, 409 kConflict or
/// `conflict`, 503 kUnavailable, 507 kResourceExhausted, other 4xx kInvalidArgument, other
/// kUnknownOutcome.
Error StatusError(const HttpReply& reply, const std::string& what,
                  ErrorKind conflict = ErrorKind::kConflict);

/// Error of a request that changes nothing: it is safe to repeat, so it is never kUnknownOutcome.
Error ReadError(const Error& error);

/// Makes one exchange on `pool`, converts the reply on the worker thread and posts the result to
/// `ring`. A full queue is kUnavailable. `convert` turns a Result<HttpReply> into a Result<T>.
template <class T>
void ExchangeAsync(HttpWorkerPool* pool, TaskRing* ring, const HttpRequest& request, Millis timeout,
                   std::function<Result<T>(const Result<HttpReply>&)> convert,
                   std::function<void(const Result<T>&)> done) {
  const bool queued = pool->Submit([=](HttpConnection& connection) {
    const Result<T> result = convert(connection.Exchange(request, timeout));
    ring->PostCompletion([done, result] { done(result); });
  });
  if (queued) return;
  // The task must not be lost, and this is the ring's own thread, which cannot wait for room.
  const Result<T> full =
      Error{ErrorKind::kUnavailable, "request queue of the adapter is full", "try again later"};
  if (!ring->TryPost([done, full] { done(full); })) done(full);
}

}  // namespace shallot

#endif  // DRIVERS_HTTP_REPLY_H_
