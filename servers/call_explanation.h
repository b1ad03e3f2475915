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
  /// Instance that wrote the line.
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

/// Parses "TIME LEVEL PART: TEXT". A log collector may put words in front of it; the last of these
/// is the process, and without one the process is `source`. Returns nullopt if it is no log line.
std::optional<LogLine> ParseLogLine(std::string_view line, const std::string& source);

/// Explanation of a call's outcome from the logs: the call's own lines and the related lines that
/// affected it, sorted by time, and the causes derived from them. Clocks of instances may differ by
/// milliseconds.
struct CallExplanation {
  std::vector<LogLine> timeline;
  /// One short sentence each; empty when the call completed without problems.
  std::vector<std::string> causes;
};

/// Builds the explanation of one call. Lines can be added in any order and from many processes.
class CallExplanationBuilder {
 public:
  /// Related lines are included from this long before the call's first line until `kAfter` after
  /// its last: leadership and outages last longer than most calls wait.
  static constexpr Seconds kBefore{10};
  static constexpr Seconds kAfter{1};

  explicit CallExplanationBuilder(RequestId request) : request_(std::move(request)) {}
  CallExplanationBuilder& Add(LogLine line);
  /// Returns nullopt when no line names the call.
  std::optional<CallExplanation> Build() const;

 private:
  /// Time range, runners, models and processes of the call's own lines.
  struct Scope {
    WallTime from;
    WallTime to;
    std::set<std::string> runners;
    std::set<std::string> models;
    std::set<InstanceId> processes;
    /// Reason of the call's refusal; empty if it was not refused.
    std::string refusal;
  };

  Scope FindScope(const std::vector<LogLine>& own) const;
  static bool IsRelated(const Scope& scope, const LogLine& line);

  RequestId request_;
  std::vector<LogLine> lines_;
};

}  // namespace shallot

#endif  // SERVERS_CALL_EXPLANATION_H_
