#ifndef DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_
#define DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_

#include <string>
#include <vector>

#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/platform_protocol.h"

namespace shallot::gateway {

/// Receives the items below a prefix of the platform store.
class PrefixListener {
 public:
  virtual ~PrefixListener() = default;
  /// Everything was read; items that are not in it are gone. `revision`: as of the first page.
  virtual void OnSnapshot(const std::vector<StoreItem>& items, StoreRevision revision) = 0;
  virtual void OnChange(const StoreItem& item) = 0;
  /// A call got no usable answer.
  virtual void OnTrouble() = 0;
  /// A call was answered.
  virtual void OnAnswered() = 0;
};

/// Follows a prefix of the store: reads all pages, then waits for changes. Reads everything again
/// when the store has dropped the history.
class PrefixFollower {
 public:
  /// The store holds a call this long when nothing changes. A call that the store swallowed at the
  /// end of an outage, or whose connection went silent, is noticed after this time and
  /// kAnswerSlack, and the next one comes kRetryPause later. Together they stay below the 3 s after
  /// which the platform holds instances to the newest configuration again.
  static constexpr Millis kWait{2'000};
  static constexpr Millis kAnswerSlack{500};
  /// While calls fail the store holds them only this long, so that its return is noticed soon.
  static constexpr Millis kWaitInTrouble{200};
  static constexpr Millis kReadTimeout{1'500};
  /// Pause between two watches: changes of a burst come in one answer, and each call has a price.
  static constexpr Millis kPause{350};
  /// Pause after a failed call.
  static constexpr Millis kRetryPause{250};

  PrefixFollower(EventLoop* loop, BufferedCalls* calls, const PlatformProtocol* protocol,
                 std::string store_address, std::string prefix, PrefixListener* listener);

  void Start() { Read(""); }

 private:
  void Read(const std::string& after);
  void OnPage(const Result<HttpMessage>& answer);
  void Watch();
  void OnChanges(const Result<HttpMessage>& answer);
  void Retry(const Error& error, bool read_again);

  EventLoop* loop_;
  BufferedCalls* calls_;
  const PlatformProtocol* protocol_;
  std::string address_;
  std::string prefix_;
  PrefixListener* listener_;
  std::vector<StoreItem> pages_;
  /// Changes are known up to here. Pages are no snapshot, so watching starts at the first one.
  StoreRevision revision_;
  bool first_page_ = true;
  bool troubled_ = false;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PREFIX_FOLLOWER_H_
