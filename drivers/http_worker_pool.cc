#include "drivers/http_worker_pool.h"

#include <utility>

namespace shallot {

HttpWorkerPool::HttpWorkerPool(Options options) : options_(std::move(options)) {}

HttpWorkerPool::~HttpWorkerPool() { Stop(); }

bool HttpWorkerPool::Submit(Job job) {
  {
    const std::scoped_lock lock(mutex_);
    if (stopping_ || jobs_.size() >= options_.max_queue) return false;
    jobs_.push_back(std::move(job));
    const bool needs_thread = idle_threads_ < jobs_.size();
    if (needs_thread && threads_.size() < options_.max_threads) {
      threads_.emplace_back([this] { Run(); });
    }
  }
  // Called without the lock, so that the woken thread does not wait for it.
  job_added_.notify_one();
  return true;
}

std::shared_ptr<HttpConnection> HttpWorkerPool::TakeConnection() {
  if (!free_connections_.empty()) {
    std::shared_ptr<HttpConnection> connection = std::move(free_connections_.back());
    free_connections_.pop_back();
    return connection;
  }
  auto connection = std::make_shared<HttpConnection>(options_.address);
  if (stopping_) connection->Abort();
  connections_.push_back(connection);
  return connection;
}

void HttpWorkerPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    job_added_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_threads_;
    if (jobs_.empty()) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    const std::shared_ptr<HttpConnection> connection = TakeConnection();
    lock.unlock();
    job(*connection);
    lock.lock();
    free_connections_.push_back(connection);
  }
}

void HttpWorkerPool::Pause(Millis time) {
  std::unique_lock lock(mutex_);
  stop_requested_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void HttpWorkerPool::Stop() {
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    for (const auto& connection : connections_) connection->Abort();
    threads.swap(threads_);
    job_added_.notify_all();
    stop_requested_.notify_all();
  }
  for (std::thread& thread : threads) thread.join();
}

}  // namespace shallot
