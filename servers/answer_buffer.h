#ifndef SERVERS_ANSWER_BUFFER_H_
#define SERVERS_ANSWER_BUFFER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace shallot {

/// Memory budget in bytes that is shared by all answer buffers of an agent.
class AnswerBudget {
 public:
  explicit AnswerBudget(uint64_t limit) : limit_(limit) {}
  bool Exhausted() const { return used_ >= limit_; }
  uint64_t used() const { return used_; }
  void Add(uint64_t bytes) { used_ += bytes; }
  void Remove(uint64_t bytes) { used_ -= bytes; }

 private:
  uint64_t limit_;
  uint64_t used_ = 0;
};

/// The whole answer of one call, buffered so that a router can resume at any offset.
class AnswerBuffer {
 public:
  /// Longest payload of one frame in bytes; it keeps a long answer from blocking the heartbeats of
  /// its connection.
  static constexpr uint64_t kMaxFrame = 64U << 10U;

  /// Shares ownership of the budget, because the backend server may hold a call after the agent is
  /// destroyed.
  explicit AnswerBuffer(std::shared_ptr<AnswerBudget> budget) : budget_(std::move(budget)) {}
  ~AnswerBuffer() { budget_->Remove(data_.size()); }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  void Append(const std::string& payload);
  /// Payload of the frame at `offset`; empty when there are no bytes there yet.
  std::string FrameAt(uint64_t offset) const;
  uint64_t size() const { return data_.size(); }
  const std::string& data() const { return data_; }

 private:
  std::shared_ptr<AnswerBudget> budget_;
  std::string data_;
};

}  // namespace shallot

#endif  // SERVERS_ANSWER_BUFFER_H_
