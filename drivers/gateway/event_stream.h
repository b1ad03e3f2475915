#ifndef DRIVERS_GATEWAY_EVENT_STREAM_H_
#define DRIVERS_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallot::gateway {

/// Cuts the bytes of a text/event-stream into whole events and follows their ids.
class EventStream {
 public:
  /// Bytes of one event at most; a longer one is malformed.
  static constexpr size_t kMaxEventBytes = 1'048'576;

  void Feed(std::string_view bytes) { buffer_ += bytes; }
  /// The next whole event with its closing blank line. Events that were already delivered before a
  /// resumption are left out.
  std::optional<std::string> Next();
  /// Drops the start of an unfinished event, before the stream goes on from another runner.
  void DropPartial() { buffer_.clear(); }
  bool has_partial() const { return !buffer_.empty(); }
  bool too_long() const { return buffer_.size() > kMaxEventBytes; }
  /// Id of the last event delivered; empty when there was none with an id.
  const std::string& last_id() const { return last_id_; }
  uint64_t delivered() const { return delivered_; }

 private:
  std::string buffer_;
  std::string last_id_;
  uint64_t delivered_ = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_EVENT_STREAM_H_
