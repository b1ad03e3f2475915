#include "drivers/gateway/store_calls.h"

#include <fmt/format.h>

#include <utility>

#include "core/log.h"

namespace shallot::gateway {

StoreCalls::StoreCalls(BufferedCalls* calls, const PlatformProtocol* protocol, std::string address,
                       MetricsRegistry* metrics)
    : calls_(calls), protocol_(protocol), address_(std::move(address)), metrics_(metrics) {}

void StoreCalls::Start(const HttpMessage& request, Millis timeout, BufferedCalls::Done done) {
  calls_->Start(address_, request, timeout,
                [this, done = std::move(done)](const Result<HttpMessage>& answer) {
                  if (IsOk(answer)) {
                    const auto era = protocol_->DecodeStoreEra(ValueOf(answer).head);
                    if (era) OnEra(*era);
                  }
                  done(answer);
                });
}

void StoreCalls::OnEra(StoreEra era) {
  if (era_ == era) return;
  LogInfo("store", fmt::format("event=store-era era={} before={}", era.value(),
                               era_ ? std::to_string(era_->value()) : "unknown"));
  era_ = era;
  metrics_->GetGauge("store_era").Set(static_cast<int64_t>(era.value()));
}

}  // namespace shallot::gateway
