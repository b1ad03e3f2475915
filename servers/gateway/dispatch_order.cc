#include "servers/gateway/dispatch_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace shallot::gateway {

std::vector<size_t> DispatchOrder(const std::vector<WaitingCall>& calls) {
  std::vector<size_t> order(calls.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&calls](size_t left, size_t right) {
    return std::tie(calls[left].urgency, calls[left].late, calls[left].deadline) <
           std::tie(calls[right].urgency, calls[right].late, calls[right].deadline);
  });
  return order;
}

}  // namespace shallot::gateway
