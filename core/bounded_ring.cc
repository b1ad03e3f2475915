#include "core/bounded_ring.h"

#include <boost/lockfree/queue.hpp>
#include <thread>
#include <utility>

namespace shallot {

struct TaskRing::Queue {
  explicit Queue(size_t capacity) : tasks(capacity) {}
  boost::lockfree::queue<Task*, boost::lockfree::fixed_sized<true>> tasks;
};

TaskRing::TaskRing(size_t capacity, std::function<void()> wake)
    : queue_(std::make_unique<Queue>(capacity)), wake_(std::move(wake)) {}

TaskRing::~TaskRing() {
  Task* task = nullptr;
  while (queue_->tasks.pop(task)) delete task;
}

bool TaskRing::TryPost(const Task& task) {
  auto copy = std::make_unique<Task>(task);
  if (!queue_->tasks.bounded_push(copy.get())) return false;
  (void)copy.release();  // NOLINT(bugprone-unused-return-value): the queue owns it now
  wake_();
  return true;
}

void TaskRing::PostCompletion(const Task& task) {
  while (!TryPost(task)) std::this_thread::yield();
}

size_t TaskRing::RunPending(size_t limit) {
  size_t ran = 0;
  Task* raw = nullptr;
  while (ran < limit && queue_->tasks.pop(raw)) {
    const std::unique_ptr<Task> task(raw);
    (*task)();
    ++ran;
  }
  return ran;
}

}  // namespace shallot
