#include <algorithm>
#include <utility>

#include "servers/call_dispatcher.h"

namespace shallot {
namespace {

constexpr Millis kPlacementRetryDelay{50};
// Share of a runner's reported load that is assumed to be ahead of a call while this router has no
// calls in flight from which to estimate the mix of classes.
constexpr double kDefaultShareAhead = 0.5;

// Bounds on the estimated relative change of other routers' calls since a report.
constexpr double kMinLoadChange = 0.5;
constexpr double kMaxLoadChange = 2.0;
constexpr size_t kMaxColdStarts = 4096;
// Upper bound on the time from the end of a load to the first report that shows it.
constexpr Millis kReportLag{1'500};

/// Removes runners that were recently hard to reach, unless no other candidate is left.
void DropDoubtful(const RunnerDirectory& directory, std::vector<ReplicaCandidate>* candidates,
                  std::vector<PredictedWait>* waits) {
  std::vector<ReplicaCandidate> kept;
  std::vector<PredictedWait> kept_waits;
  for (size_t i = 0; i < candidates->size(); ++i) {
    if (directory.IsSuspect(*directory.Find((*candidates)[i].runner))) continue;
    kept.push_back((*candidates)[i]);
    kept_waits.push_back((*waits)[i]);
  }
  if (kept.empty()) return;
  candidates->swap(kept);
  waits->swap(kept_waits);
}

}  // namespace

std::optional<ReplicaCandidate> CallDispatcher::MakeCandidate(const ActiveCall& active,
                                                              const RunnerId& runner) const {
  const RunnerView* view = std::as_const(*directory_).Find(runner);
  if (view == nullptr || !RunnerDirectory::IsUsable(*view)) return std::nullopt;
  if (!view->breaker.Allows(Now())) return std::nullopt;
  ReplicaCandidate candidate;
  candidate.runner = runner;
  candidate.outstanding = view->TotalOutstanding();
  if (view->reported_at.has_value()) {
    candidate.reported_queue = view->load.queued;
    candidate.report_age = Now() - *view->reported_at;
  }
  if (active.call.entry.empty()) return candidate;
  candidate.loaded = TierOf(active, *view) == CacheTier::kLoaded;
  candidate.prefix_hint = view->hints.Contains(active.prefix_key);
  return candidate;
}

CallDispatcher::Candidates CallDispatcher::FindCandidates(const ActiveCall& active,
                                                          bool include_tried) const {
  Candidates found;
  const auto add = [&](const RunnerId& runner) {
    if (!include_tried && active.tried_runners.contains(runner)) return;
    const std::optional<ReplicaCandidate> candidate = MakeCandidate(active, runner);
    if (!candidate.has_value()) return;
    found.all.push_back(*candidate);
    found.waits.push_back(PredictOn(active, *std::as_const(*directory_).Find(runner)));
  };
  if (active.call.entry.empty()) {
    for (const RunnerId& runner : directory_->RunnersOf(active.call.service)) add(runner);
    DropDoubtful(*directory_, &found.all, &found.waits);
    return found;
  }
  const auto it = slots_.find(active.call.entry);
  if (it == slots_.end()) return found;
  for (const Slot& slot : it->second) {
    if (slot.state == SlotState::kActive) add(slot.runner);
  }
  DropDoubtful(*directory_, &found.all, &found.waits);
  return found;
}

CacheTier CallDispatcher::TierOf(const ActiveCall& active, const RunnerView& view) const {
  if (active.call.entry.empty() || view.loaded.contains(active.call.entry)) {
    return CacheTier::kLoaded;
  }
  if (view.cached_in_memory.contains(active.call.entry)) return CacheTier::kHostMemory;
  if (view.cached_on_disk.contains(active.call.entry)) return CacheTier::kDisk;
  return CacheTier::kRemote;
}

uint64_t CallDispatcher::CallsAhead(const RunnerView& view, CallClass call_class) const {
  uint64_t own = 0;
  uint64_t in_flight = 0;
  for (size_t i = 0; i <= static_cast<size_t>(call_class); ++i) {
    own += view.outstanding[i];
    in_flight += admission_.in_flight(static_cast<CallClass>(i));
  }
  // Only premium calls count for a premium call: lower classes queue behind it.
  if (call_class == CallClass::kPremium || !view.reported_at.has_value()) return own;
  if (Now() - *view.reported_at > RunnerDirectory::kConnectionTimeout) return own;
  const double share =
      admission_.in_flight() == 0
          ? kDefaultShareAhead
          : static_cast<double>(in_flight) / static_cast<double>(admission_.in_flight());
  const uint64_t reported = view.load.running + view.load.queued;
  const uint64_t others = reported - std::min(reported, view.outstanding_at_report);
  // Other routers see the same load, so their calls are assumed to have changed since the report by
  // the same factor as this router's own. Without this scaling all routers would fill the same
  // spare capacity.
  const double change = static_cast<double>(view.TotalOutstanding() + 1) /
                        static_cast<double>(view.outstanding_at_report + 1);
  const double present =
      static_cast<double>(others) * std::clamp(change, kMinLoadChange, kMaxLoadChange);
  return own + static_cast<uint64_t>(present * share);
}

PredictedWait CallDispatcher::PredictOn(const ActiveCall& active, const RunnerView& view) const {
  WaitInput input;
  // Without a report the entry counts as loaded; the agent refuses calls it cannot serve in time.
  input.tier = view.reported_at.has_value() ? TierOf(active, view) : CacheTier::kLoaded;
  input.calls_ahead = CallsAhead(view, active.call.call_class);
  input.concurrency = view.load.concurrency;
  input.mean_service = view.load.mean_service;
  if (active.call.entry.empty()) {
    return admission_.Predict(EntryId("service:" + active.call.service.value()), active.kind,
                              input);
  }
  PredictedWait wait = admission_.Predict(active.call.entry, active.kind, input);
  const auto cold = cold_starts_.find({active.call.entry, view.record.runner});
  if (input.tier == CacheTier::kLoaded || cold == cold_starts_.end()) return wait;
  const Duration elapsed = Now() - cold->second.started;
  if (Now() < cold->second.valid_until) wait.load = std::max(Duration(0), wait.load - elapsed);
  return wait;
}

bool CallDispatcher::IsLoadedAnywhere(const ActiveCall& active) const {
  const auto it = slots_.find(active.call.entry);
  if (it == slots_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const Slot& slot) {
    const RunnerView* view = std::as_const(*directory_).Find(slot.runner);
    return view != nullptr && view->loaded.contains(slot.entry);
  });
}

void CallDispatcher::Place(const CallPtr& active) {
  Candidates found = FindCandidates(*active, false);
  if (found.all.empty()) {
    DeferPlacement(active, kPlacementRetryDelay);
    return;
  }
  if (!active->call.repeatable) {
    Assign(active, PickByKey(found.all, active->call.idempotency_key)->runner);
    return;
  }
  std::vector<ReplicaCandidate> in_time;
  const Duration remaining = active->deadline - Now();
  for (size_t i = 0; i < found.all.size(); ++i) {
    if (found.waits[i].Total() <= remaining) in_time.push_back(found.all[i]);
  }
  const std::vector<ReplicaCandidate>& choice = in_time.empty() ? found.all : in_time;
  Assign(active, PickReplica(choice, active->call.entry, &random_)->runner);
}

void CallDispatcher::DeferPlacement(const CallPtr& active, Millis delay) {
  active->phase = ActiveCall::Phase::kUnplaced;
  active->next_attempt_at = Now() + delay;
}

void CallDispatcher::Assign(const CallPtr& active, const RunnerId& runner) {
  RunnerView* view = directory_->Find(runner);
  const SteadyTime now = Now();
  active->runner = runner;
  active->phase = ActiveCall::Phase::kConnecting;
  active->phase_since = now;
  active->tier = TierOf(*active, *view);
  const uint64_t busy = std::max(view->TotalOutstanding(), view->load.running + view->load.queued);
  active->runner_had_capacity =
      view->reported_at.has_value() && view->load.concurrency > 0 && busy < view->load.concurrency;
  RecordColdStart(active.get());
  ++view->outstanding[static_cast<size_t>(active->call.call_class)];
  view->breaker.OnAttempt(now);
  by_runner_[runner].insert(active->number);
  directory_->EnsureConnected(runner);
  if (view->up) Start(active);
}

void CallDispatcher::RecordColdStart(ActiveCall* active) {
  active->measures_load = false;
  if (active->tier == CacheTier::kLoaded) return;
  const std::pair<EntryId, RunnerId> key{active->call.entry, active->runner};
  const SteadyTime now = Now();
  const auto it = cold_starts_.find(key);
  if (it != cold_starts_.end() && now < it->second.valid_until) return;
  if (cold_starts_.size() >= kMaxColdStarts) cold_starts_.clear();
  // Release() shortens this when the call ends; the deadline is an upper bound.
  cold_starts_[key] = {.started = now, .valid_until = active->deadline};
  active->measures_load = true;
}

void CallDispatcher::Start(const CallPtr& active) {
  RunnerView* view = directory_->Find(active->runner);
  if (!environment_.invariants->Check(Invariant::kOrderAtMostOnce,
                                      active->call.repeatable || !active->maybe_ran,
                                      "an order that may have run must not be sent again")) {
    return;
  }
  if (!RunnerDirectory::IsUsable(*view)) {
    // The agent's Hello or report has meanwhile announced that it accepts no new calls.
    active->tried_runners.insert(active->runner);
    Release(active.get());
    Place(active);
    return;
  }
  environment_.invariants->Check(Invariant::kNoNewWorkWhileLeaving,
                                 !view->record.leaving && !view->draining,
                                 "call " + active->call.id.value() + " goes to a leaving runner");
  // The quarantine may have begun while the call waited, or because of its own first attempt.
  const Outcome quarantined = CheckQuarantine(*active);
  if (quarantined.kind == OutcomeKind::kNotRun) {
    End(active, quarantined);
    return;
  }
  const SteadyTime now = Now();
  active->call.remaining = std::chrono::floor<Millis>(active->deadline - now);
  const Slot* slot = FindSlot(active->call.entry, active->runner);
  active->call.slot_generation = slot == nullptr ? Generation() : slot->generation;
  if (!directory_->SendToRunner(active->runner, CallStart{active->call})) return;
  if (!active->call.entry.empty()) view->hints.Remember(active->prefix_key);
  active->phase = ActiveCall::Phase::kSent;
  active->phase_since = now;
  active->runner_incarnation = view->incarnation;
  active->lost_at.reset();
  active->first_frame_seen = false;
  active->next_resume = now + Millis(5'000);
}

const Slot* CallDispatcher::FindSlot(const EntryId& entry, const RunnerId& runner) const {
  const auto it = slots_.find(entry);
  if (it == slots_.end()) return nullptr;
  const Slot* found = nullptr;
  for (const Slot& slot : it->second) {
    if (slot.runner != runner) continue;
    if (slot.state == SlotState::kActive) return &slot;
    found = &slot;
  }
  return found;
}

void CallDispatcher::Release(ActiveCall* active) {
  if (active->runner.empty()) return;
  if (RunnerView* view = directory_->Find(active->runner)) {
    uint64_t& count = view->outstanding[static_cast<size_t>(active->call.call_class)];
    if (count > 0) --count;
    view->breaker.OnProbeEnded();
  }
  const auto it = by_runner_.find(active->runner);
  if (it != by_runner_.end()) {
    it->second.erase(active->number);
    if (it->second.empty()) by_runner_.erase(it);
  }
  const auto cold = cold_starts_.find({active->call.entry, active->runner});
  if (active->measures_load && cold != cold_starts_.end()) {
    cold->second.valid_until = Now() + kReportLag;
  }
  active->measures_load = false;
  active->runner = RunnerId();
  active->lost_at.reset();
}

uint64_t CallDispatcher::waiting() const {
  return static_cast<uint64_t>(std::count_if(
      by_number_.begin(), by_number_.end(),
      [](const auto& each) { return each.second->phase != ActiveCall::Phase::kSent; }));
}

}  // namespace shallot
