#include "servers/gateway/access/config_proof.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "servers/gateway/access/caller_access.h"
#include "servers/gateway/gateway_ring.h"

namespace shallot::gateway {
namespace {

/// The key is read this long before a proof becomes too old: the timeout of one read and a tick.
constexpr Millis kReadReserve{800};
/// Other gateways are asked this long before the key is read, because messages between gateways
/// cost less than store calls. They send a newer version only when it is a second old
/// (ConfigExchange::kWatchTime).
constexpr Millis kAskLead{1'000};
/// Minimum age from which other gateways are asked. The watch of a busy store is answered more
/// often, also at its longest pause (PrefixFollower::kMaxWatchPause).
constexpr Millis kMinAskAge{1'000};
/// The era of a store that was never restored. A gateway that starts in a later era does not know
/// how long ago the restore was.
constexpr StoreEra kFirstEra{1};

}  // namespace

ProofTimes ProofTimesOf(const GatewayPolicy& policy) {
  Millis bound = policy.config_apply;
  if (policy.strict_revoke) bound = std::min(bound, RevokeBound(policy));
  ProofTimes times;
  times.read_age = std::max(bound - kReadReserve, kReadReserve);
  times.ask_age = std::max(times.read_age - kAskLead, kMinAskAge);
  return times;
}

void ConfigProof::OnApplied(FleetVersion version) {
  version_ = version;
  if (!ahead_ || ahead_->version > version) return;
  if (ahead_->version == version) (void)Prove(ahead_->proved_at);
  ahead_.reset();
}

void ConfigProof::OnEra(StoreEra era, BootTime now) {
  if (era_ && era <= *era_) return;
  const bool restored = era_ || era > kFirstEra;
  era_ = era;
  if (restored) settled_at_ = now + Duration(kSettleTime);
}

void ConfigProof::OnStoreConfig(StorePosition position, std::optional<FleetVersion> version) {
  // A read of the key may bring an older state than the watch has brought since it was sent.
  if (position < store_position_) return;
  store_position_ = position;
  undecodable_ = !version;
}

void ConfigProof::OnUpToDate(BootTime sent_at, bool complete, BootTime now) {
  if (!complete) {
    gap_ = now;
    return;
  }
  if (!gap_ && !undecodable_) (void)ProveByStore(sent_at);
}

bool ConfigProof::TakeRead(const ProofTimes& times, BootTime now) {
  // After a restore the watch brings a proof once the time to settle is over.
  const BootTime earliest =
      std::max(next_read_, settled_at_ == BootTime::min() ? next_read_
                                                          : settled_at_ + Duration(times.read_age));
  // Without a configuration, the follower reads all items.
  if (version_ == FleetVersion()) return false;
  if (reading_ || now < earliest || !OlderThan(times.read_age, now)) return false;
  reading_ = true;
  return true;
}

void ConfigProof::OnKeyRead(BootTime sent_at, std::optional<FleetVersion> version, BootTime now) {
  reading_ = false;
  if (!version || *version > version_ || !ProveByStore(sent_at)) {
    DelayRead(now);
    return;
  }
  read_pause_ = kMinReadPause;
  // The watch misses nothing that was written after this read.
  if (gap_ && sent_at >= *gap_) gap_.reset();
}

void ConfigProof::OnKeyReadFailed(BootTime now) {
  reading_ = false;
  DelayRead(now);
}

void ConfigProof::DelayRead(BootTime now) {
  next_read_ = now + Duration(read_pause_);
  read_pause_ = std::min(read_pause_ * 2, kMaxReadPause);
}

bool ConfigProof::AskDue(const ProofTimes& times, BootTime now) const {
  return now >= next_ask_ && OlderThan(times.ask_age, now);
}

std::optional<ConfigProof::Ask> ConfigProof::TakeAsk(const std::set<InstanceId>& gateways,
                                                     const ProofTimes& times, BootTime now) {
  if (!AskDue(times, now)) return std::nullopt;
  std::vector<InstanceId> others = GatewaysAfter(self_, gateways);
  if (others.empty()) return std::nullopt;
  others.resize(std::min(others.size(), kMaxPartners));
  if (in_vain_ > 0) {
    ++turn_;
    ahead_responses_ = 0;
  }
  ++in_vain_;
  next_ask_ = now + Duration(in_vain_ > kMaxPartners ? kAskIntervalInOutage : kAskInterval);
  asks_.push_back({others[turn_ % others.size()], ++last_number_, now});
  if (asks_.size() > kMaxAsks) asks_.pop_front();
  return asks_.back();
}

bool ConfigProof::OnResponse(const InstanceId& gateway, uint64_t number, FleetVersion version,
                             std::optional<Millis> age, const ProofTimes& times, BootTime now) {
  const auto ask = std::find_if(asks_.begin(), asks_.end(), [&](const Ask& sent) {
    return sent.number == number && sent.gateway == gateway;
  });
  if (ask == asks_.end()) return false;
  const BootTime sent_at = ask->sent_at;
  asks_.erase(ask);
  if (version < version_ || !age || *age < Millis(0)) return false;
  // A proof that is older than this gateway's clock is of no use and could overflow it.
  if (*age > std::chrono::duration_cast<Millis>(sent_at.time_since_epoch())) return false;
  const BootTime proved_at = sent_at - Duration(*age);
  if (version > version_) {
    ahead_ = {version, proved_at};
    const bool recent = now - proved_at < Duration(times.ask_age);
    if (recent && ++ahead_responses_ <= kMaxAheadResponses) in_vain_ = 0;
    return false;
  }
  const bool newer = Prove(proved_at);
  if (OlderThan(times.ask_age, now)) return newer;
  in_vain_ = 0;
  ahead_responses_ = 0;
  return newer;
}

std::optional<Millis> ConfigProof::Age(BootTime now) const {
  if (!proved_at_) return std::nullopt;
  return std::chrono::ceil<Millis>(now - *proved_at_);
}

bool ConfigProof::OlderThan(Millis age, BootTime now) const {
  return !proved_at_ || now - *proved_at_ >= Duration(age);
}

bool ConfigProof::ProveByStore(BootTime sent_at) {
  if (sent_at < settled_at_) return false;
  (void)Prove(sent_at);
  return true;
}

bool ConfigProof::Prove(BootTime at) {
  if (version_ == FleetVersion() || (proved_at_ && at <= *proved_at_)) return false;
  proved_at_ = at;
  return true;
}

}  // namespace shallot::gateway
