#include <algorithm>
#include <utility>

#include "core/test_defects.h"
#include "servers/agent_state.h"

namespace shallot {
namespace {

/// Maximum number of tombstones of cancelled attempts; about 6 MB at 100 bytes each.
constexpr size_t kMaxTombstones = 65'536;
/// Upper limit for the remaining time of a call, so that sums with it cannot overflow the clock.
constexpr Millis kMaxRemaining{7LL * 24 * 3'600'000};
/// Slack before a load requested for the retries of refused calls expires: the load may start this
/// much later than expected.
constexpr Millis kRetryLoadMargin{5000};
/// Calls should end this long before their deadline: one tick plus the delay to the router.
constexpr Millis kDeadlineMargin{25};
/// Number of deviations above the mean that bounds a service time. With the mean alone, a third of
/// the calls that started last missed their deadline and the work done for them was wasted.
constexpr int kServiceTimeDeviations = 2;

Outcome NotRun(Reason reason, Millis retry_after, std::string message) {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = reason;
  outcome.retry_after = retry_after;
  outcome.message = std::move(message);
  return outcome;
}

/// Result of the admission checks for an accepted call: its reason is kNone.
Outcome Accepted() {
  Outcome outcome;
  outcome.reason = Reason::kNone;
  return outcome;
}

}  // namespace

void AgentCore::State::OnCallStart(ConnectionId connection, const Call& started) {
  const CallKey key(started.id, started.attempt);
  if (const CallPtr known = FindCall(key)) {
    const bool new_connection = !known->attached || known->connection != connection;
    if (new_connection || known->phase == CallPhase::kEnded) Attach(*known, connection, 0);
    return;
  }
  const bool newest = CancelEarlierAttempts(started);
  const auto call = std::make_shared<AgentCall>(started, answer_budget);
  call->connection = connection;
  call->arrived_at = Now();
  call->call.remaining = std::min(started.remaining, kMaxRemaining);
  call->deadline = Now() + call->call.remaining;
  calls[key] = call;
  Count("shallot_agent_calls_total").Add();
  if (newest) {
    Admit(call);
    return;
  }
  Finish(call, NotRun(Reason::kCancelled, Millis(0), "superseded by a later attempt of the call"));
}

/// Cancels earlier attempts of a repeatable call. Returns false if a later attempt is known.
bool AgentCore::State::CancelEarlierAttempts(const Call& started) {
  std::vector<CallPtr> earlier;
  for (auto known = calls.lower_bound(CallKey(started.id, Attempt(0)));
       known != calls.end() && known->first.first == started.id; ++known) {
    if (known->first.second > started.attempt) return false;
    if (known->second->call.repeatable) earlier.push_back(known->second);
  }
  for (const CallPtr& call : earlier) {
    if (call->phase == CallPhase::kQueued || call->phase == CallPhase::kRunning) {
      CancelCall(call, Reason::kCancelled);
    }
  }
  return true;
}

void AgentCore::State::Admit(const CallPtr& call) {
  const Outcome refusal = CheckAdmission(*call);
  if (refusal.reason != Reason::kNone) {
    if (refusal.reason == Reason::kDeadline) LoadForRetry(call->call.entry);
    Finish(call, refusal);
    return;
  }
  if (!call->call.entry.empty() && keep_alive != nullptr) {
    keep_alive->OnCall(call->call.entry, Now());
  }
  call->cold = !call->call.entry.empty() && !loads.IsUsable(call->call.entry);
  Enqueue(call);
  if (call->phase == CallPhase::kQueued && !call->call.repeatable) ClaimOrder(call);
  if (call->cold && !loads.IsHeld(call->call.entry)) AdvanceLoads();
  Dispatch();
}

Outcome AgentCore::State::CheckAdmission(const AgentCall& call) const {
  if (HasTombstone(call.key)) {
    return NotRun(Reason::kCancelled, Millis(0), "the call was cancelled before it arrived");
  }
  const bool refuses = draining && !HasDefect(TestDefect::kAcceptWhileDraining);
  if (refuses) return NotRun(Reason::kDraining, Millis(0), "the runner is draining");
  if (!Ready()) {
    return NotRun(Reason::kNotGranted, Millis(500),
                  "the agent has no configuration or no engine inventory yet");
  }
  Outcome target = CheckTarget(call.call);
  if (target.reason != Reason::kNone) return target;
  if (answer_budget->Exhausted()) {
    return NotRun(Reason::kOverload,
                  std::max(Millis(100), ServiceTimeEstimate(call.call.call_class)),
                  "the buffer of answers kept for resumes is full");
  }
  return CheckDeadline(call);
}

Outcome AgentCore::State::CheckDeadline(const AgentCall& call) const {
  const EntryId& entry = call.call.entry;
  const Millis remaining = call.call.remaining;
  const Millis service = std::min(ServiceTimeBound(call.call.call_class), remaining / 2);
  // Only a measured load time may refuse a call. If an assumed one did, the load that would correct
  // it might never start.
  const Millis load = entry.empty() ? Millis(0) : loads.ExpectedWait(entry, false);
  const Millis wait = std::max(QueueWait(call.call.call_class), load);
  if (remaining > Millis(0) && remaining > wait + service) return Accepted();
  return NotRun(Reason::kDeadline, PredictedWait(entry, call.call.call_class),
                "the predicted wait exceeds the remaining time");
}

void AgentCore::State::LoadForRetry(const EntryId& entry) {
  if (entry.empty() || draining || loads.IsUsable(entry)) return;
  retry_loads[entry] = Now() + 2 * loads.ExpectedWait(entry) + kRetryLoadMargin;
}

Outcome AgentCore::State::CheckTarget(const Call& call) const {
  if (!call.repeatable && call.idempotency_key.empty()) {
    return NotRun(Reason::kInvalidRequest, Millis(0), "an order needs an idempotency key");
  }
  if (call.entry.empty()) {
    if (call.service == options.backend && env.engine == nullptr) return Accepted();
    return NotRun(Reason::kInvalidRequest, Millis(0), "the runner does not offer the service");
  }
  const CatalogEntry* entry = config.current()->FindEntry(call.entry);
  if (entry == nullptr) {
    return NotRun(Reason::kUnknownEntry, Millis(0), "the catalogue has no such entry");
  }
  if (!slots.IsActive(call.entry)) {
    return NotRun(Reason::kNotGranted, Millis(0), "the runner holds no slot of the entry");
  }
  return Accepted();
}

void AgentCore::State::Enqueue(const CallPtr& call) {
  const Millis remaining = call->call.remaining;
  const Millis service = std::max(kDeadlineMargin, ServiceTimeBound(call->call.call_class));
  QueuedCall queued;
  queued.key = call->key;
  queued.entry = call->call.entry;
  queued.call_class = call->call.call_class;
  // Limited to half of the remaining time, so that a far too long estimate does not refuse the
  // call.
  queued.latest_start = call->deadline - std::min(service, remaining / 2);
  queued.raise_at = queued.latest_start - std::max(Millis(100), remaining / 8);
  // Under overload, calls of lower classes reach `raise_at` constantly and compete with premium
  // calls. This limits the time that premium calls lose to them; without it, 5% of the premium
  // calls expired in the queue at twice the capacity.
  if (queued.call_class == CallClass::kPremium) queued.raise_at = Now() + remaining / 8;
  const CallQueue::PushResult pushed = queue.Push(queued);
  const Millis retry_after = PredictedWait(call->call.entry, call->call.call_class);
  if (!pushed.accepted) {
    Finish(call, NotRun(Reason::kQueueFull, retry_after, "the queue of the class is full"));
    return;
  }
  if (!pushed.dropped) return;
  const CallPtr dropped = FindCall(*pushed.dropped);
  if (!env.invariants->Check(Invariant::kNoSilentDrop, dropped != nullptr,
                             "the queue dropped a call that the agent does not know")) {
    return;
  }
  env.invariants->Check(Invariant::kNoSilentDrop, dropped->call.call_class > call->call.call_class,
                        "a call was dropped for one of the same or a lower class");
  const Millis dropped_wait = PredictedWait(dropped->call.entry, dropped->call.call_class);
  Refuse(dropped,
         NotRun(Reason::kQueueFull, dropped_wait, "displaced by a call of a higher class"));
}

void AgentCore::State::ExpireQueued() {
  const SteadyTime now = Now();
  const auto late = [now](const QueuedCall& call) { return now >= call.latest_start; };
  for (const QueuedCall& queued : queue.ExtractIf(late)) {
    const CallPtr call = FindCall(queued.key);
    const Millis wait = PredictedWait(queued.entry, queued.call_class);
    if (loads.LacksMemory(queued.entry)) {
      Refuse(call,
             NotRun(Reason::kNoMemory, wait, "running calls hold the memory that the entry needs"));
    } else if (loads.HasFailed(queued.entry)) {
      Refuse(call, NotRun(Reason::kLoadFailed, wait, "the engine could not load the entry"));
    } else {
      LoadForRetry(queued.entry);
      Refuse(call, NotRun(Reason::kDeadline, wait, "the call cannot complete before its deadline"));
    }
  }
}

void AgentCore::State::RefuseQueued(const CallQueue::Predicate& matches, Reason reason,
                                    Millis retry_after) {
  for (const QueuedCall& queued : queue.ExtractIf(matches)) {
    Refuse(FindCall(queued.key), NotRun(reason, retry_after, ReasonName(reason)));
  }
}

Millis AgentCore::State::ServiceTimeEstimate(CallClass call_class) const {
  return std::chrono::ceil<Millis>(service_time[static_cast<size_t>(call_class)]);
}

Millis AgentCore::State::ServiceTimeBound(CallClass call_class) const {
  const auto i = static_cast<size_t>(call_class);
  return std::chrono::ceil<Millis>(service_time[i] + kServiceTimeDeviations * service_deviation[i]);
}

Millis AgentCore::State::QueueWait(CallClass call_class) const {
  const uint64_t concurrency = Concurrency();
  const uint64_t running = running_ids.size();
  if (running < concurrency) return Millis(0);
  const uint64_t ahead = queue.CountAhead(call_class) + 1;
  return std::chrono::ceil<Millis>(mean_service * static_cast<int64_t>(ahead) /
                                   static_cast<int64_t>(concurrency));
}

Millis AgentCore::State::PredictedWait(const EntryId& entry, CallClass call_class) const {
  const Millis load = entry.empty() ? Millis(0) : loads.ExpectedWait(entry);
  return std::max(load, QueueWait(call_class));
}

void AgentCore::State::CheckQueueComplete() const {
  const auto waiting = std::count_if(calls.begin(), calls.end(), [](const auto& item) {
    return item.second->phase == CallPhase::kQueued;
  });
  env.invariants->Check(Invariant::kNoSilentDrop, static_cast<size_t>(waiting) == queue.size(),
                        "the number of waiting calls differs from the size of the queue");
}

bool AgentCore::State::DidNotRun(const CallKey& key) const {
  const auto found = tombstones.find(key);
  return found != tombstones.end() && found->second.did_not_run;
}

void AgentCore::State::AddTombstone(const CallKey& key, bool did_not_run) {
  if (HasDefect(TestDefect::kForgetTombstones)) return;
  tombstones[key] = {Now(), did_not_run};
  if (tombstones.size() <= kMaxTombstones) return;
  const auto oldest = std::min_element(
      tombstones.begin(), tombstones.end(),
      [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
  tombstones.erase(oldest);
}

}  // namespace shallot
