#include "bench/bench_report.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace shallot::bench {

void Print(const Figure& figure) {
  nlohmann::ordered_json line = {{"name", figure.name},
                                 {"value", figure.value},
                                 {"unit", figure.unit},
                                 {"baseline", nullptr},
                                 {"ratio", nullptr}};
  if (figure.baseline != 0) {
    line["baseline"] = figure.baseline;
    line["ratio"] = figure.value / figure.baseline;
  }
  std::cout << line.dump() << "\n" << std::flush;
}

}  // namespace shallot::bench
