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

/// The parts of an answer that an AnswerChannel received since the last Wait().
struct AnswerBatch {
  /// True in the batch that holds the beginning of the answer: `http_status` and `content_type`.
  bool began = false;
  int http_status = 0;
  std::string content_type;
  std::string data;
  std::optional<Outcome> end;

  bool empty() const { return !began && data.empty() && !end.has_value(); }
};

/// Transfers the answer of one call from the core's thread to the thread of the caller's
/// connection. Never blocks the core: if the reader is too slow, the rest of the answer is dropped
/// and `on_overflow` is called on the core's thread for each dropped part.
class AnswerChannel final : public CallerSink {
 public:
  /// Bytes that may be buffered for the reader. A single part may exceed the limit, because an
  /// answer that is not streamed arrives in one part.
  static constexpr size_t kDefaultLimit = 1U << 20U;

  /// With `stream` false the reader is woken only at the end of the answer.
  explicit AnswerChannel(size_t limit = kDefaultLimit, bool stream = true)
      : limit_(limit), stream_(stream) {}

  /// Must be called before the channel is passed to the core.
  void SetOnOverflow(std::function<void()> on_overflow) { on_overflow_ = std::move(on_overflow); }

  void OnBegin(int http_status, const std::string& content_type) override;
  void OnData(const std::string& payload) override;
  void OnEnd(const Outcome& outcome) override;

  /// Waits up to `timeout` for new parts; the batch is empty if none arrived.
  AnswerBatch Wait(Millis timeout);
  /// True if a part of the answer was dropped.
  bool overflowed() const;

  /// Id of the call. Accessed on the core's thread only.
  void set_call(const CallId& call) { call_ = call; }
  const CallId& call() const { return call_; }

 private:
  size_t limit_;
  bool stream_;
  std::function<void()> on_overflow_;
  CallId call_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  AnswerBatch pending_;
  bool overflowed_ = false;
};

}  // namespace shallot

#endif  // DRIVERS_ANSWER_CHANNEL_H_
