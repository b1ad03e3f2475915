#ifndef DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_
#define DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/platform_protocol.h"
#include "drivers/gateway/store_calls.h"

namespace shallot::gateway {

/// Receives the items under a key prefix of the platform store and their changes.
class PrefixListener {
 public:
  virtual ~PrefixListener() = default;
  /// All items were read; items that are not listed no longer exist. `as_of` is the
  /// position of the first page.
  virtual void OnSnapshot(const std::vector<StoreItem>& items, StorePosition as_of) = 0;
  /// The changes in one answer of the store, in order; there may be hundreds, or none.
  virtual void OnChanges(const std::vector<StoreItem>& items) = 0;
  /// A call to the store succeeded.
  virtual void OnStoreSuccess() = 0;
  /// All that the store had when a call was sent at `sent_at` has been delivered. `complete`:
  /// nothing was left out because it was unreadable or too much for one answer.
  virtual void OnUpToDate(BootTime sent_at, bool complete) = 0;
};

/// Watches a key prefix of the store: reads all pages, then polls for changes with long-running
/// watch calls. Reads everything again when the store no longer has the history or was restored:
/// a restored store may have passed the revision up to which changes were delivered, and answers a
/// watch from there as if nothing had happened.
class PrefixFollower final : public StoreRestoreListener {
 public:
  /// Longest time from the answer to one watch call until the answer to the next one when nothing
  /// changes. A call that the store dropped at the end of an outage, or whose connection is dead,
  /// fails kAnswerMargin later, and the next one follows after kRetryPause. Together they stay
  /// below the 3 s after which the platform requires instances to use the newest configuration
  /// again.
  static constexpr Millis kRoundTime{2'000};
  static constexpr Millis kAnswerMargin{500};
  /// Replaces the usual wait while calls fail, so that the end of an outage is noticed early.
  static constexpr Millis kWaitAfterFailure{200};
  static constexpr Millis kReadTimeout{1'500};
  /// Timeouts of successive calls while calls fail. A store that is back answers in milliseconds,
  /// and a call that was lost at the end of an outage must not delay the next one; the longest one
  /// suits a store that is slow.
  static constexpr std::array<Millis, 3> kTimeoutsAfterFailure{Millis(400), Millis(800),
                                                               kReadTimeout};
  /// Pause between two watch calls. The platform charges for each call, and with a pause the
  /// changes of a burst arrive in one answer. It grows with the number of followers, because the
  /// store's rates grow more slowly than the fleet.
  static constexpr Millis kWatchPause{350};
  static constexpr Millis kMaxWatchPause{900};
  /// Number of followers up to which the pause is kWatchPause.
  static constexpr int64_t kFollowersAtFullRate = 32;
  /// Pause between two watch calls when this many processes follow the store.
  static Millis WatchPause(size_t followers) {
    return std::clamp(kWatchPause * static_cast<int64_t>(followers) / kFollowersAtFullRate,
                      kWatchPause, kMaxWatchPause);
  }
  /// Longest time that the store delays the answer to a watch call when nothing changes.
  static Millis WatchWait(size_t followers) { return kRoundTime - WatchPause(followers); }
  /// Pause after a failed call.
  static constexpr Millis kRetryPause{250};

  PrefixFollower(EventLoop* loop, StoreCalls* store, const PlatformProtocol* protocol,
                 std::string prefix, PrefixListener* listener);

  void Start();
  void OnStoreRestored() override;
  /// Number of processes that follow the store.
  void SetFollowers(size_t followers) { followers_ = followers; }

 private:
  /// `step`, unless the store has been read from the start meanwhile.
  template <class Step>
  auto InThisRound(Step step) {
    return [this, round = round_, step](const auto&... arguments) {
      if (round == round_) step(arguments...);
    };
  }
  void Read(const std::string& after);
  void OnPage(const Result<HttpMessage>& answer);
  void Watch();
  /// `sent_at`: when the watch call was sent.
  void OnChanges(const Result<HttpMessage>& answer, BootTime sent_at);
  void Retry(const Error& error, bool read_again);
  Millis TimeoutAfterFailure() const {
    return kTimeoutsAfterFailure[failures_ % kTimeoutsAfterFailure.size()];
  }

  EventLoop* loop_;
  StoreCalls* store_;
  const PlatformProtocol* protocol_;
  std::string prefix_;
  PrefixListener* listener_;
  std::vector<StoreItem> snapshot_items_;
  /// Changes up to this position have been delivered. The pages of a read do not form a consistent
  /// snapshot, so the watch starts at the position of the first page.
  StorePosition position_;
  bool first_page_ = true;
  /// When the call for the first page was sent.
  BootTime read_sent_at_{};
  /// No page left an unreadable item out.
  bool read_complete_ = true;
  /// Counts how often the store was read from the start; calls and timers of earlier rounds are
  /// ignored.
  uint64_t round_ = 0;
  bool failing_ = false;
  size_t failures_ = 0;
  size_t followers_ = 1;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_
