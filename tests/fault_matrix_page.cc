#include "tests/fault_matrix_cell.h"

namespace shallot::composed {
namespace {

const char* const kIntroduction =
    "# Fault matrix\n\n"
    "Each fault hits a fleet of three routers and three runners (two engines, one plain service) "
    "at "
    "each\nstep of each protocol. The fleet consists of the real cores on a manual clock "
    "(`tests/composed_fixture.h`).\nA cell is `ok` when all checks of `CheckRecovery` and of every "
    "step held; `FAILED` names a cell that\n`KNOWN-RED.txt` lists. An empty cell has a number, "
    "which stands for a reason below the tables.\n\n"
    "`misc/fault_matrix.sh` writes this page; `fault_matrix_test` checks that it has the cells of "
    "the table\nin `tests/fault_matrix_faults.cc` and `tests/fault_matrix_steps.cc`.\n";

class PageWriter {
 public:
  explicit PageWriter(bool results) : results_(results) {}

  std::string Write() {
    page_ = kIntroduction;
    WriteTables("Single faults", SingleFaults());
    WriteTables("Pairs of faults", PairedFaults());
    page_ += "\n## Empty cells\n\n";
    for (size_t i = 0; i < reasons_.size(); ++i) {
      page_ += std::to_string(i + 1) + ". " + reasons_[i] + "\n";
    }
    return page_;
  }

 private:
  void WriteTables(const std::string& title, const std::vector<Fault>& faults) {
    page_ += "\n## " + title + "\n";
    const std::vector<ProtocolStep>& steps = ProtocolSteps();
    for (size_t first = 0; first < steps.size();) {
      size_t last = first;
      while (last < steps.size() && steps[last].protocol == steps[first].protocol) ++last;
      WriteTable(faults, {steps.begin() + static_cast<std::ptrdiff_t>(first),
                          steps.begin() + static_cast<std::ptrdiff_t>(last)});
      first = last;
    }
  }
  void WriteTable(const std::vector<Fault>& faults, const std::vector<ProtocolStep>& steps) {
    page_ += "\n| " + steps.front().protocol + " |";
    for (const ProtocolStep& step : steps) page_ += " " + step.name + " |";
    page_ += "\n|---|";
    for (size_t i = 0; i < steps.size(); ++i) page_ += "---|";
    page_ += "\n";
    for (const Fault& fault : faults) {
      page_ += "| " + fault.name + " |";
      for (const ProtocolStep& step : steps) page_ += " " + Cell(fault, step) + " |";
      page_ += "\n";
    }
  }
  std::string Cell(const Fault& fault, const ProtocolStep& step) {
    const std::string reason = EmptyReason(fault, step);
    if (!reason.empty()) return "(" + std::to_string(NumberOf(reason)) + ")";
    if (!results_) return "ok";
    return RunCell(fault, step).empty() ? "ok" : "FAILED";
  }
  size_t NumberOf(const std::string& reason) {
    for (size_t i = 0; i < reasons_.size(); ++i) {
      if (reasons_[i] == reason) return i + 1;
    }
    reasons_.push_back(reason);
    return reasons_.size();
  }

  bool results_;
  std::string page_;
  std::vector<std::string> reasons_;
};

}  // namespace

std::string MatrixPage(bool results) { return PageWriter(results).Write(); }

}  // namespace shallot::composed
