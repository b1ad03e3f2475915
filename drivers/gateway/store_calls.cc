#include "drivers/gateway/store_calls.h"

#include <fmt/format.h>

#include <utility>

#include "core/log.h"

namespace shallot::gateway {

StoreCalls::StoreCalls(BufferedCalls* calls, const PlatformProtocol* protocol, std::string address,
                       StoreContact* contact, MetricsRegistry* metrics)
    : calls_(calls),
      protocol_(protocol),
      address_(std::move(address)),
      contact_(contact),
      metrics_(metrics) {}

void StoreCalls::Start(const HttpMessage& request, Millis timeout, BufferedCalls::Done done) {
  calls_->Start(address_, request, timeout,
                [this, sent_in = era(), sent_at = calls_->Now(),
                 done = std::move(done)](const Result<HttpMessage>& answer) {
                  RecordEnd(answer, sent_at);
                  if (!IsOk(answer) || Check(sent_in, ValueOf(answer).head)) {
                    done(answer);
                    return;
                  }
                  done(Error{ErrorKind::kUnknownOutcome,
                             "the store was restored from a copy while the call was in progress",
                             "read the store again"});
                });
}

void StoreCalls::RecordEnd(const Result<HttpMessage>& answer, SteadyTime sent_at) {
  StoreCallEnd end = StoreCallEnd::kNoAnswer;
  if (IsOk(answer)) {
    end = protocol_->StoreServes(ValueOf(answer).head) ? StoreCallEnd::kAnswered
                                                       : StoreCallEnd::kRefused;
  } else if (ErrorOf(answer).kind == ErrorKind::kDisconnected) {
    end = StoreCallEnd::kDisconnected;
  }
  const SteadyTime now = calls_->Now();
  const bool interrupted = contact_->interrupted();
  contact_->OnCall(end, sent_at, now);
  // What has lost track of one connection may have lost the others, so the next call opens a new
  // one.
  if (end == StoreCallEnd::kNoAnswer) calls_->CloseIdle(address_);
  if (end != StoreCallEnd::kAnswered) {
    metrics_
        ->GetCounter(fmt::format("store_calls_failed_total{{end=\"{}\"}}", StoreCallEndName(end)))
        .Add();
  }
  if (contact_->interrupted() == interrupted) return;
  metrics_->GetGauge("store_interrupted").Set(interrupted ? 0 : 1);
  if (!interrupted) {
    LogWarning("store", fmt::format("event=store-interrupted end={}", StoreCallEndName(end)));
    return;
  }
  LogInfo("store", fmt::format("event=store-contact gap_ms={} entries_may_be_lost={}",
                               contact_->last_gap().count(),
                               contact_->EntriesMayBeLost(now) ? "yes" : "no"));
}

bool StoreCalls::Check(std::optional<StoreEra> sent_in, const HttpHead& answer) {
  const std::optional<StoreEra> before = era();
  const std::optional<StoreEra> answered_in = protocol_->DecodeStoreEra(answer);
  const StoreHistory::Verdict verdict = history_.OnAnswer(sent_in, answered_in);
  if (era() != before) {
    metrics_->GetGauge("store_era").Set(static_cast<int64_t>(era()->value()));
    LogInfo("store", fmt::format("event=store-era era={} before={}", era()->value(),
                                 before ? std::to_string(before->value()) : "unknown"));
  }
  if (verdict == StoreHistory::Verdict::kOutdated) {
    LogInfo("store",
            fmt::format("event=outdated-answer era={} sent_in={} answered_in={}", era()->value(),
                        sent_in ? sent_in->value() : 0, answered_in ? answered_in->value() : 0));
  }
  if (verdict == StoreHistory::Verdict::kRestored) {
    LogWarning("store", fmt::format("event=store-restored era={}", era()->value()));
    metrics_->GetCounter("store_restores_total").Add();
    for (StoreRestoreListener* listener : listeners_) listener->OnStoreRestored();
  }
  return verdict == StoreHistory::Verdict::kCurrent;
}

}  // namespace shallot::gateway
