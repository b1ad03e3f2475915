#ifndef BENCH_BENCH_REPORT_H_
#define BENCH_BENCH_REPORT_H_

#include <string>

namespace shallot::bench {

/// One measured value of a benchmark, with a baseline from the same run.
struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
  /// Value to compare with, in the same unit; 0 when there is no baseline.
  double baseline = 0;
};

/// Prints the figure as one JSON object on a line with the keys name, value, unit, baseline and
/// ratio. Baseline and ratio are null when there is no baseline.
void Print(const Figure& figure);

}  // namespace shallot::bench

#endif  // BENCH_BENCH_REPORT_H_
