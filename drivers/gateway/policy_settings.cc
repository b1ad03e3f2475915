#include "drivers/gateway/policy_settings.h"

namespace shallot::gateway {
namespace {

constexpr char kPacedBackends[] = "stated-pace";
constexpr char kAllBackends[] = "all";
constexpr char kReportedEstimate[] = "reported";
constexpr char kCountedEstimate[] = "counted";

}  // namespace

Result<GatewayPolicy> ReadGatewayPolicy(const IniDocument& document,
                                        const GatewayPolicy& defaults) {
  for (const IniSection& section : document.sections) {
    if (section.name == "policy") continue;
    return Error{ErrorKind::kInvalidArgument,
                 document.source + " has the unknown section [" + section.name + "]",
                 "move its settings into [policy]"};
  }
  GatewayPolicy policy = defaults;
  SectionReader reader(document, "policy", true);
  policy.prefill_tokens_per_ms =
      reader.GetDouble("prefill_tokens_per_ms", policy.prefill_tokens_per_ms, 0.1, 10'000);
  policy.replica_utilization =
      reader.GetDouble("replica_utilization", policy.replica_utilization, 0.01, 1);
  policy.replica_slot_share =
      reader.GetDouble("replica_slot_share", policy.replica_slot_share, 0.01, 1);
  policy.hot_calls_per_s = reader.GetDouble("hot_calls_per_s", policy.hot_calls_per_s, 0.01, 1e6);
  policy.even_replica_load =
      reader.GetDouble("even_replica_load", policy.even_replica_load, 0, 1'000);
  policy.max_replicas = reader.GetUint("max_replicas", policy.max_replicas, 1, 1'000);
  policy.store_loads_at_once =
      reader.GetUint("store_loads_at_once", policy.store_loads_at_once, 1, 1'000);
  policy.load_overhead =
      reader.GetMillis("load_overhead_ms", policy.load_overhead, Millis(0), Millis(10'000));
  policy.idle_after =
      reader.GetMillis("idle_after_ms", policy.idle_after, Millis(0), Millis(3'600'000));
  policy.cross_domain_cost =
      reader.GetMillis("cross_domain_cost_ms", policy.cross_domain_cost, Millis(0), Millis(10'000));
  policy.in_flight_cost =
      reader.GetMillis("in_flight_cost_ms", policy.in_flight_cost, Millis(0), Millis(1'000));
  const char* scope = policy.balance == BalanceScope::kAll ? kAllBackends : kPacedBackends;
  policy.balance =
      reader.GetChoice("balance", scope, {kPacedBackends, kAllBackends}) == kAllBackends
          ? BalanceScope::kAll
          : BalanceScope::kStatedPace;
  const std::string choice = reader.GetChoice("choice", ChoiceName(policy.choice), ChoiceNames());
  policy.choice = ParseChoice(choice).value_or(policy.choice);
  const char* estimate =
      policy.load_estimate == LoadEstimate::kCounted ? kCountedEstimate : kReportedEstimate;
  policy.load_estimate = reader.GetChoice("load_estimate", estimate,
                                          {kReportedEstimate, kCountedEstimate}) == kCountedEstimate
                             ? LoadEstimate::kCounted
                             : LoadEstimate::kReported;
  policy.send_surplus_cost =
      reader.GetMillis("send_surplus_cost_ms", policy.send_surplus_cost, Millis(0), Millis(10'000));
  policy.load_surplus_cost =
      reader.GetMillis("load_surplus_cost_ms", policy.load_surplus_cost, Millis(0), Millis(10'000));
  policy.even_across_domains = reader.GetBool("even_across_domains", policy.even_across_domains);
  policy.retry_margin = reader.GetDouble("retry_margin", policy.retry_margin, 0, 1);
  policy.connect_timeout =
      reader.GetMillis("connect_timeout_ms", policy.connect_timeout, Millis(10), Millis(10'000));
  policy.answer_reserve =
      reader.GetMillis("answer_reserve_ms", policy.answer_reserve, Millis(0), Millis(5'000));
  policy.silent_share = reader.GetDouble("silent_share", policy.silent_share, 0.05, 1);
  policy.first_event_targets =
      reader.GetDouble("first_event_targets", policy.first_event_targets, 0.1, 100);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return policy;
}

}  // namespace shallot::gateway
