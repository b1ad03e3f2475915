#ifndef DRIVERS_HTTP_WORKER_POOL_H_
#define DRIVERS_HTTP_WORKER_POOL_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "drivers/http_connection.h"

namespace shallot {

/// A pool of threads that make HTTP requests to one address. Starts threads on demand and reuses
/// the most recently used connection first, which is the least likely to be stale.
class HttpWorkerPool {
 public:
  using Job = std::function<void(HttpConnection&)>;

  struct Options {
    /// "IP:port".
    std::string address;
    size_t max_threads = 4;
    /// Jobs that may wait for a thread; beyond that Submit() returns false.
    size_t max_queue = 256;
  };

  explicit HttpWorkerPool(Options options);
  ~HttpWorkerPool();
  HttpWorkerPool(const HttpWorkerPool&) = delete;
  HttpWorkerPool& operator=(const HttpWorkerPool&) = delete;

  /// Queues a job. If the queue is full or the pool is stopping, returns false and never runs the
  /// job.
  [[nodiscard]] bool Submit(Job job);
  /// Waits for `time` or until the pool stops; for delays between retries within a job.
  void Pause(Millis time);
  /// True once Stop() was called; jobs should then finish early.
  bool stopping() const { return stopping_.load(); }
  /// Aborts the requests in progress, runs the queued jobs on aborted connections, so that each job
  /// still reports its failure, and joins the threads.
  void Stop();

 private:
  void Run();
  std::shared_ptr<HttpConnection> TakeConnection();

  Options options_;
  std::mutex mutex_;
  std::condition_variable job_added_;
  std::condition_variable stop_requested_;
  std::deque<Job> jobs_;
  std::vector<std::thread> threads_;
  std::vector<std::shared_ptr<HttpConnection>> free_connections_;
  std::vector<std::shared_ptr<HttpConnection>> connections_;
  size_t idle_threads_ = 0;
  std::atomic<bool> stopping_{false};
};

}  // namespace shallot

#endif  // DRIVERS_HTTP_WORKER_POOL_H_
