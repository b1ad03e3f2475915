#ifndef SERVERS_BURN_REPORT_H_
#define SERVERS_BURN_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"
#include "servers/call.h"

namespace shallot {

/// Call counts of one class since a router's start.
struct ClassCounts {
  /// Completed in time.
  uint64_t good = 0;
  uint64_t total = 0;

  bool operator==(const ClassCounts&) const = default;
};

using CallCounts = std::array<ClassCounts, kCallClassCount>;

/// Reads the counters `shallot_router_calls_total` from the Prometheus text of a router's
/// /metrics. kInvalidArgument: the text has no such counter, or a value is not a number.
Result<CallCounts> ParseCallCounts(const std::string& metrics);

/// Error budget burn rate of one class over one window.
struct BurnRow {
  CallClass call_class = CallClass::kPremium;
  Seconds window{0};
  /// Part of the window that the samples cover.
  Seconds covered{0};
  uint64_t good = 0;
  uint64_t bad = 0;
  /// Share of bad calls divided by the share that the objective allows; 1 uses up the budget
  /// exactly. Infinite when the objective allows no bad call and there was one.
  double burn = 0;
};

/// Error budget burn rate of each class over windows of 5 min, 1 h, 6 h and 3 d, computed from
/// counter samples. A longer window appears once the samples extend beyond the shorter one.
class BurnReport {
 public:
  /// `objectives`: share of calls that must complete in time, 0 to 1, by class.
  explicit BurnReport(const std::array<double, kCallClassCount>& objectives);

  /// Adds a sample of one router's counters. The first sample of a router only sets its baseline. A
  /// counter that decreased means that the router restarted; all of its calls since then are new.
  void AddSample(SteadyTime time, const std::string& router, const CallCounts& counts);

  /// Rows for the newest sample, by class and window.
  std::vector<BurnRow> Rows() const;
  std::string FormatText() const;
  /// One row for each sample, class and window, after a header line.
  std::string FormatCsv() const;
  std::string FormatJson() const;
  /// Data for gnuplot: one block for each class with the burn in the shortest and longest window.
  std::string FormatPlotData() const;
  /// Gnuplot script that plots the file `data_path` to the SVG file `image_path`.
  std::string FormatPlotScript(const std::string& data_path, const std::string& image_path) const;

 private:
  struct Point {
    SteadyTime time;
    /// Sums over all routers since the first sample.
    CallCounts sums;
  };

  std::vector<BurnRow> RowsAt(size_t point) const;
  size_t StartOfWindow(size_t point, Seconds window) const;
  double Burn(size_t class_index, const ClassCounts& calls) const;

  std::array<double, kCallClassCount> objectives_;
  std::map<std::string, CallCounts> last_;
  std::vector<Point> points_;
};

}  // namespace shallot

#endif  // SERVERS_BURN_REPORT_H_
