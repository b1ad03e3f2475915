#ifndef SERVERS_GATEWAY_STORE_CONTACT_H_
#define SERVERS_GATEWAY_STORE_CONTACT_H_

#include <optional>

#include "core/clock.h"

namespace shallot::gateway {

/// How a call to the platform's store ended.
enum class StoreCallEnd {
  kAnswered,
  kRefused,       ///< It answered that it does not serve this call now.
  kDisconnected,  ///< Its side ended the connection before it answered.
  kNoAnswer,      ///< It could not be reached, or nothing came in time.
};

const char* StoreCallEndName(StoreCallEnd end);

/// A point in time, and the total length of the store's outages before it.
struct ContactTime {
  SteadyTime at;
  Duration outages_before{0};
};

/// Decides from the ends of this process's calls to the store whether the store has had an outage
/// in which leases may have expired. Load pattern: runners leave the list as planned while single
/// connections to the store are cut or go silent, again and again; in an outage, the entries of
/// live runners leave it as well and are back soon after.
///
/// An outage takes time: an entry expires only when several writes of its runner in a row have
/// failed. Therefore a failed call is not an outage by itself; what counts is the time between two
/// signs of life of the store, on any connection.
class StoreContact {
 public:
  /// Shortest outage in which an entry may expire. Runners renew their entries about every 1.2 s
  /// and lose them when three renewals in a row are missing.
  static constexpr Millis kShortestOutage{1'200};
  /// The platform states that entries of live runners are back within about 2 s of the store's
  /// return.
  static constexpr Millis kReturnTime{2'500};
  /// A connection that ends this long after the call was sent had been accepted by a store that was
  /// there; one that ends at once may be refused by a store that is not.
  static constexpr Millis kAcceptedAfter{100};

  void OnCall(StoreCallEnd end, SteadyTime sent_at, SteadyTime now);
  /// The store was restored from a copy, which may lack entries and hold outdated ones.
  void OnRestored(SteadyTime now);

  /// Calls fail, and the store has shown no sign of life since the first of them was sent.
  bool interrupted() const { return interrupted_; }
  /// Whether an entry that is missing now may be that of a live runner, which lost it in an outage
  /// and has not had the time to write it again.
  bool EntriesMayBeLost(SteadyTime now) const {
    return interrupted_ || (outage_ended_at_ && now - *outage_ended_at_ < kReturnTime);
  }
  ContactTime Mark(SteadyTime now) const { return {now, outage_time_}; }
  /// Time since then without the outages. What needs the store progresses only outside of them.
  Duration TimeInContact(const ContactTime& since, SteadyTime now) const {
    return now - since.at - (outage_time_ - since.outages_before);
  }
  /// Time between the last two signs of life that enclosed a failed call.
  Millis last_gap() const { return last_gap_; }

 private:
  void OnSignOfLife(SteadyTime now);

  bool interrupted_ = false;
  std::optional<SteadyTime> last_sign_;
  std::optional<SteadyTime> outage_ended_at_;
  Millis last_gap_{0};
  Duration outage_time_{0};
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_STORE_CONTACT_H_
