#ifndef MAIN_STANDIN_EXCHANGE_H_
#define MAIN_STANDIN_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}  // namespace Poco::Net

namespace shallot::standin {

/// A complete HTTP response.
struct Reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers = {};
};

/// A response with the JSON body {"message": message}.
Reply MessageReply(int status, const std::string& message);

/// One HTTP request and its response.
class Exchange {
 public:
  Exchange(Poco::Net::HTTPServerRequest* request, Poco::Net::HTTPServerResponse* response);

  const std::string& method() const { return method_; }
  /// Path without the query, still percent-encoded.
  const std::string& path() const { return path_; }
  const std::string& body() const { return body_; }
  /// The decoded rest of the path; nullopt when the path does not start with `prefix`.
  std::optional<std::string> PathAfter(const std::string& prefix) const;
  /// A query parameter or header; empty when absent.
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
  /// A query parameter as a number; `fallback` when it is absent or not a number.
  uint64_t QueryNumber(const std::string& name, uint64_t fallback = 0) const;
  bool HasQuery(const std::string& name) const { return query_.contains(name); }

  void Send(const Reply& reply);
  /// Starts a response of unknown length.
  void BeginStream(const std::string& content_type);
  /// Sends the next bytes of the stream; returns false when the connection is lost.
  bool WriteStream(const std::string& bytes);
  /// Closes the connection without a response.
  void Abort();

 private:
  Poco::Net::HTTPServerRequest* request_;
  Poco::Net::HTTPServerResponse* response_;
  std::string method_;
  std::string path_;
  std::string body_;
  std::map<std::string, std::string> query_;
  std::ostream* stream_ = nullptr;
};

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_EXCHANGE_H_
