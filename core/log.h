#ifndef CORE_LOG_H_
#define CORE_LOG_H_

#include <string>
#include <string_view>

namespace shallot {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kText, kJson };

/// Sets up logging to standard error. Call once in main; without it only warnings and errors are
/// written, as text.
void InitLogging(LogLevel level, LogFormat format, const std::string& process_name);

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
