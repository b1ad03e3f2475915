#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "main/standin/role.h"

namespace shallot::standin {
namespace {

using nlohmann::json;

enum class CallState { kRunning, kStopped, kEnded };

/// Stand-in for a plain service. A call counts as executed as soon as it starts.
class Service final : public Role {
 public:
  Service(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  std::optional<Reply> Handle(Exchange& exchange) override {
    if (exchange.path() == "/stats") return Stats();
    if (exchange.path() == "/executed") return Executed();
    const auto call = exchange.PathAfter("/calls/");
    if (call && exchange.method() == "DELETE") return Cancel(*call);
    return Execute(exchange);
  }

 private:
  Reply Stats() {
    const std::lock_guard lock(mutex_);
    uint64_t highest = 0;
    for (const auto& [key, count] : executions_) highest = std::max(highest, count);
    return Reply{200, json{{"executed", executed_},
                           {"cancelled", cancelled_},
                           {"keys", executions_.size()},
                           {"max_per_key", highest}}
                          .dump()};
  }

  Reply Executed() {
    const std::lock_guard lock(mutex_);
    return Reply{200, json(executions_).dump()};
  }

  Reply Execute(Exchange& exchange) {
    const std::string call = exchange.Header("X-Call-Id");
    const std::string key = exchange.Header("Idempotency-Key");
    std::unique_lock lock(mutex_);
    ++executed_;
    const uint64_t execution = key.empty() ? 1 : ++executions_[key];
    calls_[call] = CallState::kRunning;
    const SteadyTime end = std::chrono::steady_clock::now() + Millis(options_.call_ms);
    cancel_.wait_until(lock, end,
                       [&] { return calls_[call] == CallState::kStopped || faults_->stopped(); });
    if (calls_[call] == CallState::kStopped) return MessageReply(499, "cancelled");
    calls_[call] = CallState::kEnded;
    return Reply{200, json{{"method", exchange.method()},
                           {"path", exchange.path()},
                           {"key", key},
                           {"execution", execution},
                           {"body", exchange.body()}}
                          .dump()};
  }

  Reply Cancel(const std::string& call) {
    const std::lock_guard lock(mutex_);
    const auto it = calls_.find(call);
    if (it == calls_.end()) return MessageReply(404, "no such call");
    if (it->second == CallState::kEnded) return Reply{200, R"({"result":"already-ended"})"};
    it->second = CallState::kStopped;
    ++cancelled_;
    cancel_.notify_all();
    return Reply{200, R"({"result":"stopped"})"};
  }

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  std::condition_variable cancel_;
  std::map<std::string, uint64_t> executions_;
  std::map<std::string, CallState> calls_;
  uint64_t executed_ = 0;
  uint64_t cancelled_ = 0;
};

}  // namespace

std::unique_ptr<Role> MakeService(const Options& options, Faults* faults) {
  return std::make_unique<Service>(options, faults);
}

}  // namespace shallot::standin
