#include "drivers/gateway/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace shallot::gateway {
namespace {

namespace http = boost::beast::http;
using RequestParser = http::request_parser<http::string_body>;
using AnswerParser = http::response_parser<http::string_body>;

std::string Text(boost::beast::string_view view) { return {view.data(), view.size()}; }

template <class Message>
void CopyFields(const Message& message, HttpHead* head) {
  for (const auto& field : message.base()) {
    head->fields.emplace_back(Text(field.name_string()), Text(field.value()));
  }
  head->http_1_0 = message.version() < 11;
}

Error ParseError(const boost::system::error_code& code) {
  if (code == http::error::header_limit || code == http::error::body_limit ||
      code == http::error::buffer_overflow) {
    return {ErrorKind::kResourceExhausted, "HTTP message is too large: " + code.message(),
            "send a smaller message or raise the limit in the configuration"};
  }
  return {ErrorKind::kInvalidArgument, "malformed HTTP message: " + code.message(),
          "send a message as RFC 9112 describes"};
}

}  // namespace

struct HttpParser::State {
  Kind kind;
  uint64_t max_header_bytes;
  uint64_t max_body_bytes;
  std::variant<std::monostate, RequestParser, AnswerParser> parser;
  HttpHead head;
  bool head_copied = false;
  bool body_too_large = false;
  /// Bytes of an incomplete head or chunk line; Beast must get them again, followed by the new
  /// bytes.
  std::string pending;

  template <class Visitor>
  auto Visit(Visitor visitor) {
    if (kind == Kind::kRequest) return visitor(std::get<RequestParser>(parser));
    return visitor(std::get<AnswerParser>(parser));
  }
};

HttpParser::HttpParser(Kind kind, uint64_t max_header_bytes, uint64_t max_body_bytes)
    : state_(std::make_unique<State>()) {
  state_->kind = kind;
  state_->max_header_bytes = max_header_bytes;
  state_->max_body_bytes = max_body_bytes;
  Reset();
}

HttpParser::~HttpParser() = default;

void HttpParser::SetLimits(uint64_t max_header_bytes, uint64_t max_body_bytes) {
  if (state_->max_header_bytes == max_header_bytes && state_->max_body_bytes == max_body_bytes) {
    return;
  }
  state_->max_header_bytes = max_header_bytes;
  state_->max_body_bytes = max_body_bytes;
  if (!begun()) Reset();
}

void HttpParser::Reset() {
  if (state_->kind == Kind::kRequest) {
    state_->parser.emplace<RequestParser>();
  } else {
    state_->parser.emplace<AnswerParser>();
  }
  state_->Visit([this](auto& parser) {
    parser.eager(true);
    parser.header_limit(static_cast<uint32_t>(state_->max_header_bytes));
    parser.body_limit(state_->max_body_bytes);
  });
  state_->head = HttpHead();
  state_->head_copied = false;
  state_->body_too_large = false;
  // Kept connections would hold the capacity while they are idle.
  std::string().swap(state_->pending);
}

bool HttpParser::head_done() const {
  return state_->Visit([](auto& parser) { return parser.is_header_done(); });
}

bool HttpParser::done() const {
  return state_->Visit([](auto& parser) { return parser.is_done(); });
}

bool HttpParser::begun() const {
  return !state_->pending.empty() || state_->Visit([](auto& parser) { return parser.got_some(); });
}

bool HttpParser::body_too_large() const { return state_->body_too_large; }

size_t HttpParser::allocated_bytes() const { return state_->pending.capacity(); }

bool HttpParser::needs_eof() const {
  return head_done() && state_->Visit([](auto& parser) { return parser.need_eof(); });
}

const HttpHead& HttpParser::head() const {
  if (state_->head_copied) return state_->head;
  HttpHead& head = state_->head;
  head = HttpHead();
  state_->Visit([&head](auto& parser) {
    CopyFields(parser.get(), &head);
    head.keep_alive = parser.keep_alive();
    head.chunked = parser.chunked();
    if (const auto length = parser.content_length()) head.content_length = *length;
  });
  if (state_->kind == Kind::kRequest) {
    const auto& message = std::get<RequestParser>(state_->parser).get();
    head.method = Text(message.method_string());
    head.target = Text(message.target());
  } else {
    const auto& message = std::get<AnswerParser>(state_->parser).get();
    head.status = static_cast<int>(message.result_int());
    head.reason = Text(message.reason());
  }
  state_->head_copied = true;
  return head;
}

Result<size_t> HttpParser::Feed(std::string_view bytes) {
  // Beast consumes nothing of an incomplete head, so it is buffered and passed again as a whole.
  const size_t kept = state_->pending.size();
  if (kept > 0) {
    state_->pending += bytes;
    bytes = state_->pending;
  }
  size_t used = 0;
  while (used < bytes.size() && !done()) {
    boost::system::error_code code;
    const std::string_view rest = bytes.substr(used);
    const size_t step = state_->Visit([&](auto& parser) {
      return parser.put(boost::asio::buffer(rest.data(), rest.size()), code);
    });
    used += step;
    if (code == http::error::need_more) {
      if (used < bytes.size()) {
        std::string left(bytes.substr(used));
        // Besides an incomplete head, this is a line of a chunked body.
        if (left.size() > state_->max_header_bytes) return ParseError(http::error::header_limit);
        state_->pending = std::move(left);
      } else {
        state_->pending.clear();
      }
      return bytes.size() >= kept ? bytes.size() - kept : 0;
    }
    if (code) {
      state_->body_too_large = code == http::error::body_limit;
      return ParseError(code);
    }
  }
  if (kept == 0) return used;
  const size_t used_new = used - std::min(used, kept);
  state_->pending.clear();
  return used_new;
}

Status HttpParser::FeedEof() {
  boost::system::error_code code;
  state_->Visit([&](auto& parser) { parser.put_eof(code); });
  if (code) return ParseError(code);
  return OkStatus();
}

std::string HttpParser::TakeBody() {
  std::string body;
  if (!head_done()) return body;
  state_->Visit([&body](auto& parser) { std::swap(body, parser.get().body()); });
  return body;
}

}  // namespace shallot::gateway
