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

/// What a cell works on. A step fills it in; faults hit the processes that it names.
struct CellTarget {
  size_t runner = 0;
  size_t router = 0;
  /// A runner to be listed as staying again at the end.
  bool leaving = false;
};

/// One action of a fault, so long after the fault began.
struct FaultAction {
  Millis at{0};
  std::function<void(ComposedFleet&, const CellTarget&)> run;
};

/// A fault with its end; the actions are in the order of time.
struct Fault {
  std::string name;
  std::vector<FaultAction> actions;
};

/// A step of a protocol. `reach` brings a fleet there; false when the step was not reached.
struct ProtocolStep {
  std::string protocol;
  std::string name;
  std::function<bool(ComposedFleet&, CellTarget*)> reach;
  /// What is under way in the step.
  bool loads = false;
  bool engine_order_open = false;
};

/// Single faults, in the order of the page.
const std::vector<Fault>& SingleFaults();
/// Two different faults together, and the same fault twice.
const std::vector<Fault>& PairedFaults();
const std::vector<ProtocolStep>& ProtocolSteps();
/// Why the cell is empty; "" when it is run.
std::string EmptyReason(const Fault& fault, const ProtocolStep& step);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_MATRIX_TABLE_H_
