#ifndef CORE_LOG_H_
#define CORE_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kText, kJson };
enum class LogTarget {
  kStandardError,
  /// Written by a thread of its own from a bounded queue: a reader that stalls delays nobody, and
  /// lines beyond the queue are dropped and counted in a later line.
  kStandardOutput,
};

/// Lines that wait for a stalled reader of standard output; about 1 s of a busy process.
inline constexpr unsigned kLogQueueLines = 4096;

/// Sets up logging. Call once in main; without it only warnings and errors are written to standard
/// error, as text.
void InitLogging(LogLevel level, LogFormat format, const std::string& process_name,
                 LogTarget target = LogTarget::kStandardError);
/// Time that a process may spend on its last log lines; its end must not wait for a stalled reader.
inline constexpr std::chrono::milliseconds kFlushLimit{200};
/// Writes what is queued and stops the writing thread. Call at the end of main. False: the reader
/// of standard output has stalled; end the process without destructors, which would wait for it.
bool FlushLogging(std::chrono::milliseconds limit = kFlushLimit);
/// Lines that were dropped because the queue was full.
uint64_t DroppedLogLines();

/// Writes one line. `part` is the fixed prefix of the part that logs, such as "router" or "load".
/// `request_id` goes into every line about a request.
void Log(LogLevel level, std::string_view part, std::string_view message,
         std::string_view request_id = {});

inline void LogInfo(std::string_view part, std::string_view message,
                    std::string_view request_id = {}) {
  Log(LogLevel::kInfo, part, message, request_id);
}
inline void LogWarning(std::string_view part, std::string_view message,
                       std::string_view request_id = {}) {
  Log(LogLevel::kWarning, part, message, request_id);
}
inline void LogError(std::string_view part, std::string_view message,
                     std::string_view request_id = {}) {
  Log(LogLevel::kError, part, message, request_id);
}

}  // namespace shallot

#endif  // CORE_LOG_H_
