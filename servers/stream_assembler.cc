#include "servers/stream_assembler.h"

#include <algorithm>

namespace shallot {

std::string StreamAssembler::Add(uint64_t offset, const std::string& payload) {
  std::string ready;
  end_seen_ = std::max(end_seen_, offset + payload.size());
  if (offset > next_offset_) {
    Hold(offset, payload);
    return ready;
  }
  Append(offset, payload, &ready);
  while (!held_.empty() && held_.begin()->first <= next_offset_) {
    const auto node = held_.extract(held_.begin());
    held_bytes_ -= node.mapped().size();
    Append(node.key(), node.mapped(), &ready);
  }
  return ready;
}

void StreamAssembler::Hold(uint64_t offset, const std::string& payload) {
  const auto it = held_.find(offset);
  if (it != held_.end() && it->second.size() >= payload.size()) {
    ++duplicates_;
    return;
  }
  if (held_.size() >= kMaxHeldFrames || held_bytes_ + payload.size() > kMaxHeldBytes) return;
  if (it != held_.end()) held_bytes_ -= it->second.size();
  held_[offset] = payload;
  held_bytes_ += payload.size();
}

void StreamAssembler::Append(uint64_t offset, const std::string& payload, std::string* ready) {
  const uint64_t end = offset + payload.size();
  if (end <= next_offset_) {
    ++duplicates_;
    return;
  }
  ready->append(payload, next_offset_ - offset, std::string::npos);
  next_offset_ = end;
}

}  // namespace shallot
