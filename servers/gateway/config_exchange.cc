#include "servers/gateway/config_exchange.h"

#include <algorithm>

#include "servers/gateway/gateway_ring.h"

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

std::vector<InstanceId> ConfigExchange::TakePartners(const std::set<InstanceId>& gateways,
                                                     SteadyTime now) {
  if (!Due(now)) return {};
  std::vector<InstanceId> partners = GatewaysAfter(self_, gateways);
  if (partners.empty()) return {};
  partners.resize(std::min(partners.size(), kPartners));
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
