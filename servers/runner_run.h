#ifndef SERVERS_RUNNER_RUN_H_
#define SERVERS_RUNNER_RUN_H_

#include <compare>

#include "core/ids.h"

namespace shallot {

/// Distinguishes the runs of a runner with the same id. The Unix time of its start in milliseconds
/// where the runner tells it.
using RunnerStartTime = StrongNumber<struct RunnerStartTimeTag>;

/// One run of a runner, from its start to its end.
struct RunnerRun {
  RunnerId runner;
  RunnerStartTime born;
  auto operator<=>(const RunnerRun&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace shallot

#endif  // SERVERS_RUNNER_RUN_H_
