#include "drivers/gateway/http_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace shallot::gateway {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive",          "Proxy-Connection", "Proxy-Authenticate",
    "TE",         "Proxy-Authorization", "Trailer",          "Transfer-Encoding",
    "Upgrade"};

void AppendFields(const HttpHead& head, std::string* text) {
  for (const auto& [name, value] : head.fields) {
    if (EqualsIgnoringCase(name, "Content-Length")) continue;
    *text += name;
    *text += ": ";
    *text += value;
    *text += "\r\n";
  }
}

std::string StatusLine(const HttpHead& head) {
  return fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::algorithm::iequals(left, right);
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (EqualsIgnoringCase(field, name)) return &value;
  }
  return nullptr;
}

size_t HttpHead::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(fields.begin(), fields.end(), [&](const auto& field) {
    return EqualsIgnoringCase(field.first, name);
  }));
}

void HttpHead::Remove(std::string_view name) {
  std::erase_if(fields, [&](const auto& field) { return EqualsIgnoringCase(field.first, name); });
}

void HttpHead::Set(std::string_view name, std::string value) {
  Remove(name);
  fields.emplace_back(std::string(name), std::move(value));
}

std::string HttpHead::Path() const { return target.substr(0, target.find('?')); }

void RemoveHopByHopFields(HttpHead* head, const std::vector<std::string_view>& keep) {
  std::vector<std::string> named;
  for (const auto& [name, value] : head->fields) {
    if (!EqualsIgnoringCase(name, "Connection")) continue;
    std::vector<std::string> tokens;
    boost::algorithm::split(tokens, value, [](char c) { return c == ','; });
    for (std::string& token : tokens) {
      boost::algorithm::trim(token);
      const bool kept = std::any_of(keep.begin(), keep.end(), [&](std::string_view field) {
        return EqualsIgnoringCase(field, token);
      });
      if (!kept) named.push_back(token);
    }
  }
  for (const std::string& name : named) head->Remove(name);
  for (const std::string_view name : kHopByHopFields) head->Remove(name);
}

HttpMessage TextAnswer(int status, const std::string& reason, const std::string& type,
                       std::string text) {
  HttpMessage answer;
  answer.head.status = status;
  answer.head.reason = reason;
  answer.head.Set("Content-Type", type);
  answer.body = std::move(text);
  return answer;
}

std::string FormatRequest(const HttpMessage& request) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.head.method, request.head.target);
  AppendFields(request.head, &text);
  const bool has_body =
      !request.body.empty() || (request.head.method != "GET" && request.head.method != "HEAD" &&
                                request.head.method != "DELETE");
  if (has_body) text += fmt::format("Content-Length: {}\r\n", request.body.size());
  text += "\r\n";
  text += request.body;
  return text;
}

std::string FormatAnswer(const HttpMessage& answer, bool close) {
  std::string text = StatusLine(answer.head);
  AppendFields(answer.head, &text);
  text += fmt::format("Content-Length: {}\r\n", answer.body.size());
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  text += answer.body;
  return text;
}

std::string FormatChunkedHead(const HttpHead& head, bool close) {
  std::string text = StatusLine(head);
  AppendFields(head, &text);
  text += "Transfer-Encoding: chunked\r\n";
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

std::string FormatChunk(std::string_view data) {
  std::string chunk = fmt::format("{:x}\r\n", data.size());
  chunk += data;
  chunk += "\r\n";
  return chunk;
}

}  // namespace shallot::gateway
