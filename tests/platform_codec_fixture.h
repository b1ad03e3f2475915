#ifndef TESTS_PLATFORM_CODEC_FIXTURE_H_
#define TESTS_PLATFORM_CODEC_FIXTURE_H_

#include <string>

#include "core/result.h"
#include "drivers/gateway/http_message.h"

// The messages of the codec's tests are the examples from the platform's documentation.
namespace shallot::platform {

inline gateway::HttpMessage Answer(int status, const std::string& body) {
  gateway::HttpMessage answer;
  answer.head.status = status;
  answer.body = body;
  return answer;
}

/// Name of the error's kind, or "ok".
template <class T>
std::string KindOf(const Result<T>& result) {
  return IsOk(result) ? "ok" : ErrorKindName(ErrorOf(result).kind);
}

}  // namespace shallot::platform

#endif  // TESTS_PLATFORM_CODEC_FIXTURE_H_
