#include "drivers/gateway/event_stream.h"

#include <charconv>

namespace shallot::gateway {
namespace {

/// Returns the value of the event's "id" line; empty when there is none.
std::string EventId(std::string_view event) {
  size_t at = 0;
  while (at < event.size()) {
    const size_t end = event.find('\n', at);
    std::string_view line = event.substr(at, end - at);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) line.remove_prefix(1);
      return std::string(line);
    }
    if (end == std::string_view::npos) break;
    at = end + 1;
  }
  return {};
}

std::optional<uint64_t> Number(const std::string& text) {
  uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

/// Whether an event with this id comes after the event with id `last`. Only numeric ids can be
/// compared; true if either id is missing or not a number.
bool ComesAfter(const std::string& id, const std::string& last) {
  const auto number = Number(id);
  const auto last_number = Number(last);
  return !number || !last_number || *number > *last_number;
}

}  // namespace

std::optional<std::string> EventStream::Next() {
  while (true) {
    const size_t plain = buffer_.find("\n\n");
    const size_t with_returns = buffer_.find("\r\n\r\n");
    size_t end = std::string::npos;
    if (plain != std::string::npos) end = plain + 2;
    if (with_returns != std::string::npos && with_returns + 4 < end) end = with_returns + 4;
    if (end == std::string::npos) return std::nullopt;
    std::string event = buffer_.substr(0, end);
    buffer_.erase(0, end);
    const std::string id = EventId(event);
    if (!ComesAfter(id, last_id_)) continue;
    if (!id.empty()) last_id_ = id;
    ++delivered_;
    return event;
  }
}

}  // namespace shallot::gateway
