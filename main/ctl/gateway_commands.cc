#include <fmt/format.h>

#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
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

/// What a command shows of the gateways.
struct RowQuery {
  const char* path;
  const char* list;
  std::vector<std::string> key;
  /// Printed when no gateway lists a row.
  const char* none;
};

/// Prints the merged rows of all given gateways, one a line.
int ShowRows(const CtlOptions& options, const RowQuery& query,
             const std::function<std::string(const json&)>& describe) {
  if (options.routers.empty()) {
    return UsageError("--router IP:PORT must name the metrics addresses of gateways");
  }
  int exit_code = kExitOk;
  const std::vector<json> replies = FetchFromGateways(options, query.path, &exit_code);
  const json rows = MergeGatewayRows(replies, query.list, query.key);
  if (options.json) {
    std::cout << rows.dump() << std::endl;
    return exit_code;
  }
  if (rows.empty() && !replies.empty()) {
    std::cout << fmt::format("{} ({} gateways asked)\n", query.none, replies.size());
  }
  for (const json& row : rows) {
    std::cout << fmt::format("{}  at {} of {} gateways\n", describe(row),
                             row.value("gateways", json::array()).size(), replies.size());
  }
  return exit_code;
}

}  // namespace

int RunQuarantine(const CtlOptions& options) {
  return ShowRows(options, {"/quarantine", "quarantined", {"traits"}, "no calls are refused"},
                  [](const json& row) {
                    return fmt::format("{:<48} {:>5} s left  {} relapses", row.value("traits", ""),
                                       row.value("remaining_ms", 0) / 1'000,
                                       row.value("relapses", 0));
                  });
}

int RunLimits(const CtlOptions& options) {
  return ShowRows(options,
                  {"/limits", "limited", {"runner", "calls_per_s"}, "no runner limits its calls"},
                  [](const json& row) {
                    return fmt::format("{:<24} {:>8.2f} calls/s  next permit in {} ms at most",
                                       row.value("runner", ""), row.value("calls_per_s", 0.0),
                                       row.value("next_permit_ms", 0));
                  });
}

int RunRunners(const CtlOptions& options) {
  return ShowRows(options, {"/runners", "unwilling", {"runner", "state"}, "all runners take calls"},
                  [](const json& row) {
                    return fmt::format("{:<24} {:<12} {:>6} ms at most", row.value("runner", ""),
                                       row.value("state", ""), row.value("wait_ms", 0));
                  });
}

int RunStore(const CtlOptions& options) {
  return ShowRows(
      options,
      {"/store", "state", {"era", "config_version", "leader", "fence"}, "nothing is known"},
      [](const json& row) {
        return fmt::format("era {}  config {}  leader {} (fence {})", row.value("era", 0),
                           row.value("config_version", 0), row.value("leader", ""),
                           row.value("fence", uint64_t{0}));
      });
}

}  // namespace shallot::ctl
