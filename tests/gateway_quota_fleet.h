#ifndef TESTS_GATEWAY_QUOTA_FLEET_H_
#define TESTS_GATEWAY_QUOTA_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "servers/gateway/quota/quota_exchange.h"

namespace shallot::gateway {

/// A fleet of gateways that share quotas, without a network. All gateways use one clock; each reads
/// messages and asks every 20 ms.
class QuotaFleetRun {
 public:
  static constexpr Millis kStep{10};

  struct Options {
    size_t gateways = 21;
    std::map<TeamName, Team> teams;
    QuotaTolerance tolerance{Seconds(8), 0.1, 110'000};
    uint64_t seed = 1;
    Millis least_delay{2};
    Millis most_delay{10};
    double lost = 0;
  };
  struct Run {
    BootTime at{};
    double cost = 0;
  };
  struct TeamResult {
    std::vector<Run> runs;
    double offered = 0;
    uint64_t calls = 0;
    uint64_t refused = 0;
    double refused_units = 0;
    double waited_s = 0;
    Millis shortest_retry = Millis::max();
  };

  explicit QuotaFleetRun(const Options& options) : options_(options), random_(options.seed) {
    for (size_t index = 0; index < options.gateways; ++index) Restart(index);
  }

  BootTime now() const { return now_; }
  Duration elapsed() const { return now_ - BootTime(Seconds(1'000)); }
  InstanceId Name(size_t index) const { return InstanceId("front-" + std::to_string(index)); }

  /// Starts or restarts a gateway.
  void Restart(size_t index) {
    if (index >= nodes_.size()) nodes_.resize(index + 1);
    Node& node = nodes_[index];
    node = Node();
    node.exchange = std::make_unique<QuotaExchange>(Name(index), now_);
    node.exchange->SetQuotas(options_.teams, options_.tolerance, now_);
  }
  void Suspend(size_t index, bool suspended) { nodes_[index].suspended = suspended; }
  /// Whether a message from the first to the second gateway arrives.
  std::function<bool(size_t, size_t)> reaches = [](size_t, size_t) { return true; };
  /// Gateways that the store does not list.
  std::set<size_t> unlisted;

  void SetTeams(const std::map<TeamName, Team>& teams) {
    options_.teams = teams;
    for (Node& node : nodes_) node.exchange->SetQuotas(teams, options_.tolerance, now_);
  }

  void Call(size_t index, const TeamName& team, double cost, Millis target) {
    TeamResult& result = results[team];
    result.offered += cost;
    ++result.calls;
    Node& node = nodes_[index];
    if (node.suspended) {
      node.arrived.push_back({team, {}, cost, target, now_});
      return;
    }
    node.waiting.push_back({team, node.exchange->account().NewTicket(), cost, target, now_});
    if (Try(&node, node.waiting.back())) node.waiting.pop_back();
  }

  void Step() {
    now_ += kStep;
    for (size_t index = 0; index < nodes_.size(); ++index) {
      Node& node = nodes_[index];
      // Half of the gateways work in each step.
      if (node.suspended ||
          (now_.time_since_epoch() / kStep + static_cast<int64_t>(index)) % 2 != 0) {
        continue;
      }
      Work(index, &node);
    }
  }

  /// The largest cost of runs within any window.
  double MostInWindow(const TeamName& team) const {
    const auto found = results.find(team);
    if (found == results.end()) return 0;
    const std::vector<Run>& runs = found->second.runs;
    double sum = 0;
    double most = 0;
    size_t first = 0;
    for (const Run& run : runs) {
      sum += run.cost;
      while (run.at - runs[first].at > options_.tolerance.window) sum -= runs[first++].cost;
      most = std::max(most, sum);
    }
    return most;
  }
  double UnitsBetween(const TeamName& team, BootTime from, BootTime until) const {
    double sum = 0;
    const auto found = results.find(team);
    if (found == results.end()) return 0;
    for (const Run& run : found->second.runs) {
      if (run.at >= from && run.at < until) sum += run.cost;
    }
    return sum;
  }

  std::map<TeamName, TeamResult> results;
  std::vector<uint64_t> messages_by = std::vector<uint64_t>(1'000);
  /// Teams that all requests named.
  uint64_t teams_asked = 0;
  QuotaExchange& exchange(size_t index) { return *nodes_[index].exchange; }

 private:
  struct WaitingCall {
    TeamName team;
    QuotaTicket ticket;
    double cost = 0;
    Millis target{0};
    BootTime at{};
  };
  using Message = std::variant<QuotaAsk, QuotaGrant>;
  struct Node {
    std::unique_ptr<QuotaExchange> exchange;
    std::vector<WaitingCall> waiting;
    std::vector<WaitingCall> arrived;
    std::multimap<BootTime, std::pair<size_t, Message>> inbox;
    bool suspended = false;
  };

  void Post(size_t from, size_t to, Message message) {
    ++messages_by[from];
    if (const auto* ask = std::get_if<QuotaAsk>(&message)) teams_asked += ask->teams.size();
    if (!reaches(from, to) || (options_.lost > 0 && random_.Unit() < options_.lost)) return;
    const auto spread = options_.most_delay - options_.least_delay;
    const Millis delay =
        options_.least_delay +
        Millis(static_cast<int64_t>(random_.Unit() * static_cast<double>(spread.count())));
    // Messages from one gateway to another keep their order.
    BootTime& last = arrivals_[{from, to}];
    last = std::max(last, now_ + delay);
    nodes_[to].inbox.emplace(last, std::pair(from, std::move(message)));
  }

  bool Try(Node* node, const WaitingCall& call) {
    const QuotaVerdict verdict =
        node->exchange->account().Admit(call.team, call.ticket, call.cost, call.target, now_);
    if (verdict.state == QuotaVerdict::State::kWait) return false;
    TeamResult& result = results[call.team];
    if (verdict.state == QuotaVerdict::State::kAdmitted) {
      result.runs.push_back({now_, call.cost});
      result.waited_s += std::chrono::duration<double>(now_ - call.at).count();
    } else {
      ++result.refused;
      result.refused_units += call.cost;
      result.shortest_retry = std::min(result.shortest_retry, verdict.wait);
    }
    return true;
  }

  void Work(size_t index, Node* node) {
    while (!node->inbox.empty() && node->inbox.begin()->first <= now_) {
      auto [from, message] = std::move(node->inbox.begin()->second);
      node->inbox.erase(node->inbox.begin());
      if (const auto* ask = std::get_if<QuotaAsk>(&message)) {
        Post(index, from, node->exchange->OnAsk(*ask, now_));
      } else {
        node->exchange->OnGrant(std::get<QuotaGrant>(message), now_);
      }
    }
    for (WaitingCall& call : node->arrived) {
      call.ticket = node->exchange->account().NewTicket();
      node->waiting.push_back(call);
    }
    node->arrived.clear();
    std::erase_if(node->waiting, [&](const WaitingCall& call) { return Try(node, call); });
    QuotaFleet fleet;
    fleet.listed = nodes_.size() - unlisted.size();
    for (size_t other = 0; other < nodes_.size(); ++other) {
      if (other % 3 == 0 && !unlisted.contains(other)) fleet.candidates.insert(Name(other));
    }
    for (auto& [to, ask] : node->exchange->Tick(fleet, now_)) {
      Post(index, std::stoul(to.value().substr(6)), std::move(ask));
    }
    // A gateway that issues tokens to itself has them now.
    std::erase_if(node->waiting, [&](const WaitingCall& call) { return Try(node, call); });
  }

  Options options_;
  Random random_;
  BootTime now_{Seconds(1'000)};
  std::vector<Node> nodes_;
  std::map<std::pair<size_t, size_t>, BootTime> arrivals_;
};

}  // namespace shallot::gateway

#endif  // TESTS_GATEWAY_QUOTA_FLEET_H_
