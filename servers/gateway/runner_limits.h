#ifndef SERVERS_GATEWAY_RUNNER_LIMITS_H_
#define SERVERS_GATEWAY_RUNNER_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "servers/gateway/fleet_view.h"

namespace shallot::gateway {

/// A limit that a runner has named: the calls a second that it takes from all gateways together.
struct LimitFinding {
  RunnerRun run;
  /// 0: the runner no longer names a limit.
  double calls_per_s = 0;

  bool operator==(const LimitFinding&) const = default;
};

/// Calls that wait at a gateway for permits to a limited runner.
struct PermitWish {
  RunnerRun run;
  double calls_per_s = 0;
  uint64_t calls = 0;
};

/// Calls that a gateway may send to a limited runner.
struct Permits {
  RunnerRun run;
  uint64_t calls = 0;
  /// Predicted time until the next permit, from the calls that wait at all gateways.
  Millis next{0};
};

/// What one gateway knows of limited runners, and its permits to send calls to them. Load pattern:
/// a runner in need takes a few calls a second, fewer than there are gateways, and the demand for
/// it moves between gateways.
///
/// Permits come from the placement leader (PermitIssuer), for calls that wait. While it does not
/// respond, a gateway uses an equal share of the limit: one call in each period that the limit
/// allows as many calls as there are gateways, at a time of its own, which passes if no call waits.
/// So the sum over all gateways stays near the limit in every mixture of both, from the first
/// moment without a leader and after any time without calls. The limits themselves are findings
/// that all gateways share: a gateway whose own answers have not named one yet asks for permits,
/// too. Not thread-safe.
class RunnerLimits {
 public:
  /// Pause between two requests for permits.
  static constexpr Millis kAskPause{100};
  /// Without a response to its requests for this long, a gateway uses its equal share.
  static constexpr Millis kResponseTime{300};
  /// Permits that are not used within this time are void.
  static constexpr Millis kPermitLifetime{1'000};
  /// Predicted wait for a permit that has just been asked for.
  static constexpr Millis kAskTime{50};
  /// An own answer without a limit counts more than other gateways' findings for this long.
  static constexpr Seconds kOwnEndTrust{10};
  /// An own answer that named the limit counts more than findings that arrive this soon after it.
  static constexpr Millis kFindingLag{500};
  /// The limit's end is told to the other gateways for this long.
  static constexpr Seconds kEndTold{10};
  static constexpr size_t kMaxRunners = 512;
  static constexpr size_t kMaxOwnFindings = 128;

  explicit RunnerLimits(InstanceId self) : self_(std::move(self)) {}

  /// An answer of the runner arrived to a call that was sent at `sent_at`. `calls_per_s`: the limit
  /// that it names.
  void OnAnswer(const RunnerRun& run, std::optional<double> calls_per_s, SteadyTime sent_at,
                SteadyTime now);
  /// Another gateway's findings.
  void Merge(const std::vector<LimitFinding>& findings, SteadyTime now);
  /// The runner has ended or restarted.
  void Forget(const RunnerId& runner, RunnerStartTime born);
  void SetGateways(uint64_t count) { gateways_ = count; }

  /// Predicted wait for a permit; 0 if a call may be sent now.
  Millis PermitWait(const RunnerId& runner, SteadyTime now) const;
  /// A call was sent to the runner.
  void OnSent(const RunnerId& runner, SteadyTime now);
  /// A call would be sent to the runner if there were a permit.
  void Want(const RunnerId& runner);
  /// The permits to ask for. To be called frequently; calls that still wait must be wanted again
  /// before each call.
  std::vector<PermitWish> TakeWishes(SteadyTime now);
  /// The leader responded to a request that was sent at `asked_at`.
  void OnPermits(const Permits& permits, SteadyTime asked_at, SteadyTime now);

  /// What the other gateways have to know.
  std::vector<LimitFinding> Own(SteadyTime now) const;
  /// Whether Own() has changed since the last call of this function.
  bool TakeChanged() { return std::exchange(changed_, false); }
  /// Limits that began, changed or ended since the last call of this function.
  std::vector<LimitFinding> TakeLimitChanges() { return std::exchange(limit_changes_, {}); }
  std::vector<LimitFinding> Limited() const;

 private:
  struct Limit {
    RunnerStartTime born;
    double calls_per_s = 0;
    /// Last own answer that named the limit, and last own answer without one.
    std::optional<SteadyTime> named_at;
    std::optional<SteadyTime> ended_at;
    /// This gateway tells the others of it.
    bool own = false;
    uint64_t permits = 0;
    SteadyTime permits_until{};
    uint64_t wanted = 0;
    /// When the next permit is expected.
    SteadyTime next_permit{};
    SteadyTime asked_at{};
    /// First request without a response.
    std::optional<SteadyTime> unanswered_since;
    /// Last turn of the equal share that was used.
    SteadyTime last_turn{};
  };

  Limit* Find(const RunnerRun& run);
  static bool HasPermit(const Limit& limit, SteadyTime now);
  /// Whether the leader does not respond to requests for permits.
  static bool Unanswered(const Limit& limit, SteadyTime now);
  /// This gateway's first turn of the equal share that it has not used and that has not passed.
  SteadyTime NextTurn(const RunnerId& runner, const Limit& limit, SteadyTime now) const;
  Duration TurnPeriod(const Limit& limit) const;
  void Change(const RunnerId& runner, Limit* limit, double calls_per_s);

  InstanceId self_;
  std::map<RunnerId, Limit> limits_;
  uint64_t gateways_ = 1;
  bool changed_ = false;
  std::vector<LimitFinding> limit_changes_;
};

/// Issues permits for limited runners to all gateways; used by the placement leader. A new leader
/// begins without permits, because those of its predecessor may still be used.
class PermitIssuer {
 public:
  /// Permits that accumulate while no gateway asks: those of this time at the limit's rate, and
  /// `kBurstCalls`.
  static constexpr Seconds kBurstTime{1};
  static constexpr double kBurstCalls = 2;
  /// The platform measures over this time how many calls a limited runner gets.
  static constexpr Seconds kWindow{4};

  Permits Issue(const InstanceId& gateway, const PermitWish& wish, SteadyTime now);
  /// This gateway has become the leader.
  void Start(SteadyTime now);

 private:
  struct Bucket {
    double permits = 0;
    SteadyTime at{};
    /// Calls that wait at each gateway, and when it asked.
    std::map<InstanceId, std::pair<uint64_t, SteadyTime>> waiting;
  };
  static constexpr size_t kMaxBuckets = 4'096;
  /// Gateways whose calls wait ask again before this time has passed.
  static constexpr Millis kWishLifetime{300};

  std::map<RunnerRun, Bucket> buckets_;
  SteadyTime started_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_RUNNER_LIMITS_H_
