#include "drivers/gateway/access/proof_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>

#include "core/log.h"
#include "servers/gateway/access/caller_access.h"

namespace shallot::gateway {

void ProofDriver::NoteEra() {
  if (const auto era = context_->store.era()) context_->proof.OnEra(*era, Now());
}

void ProofDriver::CountProof(const char* source) {
  context_->metrics->GetCounter(fmt::format("config_proofs_total{{source=\"{}\"}}", source)).Add();
}

void ProofDriver::OnUpToDate(BootTime sent_at, bool complete) {
  NoteEra();
  const auto before = context_->proof.proved_at();
  context_->proof.OnUpToDate(sent_at, complete, Now());
  if (context_->proof.proved_at() != before) CountProof("watch");
}

void ProofDriver::ReadKey() {
  context_->metrics->GetCounter("config_proof_reads_total").Add();
  const BootTime sent_at = Now();
  context_->store.Start(
      context_->protocol->RangeRequest(context_->protocol->RoutesKey(), ""), StoreCalls::kTimeout,
      [this, sent_at](const Result<HttpMessage>& answer) { OnKeyAnswer(answer, sent_at); });
}

void ProofDriver::OnKeyAnswer(const Result<HttpMessage>& answer, BootTime sent_at) {
  NoteEra();
  const Result<StoreBatch> batch =
      IsOk(answer) ? context_->protocol->DecodeRange(ValueOf(answer)) : ErrorOf(answer);
  if (!IsOk(batch) || ValueOf(batch).incomplete) {
    LogInfo("config", fmt::format("event=config-key-not-read reason=\"{}\"",
                                  IsOk(batch) ? "unreadable item" : FormatError(ErrorOf(batch))));
    context_->proof.OnKeyReadFailed(Now());
    return;
  }
  // Longer keys may begin with this one. It comes first, so that a truncated answer has it.
  std::optional<FleetVersion> version = FleetVersion();
  for (const StoreItem& item : ValueOf(batch).items) {
    if (item.key == context_->protocol->RoutesKey()) version = config_->OnItem(item);
  }
  const auto before = context_->proof.proved_at();
  context_->proof.OnKeyRead(sent_at, version, Now());
  if (context_->proof.proved_at() != before) CountProof("read");
}

void ProofDriver::Ask(const ConfigProof::Ask& ask) {
  context_->metrics->GetCounter("proof_requests_sent_total").Add();
  const ProofRequest request{context_->settings.instance, context_->settings.peer_address,
                             ask.number};
  if (context_->peers.Send(context_->gateways.at(ask.gateway), request)) return;
  LogInfo("peer", "event=proof-request-not-sent gateway=" + ask.gateway.value());
}

void ProofDriver::OnRequest(const ProofRequest& request) {
  // The entry of a gateway that the store turns away lapses there, so those not listed get a
  // response as well.
  const ProofResponse response{context_->settings.instance, context_->settings.peer_address,
                               request.number, context_->proof.version(),
                               context_->proof.Age(Now())};
  if (context_->peers.Send(request.address, response)) return;
  LogInfo("peer", "event=proof-not-sent gateway=" + request.gateway.value());
}

void ProofDriver::OnResponse(const ProofResponse& response) {
  // An address may be used again, by a gateway of another deployment.
  const auto sender = context_->gateways.find(response.gateway);
  if (sender == context_->gateways.end() || sender->second != response.address) {
    LogWarning("config", fmt::format("event=proof-rejected gateway={} address={}",
                                     response.gateway.value(), response.address));
    context_->metrics->GetCounter("proofs_rejected_total").Add();
    return;
  }
  if (context_->proof.OnResponse(response.gateway, response.number, response.version, response.age,
                                 Times(), Now())) {
    CountProof("gateway");
  }
  if (response.version > context_->proof.version()) {
    config_->RequestCopy(response.gateway, response.address);
  }
}

void ProofDriver::LogState() {
  const GatewayPolicy& policy = context_->settings.policy;
  const auto age = context_->proof.Age(Now());
  context_->metrics->GetGauge("config_proof_age_ms").Set(age ? age->count() : -1);
  const Millis bound = policy.strict_revoke ? std::min(policy.config_apply, RevokeBound(policy))
                                            : policy.config_apply;
  const bool unproved = !age || *age > bound;
  if (unproved == unproved_) return;
  unproved_ = unproved;
  const std::string line =
      fmt::format("event={} version={} age_ms={} bound_ms={}",
                  unproved ? "config-unproved" : "config-proved", context_->proof.version().value(),
                  age ? std::to_string(age->count()) : "none", bound.count());
  if (unproved) {
    LogWarning("config", line);
  } else {
    LogInfo("config", line);
  }
}

void ProofDriver::Tick() {
  if (context_->routes == nullptr || !context_->routes->keys_required) return;
  NoteEra();
  const BootTime now = Now();
  if (context_->proof.TakeRead(Times(), now)) ReadKey();
  LogState();
  if (!context_->proof.AskDue(Times(), now)) return;
  std::set<InstanceId> gateways;
  for (const auto& [gateway, address] : context_->gateways) gateways.insert(gateway);
  if (const auto ask = context_->proof.TakeAsk(gateways, Times(), now)) Ask(*ask);
}

}  // namespace shallot::gateway
