#ifndef MAIN_CTL_SESSION_H_
#define MAIN_CTL_SESSION_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/result.h"
#include "drivers/platform_http.h"
#include "servers/config_editor.h"

namespace shallot::ctl {

/// A connection to the platform service whose calls wait for their result.
class Session {
 public:
  explicit Session(const std::string& platform);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Starts an operation and waits until it called back.
  template <class T>
  Result<T> Wait(const std::function<void(std::function<void(const Result<T>&)>)>& start) {
    std::optional<Result<T>> result;
    start([&result](const Result<T>& value) { result = value; });
    while (!result) RunOne();
    return *result;
  }

  /// The configuration; kNotFound when there is none yet.
  Result<ConfigState> ReadConfig();
  ConfigEditor& editor() { return editor_; }
  PlatformHttp& platform() { return platform_; }

 private:
  void RunOne();

  SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable posted_;
  TaskRing ring_;
  PlatformHttp platform_;
  ConfigEditor editor_;
};

/// Answer body of a request to `address`. kUnavailable: no answer or another status than 2xx.
Result<std::string> Fetch(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& body = "");

}  // namespace shallot::ctl

#endif  // MAIN_CTL_SESSION_H_
