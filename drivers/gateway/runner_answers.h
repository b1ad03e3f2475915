#ifndef DRIVERS_GATEWAY_RUNNER_ANSWERS_H_
#define DRIVERS_GATEWAY_RUNNER_ANSWERS_H_

#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Records and logs what an answer tells of the willingness of the run that gave it.
void NoteWillingness(GatewayContext* context, const RunnerRun& run, const AnswerMetadata& answer);

/// Records the load that an answer of the runner states; one that cannot be read is logged.
void NoteLoad(GatewayContext* context, const RunnerId& runner, const AnswerMetadata& answer);

/// Applies a report of a runner, its own or one passed on by the leader. A run that it reveals
/// starts without what was observed of the run before.
void NoteReport(GatewayContext* context, const RunnerId& runner, const RunnerReport& report);

/// The run is leaving, by its own answer or by another gateway's report (`source`).
void NoteLeaving(GatewayContext* context, const RunnerRun& run, const char* source);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_RUNNER_ANSWERS_H_
