#include <fstream>
#include <iostream>
#include <thread>

#include "main/ctl/commands.h"
#include "main/ctl/session.h"
#include "servers/burn_report.h"
#include "servers/fleet_config.h"

namespace shallot::ctl {
namespace {

/// Objectives by call class: of the fleet configuration, or the defaults without a platform.
Result<std::array<double, kCallClassCount>> LoadObjectives(const CtlOptions& options) {
  std::array<double, kCallClassCount> objectives{};
  objectives.fill(ClassPolicy().objective);
  if (options.platform.empty()) return objectives;
  Session session(options.platform);
  const Result<ConfigState> state = session.ReadConfig();
  if (!IsOk(state)) return ErrorOf(state);
  const ConfigState& current = ValueOf(state);
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(current.document), current.document.source, current.head.revision);
  if (!IsOk(config)) return ErrorOf(config);
  for (int i = 0; i < kCallClassCount; ++i) {
    const auto call_class = static_cast<CallClass>(i);
    objectives[static_cast<size_t>(i)] = ValueOf(config).class_policy(call_class).objective;
  }
  return objectives;
}

Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (file) return OkStatus();
  return Error{ErrorKind::kInternal, "cannot write \"" + path + "\"",
               "check the folder and the permissions"};
}

/// Adds one sample of each router to the report; returns how many routers answered.
size_t SampleRouters(const CtlOptions& options, const Clock& clock, BurnReport* report) {
  size_t answered = 0;
  const SteadyTime now = clock.SteadyNow();
  for (const std::string& router : options.routers) {
    const Result<std::string> metrics = Fetch(router, "GET", "/metrics");
    const Result<CallCounts> counts =
        IsOk(metrics) ? ParseCallCounts(ValueOf(metrics)) : Result<CallCounts>(ErrorOf(metrics));
    if (!IsOk(counts)) {
      std::cerr << "shallotctl: " << router << ": " << FormatError(ErrorOf(counts)) << std::endl;
      continue;
    }
    report->AddSample(now, router, ValueOf(counts));
    ++answered;
  }
  return answered;
}

Status WriteOutputFiles(const CtlOptions& options, const BurnReport& report) {
  if (!options.csv.empty()) {
    Status written = WriteFile(options.csv, report.FormatCsv());
    if (!IsOk(written)) return written;
  }
  if (options.plot.empty()) return OkStatus();
  const std::string data = options.plot + ".dat";
  Status written = WriteFile(data, report.FormatPlotData());
  if (!IsOk(written)) return written;
  return WriteFile(options.plot, report.FormatPlotScript(data, options.plot + ".svg"));
}

}  // namespace

int RunReport(const CtlOptions& options) {
  if (Argument(options, 1) != "burn") return UsageError("the only report is \"report burn\"");
  if (options.routers.empty()) return UsageError("report burn needs --router IP:PORT");
  if (options.samples < 2) return UsageError("report burn needs --samples of 2 or more");
  const Result<std::array<double, kCallClassCount>> objectives = LoadObjectives(options);
  if (!IsOk(objectives)) return Fail(options, ErrorOf(objectives));
  const SystemClock clock;
  BurnReport report(ValueOf(objectives));
  size_t answered = 0;
  for (uint64_t i = 0; i < options.samples; ++i) {
    if (i > 0) std::this_thread::sleep_for(options.interval);
    answered += SampleRouters(options, clock, &report);
  }
  if (answered == 0) {
    return Fail(options,
                Error{ErrorKind::kUnavailable, "no router answered", "check the admin addresses"});
  }
  Status written = WriteOutputFiles(options, report);
  if (!IsOk(written)) return Fail(options, ErrorOf(written));
  std::cout << (options.json ? report.FormatJson() + "\n" : report.FormatText()) << std::flush;
  return kExitOk;
}

}  // namespace shallot::ctl
