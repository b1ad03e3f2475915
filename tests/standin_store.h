#ifndef TESTS_STANDIN_STORE_H_
#define TESTS_STANDIN_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/gateway/caller_connection.h"
#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/event_loop.h"

namespace shallot::gateway {

/// How the stand-in of the platform's store misbehaves. Probabilities are from 0 to 1.
struct StoreTrouble {
  /// Calls get no answer.
  bool silent = false;
  /// Calls are refused with 503 and not executed.
  bool busy = false;
  /// Added to the time of each answer.
  Millis delay{0};
  /// Share of the writes that are executed and whose connection then closes without an answer.
  double lost_answers = 0;
  /// Share of the writes that are answered never and executed after `late_by`, if their condition
  /// still holds.
  double late_writes = 0;
  Millis late_by{0};
};

/// Stand-in of the platform's store: items with revisions, conditional writes, leases, watches and
/// a history that can be dropped. All methods are for the thread of its loop.
class StandinStore final : public CallerHandler {
 public:
  StandinStore(EventLoop* loop, uint64_t seed);

  Status Open(const std::string& address) { return listener_.Open(address); }
  void SetTrouble(const StoreTrouble& trouble) { trouble_ = trouble; }
  /// Writes and removals of operators and runners; they are not affected by trouble.
  uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& key) const { return items_.contains(key); }
  /// While muted, watches hear of no change.
  void MuteWatches() { watches_muted_ = true; }
  /// Cuts all watches; those from before the present revision are answered with 410 from now on.
  void DropHistory();
  uint64_t revision() const { return revision_; }

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
  void EndLeases();
  void Send(CallerConnection* connection, const Reply& reply);
  void Record(const std::string& key, std::optional<std::string> value);
  void AnswerWatchers();
  nlohmann::json Events(const std::string& prefix, uint64_t after) const;

  EventLoop* loop_;
  CallerListener listener_;
  Random random_;
  StoreTrouble trouble_;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> history_;
  uint64_t history_from_ = 0;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 0;
  bool watches_muted_ = false;
  std::vector<Watcher> watchers_;
  /// Connections whose request waits for a delayed answer, by a number that survives none of them.
  std::map<CallerConnection*, uint64_t> delayed_;
  uint64_t last_delayed_ = 0;
};

}  // namespace shallot::gateway

#endif  // TESTS_STANDIN_STORE_H_
