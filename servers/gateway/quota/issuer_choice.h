#ifndef SERVERS_GATEWAY_QUOTA_ISSUER_CHOICE_H_
#define SERVERS_GATEWAY_QUOTA_ISSUER_CHOICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot::gateway {

/// The largest number of gateways that the store has listed lately. Never too low, because quotas
/// are divided by it.
class GatewayCount {
 public:
  static constexpr Seconds kMemory{60};

  /// `count`: the number that is listed now, or an assumption while it is unknown.
  void OnListed(uint64_t count, BootTime now);
  uint64_t Most() const { return listed_.empty() ? 1 : listed_.front().first; }

 private:
  /// Decreasing counts, and when each was last listed.
  std::deque<std::pair<uint64_t, BootTime>> listed_;
};

/// Chooses the gateway that issues tokens to this one: the first candidate, in an order that all
/// gateways share, that responds; this gateway itself if none does. While the issuer does not
/// respond, other candidates are asked whether they do, so that the choice of the next one takes no
/// further time. A candidate that was silent is used again when it has responded several times in a
/// row, because each change of the issuer costs some tokens. Not thread-safe.
class IssuerChoice {
 public:
  /// A candidate is silent after this time without a response.
  static constexpr Millis kResponseTime{300};
  /// While the issuer has not responded for this long, other candidates are asked, too.
  static constexpr Millis kDoubtTime{100};
  /// A candidate is asked whether it responds at most this often.
  static constexpr Millis kProbeInterval{1'000};
  /// Responses after which a silent candidate is preferred to later ones again.
  static constexpr uint64_t kResponsesToReturn = 3;
  /// Number of candidates that are asked at a time, and pause between two times.
  static constexpr size_t kProbesAtOnce = 4;
  static constexpr Millis kProbePause{250};

  explicit IssuerChoice(InstanceId self) : self_(std::move(self)) {}

  void SetCandidates(const std::set<InstanceId>& candidates);
  const InstanceId& Current(BootTime now);
  /// Candidates that should be asked now whether they respond.
  std::vector<InstanceId> TakeProbes(BootTime now);
  /// A request or a probe was sent.
  void OnAsked(const InstanceId& issuer, BootTime now);
  /// The issuer responded to a request that was sent at `asked_at`.
  void OnAnswered(const InstanceId& issuer, BootTime asked_at);

 private:
  enum class State { kUnknown, kResponds, kSilent };
  struct Candidate {
    State state = State::kUnknown;
    BootTime probed_at{};
    BootTime silent_at{};
    uint64_t responses = 0;
    /// First request that has no response.
    std::optional<BootTime> unanswered_since;
  };

  /// Notes which candidates have become silent.
  void NoteSilence(BootTime now);
  bool Usable(const Candidate& candidate) const;

  InstanceId self_;
  std::set<InstanceId> candidates_;
  std::vector<InstanceId> order_;
  std::map<InstanceId, Candidate> states_;
  InstanceId current_;
  BootTime looked_at_{};
  BootTime probed_at_{};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_QUOTA_ISSUER_CHOICE_H_
