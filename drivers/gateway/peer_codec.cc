#include "drivers/gateway/peer_codec.h"

#include <cmath>

#include "drivers/crash_codec.h"
#include "drivers/wire/gateway.pb.h"

namespace shallot::gateway {
namespace {

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
