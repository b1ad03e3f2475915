#include <algorithm>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

#include "core/hashing.h"
#include "main/standin/role.h"

namespace shallot::standin {
namespace {

using nlohmann::json;

// About 2 model loads start per second; 4 run at full speed, and more share the bandwidth of 4.
constexpr Millis kStartInterval{500};
constexpr double kModelsAtFullSpeed = 4;
constexpr double kAdaptersAtFullSpeed = 32;
// 1 GB/s per load at full speed.
constexpr double kMillisPerGigabyte = 1000;
constexpr Millis kTransferStep{5};

SteadyTime Now() { return std::chrono::steady_clock::now(); }

/// Stand-in for the platform's rate-limited weight store.
class Weights final : public Role {
 public:
  Weights(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  std::optional<Reply> Handle(Exchange& exchange) override {
    if (exchange.path() == "/status") return Status();
    if (exchange.path() == "/stats") return Stats();
    if (exchange.path() != "/read") return MessageReply(404, "no such path");
    const bool adapter = exchange.Query("kind") == "adapter";
    const bool done =
        adapter ? ReadAdapter(exchange.Query("entry")) : ReadModel(exchange.QueryNumber("bytes"));
    return done ? MessageReply(200, "read") : MessageReply(503, "stopping");
  }

 private:
  Reply Status() {
    const double slowdown = std::max(1.0, static_cast<double>(model_loads_) / kModelsAtFullSpeed);
    const auto per_gigabyte =
        static_cast<uint64_t>(kMillisPerGigabyte * options_.time_scale * slowdown);
    return Reply{200, json{{"model_loads", model_loads_.load()},
                           {"adapter_loads", adapter_loads_.load()},
                           {"per_gigabyte_ms", per_gigabyte}}
                          .dump()};
  }

  Reply Stats() {
    return Reply{200, json{{"model_reads", model_reads_.load()},
                           {"adapter_reads", adapter_reads_.load()},
                           {"max_model_loads", max_model_loads_.load()}}
                          .dump()};
  }

  bool ReadModel(uint64_t bytes) {
    ++model_reads_;
    const double gigabytes = static_cast<double>(bytes) / 1e9;
    const double millis = gigabytes * kMillisPerGigabyte * options_.time_scale;
    if (!faults_->WaitFor(ReserveStart() - Now())) return false;
    return Transfer(millis, kModelsAtFullSpeed, model_loads_);
  }

  bool ReadAdapter(const std::string& entry) {
    ++adapter_reads_;
    const auto millis = static_cast<double>(5 + StableHash(entry) % 6);
    return Transfer(millis, kAdaptersAtFullSpeed, adapter_loads_);
  }

  /// Reserves the next start time of a model load and returns it.
  SteadyTime ReserveStart() {
    const auto interval =
        std::chrono::duration_cast<Duration>(kStartInterval * options_.time_scale);
    const std::lock_guard lock(mutex_);
    next_start_ = std::max(Now(), next_start_);
    const SteadyTime start = next_start_;
    next_start_ += interval;
    return start;
  }

  /// Waits as long as a transfer that takes `millis` at full speed; slower while more than
  /// `max_at_full_speed` are in flight. Returns false when the process stops.
  bool Transfer(double millis, double max_at_full_speed, std::atomic<uint64_t>& in_flight) {
    const uint64_t current = ++in_flight;
    if (&in_flight == &model_loads_) max_model_loads_ = std::max(max_model_loads_.load(), current);
    bool running = true;
    SteadyTime last = Now();
    while (running && millis > 0) {
      const auto left = std::chrono::duration<double, std::milli>(millis);
      running =
          faults_->WaitFor(std::min<Duration>(kTransferStep, std::chrono::ceil<Duration>(left)));
      const SteadyTime now = Now();
      const double slowdown = std::max(1.0, static_cast<double>(in_flight) / max_at_full_speed);
      millis -= std::chrono::duration<double, std::milli>(now - last).count() / slowdown;
      last = now;
    }
    --in_flight;
    return running;
  }

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  SteadyTime next_start_{};
  std::atomic<uint64_t> model_loads_{0};
  std::atomic<uint64_t> adapter_loads_{0};
  std::atomic<uint64_t> model_reads_{0};
  std::atomic<uint64_t> adapter_reads_{0};
  std::atomic<uint64_t> max_model_loads_{0};
};

}  // namespace

std::unique_ptr<Role> MakeWeights(const Options& options, Faults* faults) {
  return std::make_unique<Weights>(options, faults);
}

}  // namespace shallot::standin
