#ifndef MAIN_STANDIN_FAULTS_H_
#define MAIN_STANDIN_FAULTS_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "core/clock.h"
#include "main/standin/exchange.h"

namespace shallot::standin {

/// Faults that `POST /fault` injects, and waits that end when the process stops. Thread-safe.
class Faults {
 public:
  /// Handles `POST /fault` with JSON {kind, value, count | duration_ms, match}. Without count and
  /// duration, the fault lasts until a request of the same kind with count 0. `match` limits the
  /// fault to requests whose "METHOD /path" contains it.
  Reply Inject(const std::string& body);
  /// Returns the value of an active fault and decrements its count, if it has one.
  std::optional<uint64_t> Take(const std::string& kind, const std::string& request = "");
  /// Returns the value of an active fault without decrementing its count, for settings such as
  /// "lag".
  std::optional<uint64_t> Peek(const std::string& kind);
  /// Waits for `duration`; returns false as soon as the process stops.
  bool WaitFor(Duration duration);
  /// Waits until the process stops.
  void WaitForStop();
  void Stop();
  bool stopped();

 private:
  struct Fault {
    uint64_t value = 0;
    std::optional<uint64_t> count;
    std::optional<SteadyTime> until;
    std::string match;
  };
  Fault* FindActive(const std::string& kind);

  std::mutex mutex_;
  std::condition_variable wake_;
  std::map<std::string, Fault> faults_;
  bool stopped_ = false;
};

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_FAULTS_H_
