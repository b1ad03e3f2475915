#ifndef SERVERS_GATEWAY_SENT_CALLS_H_
#define SERVERS_GATEWAY_SENT_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot::gateway {

/// Remembers by id which calls that must run once this gateway has sent to a runner or refused, and
/// decides whether a further arrival with the same id may be sent. Load pattern: connections that
/// end without an answer, around restarts and resets, make client libraries and proxies deliver a
/// request again, usually to the same gateway. Bounded in time and size; each gateway knows only
/// what it has handled itself since its start.
class SentCalls {
 public:
  /// Longer than any route's timeout.
  static constexpr Millis kKeepTime{60'000};
  static constexpr size_t kMaxCalls = 65'536;

  enum class Verdict {
    kSend,           ///< No other arrival of the call was sent or refused.
    kSentBefore,     ///< Another arrival was sent to a runner.
    kRefusedBefore,  ///< The caller was told that the call will never run.
  };

  /// Called before an arrival is sent for the first time. Records it if the verdict is kSend.
  Verdict BeforeSend(const RequestId& call, SteadyTime now);
  /// Called before an arrival is refused. Returns false if another one was sent, so that the call
  /// may have run. `was_sent`: BeforeSend() has allowed this one, and no runner has run it.
  bool BeforeRefusal(const RequestId& call, bool was_sent, SteadyTime now);
  size_t size() const { return calls_.size(); }

 private:
  enum class State { kSent, kRefused };
  /// A hash of the id, because callers choose its length.
  using Key = uint64_t;
  struct Arrival {
    Key call = 0;
    SteadyTime at;
  };

  void Record(Key call, State state, SteadyTime now);
  void Expire(SteadyTime now);

  std::unordered_map<Key, State> calls_;
  /// In order of time; one entry for each of `calls_`.
  std::deque<Arrival> arrivals_;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_SENT_CALLS_H_
