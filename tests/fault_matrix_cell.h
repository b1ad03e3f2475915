#ifndef TESTS_FAULT_MATRIX_CELL_H_
#define TESTS_FAULT_MATRIX_CELL_H_

#include <string>
#include <vector>

#include "tests/fault_matrix_table.h"

namespace shallot::composed {

/// Raises the log level to errors, because injected faults cause many warnings.
void SuppressWarnings();

/// A fault without effect; with it, all calls must complete.
const Fault& NoFault();

/// Runs one cell on a new fleet, including the checks at its end; returns the violations.
std::vector<std::string> RunCell(const Fault& fault, const ProtocolStep& step);

/// Checks a fleet whose faults have ended: calls and orders succeed again, all calls have an
/// outcome, and a further configuration change is in force everywhere in time. Adds failures to the
/// fleet's violations.
void CheckRecovery(ComposedFleet& fleet);

/// Markdown page of the matrix. `results`: runs all cells; otherwise every cell that would run is
/// written as "ok".
std::string MatrixPage(bool results);

}  // namespace shallot::composed

#endif  // TESTS_FAULT_MATRIX_CELL_H_
