#include "drivers/gateway/prefix_follower.h"

#include <algorithm>

#include "core/log.h"

namespace shallot::gateway {

PrefixFollower::PrefixFollower(EventLoop* loop, StoreCalls* store, const PlatformProtocol* protocol,
                               std::string prefix, PrefixListener* listener)
    : loop_(loop),
      store_(store),
      protocol_(protocol),
      prefix_(std::move(prefix)),
      listener_(listener) {}

void PrefixFollower::Start() {
  store_->AddListener(this);
  Read("");
}

void PrefixFollower::OnStoreRestored() { Read(""); }

void PrefixFollower::Read(const std::string& after) {
  if (after.empty()) {
    ++round_;
    snapshot_items_.clear();
    first_page_ = true;
    read_sent_at_ = loop_->clock()->BootNow();
    read_complete_ = true;
  }
  const Millis limit = failing_ ? TimeoutAfterFailure() : kReadTimeout;
  store_->Start(protocol_->RangeRequest(prefix_, after), limit,
                InThisRound([this](const Result<HttpMessage>& answer) { OnPage(answer); }));
}

void PrefixFollower::OnPage(const Result<HttpMessage>& answer) {
  if (!IsOk(answer)) {
    Retry(ErrorOf(answer), true);
    return;
  }
  const Result<StoreBatch> page = protocol_->DecodeRange(ValueOf(answer));
  if (!IsOk(page)) {
    Retry(ErrorOf(page), true);
    return;
  }
  const StoreBatch& batch = ValueOf(page);
  if (first_page_) position_ = batch.position;
  first_page_ = false;
  if (batch.incomplete) read_complete_ = false;
  snapshot_items_.insert(snapshot_items_.end(), batch.items.begin(), batch.items.end());
  if (batch.truncated && !batch.items.empty()) {
    Read(batch.items.back().key);
    return;
  }
  if (failing_) LogInfo("store", "following " + prefix_ + " again");
  failing_ = false;
  failures_ = 0;
  listener_->OnStoreSuccess();
  listener_->OnSnapshot(snapshot_items_, position_);
  listener_->OnUpToDate(read_sent_at_, read_complete_ && !batch.truncated);
  snapshot_items_.clear();
  Watch();
}

void PrefixFollower::Watch() {
  const Millis wait = failing_ ? kWaitAfterFailure : WatchWait(followers_);
  const Millis limit = wait + (failing_ ? TimeoutAfterFailure() : kAnswerMargin);
  store_->Start(
      protocol_->WatchRequest(prefix_, position_.revision, wait), limit,
      InThisRound([this, sent_at = loop_->clock()->BootNow()](const Result<HttpMessage>& answer) {
        OnChanges(answer, sent_at);
      }));
}

void PrefixFollower::OnChanges(const Result<HttpMessage>& answer, BootTime sent_at) {
  if (!IsOk(answer)) {
    Retry(ErrorOf(answer), false);
    return;
  }
  const Result<StoreBatch> changes = protocol_->DecodeWatch(ValueOf(answer));
  if (!IsOk(changes)) {
    Retry(ErrorOf(changes), ErrorOf(changes).kind == ErrorKind::kConflict);
    return;
  }
  if (failing_) LogInfo("store", "following " + prefix_ + " again");
  failing_ = false;
  failures_ = 0;
  listener_->OnStoreSuccess();
  const StoreBatch& batch = ValueOf(changes);
  listener_->OnChanges(batch.items);
  position_ = std::max(position_, batch.position);
  listener_->OnUpToDate(sent_at, !batch.incomplete && !batch.truncated);
  loop_->After(WatchPause(followers_), InThisRound([this] { Watch(); }));
}

void PrefixFollower::Retry(const Error& error, bool read_again) {
  if (!failing_) LogWarning("store", "cannot follow " + prefix_ + ": " + FormatError(error));
  failing_ = true;
  ++failures_;
  loop_->After(kRetryPause, InThisRound([this, read_again] {
                 if (read_again) {
                   Read("");
                 } else {
                   Watch();
                 }
               }));
}

}  // namespace shallot::gateway
