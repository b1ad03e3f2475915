#ifndef TESTS_FAKE_PLATFORM_STORE_H_
#define TESTS_FAKE_PLATFORM_STORE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "servers/platform_store.h"

namespace shallot {

/// In-memory platform store with fault injection. By default a call is answered before it returns;
/// with SetDelayed(true) it takes effect at once and is answered by Deliver().
class FakePlatformStore final : public PlatformStore {
 public:
  explicit FakePlatformStore(const Clock* clock) : clock_(clock) {}

  /// All calls are answered with kUnavailable and have no effect.
  void SetDown(bool down) { down_ = down; }
  void SetDelayed(bool delayed) { delayed_ = delayed; }
  /// The next `count` writes take effect, but are answered with kUnknownOutcome.
  void LoseAnswers(int count) { lost_answers_ = count; }
  /// The next `count` writes have no effect and are answered with kUnknownOutcome.
  void LoseRequests(int count) { lost_requests_ = count; }
  /// The next `count` writes are answered with kConflict and have no effect.
  void RefuseWrites(int count) { refused_writes_ = count; }
  /// Runs `action` once before the next compare-and-swap of `key` takes effect, for example to let
  /// another writer commit first.
  void BeforeWrite(const std::string& key, std::function<void()> action) {
    before_write_[key] = std::move(action);
  }

  /// Writes like another client, without a version check.
  void Put(const std::string& key, const std::string& value) { Write(key, value, Millis(0)); }
  bool Has(const std::string& key) const { return Find(key) != nullptr; }
  std::string Value(const std::string& key) const {
    const Item* item = Find(key);
    return item == nullptr ? "" : item->value;
  }
  StoreVersion Version(const std::string& key) const {
    const Item* item = Find(key);
    return item == nullptr ? StoreVersion(0) : item->version;
  }
  /// Holder of a lease that has not expired; empty when there is none.
  InstanceId Holder(const std::string& key) const {
    const auto it = leases_.find(key);
    const bool live = it != leases_.end() && clock_->BootNow() < it->second.expiry;
    return live ? it->second.holder : InstanceId();
  }
  std::vector<std::string> Keys() const {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) keys.push_back(key);
    return keys;
  }
  /// Number of calls of one kind so far: "get", "cas", "watch", "lease" or "release".
  int Calls(const std::string& kind) const {
    const auto it = calls_.find(kind);
    return it == calls_.end() ? 0 : it->second;
  }
  size_t waiting_watches() const { return watches_.size(); }
  size_t undelivered() const { return answers_.size(); }

  /// Answers the watches whose value changed or whose time has expired, and the delayed calls.
  void Deliver() {
    FireWatches();
    for (size_t count = answers_.size(); count > 0; --count) DeliverOne();
  }
  /// Answers only the oldest delayed call.
  void DeliverOne() {
    if (answers_.empty()) return;
    const std::function<void()> answer = std::move(answers_.front());
    answers_.pop_front();
    answer();
  }

  void Get(const StoreKey& key, GetCallback done) override {
    ++calls_["get"];
    if (down_) return Answer([done] { done(Unavailable()); });
    const VersionedValue value = Read(key.value());
    Answer([done, value] { done(value); });
  }

  void CompareAndSwap(const StoreKey& key, StoreVersion expected, const std::string& value,
                      Millis ttl, PutCallback done) override {
    ++calls_["cas"];
    if (down_) return Answer([done] { done(Unavailable()); });
    if (TakeOne(&lost_requests_)) return Answer([done] { done(Unknown()); });
    if (TakeOne(&refused_writes_)) return Answer([done] { done(Conflict()); });
    RunBeforeWrite(key.value());
    if (Version(key.value()) != expected) return Answer([done] { done(Conflict()); });
    const StoreVersion version = Write(key.value(), value, ttl);
    if (TakeOne(&lost_answers_)) return Answer([done] { done(Unknown()); });
    Answer([done, version] { done(version); });
  }

  void Watch(const StoreKey& key, StoreVersion known, GetCallback done) override {
    ++calls_["watch"];
    if (down_) return Answer([done] { done(Unavailable()); });
    watches_.push_back({key.value(), known, clock_->SteadyNow() + Seconds(20), std::move(done)});
  }

  void AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                    LeaseCallback done) override {
    ++calls_["lease"];
    if (down_) return Answer([done] { done(Unavailable()); });
    if (TakeOne(&lost_requests_)) return Answer([done] { done(Unknown()); });
    const InstanceId current = Holder(key.value());
    if (!current.empty() && current != holder) return Answer([done] { done(Conflict()); });
    Lease& lease = leases_[key.value()];
    if (current != holder) lease.fencing = lease.fencing.Next();
    lease.holder = holder;
    lease.expiry = clock_->BootNow() + ttl;
    const LeaseGrant grant{lease.fencing, ttl};
    if (TakeOne(&lost_answers_)) return Answer([done] { done(Unknown()); });
    Answer([done, grant] { done(grant); });
  }

  void ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) override {
    ++calls_["release"];
    if (down_) return Answer([done] { done(Unavailable()); });
    if (Holder(key.value()) == holder) leases_[key.value()].expiry = clock_->BootNow();
    Answer([done] { done(OkStatus()); });
  }

 private:
  struct Item {
    std::string value;
    StoreVersion version;
    BootTime expiry = BootTime::max();
  };
  struct Lease {
    InstanceId holder;
    FencingNumber fencing;
    BootTime expiry;
  };
  struct WaitingWatch {
    std::string key;
    StoreVersion known;
    SteadyTime until;
    GetCallback done;
  };

  static Error Unavailable() { return {ErrorKind::kUnavailable, "store is down", "retry"}; }
  static Error Unknown() { return {ErrorKind::kUnknownOutcome, "answer lost", "read back"}; }
  static Error Conflict() { return {ErrorKind::kConflict, "version differs", "reread"}; }

  static bool TakeOne(int* count) {
    if (*count == 0) return false;
    --*count;
    return true;
  }

  const Item* Find(const std::string& key) const {
    const auto it = items_.find(key);
    if (it == items_.end() || clock_->BootNow() >= it->second.expiry) return nullptr;
    return &it->second;
  }

  VersionedValue Read(const std::string& key) const { return {Version(key), Value(key)}; }

  StoreVersion Write(const std::string& key, const std::string& value, Millis ttl) {
    Item& item = items_[key];
    last_version_ = last_version_.Next();
    item.version = last_version_;
    item.value = value;
    item.expiry = ttl == Millis(0) ? BootTime::max() : clock_->BootNow() + ttl;
    return item.version;
  }

  void RunBeforeWrite(const std::string& key) {
    const auto it = before_write_.find(key);
    if (it == before_write_.end()) return;
    const std::function<void()> action = std::move(it->second);
    before_write_.erase(it);
    action();
  }

  void FireWatches() {
    std::vector<WaitingWatch> waiting;
    waiting.swap(watches_);
    for (WaitingWatch& watch : waiting) {
      const GetCallback done = watch.done;
      if (down_) {
        Answer([done] { done(Unavailable()); });
      } else if (Version(watch.key) != watch.known || clock_->SteadyNow() >= watch.until) {
        const VersionedValue value = Read(watch.key);
        Answer([done, value] { done(value); });
      } else {
        watches_.push_back(std::move(watch));
      }
    }
  }

  void Answer(std::function<void()> answer) {
    if (!delayed_) return answer();
    answers_.push_back(std::move(answer));
  }

  const Clock* clock_;
  bool down_ = false;
  bool delayed_ = false;
  int lost_answers_ = 0;
  int lost_requests_ = 0;
  int refused_writes_ = 0;
  StoreVersion last_version_;
  std::map<std::string, std::function<void()>> before_write_;
  std::map<std::string, Item> items_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, int> calls_;
  std::vector<WaitingWatch> watches_;
  std::deque<std::function<void()>> answers_;
};

}  // namespace shallot

#endif  // TESTS_FAKE_PLATFORM_STORE_H_
