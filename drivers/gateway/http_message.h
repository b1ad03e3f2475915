#ifndef DRIVERS_GATEWAY_HTTP_MESSAGE_H_
#define DRIVERS_GATEWAY_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallot::gateway {

/// Start line and header fields of an HTTP/1.1 message, in order of arrival.
struct HttpHead {
  // Requests only.
  std::string method;
  std::string target;
  // Answers only.
  int status = 0;
  std::string reason;

  std::vector<std::pair<std::string, std::string>> fields;
  /// The sender keeps the connection open after this message.
  bool keep_alive = true;
  bool http_1_0 = false;
  bool chunked = false;
  std::optional<uint64_t> content_length;

  /// First value of a field, or null if it is absent. Names are compared case-insensitively.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
  void Remove(std::string_view name);
  void Set(std::string_view name, std::string value);
  /// Path of the target without the query.
  std::string Path() const;
};

/// A complete HTTP message with its body.
struct HttpMessage {
  HttpHead head;
  std::string body;
};

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

/// Removes the hop-by-hop fields and those that `Connection` names. Fields in `keep` stay even if
/// `Connection` names them.
void RemoveHopByHopFields(HttpHead* head, const std::vector<std::string_view>& keep);

/// An answer whose body is `text`, of the media type `type`.
HttpMessage TextAnswer(int status, const std::string& reason, const std::string& type,
                       std::string text);

/// Serializes a request. Sets Content-Length if there is a body or the method implies one.
std::string FormatRequest(const HttpMessage& request);
/// Serializes a whole answer with Content-Length.
std::string FormatAnswer(const HttpMessage& answer, bool close);
/// Serializes the head of an answer whose body follows in chunks.
std::string FormatChunkedHead(const HttpHead& head, bool close);
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_HTTP_MESSAGE_H_
