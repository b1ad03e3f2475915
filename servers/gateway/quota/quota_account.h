#ifndef SERVERS_GATEWAY_QUOTA_QUOTA_ACCOUNT_H_
#define SERVERS_GATEWAY_QUOTA_QUOTA_ACCOUNT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/quota/quota_messages.h"

namespace shallot::gateway {

/// A call that asks for its cost; unique in one run of a gateway.
using QuotaTicket = StrongNumber<struct QuotaTicketTag>;

/// What a call counts for: 1, or its prompt and answer tokens.
double QuotaCost(const TeamQuota& quota, const CallRequest& call);

/// What a call gets that asks for its cost.
struct QuotaVerdict {
  enum class State { kAdmitted, kWait, kRefused };
  State state = State::kAdmitted;
  /// Predicted time until the quota has room for the call.
  Millis wait{0};
};

/// One gateway's tokens of each team. They come from the gateway's quota issuer in batches that
/// expire, because the rate of later moments must not be used on top of them. Calls of a team are
/// admitted in the order in which they came. For calls that cost little, a balance for the next
/// moments is kept, since they can't wait for a response; larger calls ask for their cost when they
/// come. Not thread-safe.
class QuotaAccount {
 public:
  /// Tokens are void when this time has passed since they were asked for.
  static constexpr Millis kTokenLifetime{1'000};
  /// Pause between two requests while calls wait, and without calls.
  static constexpr Millis kAskPause{40};
  /// In fleets of more gateways than this, the pause grows with their number, so that the issuer
  /// gets no more requests.
  static constexpr uint64_t kGatewaysAtAskPause = 100;
  static constexpr Millis kIdlePause{480};
  /// A call waits for tokens for at most this part of its target latency.
  static constexpr int64_t kWaitPart = 8;
  /// Time in which a response normally arrives: both gateways read messages every 20 ms.
  static constexpr Millis kResponseTime{100};
  /// Calls wait this long for the first response of an issuer that does not respond.
  static constexpr Millis kLongestResponse{400};
  /// Calls wait this long on top of their limit for responses that are late or lost.
  static constexpr Millis kLateResponse{250};
  /// Other issuers may have counted an earlier run of this gateway for this long after its start.
  static constexpr Millis kStartTime{1'000};

  QuotaAccount(InstanceId self, BootTime started_at)
      : self_(std::move(self)),
        start_until_(started_at + kStartTime),
        // Numbers must increase over restarts of the gateway.
        last_number_(static_cast<uint64_t>(started_at.time_since_epoch().count())) {}

  void SetQuotas(const std::map<TeamName, Team>& teams, BootTime now);
  /// Whether any team has a limit.
  bool active() const { return !teams_.empty(); }
  bool Limited(const TeamName& team) const { return teams_.contains(team); }
  QuotaTicket NewTicket() { return last_ticket_ = last_ticket_.Next(); }

  /// Takes the cost of a call if its turn has come. A call that has to wait tries again after the
  /// next grant, at least every kAskPause, until it is admitted, refused or cancelled.
  QuotaVerdict Admit(const TeamName& team, QuotaTicket ticket, double cost, Millis target_latency,
                     BootTime now);
  /// The call no longer waits.
  void Cancel(const TeamName& team, QuotaTicket ticket);
  /// A call that was admitted at `admitted_at` ended without having run.
  void Refund(const TeamName& team, double cost, BootTime admitted_at, BootTime now);

  /// The request to send to the issuer now, if one is due. To be called frequently.
  std::optional<QuotaAsk> TakeAsk(const InstanceId& issuer, uint64_t known_gateways, BootTime now);
  /// A request that only asks whether another issuer responds.
  QuotaAsk MakeProbe(const InstanceId& issuer, uint64_t known_gateways, BootTime now);
  /// The last request to an issuer that still responds; absent if it does not count this gateway.
  std::optional<QuotaAsk> TakeLeave(const InstanceId& issuer, BootTime now);
  /// Returns when the request was sent; absent if the grant is void.
  std::optional<BootTime> OnGrant(const QuotaGrant& grant, BootTime now);

  /// Tokens that are left.
  double Balance(const TeamName& team, BootTime now) const;
  std::vector<TeamName> Teams() const;

 private:
  struct Batch {
    double tokens = 0;
    BootTime expires{};
  };
  struct Waiting {
    QuotaTicket ticket;
    double cost = 0;
    BootTime since{};
  };
  struct TeamState {
    TeamQuota quota;
    std::deque<Batch> batches;
    std::deque<Waiting> waiting;
    /// The last request named costs, so the next one must say what has become of them.
    bool asked_costs = false;
    /// The newest response.
    TeamGrant grant;
    std::optional<BootTime> granted_at;
    /// Tokens a second of calls that cost little, the largest of them, and the last one.
    double small_per_s = 0;
    double small_cost = 0;
    BootTime small_at{};
    /// Grants that were asked for earlier are void.
    BootTime valid_from{};
  };
  struct Sent {
    uint64_t number = 0;
    InstanceId issuer;
    BootTime at{};
    bool leaving = false;
  };
  struct IssuerState {
    std::optional<BootTime> stamp;
    BootTime stamped_at{};
    uint64_t seen = 0;
    std::optional<BootTime> unanswered_since;
    /// The issuer counts this gateway as its member until then at the latest.
    BootTime counted_until{};
  };

  static void DropExpired(TeamState* state, BootTime now);
  static double Sum(const TeamState& state, BootTime now);
  static double AheadTarget(const TeamState& state, BootTime now);
  /// Predicted time until a call has its tokens, given what this gateway's earlier calls take.
  static Millis Predict(const TeamState& state, double cost, double earlier, BootTime now);
  QuotaAsk MakeAsk(const InstanceId& issuer, uint64_t known_gateways, bool leaving, BootTime now);
  TeamAsk AskFor(const TeamName& team, TeamState* state, BootTime now) const;
  bool Due(const InstanceId& issuer, Millis pause, BootTime now) const;

  InstanceId self_;
  BootTime start_until_;
  uint64_t last_number_;
  std::map<TeamName, TeamState> teams_;
  std::map<InstanceId, IssuerState> issuers_;
  std::deque<Sent> sent_;
  QuotaTicket last_ticket_;
  InstanceId last_issuer_;
  BootTime asked_at_{};
  /// The issuer has just proved that it responds; tokens can be asked for.
  bool hurry_ = false;
  /// Calls that the last request named no longer wait.
  bool withdrawn_ = false;
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_QUOTA_ACCOUNT_H_
