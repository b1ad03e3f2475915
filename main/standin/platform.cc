#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "main/standin/role.h"

namespace shallot::standin {
namespace {

using nlohmann::json;

constexpr size_t kMaxValueBytes = 1 << 20;
constexpr Seconds kMaxWatchTime{20};

SteadyTime Now() { return std::chrono::steady_clock::now(); }

struct StoredValue {
  uint64_t version = 0;
  std::string value;
  std::optional<SteadyTime> expires;
};

struct Lease {
  std::string holder;
  uint64_t fencing = 0;
  SteadyTime expires;
};

/// Stand-in for the platform's key-value service, leases and instance list.
class Platform final : public Role {
 public:
  Platform(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  std::optional<Reply> Handle(Exchange& exchange) override {
    if (exchange.path() == "/stats") return Stats();
    if (const auto key = exchange.PathAfter("/kv/")) return HandleValue(exchange, *key);
    if (const auto key = exchange.PathAfter("/lease/")) return HandleLease(exchange, *key);
    if (exchange.path() == "/instances" && exchange.method() == "GET") return ListInstances();
    if (const auto id = exchange.PathAfter("/instances/")) return ChangeInstance(exchange, *id);
    return MessageReply(404, "no such path");
  }

 private:
  void CountCall(const std::string& kind) { ++counts_[kind]; }

  Reply Stats() {
    const std::lock_guard lock(mutex_);
    size_t bytes = 0;
    for (const auto& [key, stored] : values_) bytes += stored.value.size();
    return Reply{200, json{{"calls", counts_}, {"keys", values_.size()}, {"bytes", bytes}}.dump()};
  }

  Reply HandleValue(Exchange& exchange, const std::string& key) {
    if (exchange.method() == "PUT") return Put(exchange, key);
    if (exchange.method() != "GET") return MessageReply(405, "use GET or PUT");
    std::unique_lock lock(mutex_);
    CountCall(exchange.HasQuery("watch") ? "watch" : "get");
    if (exchange.HasQuery("watch")) WaitForChange(lock, key, exchange.QueryNumber("watch"));
    const StoredValue* stored = FindUnexpired(key);
    if (stored == nullptr) return MessageReply(404, "no such key");
    return Reply{200,
                 stored->value,
                 "application/octet-stream",
                 {{"X-Version", std::to_string(stored->version)}}};
  }

  void WaitForChange(std::unique_lock<std::mutex>& lock, const std::string& key,
                     uint64_t known_version) {
    const SteadyTime end = Now() + kMaxWatchTime;
    // Wakes twice a second to detect the expiry of the value and the end of the process.
    while (Now() < end && !faults_->stopped()) {
      const StoredValue* stored = FindUnexpired(key);
      if ((stored == nullptr ? 0 : stored->version) != known_version) return;
      changed_.wait_for(lock, Millis(500));
    }
  }

  const StoredValue* FindUnexpired(const std::string& key) {
    const auto it = values_.find(key);
    if (it == values_.end()) return nullptr;
    if (!it->second.expires || Now() < *it->second.expires) return &it->second;
    values_.erase(it);
    return nullptr;
  }

  Reply Put(Exchange& exchange, const std::string& key) {
    if (exchange.body().size() > kMaxValueBytes) return MessageReply(413, "value is above 1 MB");
    if (!exchange.HasQuery("expected")) return MessageReply(400, "\"expected\" is missing");
    const std::lock_guard lock(mutex_);
    CountCall("put");
    const StoredValue* stored = FindUnexpired(key);
    const uint64_t version = stored == nullptr ? 0 : stored->version;
    if (version != exchange.QueryNumber("expected")) {
      CountCall("conflict");
      Reply reply = MessageReply(409, "the version differs");
      reply.headers["X-Version"] = std::to_string(version);
      return reply;
    }
    // One counter for all keys, so that no version is reused after a value expired.
    StoredValue next{++last_version_, exchange.body(), {}};
    const uint64_t ttl = exchange.QueryNumber("ttl_ms");
    if (ttl > 0) next.expires = Now() + Millis(ttl);
    Reply reply = MessageReply(200, "written");
    reply.headers["X-Version"] = std::to_string(next.version);
    values_[key] = std::move(next);
    changed_.notify_all();
    return reply;
  }

  Reply HandleLease(Exchange& exchange, const std::string& key) {
    const std::string holder = exchange.Query("holder");
    const std::lock_guard lock(mutex_);
    CountCall("lease");
    Lease& lease = leases_[key];
    const bool held = !lease.holder.empty() && Now() < lease.expires;
    if (exchange.method() == "DELETE") {
      if (lease.holder == holder) lease.holder.clear();
      return Reply{204, "", "application/json", {}};
    }
    if (held && lease.holder != holder) return MessageReply(409, "held by " + lease.holder);
    if (!held) ++lease.fencing;
    const uint64_t ttl = exchange.QueryNumber("ttl_ms", 1000);
    lease.holder = holder;
    lease.expires = Now() + Millis(ttl);
    return Reply{200, json{{"fencing", lease.fencing}, {"ttl_ms", ttl}}.dump()};
  }

  Reply ListInstances() {
    const std::lock_guard lock(mutex_);
    CountCall("instances");
    while (!changes_.empty() && Now() >= changes_.front().visible) {
      changes_.front().apply();
      changes_.pop_front();
    }
    json list = json::array();
    for (const auto& [id, record] : instances_) list.push_back(record);
    return Reply{200, list.dump()};
  }

  Reply ChangeInstance(Exchange& exchange, const std::string& id) {
    json record = json::parse(exchange.body(), nullptr, false);
    const bool removal = exchange.method() == "DELETE";
    if (!removal && !record.is_object()) return MessageReply(400, "the body is not an object");
    if (!removal) record["id"] = id;
    const uint64_t lag = faults_->Peek("lag").value_or(options_.instance_lag_ms);
    const std::lock_guard lock(mutex_);
    CountCall("instance-change");
    changes_.push_back({Now() + Millis(lag), [this, id, record, removal] {
                          if (removal) {
                            instances_.erase(id);
                          } else {
                            instances_[id] = record;
                          }
                        }});
    return MessageReply(200, "accepted");
  }

  struct InstanceChange {
    SteadyTime visible;
    std::function<void()> apply;
  };

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t last_version_ = 0;
  std::map<std::string, StoredValue> values_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, json> instances_;
  std::deque<InstanceChange> changes_;
  std::map<std::string, uint64_t> counts_;
};

}  // namespace

std::unique_ptr<Role> MakePlatform(const Options& options, Faults* faults) {
  return std::make_unique<Platform>(options, faults);
}

}  // namespace shallot::standin
