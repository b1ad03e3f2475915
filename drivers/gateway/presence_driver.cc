#include "drivers/gateway/presence_driver.h"

#include <fmt/format.h>

#include "core/log.h"
#include "drivers/gateway/lease_renewal.h"

namespace shallot::gateway {

PresenceDriver::PresenceDriver(GatewayContext* context)
    : context_(context),
      key_(context->protocol->GatewaysPrefix() + context->settings.instance.value()) {}

void PresenceDriver::Start() {
  context_->store.AddListener(this);
  Tick();
}

void PresenceDriver::OnStoreRestored() { presence_.OnStoreRestored(context_->clock->BootNow()); }

void PresenceDriver::OnKey(const std::optional<StorePosition>& key, StorePosition as_of) {
  const bool registered = presence_.registered();
  presence_.OnKey(key, as_of, context_->clock->BootNow());
  if (registered && !presence_.registered()) {
    LogWarning("gateways",
               fmt::format("event=own-key-removed revision={}", as_of.revision.value()));
  }
}

void PresenceDriver::Tick() {
  RunNextAction();
  context_->loop.After(kTickInterval, [this] { Tick(); });
}

void PresenceDriver::RunNextAction() {
  switch (presence_.Next(context_->clock->BootNow())) {
    case Presence::Action::kNone:
      break;
    case Presence::Action::kCreateLease:
      CreateLease();
      break;
    case Presence::Action::kRegister:
      Register();
      break;
    case Presence::Action::kRenew:
      Renew();
      break;
  }
}

void PresenceDriver::CreateLease() {
  context_->store.Start(context_->protocol->LeaseRequest(Presence::kTerm), StoreCalls::kTimeout,
                        [this](const Result<HttpMessage>& answer) {
                          std::optional<LeaseId> lease;
                          if (IsOk(answer)) {
                            const auto granted = context_->protocol->DecodeLease(ValueOf(answer));
                            if (IsOk(granted)) lease = ValueOf(granted).lease;
                          }
                          LogOutcomeChange(lease.has_value(), "lease");
                          presence_.OnLease(lease, context_->clock->BootNow());
                          // Registers without waiting for the next tick, so that the other gateways
                          // learn of a gateway that has just started.
                          RunNextAction();
                        });
}

void PresenceDriver::Register() {
  const GatewaySettings& settings = context_->settings;
  const ConditionalWrite write{key_, EncodeGatewayRecord(settings), presence_.Condition(),
                               presence_.lease()};
  context_->store.Start(context_->protocol->WriteRequest(write), StoreCalls::kTimeout,
                        [this](const Result<HttpMessage>& answer) {
                          const BootTime now = context_->clock->BootNow();
                          if (!IsOk(answer)) {
                            LogOutcomeChange(false, "registration");
                            presence_.OnRegistered(std::nullopt, now);
                            return;
                          }
                          const auto position = context_->protocol->DecodeWrite(ValueOf(answer));
                          if (!IsOk(position)) {
                            LogInfo("gateways", "event=registration-failed reason=\"" +
                                                    ErrorOf(position).message + "\"");
                            // The lease has expired and cannot be used again.
                            if (ErrorOf(position).kind == ErrorKind::kNotFound) {
                              presence_.OnRenewed(LeaseRenewal::kLost, now);
                            } else {
                              presence_.OnRegistered(std::nullopt, now);
                            }
                            return;
                          }
                          presence_.OnRegistered(ValueOf(position), now);
                          LogInfo("gateways", fmt::format("event=registered revision={}",
                                                          ValueOf(position).revision.value()));
                        });
}

void PresenceDriver::Renew() {
  context_->store.Start(context_->protocol->RenewRequest(presence_.lease()), StoreCalls::kTimeout,
                        [this](const Result<HttpMessage>& answer) {
                          const LeaseRenewal renewal = RenewalOutcome(*context_->protocol, answer);
                          LogOutcomeChange(renewal == LeaseRenewal::kDone, "renewal");
                          presence_.OnRenewed(renewal, context_->clock->BootNow());
                        });
}

void PresenceDriver::LogOutcomeChange(bool succeeded, const std::string& call) {
  if (succeeded == !last_call_failed_) return;
  last_call_failed_ = !succeeded;
  LogInfo("gateways", "event=own-key-" + call + (succeeded ? "-done" : "-failed"));
}

}  // namespace shallot::gateway
