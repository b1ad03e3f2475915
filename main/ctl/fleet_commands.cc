#include <fmt/format.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "drivers/http_connection.h"
#include "main/ctl/commands.h"
#include "main/ctl/session.h"
#include "servers/fleet_config.h"

namespace shallot::ctl {
namespace {

using nlohmann::json;

std::string JoinNames(const json& names) {
  std::string text;
  for (const json& name : names) text += (text.empty() ? "" : " ") + name.get<std::string>();
  return text;
}

void PrintRunner(const json& runner) {
  const json empty_array = json::array();
  std::cout << fmt::format("  {:<20} {:<14} {:<10} running {:<4} queued {:<4} loaded: {}\n",
                           runner.value("runner", ""), runner.value("failure_domain", ""),
                           runner.value("draining", false) || runner.value("leaving", false)
                               ? "leaving"
                               : (runner.value("connected", false) ? "connected" : "idle"),
                           runner.value("running", 0), runner.value("queued", 0),
                           JoinNames(runner.value("loaded", empty_array)));
}

void PrintDaemon(const std::string& address, const json& status) {
  const json empty_array = json::array();
  const std::string name = status.value("router", status.value("agent", std::string("daemon")));
  std::cout << fmt::format("{} at {}: configuration revision {}, {} calls in progress\n", name,
                           address, status.value("config_revision", 0),
                           status.value("calls_in_progress", status.value("running", 0)));
  for (const json& runner : status.value("runners", empty_array)) PrintRunner(runner);
  for (const json& row : status.value("quarantined", empty_array)) {
    std::cout << fmt::format("  refusing calls with {} for {} ms\n", row.value("traits", ""),
                             row.value("remaining_ms", 0));
  }
  for (const auto& [reason, count] : status.value("refusals", json::object()).items()) {
    std::cout << fmt::format("  refused {}: {}\n", reason, count.dump());
  }
}

int ShowDaemonStatus(const CtlOptions& options) {
  json statuses = json::object();
  int exit_code = kExitOk;
  for (const std::string& address : options.routers) {
    const Result<json> status = FetchJson(address, "/status");
    if (!IsOk(status)) {
      exit_code = kExitUnavailable;
      std::cerr << "shallotctl: " << FormatError(ErrorOf(status)) << std::endl;
      statuses[address] = nullptr;
      continue;
    }
    statuses[address] = ValueOf(status);
    if (!options.json) PrintDaemon(address, ValueOf(status));
  }
  if (options.json) std::cout << statuses.dump() << std::endl;
  return exit_code;
}

int ShowInstances(const CtlOptions& options) {
  const Result<json> list = FetchJson(options.platform, "/instances");
  if (!IsOk(list)) return Fail(options, ErrorOf(list));
  if (options.json) {
    std::cout << ValueOf(list).dump() << std::endl;
    return kExitOk;
  }
  for (const json& instance : ValueOf(list)) {
    std::cout << fmt::format("{:<28} {:<8} {:<22} {:<14} {:<20} {}\n", instance.value("id", ""),
                             instance.value("role", ""), instance.value("address", ""),
                             instance.value("failure_domain", ""), instance.value("runner", ""),
                             instance.value("leaving", false) ? "leaving" : "live");
  }
  return kExitOk;
}

/// Runners that hold each entry in accelerator memory, as the given routers report.
std::map<std::string, std::set<std::string>> FetchRunnersByEntry(const CtlOptions& options) {
  std::map<std::string, std::set<std::string>> loaded;
  const json empty_array = json::array();
  for (const std::string& address : options.routers) {
    const Result<json> status = FetchJson(address, "/status");
    if (!IsOk(status)) {
      std::cerr << "shallotctl: " << FormatError(ErrorOf(status)) << std::endl;
      continue;
    }
    for (const json& runner : ValueOf(status).value("runners", empty_array)) {
      for (const json& entry : runner.value("loaded", empty_array)) {
        loaded[entry.get<std::string>()].insert(runner.value("runner", ""));
      }
    }
  }
  return loaded;
}

/// Returns whether a status is that of the named router, agent or runner.
bool IsNamed(const json& status, const std::string& name) {
  return status.value("router", "") == name || status.value("agent", "") == name ||
         status.value("runner", "") == name;
}

/// Drains the daemon with that name; looks for it at the given admin addresses.
int DrainDaemon(const CtlOptions& options, const std::string& name) {
  Error error{ErrorKind::kNotFound, "none of the given addresses belongs to \"" + name + "\"",
              "give the admin address of that router or agent"};
  for (const std::string& address : options.routers) {
    const Result<json> status = FetchJson(address, "/status");
    if (!IsOk(status)) error = ErrorOf(status);
    if (!IsOk(status) || !IsNamed(ValueOf(status), name)) continue;
    const Result<std::string> done = Fetch(address, "POST", "/drain");
    if (!IsOk(done)) return Fail(options, ErrorOf(done));
    if (options.json) {
      std::cout << json{{"draining", name}, {"address", address}}.dump() << std::endl;
    } else {
      std::cout << name << " at " << address << " drains" << std::endl;
    }
    return kExitOk;
  }
  return Fail(options, error);
}

int MarkLeaving(const CtlOptions& options, json record) {
  record["leaving"] = true;
  const std::string path = "/instances/" + EncodePath(record.value("id", ""));
  const Result<std::string> done = Fetch(options.platform, "PUT", path, record.dump());
  if (!IsOk(done)) return Fail(options, ErrorOf(done));
  if (options.json) {
    std::cout << record.dump() << std::endl;
  } else {
    std::cout << record.value("id", "") << " is marked as leaving" << std::endl;
  }
  return kExitOk;
}

}  // namespace

int RunStatus(const CtlOptions& options) {
  if (!options.routers.empty()) return ShowDaemonStatus(options);
  if (!options.platform.empty()) return ShowInstances(options);
  return UsageError("status needs --router IP:PORT or --platform IP:PORT");
}

int RunCatalog(const CtlOptions& options) {
  if (options.platform.empty()) return UsageError("catalog needs --platform IP:PORT");
  Session session(options.platform);
  const Result<ConfigState> state = session.ReadConfig();
  if (!IsOk(state)) return Fail(options, ErrorOf(state));
  const ConfigState& current = ValueOf(state);
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(current.document), current.document.source, current.head.revision);
  if (!IsOk(config)) return Fail(options, ErrorOf(config));
  const auto loaded = FetchRunnersByEntry(options);
  json list = json::array();
  for (const auto& [id, entry] : ValueOf(config).entries) {
    const auto at = loaded.find(id.value());
    const json runners = at == loaded.end() ? json::array() : json(at->second);
    const char* kind = entry.kind == LoadKind::kModel ? "model" : "adapter";
    list.push_back({{"entry", id.value()},
                    {"kind", kind},
                    {"base", entry.base.value()},
                    {"backend", entry.backend.value()},
                    {"version", entry.version},
                    {"size_bytes", entry.size.value()},
                    {"min_replicas", entry.policy.min_replicas},
                    {"max_replicas", entry.policy.max_replicas},
                    {"loaded", runners}});
    if (options.json) continue;
    std::cout << fmt::format("{:<24} {:<8} {:<16} version {:<6} {:>7} MB  replicas {}-{}  {}\n",
                             id.value(), kind, entry.base.value(), entry.version,
                             entry.size.value() >> 20, entry.policy.min_replicas,
                             entry.policy.max_replicas, JoinNames(runners));
  }
  if (options.json) std::cout << list.dump() << std::endl;
  return kExitOk;
}

int RunDrain(const CtlOptions& options) {
  const std::string name = Argument(options, 1);
  if (name.empty()) return UsageError("drain needs a runner or an instance id");
  if (!options.routers.empty()) return DrainDaemon(options, name);
  if (options.platform.empty()) return UsageError("drain needs --router or --platform IP:PORT");
  const Result<json> list = FetchJson(options.platform, "/instances");
  if (!IsOk(list)) return Fail(options, ErrorOf(list));
  for (const json& instance : ValueOf(list)) {
    if (instance.value("runner", "") != name && instance.value("id", "") != name) continue;
    return MarkLeaving(options, instance);
  }
  return Fail(options, Error{ErrorKind::kNotFound, "no instance or runner \"" + name + "\"",
                             "list them with shallotctl status --platform IP:PORT"});
}

}  // namespace shallot::ctl
