#include "servers/gateway/dispatch_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace shallot::gateway {

std::vector<size_t> DispatchOrder(const std::vector<WaitingCall>& calls,
                                  const std::map<TeamName, double>& recent) {
  std::vector<size_t> order(calls.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&calls](size_t left, size_t right) {
    return std::tie(calls[left].urgency, calls[left].late, calls[left].deadline) <
           std::tie(calls[right].urgency, calls[right].late, calls[right].deadline);
  });
  // What the call's team will have had when its earlier calls have been served.
  std::vector<double> served(calls.size());
  std::map<TeamName, double> total = recent;
  for (const size_t index : order) {
    double& team = total[calls[index].team];
    served[index] = calls[index].team.empty() ? 0 : team;
    team += calls[index].cost;
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
    return std::tie(calls[left].urgency, served[left]) <
           std::tie(calls[right].urgency, served[right]);
  });
  return order;
}

}  // namespace shallot::gateway
