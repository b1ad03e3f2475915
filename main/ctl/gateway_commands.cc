#include <fmt/format.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "main/ctl/commands.h"
#include "main/ctl/session.h"
#include "servers/merged_rows.h"

namespace shallot::ctl {
namespace {

using nlohmann::json;

/// The documents at `path` of all given gateways that answer; the others are reported as errors.
std::vector<json> FetchFromGateways(const CtlOptions& options, const std::string& path,
                                    int* exit_code) {
  std::vector<json> replies;
  for (const std::string& address : options.routers) {
    const Result<json> reply = FetchJson(address, path);
    if (!IsOk(reply)) {
      *exit_code = kExitUnavailable;
      std::cerr << "shallotctl: " << FormatError(ErrorOf(reply)) << std::endl;
      continue;
    }
    replies.push_back(ValueOf(reply));
  }
  return replies;
}

/// "at 5 of 6 gateways".
std::string PresentAt(const json& row, size_t gateways) {
  return fmt::format("at {} of {} gateways", row.value("gateways", json::array()).size(), gateways);
}

}  // namespace

int RunQuarantine(const CtlOptions& options) {
  if (options.routers.empty()) return UsageError("quarantine needs --router IP:PORT of gateways");
  int exit_code = kExitOk;
  const std::vector<json> replies = FetchFromGateways(options, "/quarantine", &exit_code);
  const json rows = MergeGatewayRows(replies, "quarantined", {"traits"});
  if (options.json) {
    std::cout << rows.dump() << std::endl;
    return exit_code;
  }
  if (rows.empty()) {
    std::cout << fmt::format("no calls are refused ({} gateways asked)\n", replies.size());
  }
  for (const json& row : rows) {
    std::cout << fmt::format("{:<48} {:>5} s left  {} relapses  {}\n", row.value("traits", ""),
                             row.value("remaining_ms", 0) / 1'000, row.value("relapses", 0),
                             PresentAt(row, replies.size()));
  }
  return exit_code;
}

}  // namespace shallot::ctl
