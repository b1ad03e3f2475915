#include "main/standin/exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>

namespace shallot::standin {

Reply MessageReply(int status, const std::string& message) {
  const nlohmann::json body = {{"message", message}};
  return Reply{status, body.dump(), "application/json", {}};
}

Exchange::Exchange(Poco::Net::HTTPServerRequest* request, Poco::Net::HTTPServerResponse* response)
    : request_(request), response_(response), method_(request->getMethod()) {
  const Poco::URI uri(request->getURI());
  path_ = request->getURI().substr(0, request->getURI().find('?'));
  for (const auto& [name, value] : uri.getQueryParameters()) query_[name] = value;
  // Without a length, POCO would read until the peer closes the connection.
  if (request->hasContentLength() || request->getChunkedTransferEncoding()) {
    Poco::StreamCopier::copyToString(request->stream(), body_);
  }
}

std::optional<std::string> Exchange::PathAfter(const std::string& prefix) const {
  if (!path_.starts_with(prefix)) return std::nullopt;
  std::string decoded;
  Poco::URI::decode(path_.substr(prefix.size()), decoded);
  return decoded;
}

std::string Exchange::Query(const std::string& name) const {
  const auto it = query_.find(name);
  return it == query_.end() ? "" : it->second;
}

std::string Exchange::Header(const std::string& name) const { return request_->get(name, ""); }

uint64_t Exchange::QueryNumber(const std::string& name, uint64_t fallback) const {
  const std::string text = Query(name);
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return fallback;
  return value;
}

void Exchange::Send(const Reply& reply) {
  response_->setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
  response_->setReason(Poco::Net::HTTPResponse::getReasonForStatus(response_->getStatus()));
  response_->setContentType(reply.content_type);
  for (const auto& [name, value] : reply.headers) response_->set(name, value);
  if (reply.status == 204) {
    response_->setContentLength(0);
    response_->send();
    return;
  }
  response_->sendBuffer(reply.body.data(), reply.body.size());
}

void Exchange::BeginStream(const std::string& content_type) {
  response_->setContentType(content_type);
  response_->setChunkedTransferEncoding(true);
  try {
    stream_ = &response_->send();
  } catch (const Poco::Exception&) {
    // The client has closed the connection; WriteStream returns false.
    stream_ = nullptr;
  }
}

bool Exchange::WriteStream(const std::string& bytes) {
  if (stream_ == nullptr) return false;
  try {
    stream_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream_->flush();
  } catch (const Poco::Exception&) {
    stream_ = nullptr;
    return false;
  }
  if (stream_->good()) return true;
  stream_ = nullptr;
  return false;
}

void Exchange::Abort() {
  response_->setKeepAlive(false);
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(request_);
  if (request == nullptr) return;
  try {
    request->socket().shutdown();
  } catch (const Poco::Exception&) {
    // The peer has closed the connection already.
    return;
  }
}

}  // namespace shallot::standin
