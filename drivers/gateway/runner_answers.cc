#include "drivers/gateway/runner_answers.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {

void NoteLeaving(GatewayContext* context, const RunnerRun& run, const char* source) {
  if (!context->view.MarkLeaving(run)) return;
  LogInfo("runners", fmt::format("event=runner-leaving runner={} born={} source={}",
                                 run.runner.value(), run.born.value(), source));
  context->metrics->GetCounter("runners_left_total").Add();
}

void NoteLoad(GatewayContext* context, const RunnerId& runner, const AnswerMetadata& answer) {
  if (answer.load_unreadable) {
    LogWarning("runners", "event=load-unreadable runner=" + runner.value());
    context->metrics->GetCounter("runner_loads_unreadable_total").Add();
  }
  // An answer of another runner at the same address tells nothing of this one.
  if (!answer.load || (!answer.runner.empty() && answer.runner != runner)) return;
  const AnswerMetadata::Load& load = *answer.load;
  context->picker.health(runner).OnLoad(load.running, load.waiting, load.pace, context->loop.Now());
}

void NoteReport(GatewayContext* context, const RunnerId& runner, const RunnerReport& report) {
  if (report.used_tokens) {
    const RunnerRun run{runner, report.born};
    const SteadyTime now = context->loop.Now();
    context->runner_memory.OnReport(run, *report.used_tokens, report.waiting, now);
    context->memory_issuer.OnReport(run, *report.used_tokens, report.memory_tokens.value_or(0),
                                    now);
  }
  if (!context->view.ApplyReport(runner, report, context->loop.Now())) return;
  context->picker.Forget(runner);
  LogInfo("runners", fmt::format("event=runner-restarted runner={} born={} source=report",
                                 runner.value(), report.born.value()));
  context->metrics->GetCounter("runners_restarted_total").Add();
}

void NoteWillingness(GatewayContext* context, const RunnerRun& run, const AnswerMetadata& answer) {
  // An answer of another runner at the same address tells nothing of this one.
  if (!answer.runner.empty() && answer.runner != run.runner) return;
  if (answer.leaving) NoteLeaving(context, run, "answer");
  if (!answer.closed) return;
  const RunnerState* runner = context->view.Find(run.runner);
  if (runner == nullptr || runner->entry.born != run.born) return;
  const SteadyTime now = context->loop.Now();
  RunnerHealth& health = context->picker.health(run.runner);
  const bool was_closed = health.ClosedFor(now) > Millis(0);
  const Millis time = answer.closed->time.value_or(RunnerHealth::kUnreadableClosed);
  health.Close(time, now);
  if (was_closed) return;
  LogInfo("runners", fmt::format("event=runner-closed runner={} asked_ms={} closed_ms={}{}",
                                 run.runner.value(), time.count(), health.ClosedFor(now).count(),
                                 answer.closed->time ? "" : " reason=unreadable-time"));
  context->metrics->GetCounter("runners_closed_total").Add();
}

}  // namespace shallot::gateway
