#ifndef DRIVERS_GATEWAY_ACCESS_PROOF_DRIVER_H_
#define DRIVERS_GATEWAY_ACCESS_PROOF_DRIVER_H_

#include "drivers/gateway/config_driver.h"
#include "drivers/gateway/gateway_context.h"

namespace shallot::gateway {

/// Keeps the ConfigProof of a GatewayContext recent while the configuration has teams: passes on
/// what the store's watch shows, reads the configuration's key and asks other gateways as
/// ConfigProof decides, and answers those that ask.
class ProofDriver {
 public:
  ProofDriver(GatewayContext* context, ConfigDriver* config) : context_(context), config_(config) {}

  /// See PrefixListener::OnUpToDate().
  void OnUpToDate(BootTime sent_at, bool complete);
  void OnRequest(const ProofRequest& request);
  /// Another gateway's proof; ignored unless the store lists that gateway at that address.
  void OnResponse(const ProofResponse& response);
  /// Sends what is due. To be called frequently.
  void Tick();

 private:
  void ReadKey();
  void OnKeyAnswer(const Result<HttpMessage>& answer, BootTime sent_at);
  void Ask(const ConfigProof::Ask& ask);
  void CountProof(const char* source);
  /// Logs when the proof becomes too old to refuse or, with strict_revoke, to accept calls, and
  /// when it no longer is.
  void LogState();
  void NoteEra();
  BootTime Now() const { return context_->clock->BootNow(); }
  ProofTimes Times() const { return ProofTimesOf(context_->settings.policy); }

  GatewayContext* context_;
  ConfigDriver* config_;
  bool unproved_ = false;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_ACCESS_PROOF_DRIVER_H_
