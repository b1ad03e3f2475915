#include "servers/answer_buffer.h"

namespace shallot {

void AnswerBuffer::Append(const std::string& payload) {
  data_ += payload;
  budget_->Add(payload.size());
}

std::string AnswerBuffer::FrameAt(uint64_t offset) const {
  if (offset >= data_.size()) return "";
  return data_.substr(offset, kMaxFrame);
}

}  // namespace shallot
