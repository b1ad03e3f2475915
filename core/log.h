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
  /// Written by a separate thread from a bounded queue: a stalled reader does not block the threads
  /// that log. Lines that do not fit are dropped, and a later line reports their number.
  kStandardOutput,
};

/// Capacity of the queue to standard output, in lines; a busy process fills it in about 1 s.
inline constexpr unsigned kLogQueueLines = 4096;

/// Configures logging. Call once in main; without it, only warnings and errors are logged, as text
/// to standard error.
void InitLogging(LogLevel level, LogFormat format, const std::string& process_name,
                 LogTarget target = LogTarget::kStandardError);
/// Time limit of the last flush, so that a stalled reader does not delay the end of a process.
inline constexpr std::chrono::milliseconds kFlushLimit{200};
/// Writes the queued lines and stops the writing thread. Call at the end of main. Returns false
/// when the reader of standard output has stalled: the process must then end without running
/// destructors, which would wait for the reader.
bool FlushLogging(std::chrono::milliseconds limit = kFlushLimit);
/// Number of lines that were dropped because the queue was full.
uint64_t DroppedLogLines();

/// Logs one line. `part` is the fixed name of the component that logs, such as "router" or "load".
/// Pass `request_id` with every line about a request.
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
