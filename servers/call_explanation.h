#ifndef SERVERS_CALL_EXPLANATION_H_
#define SERVERS_CALL_EXPLANATION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot {

/// One line of a gateway's log.
struct LogLine {
  WallTime at;
  /// Instance that wrote it.
  InstanceId process;
  std::string part;
  /// Fields of the form key=value; values in quotes may contain spaces.
  std::map<std::string, std::string> fields;
  /// The line without time, level and process.
  std::string text;

  /// A field's value; empty when it is absent.
  const std::string& Field(const std::string& name) const;
  std::string Event() const { return Field("event"); }
};

/// Reads "TIME LEVEL PART: TEXT", also with words of a log collector before it, the last of which
/// names the process. Without such a word the process is `source`. Empty: not a log line.
std::optional<LogLine> ParseLogLine(std::string_view line, const std::string& source);

/// What the logs say of one call: its own lines and those that decided its fate, in order of time,
/// and the causes that they show. Clocks of instances may differ by milliseconds.
struct CallExplanation {
  std::vector<LogLine> timeline;
  /// Short sentences; empty when the call completed without trouble.
  std::vector<std::string> causes;
};

/// Selects the lines about a call. Lines can be added in any order and from many processes.
class CallExplanationBuilder {
 public:
  /// Lines from before the call's first one that may still concern it: leadership and outages last
  /// longer than most calls wait.
  static constexpr Seconds kBefore{10};
  static constexpr Seconds kAfter{1};

  explicit CallExplanationBuilder(RequestId request) : request_(std::move(request)) {}
  CallExplanationBuilder& Add(LogLine line);
  /// Empty when no line names the call.
  std::optional<CallExplanation> Build() const;

 private:
  struct Subject {
    WallTime from;
    WallTime to;
    std::set<std::string> runners;
    std::set<std::string> models;
    std::set<InstanceId> processes;
  };

  Subject FindSubject(const std::vector<LogLine>& own) const;
  static bool Concerns(const Subject& subject, const LogLine& line);

  RequestId request_;
  std::vector<LogLine> lines_;
};

}  // namespace shallot

#endif  // SERVERS_CALL_EXPLANATION_H_
