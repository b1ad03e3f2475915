#ifndef SERVERS_GATEWAY_MEMORY_RUNNER_MEMORY_H_
#define SERVERS_GATEWAY_MEMORY_RUNNER_MEMORY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/runner_run.h"

namespace shallot::gateway {

/// A gateway's request for memory of one runner. All amounts are tokens.
struct MemoryAsk {
  RunnerRun run;
  /// Held by the gateway's calls there. From this request on, it uses no more until the grant.
  uint64_t held = 0;
  /// Needed by each of its waiting calls, at most kMaxCalls of them.
  std::vector<uint64_t> calls;
  static constexpr size_t kMaxCalls = 16;
  /// The runner's memory as the gateway knows it, for a leader that does not know the runner; 0:
  /// not known.
  uint64_t capacity = 0;
};

/// The issuer's response to a MemoryAsk.
struct MemoryGrant {
  RunnerRun run;
  /// What the gateway's calls may hold at the runner.
  uint64_t limit = 0;
  /// What remains free there.
  uint64_t free = 0;
  /// Calls at some gateway wait for this runner's memory.
  bool scarce = false;
};

/// What this gateway's calls hold of the runners' memory, and whether there is room for another
/// one. Load pattern: bursts of long prompts at many gateways, whose reports on the runners are
/// 200 ms old, at runners that crash when their calls exceed their memory.
///
/// Each gateway uses what MemoryIssuer at the placement leader grants it, so that the sum over all
/// gateways stays below a runner's memory however old the reports are. While the leader does not
/// respond, a gateway uses an equal share, or more if the runner's last report shows that it is
/// half empty. Not thread-safe.
class RunnerMemory {
 public:
  /// Share of a runner's memory that calls may take together; the rest is for rounding to blocks.
  static constexpr double kUsableShare = 0.98;
  /// A request is repeated after this time without a response. Messages are read every 20 ms at
  /// both ends; a response to an earlier request is of no use.
  static constexpr Millis kRepeatTime{150};
  /// Interval of requests that return what is not used while other gateways wait for it, and of
  /// those that only confirm.
  static constexpr Millis kScarceReturnInterval{20};
  static constexpr Millis kConfirmInterval{250};
  /// Confirmations are collected for this long, so that they share messages.
  static constexpr Millis kBatchInterval{100};
  /// Without a response for this long, the gateway goes on without the issuer. Several requests in
  /// a row must have been lost: what it then sends is not counted by an issuer that is still there.
  static constexpr Millis kResponseTime{800};
  /// A grant is void this long after its request, for example in a process that was suspended, and
  /// before a new leader grants anything.
  static constexpr Millis kGrantLifetime{600};
  /// Reports of runners count up to this age.
  static constexpr Millis kReportLifetime{500};
  /// Runners with which a gateway has dealings at a time; a bound on the state.
  static constexpr size_t kMaxRunners = 4'096;

  void SetGateways(uint64_t count) { gateways_ = count; }
  /// Whether an issuer is known.
  void SetIssuerKnown(bool known) { issuer_known_ = known; }

  /// Whether the runner has room for a call of `tokens` now. `capacity`: its memory in tokens.
  bool HasRoom(const RunnerRun& run, uint64_t capacity, uint64_t tokens, SteadyTime now) const;
  /// What is expected to be free for this gateway, to choose the runner to ask for.
  uint64_t ExpectedFree(const RunnerRun& run, uint64_t capacity) const;
  void OnSent(const RunnerRun& run, uint64_t tokens);
  void OnEnded(const RunnerRun& run, uint64_t tokens);
  /// A runner reported what its running calls hold, of all gateways together, and the number of
  /// calls that wait there. The size of those is estimated from own calls.
  void OnReport(const RunnerRun& run, uint64_t used_tokens, uint64_t waiting, SteadyTime now);
  /// An answer of a runner stated its number of calls. Their size is estimated from own calls.
  void OnLoad(const RunnerRun& run, uint64_t calls, SteadyTime now);
  /// A call waits for memory of the runner. To be repeated before each TakeAsks().
  void Want(const RunnerRun& run, uint64_t tokens);

  /// The requests that are due. Each number must be higher than the ones before.
  std::vector<MemoryAsk> TakeAsks(uint64_t number, SteadyTime now);
  /// The issuer responded to the requests with this number.
  void OnGrants(uint64_t number, const std::vector<MemoryGrant>& grants, SteadyTime now);

  /// Whether the issuer decides; otherwise this gateway uses its equal share.
  bool Governed(SteadyTime now) const;
  uint64_t held(const RunnerId& runner) const;
  uint64_t held_total() const;

 private:
  struct Runner {
    RunnerStartTime born;
    uint64_t held = 0;
    uint64_t calls = 0;
    uint64_t limit = 0;
    SteadyTime limit_until{};
    uint64_t free = 0;
    bool answered = false;
    bool scarce = false;
    std::vector<uint64_t> waiting;
    uint64_t wanted = 0;
    uint64_t asked_number = 0;
    bool pending = false;
    /// The last request was for waiting calls.
    bool asked_for_calls = false;
    SteadyTime asked_at{};
    uint64_t others = 0;
    std::optional<SteadyTime> reported_at;
  };

  /// The runner's state; a new run begins without any.
  Runner* Get(const RunnerRun& run);
  const Runner* Find(const RunnerRun& run) const;
  bool HasRoomUngoverned(const Runner* runner, uint64_t capacity, uint64_t tokens,
                         SteadyTime now) const;

  std::map<RunnerId, Runner> runners_;
  uint64_t gateways_ = 1;
  bool issuer_known_ = false;
  std::optional<SteadyTime> unanswered_since_;
  SteadyTime confirmed_at_{};
  /// Moving average of own calls.
  double mean_tokens_ = 0;
};

/// Divides the runners' memory among the gateways; used by the placement leader. The sum of what it
/// has granted never exceeds a runner's usable memory. A new leader first collects for a while what
/// the gateways hold. Not thread-safe.
class MemoryIssuer {
 public:
  /// Time for which a new leader collects before it grants. Grants of its predecessor are void
  /// then.
  static constexpr Millis kSettleTime = RunnerMemory::kGrantLifetime;
  /// What a gateway holds counts for this long after its last request.
  static constexpr Millis kMemberTime{5'000};
  /// Memory is kept for the gateway whose calls wait longest once they have waited this long, so
  /// that large calls get their turn beside small ones. Until then, what is free is not left
  /// unused.
  static constexpr Millis kTurnTime{1'000};
  /// A gateway whose calls wait asks again within this time.
  static constexpr Millis kWishLifetime{120};
  /// Reports of runners count up to this age.
  static constexpr Millis kReportLifetime{1'000};
  /// For this long, a new leader takes what a report shows above its grants for calls of gateways
  /// that have not asked it yet, for example because they are suspended.
  static constexpr Seconds kUnknownTime{10};
  /// In this time, reports count this much more, because they lack the output still to come.
  static constexpr double kOutputReserve = 1.2;
  /// Share of a runner's memory that is granted in this time; reports are 200 ms old.
  static constexpr double kNewLeaderShare = 0.85;
  /// Grants are compared with a report of about this age, in numbers of reports.
  static constexpr size_t kReportLag = 3;

  /// This gateway has become the leader.
  void Start(SteadyTime now);
  void SetGateways(uint64_t count) { gateways_ = count; }
  /// `capacity`: the runner's memory in tokens.
  MemoryGrant Issue(const InstanceId& gateway, const MemoryAsk& ask, uint64_t capacity,
                    SteadyTime now);
  /// What all calls hold at the runner, and its memory, from its report; 0: not stated.
  void OnReport(const RunnerRun& run, uint64_t used_tokens, uint64_t total_tokens, SteadyTime now);
  /// Forgets the runs that `may_exist` excludes, and those without requests and reports of late.
  void Retain(const std::function<bool(const RunnerRun&)>& may_exist, SteadyTime now);
  /// Tokens granted at a runner.
  uint64_t Granted(const RunnerRun& run) const;

 private:
  struct Member {
    uint64_t tokens = 0;
    uint64_t least = 0;
    std::optional<SteadyTime> unmet_since;
    SteadyTime asked_at{};
  };
  struct Ledger {
    std::map<InstanceId, Member> members;
    uint64_t reported = 0;
    uint64_t total = 0;
    std::optional<SteadyTime> reported_at;
    /// Held by gateways that have not asked this leader.
    uint64_t unknown = 0;
    /// Sum of the grants when the last reports arrived.
    std::deque<uint64_t> granted_before;
  };

  static bool Waits(const Member& member, SteadyTime now);
  /// What the gateway needs next whose calls have waited longest, if that is another one than
  /// `gateway`.
  static uint64_t Reserved(const Ledger& ledger, const InstanceId& gateway, SteadyTime now);

  std::map<RunnerRun, Ledger> ledgers_;
  uint64_t gateways_ = 1;
  SteadyTime started_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_MEMORY_RUNNER_MEMORY_H_
