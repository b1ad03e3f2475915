#ifndef TESTS_FAULT_MATRIX_TABLE_H_
#define TESTS_FAULT_MATRIX_TABLE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/composed_fixture.h"

/// The fault matrix: each fault at each step of each protocol.
namespace shallot::composed {

/// Processes that the faults of a cell affect; set by the step.
struct CellTarget {
  size_t runner = 0;
  size_t router = 0;
  /// The step listed the runner as leaving; the cell reverts that after the fault.
  bool leaving = false;
};

/// One action of a fault, run at `at` after the start of the fault.
struct FaultAction {
  Millis at{0};
  std::function<void(ComposedFleet&, const CellTarget&)> run;
};

/// A fault including its end. The actions are in order of time.
struct Fault {
  std::string name;
  std::vector<FaultAction> actions;
};

/// A step of a protocol. `reach` runs a fleet up to the step and returns false if it was not
/// reached.
struct ProtocolStep {
  std::string protocol;
  std::string name;
  std::function<bool(ComposedFleet&, CellTarget*)> reach;
  /// Whether the step involves a load, and whether an order to the engine is open in it.
  bool loads = false;
  bool engine_order_open = false;
};

/// Single faults, in the order of the page's rows.
const std::vector<Fault>& SingleFaults();
/// Two different faults together, and the same fault twice.
const std::vector<Fault>& PairedFaults();
const std::vector<ProtocolStep>& ProtocolSteps();
/// Why the cell is empty; "" when it runs.
std::string EmptyReason(const Fault& fault, const ProtocolStep& step);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_MATRIX_TABLE_H_
