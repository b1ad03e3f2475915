#ifndef BENCH_BENCH_REPORT_H_
#define BENCH_BENCH_REPORT_H_

#include <string>

namespace shallot::bench {

/// One figure of a benchmark with the baseline from the same run.
struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
  /// What the value is compared with; 0 when there is nothing to compare.
  double baseline = 0;
};

/// Prints the figure as one JSON object on a line: name, value, unit, baseline, ratio. The ratio is
/// null without a baseline.
void Print(const Figure& figure);

}  // namespace shallot::bench

#endif  // BENCH_BENCH_REPORT_H_
