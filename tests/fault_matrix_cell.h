#ifndef TESTS_FAULT_MATRIX_CELL_H_
#define TESTS_FAULT_MATRIX_CELL_H_

#include <string>
#include <vector>

#include "tests/fault_matrix_table.h"

namespace shallot::composed {

/// Leaves out the many warnings that injected faults cause.
void QuietLogs();

/// Stands for the absence of a fault; then all calls must complete.
const Fault& NoFault();

/// Runs one cell from a fresh fleet to the checks at its end; returns what was violated.
std::vector<std::string> RunCell(const Fault& fault, const ProtocolStep& step);

/// Checks a fleet whose faults have ended: calls and orders succeed again, all calls have their
/// outcome, and one more change is in force everywhere in time. Adds to its violations.
void CheckRecovery(ComposedFleet& fleet);

/// Markdown page of the matrix. `results`: runs all cells; otherwise every run cell counts as "ok".
std::string MatrixPage(bool results);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_MATRIX_CELL_H_
