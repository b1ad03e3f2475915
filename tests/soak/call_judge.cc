#include "tests/soak/call_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace shallot::soak {
namespace {

/// A runner may go on executing a call for this long after its caller has disconnected.
constexpr Millis kWorkAfterLeave{500};
/// A guarantee that the platform states over many calls is violated only by at least this many
/// calls, and by more than a quarter of those checked.
constexpr uint64_t kFewCalls = 8;

}  // namespace

CallJudge::CallJudge(SoakFleet* fleet) : fleet_(fleet) {
  fleet_->ledger().SetRunListener(
      [this](const SentCall& call, const CallRun& run) { OnRun(call, run); });
}

void CallJudge::Break(const SentCall& call, const std::string& promise) {
  const std::string text = fmt::format("call {} {} at gateway {}: {}", call.id.value(), call.target,
                                       call.gateway, promise);
  fleet_->Note("VIOLATION " + text);
  fleet_->ledger().Violation(text);
}

bool CallJudge::Holds(bool calm) {
  ++(calm ? judged_ : excused_);
  return calm;
}

bool CallJudge::IsPlain(const SentCall& call) const {
  return call.kind != gateway::CallKind::kStream;
}

void CallJudge::OnRun(const SentCall& call, const CallRun& run) {
  // Compared with all configurations so far: the configuration may change while the call is
  // delayed on its way.
  if (!fleet_->BackendsOf(call.route).contains(run.backend)) {
    Break(call, "ran at backend " + run.backend.value() + ", which no configuration allows");
  }
  CheckLeaving(call, run);
  CheckConfig(call, run);
}

void CallJudge::CheckLeaving(const SentCall& call, const CallRun& run) {
  const auto since = fleet_->DrainingSince(run.runner);
  if (!since || run.at < *since + SoakBounds::kDrain) return;
  // A call that a faulty link delayed does not count as late.
  if (!Holds(fleet_->InTouch(call.gateway, *since, run.at, true) &&
             fleet_->AllCalm(call.gateway, *since, run.at, true))) {
    return;
  }
  Break(call, fmt::format("reached runner {} {} ms after it began to drain", run.runner.value(),
                          std::chrono::duration_cast<Millis>(run.at - *since).count()));
}

void CallJudge::CheckConfig(const SentCall& call, const CallRun& run) {
  const bool is_switch = call.target.starts_with("/switch/");
  const bool is_extra = call.target.starts_with("/extra/");
  if (!is_switch && !is_extra) return;
  const auto versions = fleet_->VersionsFor(call.sent_at);
  if (!Holds(fleet_->InTouch(call.gateway, call.sent_at, run.at, true))) return;
  const bool allowed =
      std::any_of(versions.begin(), versions.end(), [&](const SoakFleet::Version& version) {
        return is_extra ? version.extra_route : version.switch_backend == run.backend.value();
      });
  if (allowed) return;
  Break(call, fmt::format("ran at {}, which only configuration versions before {} allow",
                          run.backend.value(), versions.front().number));
}

void CallJudge::OnResult(const SentCall& call, const CallResult& result) {
  const SteadyTime due = call.sent_at + call.timeout + SoakBounds::kTimeoutSlack;
  if (result.at > call.sent_at + call.timeout &&
      fleet_->InTouch(call.gateway, call.sent_at, result.at, false)) {
    ++due_;
    if (result.at > due) ++late_;
  }
  switch (result.end) {
    case CallEnd::kSilent:
      if (Holds(fleet_->InTouch(call.gateway, call.sent_at, result.at, false))) {
        Break(call, "got no answer long after its timeout");
      }
      return;
    case CallEnd::kBroken:
      CheckBroken(call, result);
      return;
    case CallEnd::kAnswered:
      if (!result.sealed) CheckOwnError(call, result);
      return;
    case CallEnd::kAbandoned:
      return;
  }
}

void CallJudge::CheckBroken(const SentCall& call, const CallResult& result) {
  const bool ran = fleet_->ledger().Runs(call.id) > 0;
  // The call was sent while the gateway closed the connection, and was not forwarded.
  if (!ran && result.at - call.sent_at < SoakBounds::kLossSlack) return;
  // A disturbance of the store alone excuses only streams.
  if (!Holds(fleet_->AllCalm(call.gateway, call.sent_at, result.at, !IsPlain(call)))) return;
  Break(call, fmt::format("its connection ended without an answer after {} ms",
                          std::chrono::duration_cast<Millis>(result.at - call.sent_at).count()));
}

void CallJudge::CheckOwnError(const SentCall& call, const CallResult& result) {
  if (result.status < 300 || result.status > 499 || result.status == 408 || result.status == 421 ||
      result.status == 429) {
    return;
  }
  if (call.target.starts_with("/extra/")) {
    const auto versions = fleet_->VersionsFor(call.sent_at);
    const bool always =
        std::all_of(versions.begin(), versions.end(),
                    [](const SoakFleet::Version& version) { return version.extra_route; });
    if (!always) return;
    if (!Holds(fleet_->InTouch(call.gateway, call.sent_at, result.at, true))) {
      return;
    }
  }
  Break(call, fmt::format("is valid and got {} {}", result.status, result.body));
}

void CallJudge::OnAbandoned(const SentCall& call, SteadyTime at) {
  fleet_->loop()->After(kWorkAfterLeave, [this, call, at] {
    const SteadyTime now = fleet_->loop()->Now();
    if (!Holds(fleet_->InTouch(call.gateway, at, now, false) &&
               fleet_->AllCalm(call.gateway, at, now, false))) {
      return;
    }
    ++abandoned_;
    if (fleet_->AnyWorksOn(call.id)) ++worked_on_;
  });
}

void CallJudge::CheckEnd() {
  if (late_ >= kFewCalls && late_ * 4 > due_) {
    fleet_->ledger().Violation(
        fmt::format("{} of {} calls had no answer half a second after their timeout", late_, due_));
  }
  if (worked_on_ >= kFewCalls && worked_on_ * 4 > abandoned_) {
    fleet_->ledger().Violation(
        fmt::format("runners worked on {} of {} calls half a second after their callers left",
                    worked_on_, abandoned_));
  }
  fleet_->ledger().CheckRepeats(SoakBounds::kRetryRatio, SoakBounds::kRetrySlack,
                                SoakBounds::kRetryWindow);
}

}  // namespace shallot::soak
