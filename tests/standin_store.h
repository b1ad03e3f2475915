#ifndef TESTS_STANDIN_STORE_H_
#define TESTS_STANDIN_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/event_loop.h"

namespace shallot::gateway {

/// Faults of the stand-in store. Probabilities are from 0 to 1.
struct StoreFaults {
  /// Requests get no answer.
  bool silent = false;
  /// Requests are refused with 503 and not executed.
  bool busy = false;
  /// Added to the time of each answer.
  Millis delay{0};
  /// Probability that a write is executed and its connection then closes without an answer.
  double lost_answers = 0;
  /// Probability that a write is never answered, and executed after `late_by` if its precondition
  /// still holds.
  double late_writes = 0;
  Millis late_by{0};
};

/// Stand-in for the platform's store: items with revisions, conditional writes, leases, watches and
/// a history that can be dropped. All methods must be called on the thread of its event loop.
class StandinStore final : public CallerHandler {
 public:
  StandinStore(EventLoop* loop, uint64_t seed);

  Status Open(const std::string& address) { return listener_.Open(address); }
  void SetFaults(const StoreFaults& faults) { faults_ = faults; }
  /// Writes and removes an item directly, as operators and runners do; faults do not apply.
  uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& key) const { return items_.contains(key); }
  std::vector<std::string> Keys(const std::string& prefix) const;
  /// The item's value; absent if there is no such item.
  std::optional<std::string> Value(const std::string& key) const;
  /// Ends the connections of all waiting watches. Returns whether there were any.
  bool AbortWatchers();
  /// Connections that have carried a request get no further answer; new ones work.
  void SilenceConnections() { silenced_ = used_; }
  /// Number of connections that have carried a request, closed ones included.
  size_t connections_used() const { return used_.size(); }
  size_t waiting_watches() const { return watchers_.size(); }
  /// Watches report no changes until DropHistory().
  void MuteWatches() { watches_muted_ = true; }
  /// Aborts all watches and ends MuteWatches(). From now on, a watch from before the current
  /// revision is answered with 410.
  void DropHistory();
  uint64_t revision() const { return revision_; }

  /// What a copy of the store holds.
  struct Copy;
  Copy TakeCopy() const;
  /// Returns to the state of a copy, leases included, in a new era, and aborts all watches. A watch
  /// from a revision that the store does not have is answered with 410.
  void Restore(const Copy& copy);
  uint64_t era() const { return era_; }

  void OnRequest(CallerConnection* connection, HttpMessage request) override;
  void OnCallerGone(CallerConnection* connection) override;

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    Millis term{0};
    SteadyTime ends_at;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    std::optional<std::string> value;
  };
  struct Watcher {
    CallerConnection* connection = nullptr;
    std::string prefix;
    uint64_t after = 0;
    TimerId timer;
  };
  struct Reply {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  void Serve(CallerConnection* connection, const HttpMessage& request);
  void Watch(CallerConnection* connection, const std::string& prefix, uint64_t after, Millis wait);
  Reply Range(const std::string& prefix) const;
  Reply Write(const std::string& body);
  Reply CreateLease(const std::string& body);
  Reply RenewLease(uint64_t lease);
  Reply EndLease(uint64_t lease);
  void ExpireLeases();
  void Send(CallerConnection* connection, const Reply& reply);
  void Record(const std::string& key, std::optional<std::string> value);
  void AnswerWatchers();
  nlohmann::json Events(const std::string& prefix, uint64_t after) const;

  EventLoop* loop_;
  CallerListener listener_;
  Random random_;
  StoreFaults faults_;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> history_;
  uint64_t history_from_ = 0;
  uint64_t revision_ = 1;
  uint64_t era_ = 1;
  uint64_t last_lease_ = 0;
  bool watches_muted_ = false;
  std::vector<Watcher> watchers_;
  /// Callers ("IP:port") of the connections that have carried a request, and the silent ones.
  std::set<std::string> used_;
  std::set<std::string> silenced_;
  /// Requests that wait for a delayed answer. The number is unique to the request, so that its
  /// timer cannot answer a later request.
  std::map<CallerConnection*, uint64_t> delayed_;
  uint64_t last_delayed_ = 0;
};

struct StandinStore::Copy {
  std::map<std::string, Item> items;
  std::map<uint64_t, Lease> leases;
  std::vector<Change> history;
  uint64_t history_from = 0;
  uint64_t revision = 1;
  uint64_t last_lease = 0;
};

}  // namespace shallot::gateway

#endif  // TESTS_STANDIN_STORE_H_
