#ifndef DRIVERS_ANSWER_CHANNEL_H_
#define DRIVERS_ANSWER_CHANNEL_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/call.h"
#include "servers/router_core.h"

namespace shallot {

/// What an AnswerChannel has received since it was last asked.
struct AnswerBatch {
  /// Present once, when the answer began.
  bool began = false;
  int http_status = 0;
  std::string content_type;
  std::string data;
  std::optional<Outcome> end;

  bool empty() const { return !began && data.empty() && !end.has_value(); }
};

/// Hands the answer of one call from the core's thread to the thread of a caller's connection.
/// Never blocks the core: when the reader is too slow, the rest of the answer is dropped and
/// `on_full` is called on the core's thread for each part dropped.
class AnswerChannel final : public CallerSink {
 public:
  /// Bytes that may wait for the reader. One part of an answer may exceed the limit by itself,
  /// because an answer that is not streamed comes in one part.
  static constexpr size_t kDefaultLimit = 1U << 20U;

  /// `stream` false: the reader wakes up only for the end.
  explicit AnswerChannel(size_t limit = kDefaultLimit, bool stream = true)
      : limit_(limit), stream_(stream) {}

  /// Called before the channel is handed to the core.
  void SetOnFull(std::function<void()> on_full) { on_full_ = std::move(on_full); }

  void OnBegin(int http_status, const std::string& content_type) override;
  void OnData(const std::string& payload) override;
  void OnEnd(const Outcome& outcome) override;

  /// Waits for something new, at most for `timeout`; the batch is empty when there was nothing.
  AnswerBatch Wait(Millis timeout);
  /// True when a part of the answer was dropped.
  bool overflowed() const;

  /// Id of the call; used on the core's thread only.
  void set_call(const CallId& call) { call_ = call; }
  const CallId& call() const { return call_; }

 private:
  size_t limit_;
  bool stream_;
  std::function<void()> on_full_;
  CallId call_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  AnswerBatch pending_;
  bool overflowed_ = false;
};

}  // namespace shallot

#endif  // DRIVERS_ANSWER_CHANNEL_H_
