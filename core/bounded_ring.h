#ifndef CORE_BOUNDED_RING_H_
#define CORE_BOUNDED_RING_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace shallot {

/// A unit of work that one thread posts to another.
using Task = std::function<void()>;

/// Bounded lock-free queue of tasks with many producers and one consumer. Posting to a full queue
/// fails; it neither blocks nor drops a task. `wake` runs after each accepted task, on the posting
/// thread.
class TaskRing {
 public:
  TaskRing(size_t capacity, std::function<void()> wake);
  ~TaskRing();
  TaskRing(const TaskRing&) = delete;
  TaskRing& operator=(const TaskRing&) = delete;

  /// Returns false and leaves `task` unused when the ring is full.
  [[nodiscard]] bool TryPost(const Task& task);
  /// Posts a completion, which must not be lost: yields the processor until there is room.
  /// Call it only on threads that the owner of the ring never waits for.
  void PostCompletion(const Task& task);
  /// Runs up to `limit` queued tasks on the calling thread; returns the number that ran.
  size_t RunPending(size_t limit);

 private:
  struct Queue;
  std::unique_ptr<Queue> queue_;
  std::function<void()> wake_;
};

}  // namespace shallot

#endif  // CORE_BOUNDED_RING_H_
