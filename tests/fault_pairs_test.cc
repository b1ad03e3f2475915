#include <doctest/doctest.h>

#include "tests/fault_matrix_cell.h"

namespace shallot::composed {
namespace {

// Guards against two faults that violate a guarantee only in combination, and against a fault that
// recurs before the fleet has recovered from it.
TEST_CASE("pairs of faults at each step") {
  for (const Fault& fault : PairedFaults()) {
    for (const ProtocolStep& step : ProtocolSteps()) {
      if (!EmptyReason(fault, step).empty()) continue;
      CAPTURE(fault.name);
      CAPTURE(step.protocol);
      CAPTURE(step.name);
      for (const std::string& violation : RunCell(fault, step)) FAIL_CHECK(violation);
    }
  }
}

}  // namespace
}  // namespace shallot::composed
