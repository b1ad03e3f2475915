#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <span>
#include <sstream>

#include "tests/fault_matrix_cell.h"

namespace shallot::composed {
namespace {

void RunMatrix(std::span<const Fault> faults) {
  for (const Fault& fault : faults) {
    for (const ProtocolStep& step : ProtocolSteps()) {
      if (!EmptyReason(fault, step).empty()) continue;
      CAPTURE(fault.name);
      CAPTURE(step.protocol);
      CAPTURE(step.name);
      for (const std::string& violation : RunCell(fault, step)) FAIL_CHECK(violation);
    }
  }
}

// Guards against a fleet that violates a guarantee without any fault, which would make the matrix
// meaningless.
TEST_CASE("each step without a fault") { RunMatrix({&NoFault(), 1}); }

// Guards against a fault that violates a guarantee when it occurs at a particular protocol step.
TEST_CASE("each fault at each step") { RunMatrix(SingleFaults()); }

std::string WithoutResults(std::string page) {
  const std::string failed = "FAILED |";
  for (size_t at = page.find(failed); at != std::string::npos; at = page.find(failed)) {
    page.replace(at, failed.size(), "ok |");
  }
  return page;
}

// Guards against a page that differs from the matrix that is run. misc/fault_matrix.sh sets the
// variable to write the page with new results.
TEST_CASE("the page of the fault matrix has the cells of the table") {
  const char* output = std::getenv("SHALLOT_FAULT_MATRIX_PAGE");
  if (output != nullptr) std::ofstream(output) << MatrixPage(true);
  std::ifstream file(SHALLOT_SOURCE_DIR "/docs/fault-matrix.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK(WithoutResults(page.str()) == MatrixPage(false));
}

}  // namespace
}  // namespace shallot::composed
