#ifndef DRIVERS_GATEWAY_EVENT_STREAM_H_
#define DRIVERS_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallot::gateway {

/// Splits a text/event-stream into whole events and keeps track of their ids.
class EventStream {
 public:
  /// Maximum size of one event in bytes; a longer one counts as malformed.
  static constexpr size_t kMaxEventBytes = 1'048'576;

  void Feed(std::string_view bytes) { buffer_ += bytes; }
  /// Returns the next whole event with its closing blank line. Skips events that were delivered
  /// before the stream was resumed.
  std::optional<std::string> Next();
  /// Discards an incomplete event, before the stream continues from another runner.
  void DropPartial() { buffer_.clear(); }
  bool has_partial() const { return !buffer_.empty(); }
  size_t buffered_bytes() const { return buffer_.size(); }
  bool too_long() const { return buffer_.size() > kMaxEventBytes; }
  /// Id of the last delivered event that had one; empty when there was none.
  const std::string& last_id() const { return last_id_; }
  /// Number of events that Next() has returned.
  uint64_t delivered() const { return delivered_; }

 private:
  std::string buffer_;
  std::string last_id_;
  uint64_t delivered_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_EVENT_STREAM_H_
