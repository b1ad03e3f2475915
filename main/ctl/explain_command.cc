#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "main/ctl/commands.h"
#include "servers/call_explanation.h"

namespace shallot::ctl {
namespace {

double SecondsSince(WallTime start, WallTime at) {
  return std::chrono::duration<double>(at - start).count();
}

void Print(const CtlOptions& options, const CallExplanation& explanation) {
  const WallTime start = explanation.timeline.front().at;
  if (options.json) {
    nlohmann::json timeline = nlohmann::json::array();
    for (const LogLine& line : explanation.timeline) {
      timeline.push_back({{"seconds", SecondsSince(start, line.at)},
                          {"process", line.process.value()},
                          {"text", line.text}});
    }
    std::cout << nlohmann::json({{"timeline", timeline}, {"causes", explanation.causes}}).dump()
              << std::endl;
    return;
  }
  for (const LogLine& line : explanation.timeline) {
    std::cout << fmt::format("{:9.3f} {:<24} {}\n", SecondsSince(start, line.at),
                             line.process.value(), line.text);
  }
  std::cout << (explanation.causes.empty() ? "\nNo problems were logged.\n" : "\nCauses:\n");
  for (const std::string& cause : explanation.causes) std::cout << "- " << cause << "\n";
}

}  // namespace

int RunExplain(const CtlOptions& options) {
  if (options.arguments.size() < 3) return UsageError("explain needs a request id and log files");
  const RequestId request(Argument(options, 1));
  CallExplanationBuilder builder(request);
  for (size_t index = 2; index < options.arguments.size(); ++index) {
    const std::filesystem::path path = options.arguments[index];
    std::ifstream file(path);
    if (!file) {
      return Fail(options, Error{ErrorKind::kNotFound, "cannot read " + path.string(),
                                 "give readable log files of the gateways"});
    }
    std::string line;
    while (std::getline(file, line)) {
      auto parsed = ParseLogLine(line, path.stem().string());
      if (parsed) builder.Add(std::move(*parsed));
    }
  }
  const auto explanation = builder.Build();
  if (!explanation) {
    return Fail(options,
                Error{ErrorKind::kNotFound, "no log line mentions the request " + request.value(),
                      "check the id, and that the logs of all gateways of that time are given"});
  }
  Print(options, *explanation);
  return kExitOk;
}

}  // namespace shallot::ctl
