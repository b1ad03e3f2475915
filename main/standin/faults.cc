#include "main/standin/faults.h"

#include <nlohmann/json.hpp>
#include <set>

namespace shallot::standin {
namespace {

const std::set<std::string>& KnownKinds() {
  static const std::set<std::string> kKinds = {"outage",    "slow",         "lose-answer", "silent",
                                               "fail-load", "die-mid-load", "lag"};
  return kKinds;
}

}  // namespace

Reply Faults::Inject(const std::string& body) {
  const nlohmann::json order = nlohmann::json::parse(body, nullptr, false);
  if (!order.is_object()) return MessageReply(400, "the body is not a JSON object");
  const std::string kind = order.value("kind", "");
  if (!KnownKinds().contains(kind)) return MessageReply(400, "unknown fault \"" + kind + "\"");
  Fault fault{order.value("value", uint64_t{0}), {}, {}, order.value("match", "")};
  if (order.contains("count")) fault.count = order.value("count", uint64_t{0});
  if (order.contains("duration_ms")) {
    fault.until =
        std::chrono::steady_clock::now() + Millis(order.value("duration_ms", uint64_t{0}));
  }
  const std::lock_guard lock(mutex_);
  faults_[kind] = fault;
  return MessageReply(200, "ordered");
}

Faults::Fault* Faults::FindActive(const std::string& kind) {
  const auto it = faults_.find(kind);
  if (it == faults_.end()) return nullptr;
  Fault& fault = it->second;
  const bool over = fault.until && std::chrono::steady_clock::now() >= *fault.until;
  if (over || (fault.count && *fault.count == 0)) {
    faults_.erase(it);
    return nullptr;
  }
  return &fault;
}

std::optional<uint64_t> Faults::Take(const std::string& kind, const std::string& request) {
  const std::lock_guard lock(mutex_);
  Fault* fault = FindActive(kind);
  if (fault == nullptr) return std::nullopt;
  if (request.find(fault->match) == std::string::npos) return std::nullopt;
  if (fault->count) --*fault->count;
  return fault->value;
}

std::optional<uint64_t> Faults::Peek(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  const Fault* fault = FindActive(kind);
  if (fault == nullptr) return std::nullopt;
  return fault->value;
}

bool Faults::WaitFor(Duration duration) {
  std::unique_lock lock(mutex_);
  return !wake_.wait_for(lock, duration, [this] { return stopped_; });
}

void Faults::WaitForStop() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopped_; });
}

void Faults::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  wake_.notify_all();
}

bool Faults::stopped() {
  const std::lock_guard lock(mutex_);
  return stopped_;
}

}  // namespace shallot::standin
