#include "servers/burn_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shallot {
namespace {

constexpr std::array<Seconds, 4> kWindows = {Seconds(300), Seconds(3600), Seconds(6 * 3600),
                                             Seconds(3 * 24 * 3600)};
constexpr const char* kCounterName = "shallot_router_calls_total{";

Error BadMetrics(const std::string& problem) {
  return Error{ErrorKind::kInvalidArgument, "metrics: " + problem,
               "give the admin address of a router"};
}

/// Value of a label in `class="status",outcome="completed"`; empty when absent.
std::string LabelValue(const std::string& line, const std::string& label) {
  const std::string begin = label + "=\"";
  const size_t at = line.find(begin);
  if (at == std::string::npos) return "";
  const size_t start = at + begin.size();
  return line.substr(start, line.find('"', start) - start);
}

Seconds WholeSeconds(Duration duration) { return std::chrono::floor<Seconds>(duration); }

/// JSON cannot represent infinity, so it is written as null.
nlohmann::json BurnAsJson(double burn) {
  if (burn == std::numeric_limits<double>::infinity()) return nullptr;
  return burn;
}

}  // namespace

Result<CallCounts> ParseCallCounts(const std::string& metrics) {
  CallCounts counts{};
  std::istringstream lines(metrics);
  std::string line;
  bool found = false;
  while (std::getline(lines, line)) {
    if (!line.starts_with(kCounterName)) continue;
    CallClass call_class{};
    if (!ParseCallClass(LabelValue(line, "class"), &call_class)) {
      return BadMetrics("unknown class in \"" + line + "\"");
    }
    const size_t space = line.rfind(' ');
    uint64_t value = 0;
    const char* end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data() + space + 1, end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return BadMetrics("no whole number in \"" + line + "\"");
    }
    ClassCounts& calls = counts[static_cast<size_t>(call_class)];
    calls.total += value;
    if (LabelValue(line, "outcome") == "completed") calls.good += value;
    found = true;
  }
  if (!found) return BadMetrics("no counter shallot_router_calls_total");
  return counts;
}

BurnReport::BurnReport(const std::array<double, kCallClassCount>& objectives)
    : objectives_(objectives) {}

void BurnReport::AddSample(SteadyTime time, const std::string& router, const CallCounts& counts) {
  CallCounts sums = points_.empty() ? CallCounts{} : points_.back().sums;
  const auto known = last_.find(router);
  for (size_t i = 0; known != last_.end() && i < counts.size(); ++i) {
    const ClassCounts& before = known->second[i];
    const bool restarted = counts[i].total < before.total || counts[i].good < before.good;
    const ClassCounts start = restarted ? ClassCounts{} : before;
    sums[i].good += counts[i].good - start.good;
    sums[i].total += counts[i].total - start.total;
  }
  last_[router] = counts;
  if (!points_.empty() && points_.back().time == time) {
    points_.back().sums = sums;
    return;
  }
  points_.push_back({time, sums});
}

size_t BurnReport::StartOfWindow(size_t point, Seconds window) const {
  const SteadyTime oldest = points_[point].time - window;
  const auto it =
      std::lower_bound(points_.begin(), points_.begin() + static_cast<std::ptrdiff_t>(point),
                       oldest, [](const Point& each, SteadyTime at) { return each.time < at; });
  return static_cast<size_t>(it - points_.begin());
}

double BurnReport::Burn(size_t class_index, const ClassCounts& calls) const {
  const uint64_t bad = calls.total - calls.good;
  if (bad == 0) return 0;
  const double allowed = 1.0 - objectives_[class_index];
  if (allowed <= 0) return std::numeric_limits<double>::infinity();
  return static_cast<double>(bad) / static_cast<double>(calls.total) / allowed;
}

std::vector<BurnRow> BurnReport::RowsAt(size_t point) const {
  std::vector<BurnRow> rows;
  for (size_t i = 0; i < kCallClassCount; ++i) {
    Seconds shorter{-1};
    for (const Seconds window : kWindows) {
      const Point& first = points_[StartOfWindow(point, window)];
      const Seconds covered = WholeSeconds(points_[point].time - first.time);
      if (covered <= shorter) break;
      shorter = covered;
      const ClassCounts& end = points_[point].sums[i];
      const ClassCounts calls{end.good - first.sums[i].good, end.total - first.sums[i].total};
      rows.push_back({static_cast<CallClass>(i), window, covered, calls.good,
                      calls.total - calls.good, Burn(i, calls)});
    }
  }
  return rows;
}

std::vector<BurnRow> BurnReport::Rows() const {
  if (points_.empty()) return {};
  return RowsAt(points_.size() - 1);
}

std::string BurnReport::FormatText() const {
  std::string text = fmt::format("{:<12} {:>9} {:>10} {:>10} {:>10} {:>10} {:>8}\n", "class",
                                 "window s", "covered s", "good", "bad", "objective", "burn");
  for (const BurnRow& row : Rows()) {
    text +=
        fmt::format("{:<12} {:>9} {:>10} {:>10} {:>10} {:>10} {:>8.2f}\n",
                    CallClassName(row.call_class), row.window.count(), row.covered.count(),
                    row.good, row.bad, objectives_[static_cast<size_t>(row.call_class)], row.burn);
  }
  return text;
}

std::string BurnReport::FormatCsv() const {
  std::string text = "time_s,class,window_s,covered_s,good,bad,objective,burn\n";
  for (size_t i = 0; i < points_.size(); ++i) {
    const auto time = WholeSeconds(points_[i].time - points_.front().time).count();
    for (const BurnRow& row : RowsAt(i)) {
      text += fmt::format("{},{},{},{},{},{},{},{:.4f}\n", time, CallClassName(row.call_class),
                          row.window.count(), row.covered.count(), row.good, row.bad,
                          objectives_[static_cast<size_t>(row.call_class)], row.burn);
    }
  }
  return text;
}

std::string BurnReport::FormatJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const BurnRow& row : Rows()) {
    list.push_back({{"class", CallClassName(row.call_class)},
                    {"window_s", row.window.count()},
                    {"covered_s", row.covered.count()},
                    {"good", row.good},
                    {"bad", row.bad},
                    {"objective", objectives_[static_cast<size_t>(row.call_class)]},
                    {"burn", BurnAsJson(row.burn)}});
  }
  return list.dump();
}

std::string BurnReport::FormatPlotData() const {
  std::string text = "# seconds, burn in the shortest window, burn in the longest window\n";
  for (size_t i = 0; i < kCallClassCount; ++i) {
    const auto call_class = static_cast<CallClass>(i);
    text += fmt::format("# {}\n", CallClassName(call_class));
    for (size_t point = 0; point < points_.size(); ++point) {
      std::vector<BurnRow> rows = RowsAt(point);
      std::erase_if(rows, [&](const BurnRow& row) { return row.call_class != call_class; });
      const auto time = WholeSeconds(points_[point].time - points_.front().time).count();
      text += fmt::format("{} {:.4f} {:.4f}\n", time, rows.front().burn, rows.back().burn);
    }
    // Two empty lines end a block that gnuplot selects by its index.
    text += "\n\n";
  }
  return text;
}

std::string BurnReport::FormatPlotScript(const std::string& data_path,
                                         const std::string& image_path) const {
  std::string text = "set terminal svg size 900,500 background rgb 'white'\n";
  text += fmt::format("set output '{}'\n", image_path);
  text += "set title 'Error budget burn by class'\nset xlabel 'seconds'\n";
  text += "set ylabel 'burn (1 = budget used up exactly)'\nset yrange [0:*]\n";
  text += "set key outside\nplot 1 with lines dashtype 2 title 'budget'";
  for (size_t i = 0; i < kCallClassCount; ++i) {
    text += fmt::format(", \\\n  '{}' index {} using 1:2 with lines title '{}'", data_path, i,
                        CallClassName(static_cast<CallClass>(i)));
  }
  return text + "\n";
}

}  // namespace shallot
