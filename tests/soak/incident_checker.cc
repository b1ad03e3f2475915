#include "tests/soak/incident_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace shallot::soak {
namespace {

/// Gateways have to know deadly calls once these have crashed so many runners.
constexpr size_t kCrashesToKnow = 5;
/// The same where they are repeats of one request.
constexpr size_t kCrashesToKnowRequest = 3;
constexpr uint64_t kMaxLateDeadlyCalls = 3;
/// Shares of served calls are compared from this number of calls on.
constexpr uint64_t kMinCalls = 20;
/// A limited runner gets at most this many times what its limit allows in each window, and a few
/// calls, from gateways that have passed on an answer with the limit some time ago.
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr Seconds kLimitWindow{4};
constexpr Millis kInformedFor{500};

/// Calls that are on their way when a runner closes itself, and those that may reach it later.
constexpr Millis kClosedSlack{500};
constexpr uint64_t kClosedArrivals = 2;

}  // namespace

IncidentChecker::IncidentChecker(SoakFleet* fleet) : fleet_(fleet) {
  fleet_->ledger().SetArrivalListener([this](const SentCall& call, const RunnerId& runner,
                                             SteadyTime at) { OnArrival(call, runner, at); });
  fleet_->ledger().SetToldListener(
      [this](const SentCall& call, const RunnerId& runner, const CallLedger::Told& told) {
        OnTold(call, runner, told);
      });
}

size_t IncidentChecker::CrashesToKnow() const {
  return OneRequest() ? kCrashesToKnowRequest : kCrashesToKnow;
}

SteadyTime IncidentChecker::CrashesKnownFrom() const {
  const std::vector<SteadyTime>& crashes = fleet_->deadly_crashes();
  if (crashes.empty()) return SteadyTime::max();
  return crashes[std::min(crashes.size(), CrashesToKnow()) - 1] + Duration(SoakBounds::kStable);
}

void IncidentChecker::OnArrival(const SentCall& call, const RunnerId& runner, SteadyTime at) {
  CheckDeadly(call, at);
  CheckLimit(call, runner, at);
  CheckTold(call, runner, at);
}

void IncidentChecker::OnTold(const SentCall& call, const RunnerId& runner,
                             const CallLedger::Told& told) {
  const SteadyTime now = fleet_->loop()->Now();
  ToldGateway& gateway = told_[{runner, call.gateway}];
  if (told.leaving && !gateway.leaving_since) gateway.leaving_since = now;
  if (!told.closed_until) return;
  if (now >= gateway.closed_until) {
    gateway.closed_at = now;
    gateway.arrivals = 0;
  }
  gateway.closed_until = std::max(gateway.closed_until, *told.closed_until);
}

void IncidentChecker::CheckTold(const SentCall& call, const RunnerId& runner, SteadyTime at) {
  const auto found = told_.find({runner, call.gateway});
  if (found == told_.end()) return;
  ToldGateway& told = found->second;
  const bool leaving = told.leaving_since && fleet_->DrainingSince(runner).has_value() &&
                       call.sent_at > *told.leaving_since + SoakBounds::kDrain;
  if (leaving && fleet_->AllUndisturbed(call.gateway, *told.leaving_since, at, false)) {
    fleet_->ledger().AddViolation(
        fmt::format("call {} reached runner {}, which had told gateway {} "
                    "that it is leaving",
                    call.id.value(), runner.value(), call.gateway));
  }
  if (at < told.closed_at + kClosedSlack || at >= told.closed_until) return;
  if (!fleet_->AllUndisturbed(call.gateway, told.closed_at, at, false)) return;
  if (++told.arrivals != kClosedArrivals + 1) return;
  fleet_->ledger().AddViolation(
      fmt::format("gateway {} sent {} calls to runner {}, which had closed "
                  "itself",
                  call.gateway, told.arrivals, runner.value()));
}

void IncidentChecker::CheckLimit(const SentCall& call, const RunnerId& runner, SteadyTime at) {
  const auto limit = fleet_->LimitOf(runner);
  if (!limit) return;
  sent_to_limited_[call.id] = runner;
  LimitedArrivals& arrivals = limited_[runner];
  const auto informed = arrivals.informed.find(call.gateway);
  if (informed == arrivals.informed.end() || at - informed->second < Duration(kInformedFor)) return;
  if (at - limit->since < Duration(SoakBounds::kStable)) return;
  if (!fleet_->GatewayUndisturbed(call.gateway, at, at, false)) return;
  arrivals.window.push_back(at);
  while (at - arrivals.window.front() > Duration(kLimitWindow)) arrivals.window.pop_front();
  const double allowed =
      kLimitFactor * limit->calls_per_s * static_cast<double>(kLimitWindow.count()) + kLimitSlack;
  if (static_cast<double>(arrivals.window.size()) <= allowed || arrivals.exceeded) return;
  arrivals.exceeded = true;
  fleet_->ledger().AddViolation(fmt::format("runner {} got {} calls in {} s, its limit allows {}",
                                            runner.value(), arrivals.window.size(),
                                            kLimitWindow.count(), allowed));
}

void IncidentChecker::CheckDeadly(const SentCall& call, SteadyTime at) {
  if (!call.deadly || fleet_->deadly_crashes().size() < CrashesToKnow()) return;
  if (at <= CrashesKnownFrom() || !fleet_->GatewayUndisturbed(call.gateway, at, at, true)) return;
  ++late_deadly_calls_;
  fleet_->LogEvent(fmt::format("deadly call {} of gateway {} reached a runner late",
                               call.id.value(), call.gateway));
}

void IncidentChecker::OnResult(const SentCall& call, const CallResult& result) {
  const auto limited = sent_to_limited_.find(call.id);
  if (limited != sent_to_limited_.end() && result.sealed) {
    limited_[limited->second].informed.try_emplace(call.gateway, result.at);
  }
  // The sound calls that share a route with the deadly ones.
  const bool compared = OneRequest() ? call.route == "lookup" : !call.model.empty();
  if (call.deadly || !compared || result.end == CallEnd::kAbandoned) return;
  if (!fleet_->AllUndisturbed(call.gateway, call.sent_at, result.at, true)) return;
  Served* served = nullptr;
  if (fleet_->deadly_crashes().empty()) served = &before_crashes_;
  if (call.sent_at > CrashesKnownFrom() + Duration(SoakBounds::kStable)) served = &after_crashes_;
  if (served == nullptr) return;
  ++served->calls;
  if (result.status == 200) ++served->completed;
}

void IncidentChecker::CheckEnd() {
  if (late_deadly_calls_ > kMaxLateDeadlyCalls) {
    fleet_->ledger().AddViolation(
        fmt::format("{} deadly calls reached runners although the gateways had to know them",
                    late_deadly_calls_));
  }
  if (std::min(before_crashes_.calls, after_crashes_.calls) < kMinCalls) return;
  if (after_crashes_.Share() * 2 < before_crashes_.Share()) {
    fleet_->ledger().AddViolation(
        fmt::format("{} of {} sound calls were served beside deadly ones, {} of {} before",
                    after_crashes_.completed, after_crashes_.calls, before_crashes_.completed,
                    before_crashes_.calls));
  }
}

}  // namespace shallot::soak
