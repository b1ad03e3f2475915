#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "servers/call_dispatcher.h"
#include "servers/entry_traits.h"

namespace shallot {
namespace {

// How long a call without a usable runner waits for a change of the placement, the instance list or
// a circuit breaker. A premium call waits until its deadline.
constexpr Millis kPlacementTimeout{3'000};

Outcome NotRun(Reason reason, std::string message, Millis retry_after = Millis(0)) {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = reason;
  outcome.retry_after = retry_after;
  outcome.message = std::move(message);
  return outcome;
}

/// Result of a check that passed, represented by an outcome of kind kCompleted.
Outcome Accepted() {
  Outcome outcome;
  outcome.kind = OutcomeKind::kCompleted;
  return outcome;
}

bool IsRejection(const Outcome& outcome) { return outcome.kind != OutcomeKind::kCompleted; }

std::string MetricName(const char* name, CallClass call_class, const std::string& label = "") {
  return std::string(name) + "{class=\"" + CallClassName(call_class) + "\"" + label + "}";
}

}  // namespace

CallDispatcher::CallDispatcher(Options options, RouterEnvironment environment,
                               RunnerDirectory* directory, CrashQuarantine* quarantine)
    : options_(std::move(options)),
      environment_(environment),
      directory_(directory),
      quarantine_(quarantine),
      random_(options_.seed),
      admission_(options_.max_calls),
      last_tick_(environment_.clock->SteadyNow()) {
  MetricsRegistry& metrics = *environment_.metrics;
  for (int i = 0; i < kCallClassCount; ++i) {
    const auto call_class = static_cast<CallClass>(i);
    ClassMetrics& each = class_metrics_[static_cast<size_t>(i)];
    for (size_t kind = 0; kind < each.outcomes.size(); ++kind) {
      const std::string label =
          std::string(",outcome=\"") + OutcomeKindName(static_cast<OutcomeKind>(kind)) + "\"";
      each.outcomes[kind] =
          &metrics.GetCounter(MetricName("shallot_router_calls_total", call_class, label));
    }
    each.latency = &metrics.GetHistogram(MetricName("shallot_router_call_seconds", call_class));
    each.first_byte =
        &metrics.GetHistogram(MetricName("shallot_router_first_byte_seconds", call_class));
  }
  retries_ = &metrics.GetCounter("shallot_router_retries_total");
  resumes_ = &metrics.GetCounter("shallot_router_resumes_total");
  superseded_frames_ = &metrics.GetCounter("shallot_router_superseded_messages_total");
  lost_attempts_ = &metrics.GetCounter("shallot_router_lost_attempts_total");
  pauses_ = &metrics.GetCounter("shallot_router_pauses_total");
  in_flight_ = &metrics.GetGauge("shallot_router_calls_in_flight");
}

CallId CallDispatcher::Submit(const CallerRequest& request, std::shared_ptr<CallerSink> sink) {
  auto active = std::make_shared<ActiveCall>();
  active->number = ++last_number_;
  active->sink = std::move(sink);
  active->submitted = Now();
  char suffix[48];
  std::snprintf(suffix, sizeof(suffix), "-%" PRIx64 "-%" PRIu64, options_.incarnation.value(),
                active->number);
  Call& call = active->call;
  call.id = CallId(options_.id.value() + suffix);
  call.request_id = request.request_id;
  call.idempotency_key = request.idempotency_key;
  call.stream = request.stream;
  call.method = request.method;
  call.path = request.path;
  call.content_type = request.content_type;
  call.body = request.body;
  const Outcome rejection = Validate(request, active.get());
  if (IsRejection(rejection)) {
    Refuse(active, rejection);
    return active->call.id;
  }
  const Outcome refusal = Admit(active);
  if (IsRejection(refusal)) {
    Refuse(active, refusal);
    return active->call.id;
  }
  budget_.OnCall();
  admission_.OnAdmitted(call.call_class);
  numbers_[call.id] = active->number;
  by_number_[active->number] = active;
  in_flight_->Set(static_cast<int64_t>(by_number_.size()));
  Place(active);
  Reschedule(active);
  return active->call.id;
}

Outcome CallDispatcher::ResolveClass(const CallerRequest& request, ActiveCall* active) const {
  Call& call = active->call;
  if (!request.call_class.empty() && !ParseCallClass(request.call_class, &call.call_class)) {
    return NotRun(Reason::kInvalidRequest,
                  "class \"" + request.call_class +
                      "\" does not exist; use premium, status, interactive, manuscript or batch");
  }
  const Millis deadline = request.deadline > Millis(0)
                              ? request.deadline
                              : config_->class_policy(call.call_class).deadline;
  active->deadline = active->submitted + deadline;
  active->give_up_at = active->deadline;
  if (call.call_class != CallClass::kPremium) {
    active->give_up_at = std::min(active->deadline, active->submitted + kPlacementTimeout);
  }
  return Accepted();
}

Outcome CallDispatcher::Validate(const CallerRequest& request, ActiveCall* active) const {
  if (draining_) {
    return NotRun(Reason::kDraining, "this router is stopping; send the request to another one",
                  Millis(1'000));
  }
  if (config_ == nullptr) {
    return NotRun(Reason::kNoRunner, "no configuration is loaded yet; retry later", Millis(1'000));
  }
  if (!request.service.empty()) return ValidateService(request, active);
  Outcome rejection = ResolveClass(request, active);
  if (IsRejection(rejection)) return rejection;
  const CatalogEntry* entry = config_->FindEntry(request.entry);
  if (entry == nullptr) {
    return NotRun(Reason::kUnknownEntry, "model \"" + request.entry.value() +
                                             "\" is not in the catalogue; GET /v1/models lists "
                                             "the models");
  }
  active->call.entry = entry->id;
  active->kind = entry->kind;
  active->prefix_key = PrefixHints::KeyOf(request.body);
  active->call.traits = request.traits;
  const std::vector<CallTrait> entry_traits = TraitsOfEntry(*entry);
  active->call.traits.insert(active->call.traits.end(), entry_traits.begin(), entry_traits.end());
  environment_.control->OnDemand(entry->id, !IsLoadedAnywhere(*active));
  return Accepted();
}

/// True when a duplicate of an order could still claim its key after the claim of the first run has
/// expired. A claim is kept for the order window from the first run on, and a duplicate may claim
/// the key until its own deadline, so that deadline must lie within the window.
bool CallDispatcher::KeyOutlivesClaim(const CallerRequest& request,
                                      const ActiveCall& active) const {
  if (!request.key_time.has_value()) return false;
  const Duration age = environment_.clock->WallNow() - *request.key_time;
  return age + (active.deadline - active.submitted) > config_->order_window;
}

Outcome CallDispatcher::ValidateService(const CallerRequest& request, ActiveCall* active) const {
  const ServiceRoute* route = config_->FindRoute(request.service, request.method, request.path);
  if (route == nullptr) {
    return NotRun(Reason::kUnknownEntry,
                  "service \"" + request.service.value() + "\" has no route for " + request.method +
                      " " + request.path + "; check the service name, method and path");
  }
  active->call.call_class = route->call_class;
  Outcome rejection = ResolveClass(request, active);
  if (IsRejection(rejection)) return rejection;
  if (!route->repeatable && request.idempotency_key.empty()) {
    return NotRun(Reason::kInvalidRequest,
                  "this route takes orders that run at most once; add an Idempotency-Key header "
                  "with a unique value for each order");
  }
  if (!route->repeatable && KeyOutlivesClaim(request, *active)) {
    return NotRun(Reason::kInvalidRequest,
                  "the order was not sent: X-Shallot-Key-Time is too old, the record of an earlier "
                  "run under this key may expire before the deadline; look the order up, then "
                  "send it under a new Idempotency-Key if it did not run");
  }
  active->call.service = request.service;
  active->call.repeatable = route->repeatable;
  return Accepted();
}

Outcome CallDispatcher::CheckQuarantine(const ActiveCall& active) const {
  const auto match = quarantine_->Match(active.call.traits, Now());
  if (!match) return Accepted();
  return NotRun(Reason::kCrashesRunners,
                "calls with " + DescribeTraits(match->traits) +
                    " have crashed runners; change the request, or tell the operator of the model",
                match->remaining);
}

Outcome CallDispatcher::Admit(const CallPtr& active) {
  Outcome quarantined = CheckQuarantine(*active);
  if (IsRejection(quarantined)) return quarantined;
  const AdmissionDecision in_flight = admission_.CheckInFlight(active->call.call_class);
  if (!in_flight.admitted) {
    return NotRun(in_flight.reason, "too many calls are in progress; retry later",
                  in_flight.retry_after);
  }
  const Candidates candidates = FindCandidates(*active, false);
  // Without a usable runner the call waits: a slot or an instance may appear before it gives up.
  if (candidates.all.empty()) return Accepted();
  const PredictedWait best =
      *std::min_element(candidates.waits.begin(), candidates.waits.end(),
                        [](const auto& a, const auto& b) { return a.Total() < b.Total(); });
  const AdmissionDecision decision =
      admission_.CheckWait(best, active->deadline - active->submitted);
  if (decision.admitted) return Accepted();
  const auto wait = std::chrono::ceil<Millis>(best.Total()).count();
  return NotRun(decision.reason,
                "the answer would take about " + std::to_string(wait) +
                    " ms, longer than the deadline; retry later or allow more time",
                decision.retry_after);
}

void CallDispatcher::Refuse(const CallPtr& active, const Outcome& outcome) { End(active, outcome); }

void CallDispatcher::SetConfig(const std::shared_ptr<const FleetConfig>& config) {
  config_ = config;
  if (config_ != nullptr) budget_.SetRatio(config_->retry_ratio);
}

void CallDispatcher::SetPlacement(const ShardPlacement& placement) {
  PlacedShard& placed = placements_[placement.shard];
  if (placement.version < placed.version) return;
  for (const EntryId& entry : placed.entries) slots_.erase(entry);
  placed.version = placement.version;
  placed.entries.clear();
  for (const Slot& slot : placement.slots) {
    std::vector<Slot>& slots = slots_[slot.entry];
    if (slots.empty()) placed.entries.push_back(slot.entry);
    slots.push_back(slot);
  }
}

std::map<ShardId, StoreVersion> CallDispatcher::PlacementVersions() const {
  std::map<ShardId, StoreVersion> versions;
  for (const auto& [shard, placed] : placements_) versions[shard] = placed.version;
  return versions;
}

}  // namespace shallot
