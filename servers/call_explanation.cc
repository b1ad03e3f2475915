#include "servers/call_explanation.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <iterator>

namespace shallot {
namespace {

constexpr std::string_view kTimePattern = "dddd-dd-ddTdd:dd:dd.dddZ";

bool MatchesTimePattern(std::string_view text) {
  if (text.size() < kTimePattern.size()) return false;
  return std::equal(
      kTimePattern.begin(), kTimePattern.end(), text.begin(),
      [](char pattern, char c) { return pattern == 'd' ? c >= '0' && c <= '9' : pattern == c; });
}

size_t FindTime(std::string_view line) {
  for (size_t at = 0; at + kTimePattern.size() <= line.size(); ++at) {
    if (MatchesTimePattern(line.substr(at))) return at;
  }
  return std::string_view::npos;
}

std::string LastWord(std::string_view text) {
  const size_t end = text.find_last_not_of(" \t");
  if (end == std::string_view::npos) return {};
  const size_t begin = text.find_last_of(" \t", end);
  return std::string(text.substr(begin + 1, end - begin));
}

std::map<std::string, std::string> ParseFields(std::string_view text) {
  std::map<std::string, std::string> fields;
  size_t at = 0;
  while (at < text.size()) {
    const size_t equals = text.find('=', at);
    if (equals == std::string_view::npos) break;
    const size_t name = text.find_last_of(' ', equals) + 1;
    const bool quoted = equals + 1 < text.size() && text[equals + 1] == '"';
    const size_t begin = equals + (quoted ? 2 : 1);
    size_t end = text.find(quoted ? '"' : ' ', begin);
    if (end == std::string_view::npos) end = text.size();
    fields.emplace(text.substr(name, equals - name), text.substr(begin, end - begin));
    at = end + 1;
  }
  return fields;
}

/// Derives the causes, as sentences, from the lines of a timeline.
class CauseFinder {
 public:
  explicit CauseFinder(const RequestId& request) : request_(request) {}

  void Read(const LogLine& line) {
    const std::string event = line.Event();
    if (line.part == "placement") {
      ReadPlacement(line, event);
    } else if (line.part == "store") {
      ReadStore(line);
    } else if (line.part == "runners") {
      if (event == "runner-draining" || event == "runner-removed" || event == "runner-lapsed") {
        leaving_.insert(line.Field("runner"));
      }
    } else if (line.part == "crashes") {
      ReadCrash(line, event);
    } else if (line.part == "daemon") {
      if (event == "drain") draining_.insert(line.process);
    } else if (line.Field("request") == request_.value()) {
      ReadCall(line, event);
    }
  }

  std::vector<std::string> Take() {
    if (!ended_) {
      Emit("The call has no end: " + process_.value() +
           (draining_.contains(process_) ? " was stopping." : " ended without a planned stop."));
    }
    if (arrivals_.size() > 1) {
      std::string places;
      for (const std::string& arrival : arrivals_) {
        places += (places.empty() ? "" : ", ") + arrival;
      }
      Emit("The call arrived " + std::to_string(arrivals_.size()) + " times (" + places +
           "): its caller or a proxy sent it again.");
    }
    return std::move(causes_);
  }

 private:
  void ReadPlacement(const LogLine& line, const std::string& event) {
    if (event == "leadership-gained") leader_ = line.process;
    const bool leadership_ended = event == "leadership-lost" || event == "leadership-released";
    if (leadership_ended && leader_ == line.process) leader_.reset();
    if (event == "order-sent" && line.Field("op") == "unload" && line.Field("adapter").empty()) {
      unloading_.insert({line.Field("runner"), line.Field("model")});
      loaded_.erase({line.Field("model"), line.Field("runner")});
    }
    if (event == "order-settled" && line.Field("op") == "load") {
      loaded_.insert({line.Field("model"), line.Field("runner")});
      unloading_.erase({line.Field("runner"), line.Field("model")});
    }
  }

  void ReadStore(const LogLine& line) {
    if (line.text.find("cannot follow") != std::string::npos) store_down_.insert(line.process);
    if (line.text.find("following") != std::string::npos) store_down_.erase(line.process);
  }

  void ReadCrash(const LogLine& line, const std::string& event) {
    if (event == "runner-crashed") {
      Emit(line.Field("runner") + " crashed and lost " + line.Field("calls") + " calls of " +
           line.process.value() + " whose answers had not begun.");
    }
    if (event == "quarantine") {
      quarantined_[line.Field("traits")] = line.Field("crashes") + " crashes known";
    }
  }

  void ReadCall(const LogLine& line, const std::string& event) {
    process_ = line.process;
    if (!line.Field("model").empty()) model_ = line.Field("model");
    if (event == "wait" || event == "no-wait") ReadWait(line, event);
    if (event == "wait-for-permit") {
      Emit("The call waited for a permit of " + line.Field("runner") +
           ", which limits its calls (" + line.Field("predicted_ms") + " ms predicted).");
    }
    if (event == "send" && line.Field("after") == "none") {
      arrivals_.push_back(line.process.value() + " from " + line.Field("caller"));
    }
    if (event == "arrived-again") {
      Emit(line.process.value() + " did not send the call again: another arrival of it was " +
           line.Field("first") + " before.");
    }
    if (event == "attempt-failed") ReadFailure(line);
    if (event == "next-step" && line.Field("budget") == "no") {
      Emit("The retry budget was used up, so the call was not sent again.");
    }
    if (event != "end") return;
    ended_ = true;
    for (const auto& [traits, evidence] : quarantined_) {
      if (line.Field("reason") == "calls with " + traits + " crash runners") {
        Emit("Calls with " + traits + " were refused because such calls crash runners (" +
             evidence + ").");
      }
    }
  }

  void ReadWait(const LogLine& line, const std::string& event) {
    if (event == "no-wait") {
      Emit("No runner held " + model_ + ", and the load from " + line.Field("source") + " (" +
           line.Field("predicted_ms") + " ms) did not fit the " + line.Field("left_ms") +
           " ms that the call had left.");
    }
    if (!leader_) Emit("No gateway led placement while the call waited, so nothing was loaded.");
    const auto loaded = loaded_.lower_bound({model_, ""});
    if (loaded != loaded_.end() && loaded->first == model_) {
      Emit("The call waited although " + loaded->second + " had loaded " + model_ + ": " +
           process_.value() + " had not heard of it.");
    }
    if (store_down_.contains(process_)) {
      Emit(process_.value() + " could not reach the platform's store.");
    }
  }

  void ReadFailure(const LogLine& line) {
    const std::string runner = line.Field("runner");
    std::string sentence = "An attempt at " + runner + " failed (" + line.Field("failure") +
                           ") after " + line.Field("after_ms") + " ms";
    if (line.Field("failure") == "unproven-refusal") {
      sentence += ": it did not state that it has not run the call";
    } else if (unloading_.contains({runner, model_})) {
      sentence += ": " + model_ + " was being unloaded there";
    } else if (leaving_.contains(runner)) {
      sentence += ": the runner was leaving";
    }
    Emit(sentence + ".");
  }

  void Emit(const std::string& sentence) {
    if (std::find(causes_.begin(), causes_.end(), sentence) == causes_.end()) {
      causes_.push_back(sentence);
    }
  }

  RequestId request_;
  InstanceId process_;
  std::string model_;
  /// Where each arrival that was sent to a runner came from.
  std::vector<std::string> arrivals_;
  bool ended_ = false;
  std::optional<InstanceId> leader_;
  std::set<std::pair<std::string, std::string>> unloading_;
  std::set<std::pair<std::string, std::string>> loaded_;
  std::set<std::string> leaving_;
  std::set<InstanceId> draining_;
  /// The evidence for each quarantine, by its traits.
  std::map<std::string, std::string> quarantined_;
  std::set<InstanceId> store_down_;
  std::vector<std::string> causes_;
};

}  // namespace

const std::string& LogLine::Field(const std::string& name) const {
  static const std::string kAbsent;
  const auto found = fields.find(name);
  return found == fields.end() ? kAbsent : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view line, const std::string& source) {
  const size_t at = FindTime(line);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view rest = line.substr(at + kTimePattern.size());
  // " LEVEL PART: TEXT"
  const size_t level_end = rest.find(' ', 1);
  const size_t colon = rest.find(": ", 1);
  if (level_end == std::string_view::npos || colon == std::string_view::npos || colon < level_end) {
    return std::nullopt;
  }
  Poco::DateTime time;
  int zone = 0;
  if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT,
                                      std::string(line.substr(at, kTimePattern.size())), time,
                                      zone)) {
    return std::nullopt;
  }
  LogLine parsed;
  parsed.at = WallTime(std::chrono::microseconds(time.timestamp().epochMicroseconds()));
  const std::string collector = LastWord(line.substr(0, at));
  parsed.process = InstanceId(collector.empty() ? source : collector);
  parsed.part = std::string(rest.substr(level_end + 1, colon - level_end - 1));
  parsed.text = std::string(rest.substr(level_end + 1));
  parsed.fields = ParseFields(rest.substr(colon + 2));
  return parsed;
}

CallExplanationBuilder& CallExplanationBuilder::Add(LogLine line) {
  lines_.push_back(std::move(line));
  return *this;
}

CallExplanationBuilder::Scope CallExplanationBuilder::FindScope(
    const std::vector<LogLine>& own) const {
  Scope scope{own.front().at - kBefore, own.back().at + kAfter, {}, {}, {}, {}};
  for (const LogLine& line : own) {
    scope.processes.insert(line.process);
    if (!line.Field("runner").empty()) scope.runners.insert(line.Field("runner"));
    if (!line.Field("model").empty()) scope.models.insert(line.Field("model"));
    if (line.Event() == "end") scope.refusal = line.Field("reason");
  }
  return scope;
}

bool CallExplanationBuilder::IsRelated(const Scope& scope, const LogLine& line) {
  if (line.at < scope.from || line.at > scope.to) return false;
  if (line.part == "placement") {
    return line.Event().starts_with("leadership") || scope.models.contains(line.Field("model")) ||
           (line.Event() == "order-sent" && scope.runners.contains(line.Field("runner")));
  }
  const bool same_process = scope.processes.contains(line.process);
  if (line.part == "runners" || line.Event() == "runner-crashed") {
    return same_process && scope.runners.contains(line.Field("runner"));
  }
  if (line.Event() == "quarantine") {
    return same_process && scope.refusal.find(line.Field("traits")) != std::string::npos;
  }
  return same_process && (line.part == "store" || line.part == "daemon" || line.part == "config" ||
                          line.part == "gateways");
}

std::optional<CallExplanation> CallExplanationBuilder::Build() const {
  std::vector<LogLine> lines = lines_;
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& left, const LogLine& right) { return left.at < right.at; });
  std::vector<LogLine> own;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
               [this](const LogLine& line) { return line.Field("request") == request_.value(); });
  if (own.empty()) return std::nullopt;
  const Scope scope = FindScope(own);
  CallExplanation explanation;
  CauseFinder causes(request_);
  for (const LogLine& line : lines) {
    const bool is_own = line.Field("request") == request_.value();
    // Leadership gained and quarantines begun long before the call are still valid, so they count
    // for the causes but are shown only within the time range.
    const bool still_valid =
        line.at <= scope.to &&
        ((line.part == "placement" && line.Event().starts_with("leadership")) ||
         line.Event() == "quarantine");
    const bool is_related = is_own || IsRelated(scope, line);
    if (is_related) explanation.timeline.push_back(line);
    if (is_related || still_valid) causes.Read(line);
  }
  explanation.causes = causes.Take();
  return explanation;
}

}  // namespace shallot
