#include "drivers/gateway/findings_driver.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/log.h"
#include "drivers/gateway/lease_renewal.h"
#include "drivers/gateway/peer_codec.h"

namespace shallot::gateway {
namespace {

/// Lifetime of published findings: that of the evidence or of the longest quarantine.
Millis Lifetime(const CrashFindings& findings) {
  Millis lifetime = CrashEvidence::kLifetime;
  for (const QuarantinedTraits& quarantined : findings.quarantined) {
    lifetime = std::max(lifetime, quarantined.remaining);
  }
  return std::min<Millis>(lifetime, CrashQuarantine::kLongestQuarantine);
}

bool IsEmpty(const FindingsReport& report) {
  return report.crashes.empty() && report.limits.empty();
}

}  // namespace

FindingsDriver::FindingsDriver(GatewayContext* context)
    : context_(context),
      key_(context->protocol->FindingsPrefix() + context->settings.instance.value()),
      random_(EntropySeed()),
      number_{EntropySeed(), 0} {}

void FindingsDriver::Start() {
  context_->store.AddListener(this);
  Tick();
}

void FindingsDriver::OnStoreRestored() {
  position_ = StorePosition();
  replace_ = true;
  PublishSoon();
}

void FindingsDriver::PublishSoon() {
  if (due_) return;
  due_ = true;
  const Millis spread = ScaledPause(kPublishPause) - kPublishPause;
  const Millis delay(static_cast<int64_t>(random_.Unit() * static_cast<double>(spread.count())));
  next_ = std::max(next_, context_->loop.Now() + Duration(delay));
}

Millis FindingsDriver::ScaledPause(Millis pause) const {
  return pause * (1 + context_->gateways.size() / kGatewaysAtFullRate);
}

void FindingsDriver::OnItem(const StoreItem& item) {
  if (item.key == key_) {
    if (item.position < position_) return;
    position_ = item.position;
    if (item.deleted) position_.revision = StoreRevision(0);
    if (!item.deleted && replace_) PublishSoon();
    // The key ended before its lease, for example in an outage of the store.
    if (item.deleted && !writing_) context_->quarantine.MarkChanged();
  }
  if (item.deleted) return;
  const auto report = DecodeFindings(item.value);
  if (!IsOk(report)) {
    LogWarning("crashes",
               "ignoring the findings of key " + item.key + ": " + FormatError(ErrorOf(report)));
    return;
  }
  OnReport(ValueOf(report));
}

void FindingsDriver::OnSnapshot(const std::vector<StoreItem>& items) {
  const bool present = std::any_of(items.begin(), items.end(),
                                   [&](const StoreItem& item) { return item.key == key_; });
  if (!present && position_.revision != StoreRevision(0)) {
    position_.revision = StoreRevision(0);
    context_->quarantine.MarkChanged();
  }
}

void FindingsDriver::OnReport(const FindingsReport& report) {
  if (!order_.TakeIfNew(report.gateway, report.number)) return;
  context_->quarantine.Merge(report.gateway, report.crashes, context_->loop.Now());
  if (report.gateway != context_->settings.instance) {
    context_->limits.Merge(report.limits, context_->loop.Now());
  }
}

void FindingsDriver::Tick() {
  const SteadyTime now = context_->loop.Now();
  context_->quarantine.SetSettleTime(context_->gateways.size() > kBroadcastGateways
                                         ? CrashQuarantine::kSettleByStore
                                         : CrashQuarantine::kSettleDirect);
  context_->quarantine.Update(now);
  const bool quarantine_changed = context_->quarantine.TakeChanged();
  const bool limits_changed = context_->limits.TakeChanged();
  if (quarantine_changed || limits_changed) PublishSoon();
  if (due_ && !writing_ && now >= next_) {
    due_ = false;
    next_ = now + Duration(ScaledPause(kPublishPause));
    const FindingsReport report = OwnReport(number_.number + 1, now);
    const bool outdated = replace_ && position_.revision != StoreRevision(0);
    // Findings that have expired leave the store with their lease.
    if (!IsEmpty(report) || outdated) Publish(report);
  }
  RepeatInOutage(now);
  context_->loop.After(kTickInterval, [this] { Tick(); });
}

void FindingsDriver::Publish(const FindingsReport& report) {
  ++number_.number;
  (void)order_.TakeIfNew(report.gateway, report.number);
  SendToPeers(report);
  writing_ = true;
  const std::string value = EncodeFindings(report);
  context_->store.Start(context_->protocol->LeaseRequest(Lifetime(report.crashes)),
                        StoreCalls::kTimeout, [this, value](const Result<HttpMessage>& answer) {
                          if (!IsOk(answer)) {
                            Fail(ErrorOf(answer).message);
                            return;
                          }
                          const auto lease = context_->protocol->DecodeLease(ValueOf(answer));
                          if (!IsOk(lease)) {
                            Fail(ErrorOf(lease).message);
                            return;
                          }
                          Write(value, ValueOf(lease).lease);
                        });
}

FindingsReport FindingsDriver::OwnReport(uint64_t number, SteadyTime now) const {
  return {context_->settings.instance,
          context_->quarantine.Own(now),
          context_->limits.Own(now),
          {number_.run, number}};
}

void FindingsDriver::RepeatInOutage(SteadyTime now) {
  if (!context_->view.contact().interrupted() || now < next_repeat_) return;
  next_repeat_ = now + Duration(ScaledPause(kRepeatPause));
  // With the same number, gateways that have the findings ignore them.
  const FindingsReport report = OwnReport(number_.number, now);
  if (!IsEmpty(report)) SendToPeers(report);
}

void FindingsDriver::SendToPeers(const FindingsReport& report) {
  if (context_->gateways.size() > kBroadcastGateways) return;
  for (const auto& [gateway, address] : context_->gateways) {
    if (gateway == context_->settings.instance) continue;
    if (!context_->peers.Send(address, report)) {
      LogInfo("peer", "event=findings-not-sent gateway=" + gateway.value());
    }
  }
}

void FindingsDriver::Write(const std::string& value, LeaseId lease) {
  const ConditionalWrite write{key_, value, position_.revision, lease};
  context_->store.Start(context_->protocol->WriteRequest(write), StoreCalls::kTimeout,
                        [this](const Result<HttpMessage>& answer) { OnWritten(answer); });
}

void FindingsDriver::OnWritten(const Result<HttpMessage>& answer) {
  if (!IsOk(answer)) {
    Fail(ErrorOf(answer).message);
    return;
  }
  const auto position = context_->protocol->DecodeWrite(ValueOf(answer));
  if (!IsOk(position)) {
    // After a conflict, the watch brings the key's present revision before the next attempt.
    Fail(ErrorOf(position).message);
    return;
  }
  writing_ = false;
  failing_ = false;
  replace_ = false;
  position_ = std::max(position_, ValueOf(position));
  LogInfo("crashes",
          fmt::format("event=findings-published revision={}", position_.revision.value()));
}

void FindingsDriver::Fail(const std::string& reason) {
  if (!failing_) LogWarning("crashes", "event=findings-not-published reason=\"" + reason + "\"");
  failing_ = true;
  writing_ = false;
  due_ = true;
  next_ = context_->loop.Now() + Duration(ScaledPause(kRetryPause));
}

}  // namespace shallot::gateway
