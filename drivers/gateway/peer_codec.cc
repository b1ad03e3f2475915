#include "drivers/gateway/peer_codec.h"

#include <algorithm>
#include <cmath>

#include "drivers/crash_codec.h"
#include "drivers/wire/gateway.pb.h"

namespace shallot::gateway {
namespace {

/// Longer times in messages between gateways are invalid.
constexpr int64_t kMostNs = 3'600'000'000'000;

using HeldModels = std::map<ModelName, std::set<AdapterName>>;

void EncodeDemand(const DemandReport& report, gateway_wire::DemandReport* wire) {
  wire->set_gateway(report.gateway.value());
  wire->set_address(report.address);
  wire->set_changes_only(report.changes_only);
  for (const EntryDemand& entry : report.entries) {
    gateway_wire::EntryDemand* out = wire->add_entries();
    out->set_backend(entry.backend.value());
    out->set_model(entry.model.value());
    out->set_adapter(entry.adapter.value());
    out->set_waiting(entry.waiting);
    out->set_least_time_left_ms(entry.least_time_left.count());
    out->set_in_flight(entry.in_flight);
    out->set_calls_per_s(entry.calls_per_s);
    out->set_prompt_tokens_per_s(entry.prompt_tokens_per_s);
    out->set_since_last_call_ms(entry.since_last_call.count());
    for (const auto& [runner, count] : entry.in_flight_at) {
      (*out->mutable_in_flight_at())[runner.value()] = count;
    }
  }
  for (const RunnerId& runner : report.unreachable) wire->add_unreachable(runner.value());
  for (const auto& [runner, pace] : report.paces) (*wire->mutable_paces())[runner.value()] = pace;
  for (const RunnerRun& run : report.leaving) {
    gateway_wire::RunnerRun* out = wire->add_leaving();
    out->set_runner(run.runner.value());
    out->set_born(run.born.value());
  }
}

DemandReport DecodeDemand(const gateway_wire::DemandReport& wire) {
  DemandReport report;
  report.gateway = InstanceId(wire.gateway());
  report.address = wire.address();
  report.changes_only = wire.changes_only();
  for (const gateway_wire::EntryDemand& entry : wire.entries()) {
    EntryDemand demand{BackendName(entry.backend()),
                       ModelName(entry.model()),
                       AdapterName(entry.adapter()),
                       entry.waiting(),
                       Millis(entry.least_time_left_ms()),
                       entry.in_flight(),
                       entry.calls_per_s(),
                       entry.prompt_tokens_per_s(),
                       Millis(entry.since_last_call_ms()),
                       {}};
    for (const auto& [runner, count] : entry.in_flight_at()) {
      demand.in_flight_at[RunnerId(runner)] = count;
    }
    report.entries.push_back(std::move(demand));
  }
  for (const std::string& runner : wire.unreachable()) report.unreachable.insert(RunnerId(runner));
  for (const auto& [runner, pace] : wire.paces()) {
    if (std::isfinite(pace) && pace > 0) report.paces[RunnerId(runner)] = pace;
  }
  for (const gateway_wire::RunnerRun& run : wire.leaving()) {
    report.leaving.push_back({RunnerId(run.runner()), RunnerStartTime(run.born())});
  }
  return report;
}

template <class Repeated>
void EncodeHeldModels(const HeldModels& models, Repeated* wire) {
  for (const auto& [model, adapters] : models) {
    gateway_wire::HeldModel* out = wire->Add();
    out->set_model(model.value());
    for (const AdapterName& adapter : adapters) out->add_adapters(adapter.value());
  }
}

template <class Repeated>
HeldModels DecodeHeldModels(const Repeated& wire) {
  HeldModels models;
  for (const gateway_wire::HeldModel& held : wire) {
    auto& adapters = models[ModelName(held.model())];
    for (const std::string& adapter : held.adapters()) adapters.insert(AdapterName(adapter));
  }
  return models;
}

void EncodeNotice(const RunnerNotice& notice, gateway_wire::RunnerNotice* wire) {
  const RunnerReport& report = notice.report;
  wire->set_runner(notice.runner.value());
  wire->set_born(report.born.value());
  wire->set_sequence(report.sequence.value());
  wire->set_order_under_way(report.order_under_way);
  wire->set_fence(notice.fence.value());
  EncodeHeldModels(report.holdings.models, wire->mutable_models());
  EncodeHeldModels(report.holdings.loading_adapters, wire->mutable_coming());
  for (const ModelName& model : report.holdings.in_memory) wire->add_in_memory(model.value());
  for (const ModelName& model : report.holdings.on_disk) wire->add_on_disk(model.value());
}

RunnerNotice DecodeNotice(const gateway_wire::RunnerNotice& wire) {
  RunnerNotice notice;
  notice.runner = RunnerId(wire.runner());
  RunnerReport& report = notice.report;
  report.born = RunnerStartTime(wire.born());
  report.sequence = OrderSequence(wire.sequence());
  report.order_under_way = wire.order_under_way();
  notice.fence = FencingNumber(wire.fence());
  report.holdings.models = DecodeHeldModels(wire.models());
  report.holdings.loading_adapters = DecodeHeldModels(wire.coming());
  for (const std::string& model : wire.in_memory()) {
    report.holdings.in_memory.insert(ModelName(model));
  }
  for (const std::string& model : wire.on_disk()) {
    report.holdings.on_disk.insert(ModelName(model));
  }
  return notice;
}

void EncodeLimit(const RunnerRun& run, double calls_per_s, gateway_wire::RunnerLimit* wire) {
  wire->set_runner(run.runner.value());
  wire->set_born(run.born.value());
  wire->set_calls_per_s(calls_per_s);
}

LimitFinding DecodeLimit(const gateway_wire::RunnerLimit& wire) {
  // Values from another version or from a foreign writer must not become a rate.
  const bool valid = std::isfinite(wire.calls_per_s()) && wire.calls_per_s() > 0;
  return {{RunnerId(wire.runner()), RunnerStartTime(wire.born())},
          valid ? wire.calls_per_s() : 0.0};
}

void EncodeRequest(const PermitRequest& request, gateway_wire::PermitRequest* wire) {
  wire->set_gateway(request.gateway.value());
  wire->set_address(request.address);
  wire->set_number(request.number);
  for (const PermitWish& wish : request.wishes) {
    gateway_wire::PermitWish* out = wire->add_wishes();
    EncodeLimit(wish.run, wish.calls_per_s, out->mutable_limit());
    out->set_calls(wish.calls);
  }
}

PermitRequest DecodeRequest(const gateway_wire::PermitRequest& wire) {
  PermitRequest request{InstanceId(wire.gateway()), wire.address(), wire.number(), {}};
  for (const gateway_wire::PermitWish& wish : wire.wishes()) {
    const LimitFinding limit = DecodeLimit(wish.limit());
    request.wishes.push_back({limit.run, limit.calls_per_s, wish.calls()});
  }
  return request;
}

void EncodeResponse(const PermitResponse& response, gateway_wire::PermitResponse* wire) {
  wire->set_number(response.number);
  for (const Permits& permits : response.permits) {
    gateway_wire::Permits* out = wire->add_permits();
    out->set_runner(permits.run.runner.value());
    out->set_born(permits.run.born.value());
    out->set_calls(permits.calls);
    out->set_next_ms(permits.next.count());
  }
}

PermitResponse DecodeResponse(const gateway_wire::PermitResponse& wire) {
  PermitResponse response{wire.number(), {}};
  for (const gateway_wire::Permits& permits : wire.permits()) {
    response.permits.push_back({{RunnerId(permits.runner()), RunnerStartTime(permits.born())},
                                permits.calls(),
                                Millis(permits.next_ms())});
  }
  return response;
}

void EncodeProof(const ProofResponse& response, gateway_wire::ProofResponse* wire) {
  wire->set_gateway(response.gateway.value());
  wire->set_address(response.address);
  wire->set_number(response.number);
  wire->set_version(response.version.value());
  if (response.age) wire->set_age_ms(static_cast<uint64_t>(response.age->count()));
}

ProofResponse DecodeProof(const gateway_wire::ProofResponse& wire) {
  ProofResponse response{InstanceId(wire.gateway()), wire.address(), wire.number(),
                         FleetVersion(wire.version()), std::nullopt};
  // A larger age would overflow times; a proof that old is none.
  constexpr uint64_t kMaxAgeMs = uint64_t{1} << 32;
  if (wire.has_age_ms() && wire.age_ms() <= kMaxAgeMs) {
    response.age = Millis(static_cast<int64_t>(wire.age_ms()));
  }
  return response;
}

void EncodeMemoryRequest(const MemoryRequest& request, gateway_wire::MemoryRequest* wire) {
  wire->set_gateway(request.gateway.value());
  wire->set_address(request.address);
  wire->set_number(request.number);
  for (const MemoryAsk& ask : request.asks) {
    gateway_wire::MemoryAsk* out = wire->add_asks();
    out->set_runner(ask.run.runner.value());
    out->set_born(ask.run.born.value());
    out->set_held(ask.held);
    for (const uint64_t tokens : ask.calls) out->add_calls(tokens);
    out->set_capacity(ask.capacity);
  }
}

MemoryRequest DecodeMemoryRequest(const gateway_wire::MemoryRequest& wire) {
  MemoryRequest request{InstanceId(wire.gateway()), wire.address(), wire.number(), {}};
  for (const gateway_wire::MemoryAsk& ask : wire.asks()) {
    request.asks.push_back({{RunnerId(ask.runner()), RunnerStartTime(ask.born())},
                            ask.held(),
                            {ask.calls().begin(), ask.calls().end()},
                            ask.capacity()});
  }
  return request;
}

void EncodeMemoryResponse(const MemoryResponse& response, gateway_wire::MemoryResponse* wire) {
  wire->set_number(response.number);
  for (const MemoryGrant& grant : response.grants) {
    gateway_wire::MemoryGrant* out = wire->add_grants();
    out->set_runner(grant.run.runner.value());
    out->set_born(grant.run.born.value());
    out->set_limit(grant.limit);
    out->set_free(grant.free);
    out->set_scarce(grant.scarce);
  }
}

MemoryResponse DecodeMemoryResponse(const gateway_wire::MemoryResponse& wire) {
  MemoryResponse response{wire.number(), {}};
  for (const gateway_wire::MemoryGrant& grant : wire.grants()) {
    response.grants.push_back({{RunnerId(grant.runner()), RunnerStartTime(grant.born())},
                               grant.limit(),
                               grant.free(),
                               grant.scarce()});
  }
  return response;
}

void EncodeReport(const FindingsReport& report, gateway_wire::Findings* wire) {
  wire->set_gateway(report.gateway.value());
  EncodeCrashFindings(report.crashes, wire->mutable_crashes());
  for (const LimitFinding& limit : report.limits) {
    EncodeLimit(limit.run, limit.calls_per_s, wire->add_limits());
  }
  wire->set_run(report.number.run);
  wire->set_number(report.number.number);
}

FindingsReport DecodeReport(const gateway_wire::Findings& wire) {
  FindingsReport report;
  report.gateway = InstanceId(wire.gateway());
  report.crashes = DecodeCrashFindings(wire.crashes());
  for (const gateway_wire::RunnerLimit& limit : wire.limits()) {
    report.limits.push_back(DecodeLimit(limit));
  }
  report.number = {wire.run(), wire.number()};
  return report;
}

/// Amounts from another version or from a foreign writer must not become tokens.
double ValidAmount(double amount) { return std::isfinite(amount) && amount > 0 ? amount : 0.0; }

void EncodeQuotaAsk(const QuotaAsk& ask, gateway_wire::QuotaAsk* wire) {
  wire->set_gateway(ask.gateway.value());
  wire->set_address(ask.address);
  wire->set_number(ask.number);
  wire->set_seen(ask.seen);
  if (ask.stamp) wire->set_stamp_ns(ask.stamp->time_since_epoch().count());
  wire->set_held_ns(ask.held.count());
  wire->set_joins_in_ns(ask.joins_in.count());
  wire->set_known_gateways(ask.known_gateways);
  wire->set_leaving(ask.leaving);
  for (const TeamAsk& team : ask.teams) {
    gateway_wire::TeamAsk* out = wire->add_teams();
    out->set_team(team.team.value());
    for (const double cost : team.costs) out->add_costs(cost);
    out->set_ahead(team.ahead);
    out->set_returned(team.returned);
  }
}

QuotaAsk DecodeQuotaAsk(const gateway_wire::QuotaAsk& wire) {
  QuotaAsk ask;
  ask.gateway = InstanceId(wire.gateway());
  ask.address = wire.address();
  ask.number = wire.number();
  ask.seen = wire.seen();
  if (wire.stamp_ns() != 0) ask.stamp = BootTime(Duration(wire.stamp_ns()));
  // A negative time would prove a request that is newer than it is, or one that joins too early.
  ask.held = Duration(std::clamp<int64_t>(wire.held_ns(), 0, kMostNs));
  ask.joins_in = Duration(std::clamp<int64_t>(wire.joins_in_ns(), 0, kMostNs));
  ask.known_gateways = wire.known_gateways();
  ask.leaving = wire.leaving();
  for (const gateway_wire::TeamAsk& team : wire.teams()) {
    TeamAsk out{TeamName(team.team()), {}, ValidAmount(team.ahead()), ValidAmount(team.returned())};
    for (const double cost : team.costs()) out.costs.push_back(ValidAmount(cost));
    ask.teams.push_back(std::move(out));
  }
  return ask;
}

void EncodeQuotaGrant(const QuotaGrant& grant, gateway_wire::QuotaGrant* wire) {
  wire->set_issuer(grant.issuer.value());
  wire->set_number(grant.number);
  wire->set_stamp_ns(grant.stamp.time_since_epoch().count());
  wire->set_known_gateways(grant.known_gateways);
  for (const TeamGrant& team : grant.teams) {
    gateway_wire::TeamGrant* out = wire->add_teams();
    out->set_team(team.team.value());
    out->set_tokens(team.tokens);
    out->set_level(team.level);
    out->set_before(team.before);
    out->set_fill_per_s(team.fill_per_s);
    out->set_capacity(team.capacity);
    out->set_debt(team.debt);
  }
}

QuotaGrant DecodeQuotaGrant(const gateway_wire::QuotaGrant& wire) {
  QuotaGrant grant{InstanceId(wire.issuer()),
                   wire.number(),
                   BootTime(Duration(wire.stamp_ns())),
                   wire.known_gateways(),
                   {}};
  for (const gateway_wire::TeamGrant& team : wire.teams()) {
    grant.teams.push_back({TeamName(team.team()), ValidAmount(team.tokens()),
                           std::isfinite(team.level()) ? team.level() : 0.0,
                           ValidAmount(team.before()), ValidAmount(team.fill_per_s()),
                           ValidAmount(team.capacity()), ValidAmount(team.debt())});
  }
  return grant;
}

}  // namespace

std::string EncodeFindings(const FindingsReport& report) {
  gateway_wire::Findings wire;
  EncodeReport(report, &wire);
  return wire.SerializeAsString();
}

Result<FindingsReport> DecodeFindings(const std::string& bytes) {
  gateway_wire::Findings wire;
  if (wire.ParseFromString(bytes) && !wire.gateway().empty()) return DecodeReport(wire);
  return Error{ErrorKind::kInvalidArgument, "cannot decode a gateway's findings",
               "remove the key; gateways write it again"};
}

std::string EncodePeerMessage(const PeerMessage& message) {
  gateway_wire::PeerMessage wire;
  if (const auto* demand = std::get_if<DemandReport>(&message)) {
    EncodeDemand(*demand, wire.mutable_demand());
  } else if (const auto* findings = std::get_if<FindingsReport>(&message)) {
    EncodeReport(*findings, wire.mutable_findings());
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    EncodeRequest(*request, wire.mutable_permit_request());
  } else if (const auto* response = std::get_if<PermitResponse>(&message)) {
    EncodeResponse(*response, wire.mutable_permit_response());
  } else if (const auto* version = std::get_if<ConfigVersion>(&message)) {
    wire.mutable_config_version()->set_gateway(version->gateway.value());
    wire.mutable_config_version()->set_address(version->address);
    wire.mutable_config_version()->set_version(version->version.value());
  } else if (const auto* copy = std::get_if<ConfigCopy>(&message)) {
    wire.mutable_config_copy()->set_gateway(copy->gateway.value());
    wire.mutable_config_copy()->set_address(copy->address);
    wire.mutable_config_copy()->set_value(copy->value);
  } else if (const auto* ask = std::get_if<ProofRequest>(&message)) {
    wire.mutable_proof_request()->set_gateway(ask->gateway.value());
    wire.mutable_proof_request()->set_address(ask->address);
    wire.mutable_proof_request()->set_number(ask->number);
  } else if (const auto* proof = std::get_if<ProofResponse>(&message)) {
    EncodeProof(*proof, wire.mutable_proof_response());
  } else if (const auto* ask = std::get_if<QuotaAsk>(&message)) {
    EncodeQuotaAsk(*ask, wire.mutable_quota_ask());
  } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
    EncodeQuotaGrant(*grant, wire.mutable_quota_grant());
  } else if (const auto* memory_request = std::get_if<MemoryRequest>(&message)) {
    EncodeMemoryRequest(*memory_request, wire.mutable_memory_request());
  } else if (const auto* memory_response = std::get_if<MemoryResponse>(&message)) {
    EncodeMemoryResponse(*memory_response, wire.mutable_memory_response());
  } else {
    EncodeNotice(std::get<RunnerNotice>(message), wire.mutable_notice());
  }
  return wire.SerializeAsString();
}

Result<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  gateway_wire::PeerMessage wire;
  if (wire.ParseFromString(bytes)) {
    if (wire.has_demand()) return PeerMessage(DecodeDemand(wire.demand()));
    if (wire.has_notice()) return PeerMessage(DecodeNotice(wire.notice()));
    if (wire.has_findings()) return PeerMessage(DecodeReport(wire.findings()));
    if (wire.has_permit_request()) return PeerMessage(DecodeRequest(wire.permit_request()));
    if (wire.has_permit_response()) return PeerMessage(DecodeResponse(wire.permit_response()));
    if (wire.has_quota_ask()) return PeerMessage(DecodeQuotaAsk(wire.quota_ask()));
    if (wire.has_quota_grant()) return PeerMessage(DecodeQuotaGrant(wire.quota_grant()));
    if (wire.has_memory_request()) return PeerMessage(DecodeMemoryRequest(wire.memory_request()));
    if (wire.has_memory_response()) {
      return PeerMessage(DecodeMemoryResponse(wire.memory_response()));
    }
    if (wire.has_config_version()) {
      const gateway_wire::ConfigVersion& version = wire.config_version();
      return PeerMessage(ConfigVersion{InstanceId(version.gateway()), version.address(),
                                       FleetVersion(version.version())});
    }
    if (wire.has_config_copy()) {
      const gateway_wire::ConfigCopy& copy = wire.config_copy();
      return PeerMessage(ConfigCopy{InstanceId(copy.gateway()), copy.address(), copy.value()});
    }
    if (wire.has_proof_request()) {
      const gateway_wire::ProofRequest& ask = wire.proof_request();
      return PeerMessage(ProofRequest{InstanceId(ask.gateway()), ask.address(), ask.number()});
    }
    if (wire.has_proof_response()) return PeerMessage(DecodeProof(wire.proof_response()));
  }
  return Error{ErrorKind::kInvalidArgument, "cannot decode a message from another gateway",
               "run the same version on all gateways"};
}

std::string EncodeGatewayRecord(const GatewaySettings& settings) {
  gateway_wire::GatewayRecord wire;
  wire.set_gateway(settings.instance.value());
  wire.set_address(settings.peer_address);
  wire.set_cpu_share(settings.cpu_share);
  return wire.SerializeAsString();
}

Result<LeaderRecord> DecodeGatewayRecord(const std::string& value, StorePosition position) {
  gateway_wire::GatewayRecord wire;
  if (!wire.ParseFromString(value) || wire.gateway().empty()) {
    return Error{ErrorKind::kInvalidArgument, "cannot decode a gateway record of the store",
                 "remove the key; gateways write it again"};
  }
  return LeaderRecord{InstanceId(wire.gateway()), wire.address(), position, wire.cpu_share()};
}

}  // namespace shallot::gateway
