#include "servers/gateway/config_exchange.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace shallot::gateway {

void ConfigExchange::OnApplied(FleetVersion version, SteadyTime now) {
  applied_.push_back({version, now});
  if (applied_.size() > kMaxApplied) applied_.pop_front();
}

ConfigExchange::Response ConfigExchange::OnVersion(FleetVersion other, SteadyTime now) const {
  if (other > version()) return Response::kSendVersion;
  if (other == version()) return Response::kNone;
  if (other == FleetVersion()) return Response::kSendCopy;
  // With frequent changes the newest version is always recent, so the first one that the other
  // gateway lacks counts.
  const auto lacking = std::find_if(applied_.begin(), applied_.end(), [&](const Applied& applied) {
    return applied.version > other;
  });
  const bool watch_may_bring_it = now - lacking->at < Duration(kWatchTime);
  return watch_may_bring_it ? Response::kNone : Response::kSendCopy;
}

std::vector<InstanceId> ConfigExchange::Partners(const std::set<InstanceId>& gateways) const {
  std::vector<std::pair<uint64_t, InstanceId>> after;
  std::vector<std::pair<uint64_t, InstanceId>> before;
  const std::pair<uint64_t, InstanceId> own{StableHash(self_.value()), self_};
  for (const InstanceId& gateway : gateways) {
    if (gateway == self_) continue;
    std::pair<uint64_t, InstanceId> entry{StableHash(gateway.value()), gateway};
    (entry > own ? after : before).push_back(std::move(entry));
  }
  std::sort(after.begin(), after.end());
  std::sort(before.begin(), before.end());
  after.insert(after.end(), before.begin(), before.end());
  std::vector<InstanceId> partners;
  for (size_t index = 0; index < std::min(after.size(), kPartners); ++index) {
    partners.push_back(after[index].second);
  }
  return partners;
}

std::vector<InstanceId> ConfigExchange::TakePartners(const std::set<InstanceId>& gateways,
                                                     SteadyTime now) {
  if (!Due(now)) return {};
  const std::vector<InstanceId> partners = Partners(gateways);
  if (partners.empty()) return {};
  next_ = now + Duration(kInterval);
  const size_t count = std::min(partners.size(), started_ ? size_t{1} : kPartnersAtStart);
  started_ = true;
  std::vector<InstanceId> taken;
  for (size_t index = 0; index < count; ++index) {
    taken.push_back(partners[turn_++ % partners.size()]);
  }
  return taken;
}

}  // namespace shallot::gateway
