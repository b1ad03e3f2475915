#ifndef MAIN_STANDIN_ENGINE_CALLS_H_
#define MAIN_STANDIN_ENGINE_CALLS_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "main/standin/role.h"

namespace shallot::standin {

/// Seed of the answer to a prompt (FNV-1a). misc/demo_calls.py computes the same value to check
/// answers.
uint64_t AnswerSeed(const std::string& entry, const std::string& prompt);
/// Token `index` of the answer with the given seed.
std::string AnswerToken(uint64_t seed, uint64_t index);

/// Runs the calls of an engine, at most `concurrency` at once in order of priority, and keeps their
/// answers for at least 30 s after their end. Thread-safe.
class EngineCalls {
 public:
  EngineCalls(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  /// Runs the call; returns nullopt when the answer was streamed.
  std::optional<Reply> Run(Exchange& exchange, const std::string& entry);
  /// `GET /streams/CALLID?offset=N`: streams the answer from byte N until its end.
  std::optional<Reply> StreamAnswer(Exchange& exchange, const std::string& call);
  /// `DELETE /streams/CALLID`.
  Reply Cancel(const std::string& call);
  Reply LoadReport();
  /// Cache events after sequence number `since`; they appear late, and some are missing.
  Reply CacheEvents(uint64_t since);
  Reply ExportKv(const std::string& call);
  Reply ImportKv(const std::string& call, const std::string& data);
  /// Seeds of the answers whose generation was started.
  Reply Executed();
  uint64_t ExecutedCount();

 private:
  struct Answer {
    std::string bytes;
    std::string content_type;
    bool ended = false;
    bool stopped = false;
    SteadyTime end_time;
    std::string kv;
  };
  struct Request {
    std::string entry;
    std::string prompt;
    uint64_t seed = 0;
    uint64_t max_tokens = 0;
    bool chat = false;
    bool stream = false;
  };
  struct PrefixEvent {
    uint64_t sequence = 0;
    std::string entry;
    uint64_t prefix_hash = 0;
    bool stored = true;
    SteadyTime visible;
  };
  struct LoadSample {
    SteadyTime time;
    uint64_t running = 0;
    uint64_t waiting = 0;
  };
  using Lock = std::unique_lock<std::mutex>;

  static bool Parse(const Exchange& exchange, const std::string& entry, Request* request);
  /// Waits until the call may run; returns false when it was cancelled before.
  bool WaitUntilAdmitted(Lock& lock, Answer* answer, uint64_t priority);
  /// Waits for `time` with the lock released; returns false when the call was cancelled meanwhile.
  bool Pause(Lock& lock, Answer* answer, Duration time);
  void Generate(Lock& lock, Exchange& exchange, const std::string& call, const Request& request,
                Answer* answer);
  void Append(Lock& lock, Exchange& exchange, Answer* answer, const std::string& bytes,
              bool stream);
  /// Returns whether the prefix of the prompt is cached; adds it to the cache otherwise.
  bool LookUpPrefix(const std::string& entry, const std::string& prompt);
  void ForgetOldAnswers();
  void UpdateLoadSample();

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::shared_ptr<Answer>> answers_;
  std::set<std::pair<uint64_t, uint64_t>> waiting_;  // Priority, then order of arrival.
  uint64_t arrivals_ = 0;
  uint64_t running_ = 0;
  std::deque<std::pair<std::string, uint64_t>> cached_prefixes_;
  std::deque<PrefixEvent> events_;
  uint64_t last_event_ = 0;
  LoadSample sample_;
  std::vector<uint64_t> executed_;
};

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_ENGINE_CALLS_H_
