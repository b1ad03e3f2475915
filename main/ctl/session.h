#ifndef MAIN_CTL_SESSION_H_
#define MAIN_CTL_SESSION_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/result.h"
#include "drivers/platform_http.h"
#include "servers/config_editor.h"

namespace shallot::ctl {

/// Synchronous client of the platform service.
class Session {
 public:
  explicit Session(const std::string& platform);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Starts an asynchronous operation and blocks until its callback was called.
  template <class T>
  Result<T> Wait(const std::function<void(std::function<void(const Result<T>&)>)>& start) {
    std::optional<Result<T>> result;
    start([&result](const Result<T>& value) { result = value; });
    while (!result) RunNextTask();
    return *result;
  }

  /// Reads the fleet configuration; kNotFound when there is none yet.
  Result<ConfigState> ReadConfig();
  ConfigEditor& editor() { return editor_; }
  PlatformHttp& platform() { return platform_; }

 private:
  void RunNextTask();

  SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable task_posted_;
  TaskRing ring_;
  PlatformHttp platform_;
  ConfigEditor editor_;
};

/// Sends an HTTP request to `address` and returns the body of the response. Fails with kUnavailable
/// when there is no response or its status is not 2xx.
Result<std::string> Fetch(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& body = "");
/// GETs a JSON document; kInternal when the response is none.
Result<nlohmann::json> FetchJson(const std::string& address, const std::string& path);

}  // namespace shallot::ctl

#endif  // MAIN_CTL_SESSION_H_
