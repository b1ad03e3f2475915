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
    const bool short_of_threads = idle_ < jobs_.size();
    if (short_of_threads && threads_.size() < options_.max_threads) {
      threads_.emplace_back([this] { Run(); });
    }
  }
  // Called without the lock, so that the woken thread does not wait for it.
  work_.notify_one();
  return true;
}

std::shared_ptr<HttpConnection> HttpWorkerPool::TakeConnection() {
  if (!free_.empty()) {
    std::shared_ptr<HttpConnection> connection = std::move(free_.back());
    free_.pop_back();
    return connection;
  }
  auto connection = std::make_shared<HttpConnection>(options_.address);
  if (stopping_) connection->Abort();
  all_.push_back(connection);
  return connection;
}

void HttpWorkerPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    work_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    const std::shared_ptr<HttpConnection> connection = TakeConnection();
    lock.unlock();
    job(*connection);
    lock.lock();
    free_.push_back(connection);
  }
}

void HttpWorkerPool::Pause(Millis time) {
  std::unique_lock lock(mutex_);
  stopped_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void HttpWorkerPool::Stop() {
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    for (const auto& connection : all_) connection->Abort();
    threads.swap(threads_);
    work_.notify_all();
    stopped_.notify_all();
  }
  for (std::thread& thread : threads) thread.join();
}

}  // namespace shallot
