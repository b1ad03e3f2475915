#include "drivers/answer_channel.h"

#include <utility>

namespace shallot {

void AnswerChannel::OnBegin(int http_status, const std::string& content_type) {
  // Does not wake the reader: data or the end follows immediately and wakes it once for both.
  const std::scoped_lock lock(mutex_);
  pending_.began = true;
  pending_.http_status = http_status;
  pending_.content_type = content_type;
}

void AnswerChannel::OnData(const std::string& payload) {
  bool dropped = false;
  {
    const std::scoped_lock lock(mutex_);
    dropped = overflowed_ || pending_.data.size() >= limit_;
    overflowed_ = dropped;
    if (!dropped) pending_.data += payload;
  }
  if (stream_) changed_.notify_one();
  if (dropped && on_overflow_) on_overflow_();
}

void AnswerChannel::OnEnd(const Outcome& outcome) {
  {
    const std::scoped_lock lock(mutex_);
    pending_.end = outcome;
  }
  changed_.notify_one();
}

AnswerBatch AnswerChannel::Wait(Millis timeout) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout, [this] { return !pending_.empty(); });
  AnswerBatch batch = std::move(pending_);
  pending_ = AnswerBatch{};
  return batch;
}

bool AnswerChannel::overflowed() const {
  const std::scoped_lock lock(mutex_);
  return overflowed_;
}

}  // namespace shallot
