#include "core/test_defects.h"

#ifdef SHALLOT_DEFECTS

#include <array>
#include <cstdlib>
#include <string>

namespace shallot {
namespace {

/// Names of the defects in the order of TestDefect; misc/mutants.sh uses them.
constexpr std::array<const char*, 10> kNames = {
    "skip-incarnation",      "release-memory-early", "retry-order",        "run-without-claim",
    "forget-tombstones",     "accept-older-config",  "drop-attempt-check", "move-before-release",
    "accept-while-draining", "not-run-after-sending"};

std::string SelectedDefect() {
  const char* name = std::getenv("SHALLOT_DEFECT");
  return name == nullptr ? "" : name;
}

}  // namespace

bool HasDefect(TestDefect defect) {
  static const std::string kSelected = SelectedDefect();
  return kSelected == kNames.at(static_cast<size_t>(defect));
}

}  // namespace shallot

#endif  // SHALLOT_DEFECTS
