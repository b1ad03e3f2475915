#include "bench/trace.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "core/random.h"

namespace shallot::bench {
namespace {

constexpr double kZipfExponent = 0.9;
constexpr double kSecondsPerDay = 86'400;
constexpr double kSecondsPerHour = 3'600;

Duration FromSeconds(double seconds) { return Duration(static_cast<int64_t>(seconds * 1e9)); }

EntryId ModelId(int index) { return EntryId("model-" + std::to_string(index)); }

EntryId AdapterId(int index) { return EntryId("adapter-" + std::to_string(index)); }

/// Draws indexes from a Zipf distribution.
class ZipfPicker {
 public:
  explicit ZipfPicker(int count) {
    double sum = 0;
    for (int i = 1; i <= count; ++i) {
      sum += 1.0 / std::pow(i, kZipfExponent);
      cumulative_.push_back(sum);
    }
  }

  int Pick(Random& random) const {
    const double target = random.Unit() * cumulative_.back();
    const auto it = std::upper_bound(cumulative_.begin(), cumulative_.end(), target);
    return static_cast<int>(it - cumulative_.begin());
  }

 private:
  std::vector<double> cumulative_;
};

CallClass PickClass(const TraceShape& shape, Random& random) {
  double target = random.Unit();
  for (int i = 0; i < kCallClassCount; ++i) {
    target -= shape.class_shares[i];
    if (target < 0) return static_cast<CallClass>(i);
  }
  return CallClass::kBatch;
}

/// Demand at a time of day as a fraction of its peak: a half sine over the working day, and at
/// least a tenth at any time.
double DemandAt(const TraceShape& shape, double second_of_day) {
  constexpr double kNightLevel = 0.1;
  const double hour = second_of_day / kSecondsPerHour;
  if (hour < shape.day_begin_hour || hour >= shape.day_end_hour) return kNightLevel;
  const double position =
      (hour - shape.day_begin_hour) / (shape.day_end_hour - shape.day_begin_hour);
  return std::max(kNightLevel, std::sin(position * M_PI));
}

class TraceBuilder {
 public:
  TraceBuilder(const TraceShape& shape, uint64_t seed)
      : shape_(shape), random_(seed), picker_(shape.models + shape.adapters) {
    // Shuffled, so that an entry's popularity does not depend on its kind.
    for (int i = 0; i < shape.models; ++i) entries_.push_back(ModelId(i));
    for (int i = 0; i < shape.adapters; ++i) entries_.push_back(AdapterId(i));
    for (size_t i = entries_.size() - 1; i > 0; --i) {
      std::swap(entries_[i], entries_[random_.Below(i + 1)]);
    }
  }

  std::vector<TraceCall> Build(int days) {
    const double end = days * kSecondsPerDay;
    // Thinning of a Poisson process at the peak rate. The peak rate is three times the mean rate,
    // because the mean of DemandAt() is about a third.
    const double peak_rate = shape_.sessions_per_day / kSecondsPerDay * 3;
    double at = random_.Exponential(1 / peak_rate);
    while (at < end) {
      if (random_.Unit() < DemandAt(shape_, std::fmod(at, kSecondsPerDay))) AddSession(at, end);
      at += random_.Exponential(1 / peak_rate);
    }
    std::stable_sort(calls_.begin(), calls_.end(),
                     [](const TraceCall& a, const TraceCall& b) { return a.at < b.at; });
    return std::move(calls_);
  }

 private:
  void AddSession(double at, double end) {
    const EntryId& entry = entries_[static_cast<size_t>(picker_.Pick(random_))];
    const auto burst = 1 + random_.Below(static_cast<uint64_t>(shape_.opening_burst));
    for (uint64_t i = 0; i < burst; ++i) AddCall(at, entry);
    const auto more = std::llround(std::ceil(random_.Exponential(shape_.calls_per_session)));
    const double gap = std::chrono::duration<double>(shape_.gap_in_session).count();
    for (int64_t i = 0; i < more; ++i) {
      at += random_.Exponential(gap);
      if (at >= end) return;
      AddCall(at, entry);
    }
  }

  void AddCall(double at, const EntryId& entry) {
    const double mean = std::chrono::duration<double, std::milli>(shape_.mean_service).count();
    TraceCall call;
    call.at = FromSeconds(at);
    call.entry = entry;
    call.call_class = PickClass(shape_, random_);
    call.service = Millis(1 + static_cast<int64_t>(random_.Exponential(mean)));
    calls_.push_back(call);
  }

  const TraceShape& shape_;
  Random random_;
  ZipfPicker picker_;
  std::vector<EntryId> entries_;
  std::vector<TraceCall> calls_;
};

}  // namespace

TraceShape OrderDeskShape() {
  TraceShape shape;
  shape.name = "order_desk";
  shape.backend = BackendName("drafting");
  shape.runners = 12;
  shape.models = 40;
  shape.adapters = 80;
  shape.runner_memory_mb = 80'000;
  shape.model_mb = 24'000;
  shape.model_kv_mb = 8'000;
  shape.adapter_mb = 200;
  shape.sessions_per_day = 900;
  shape.calls_per_session = 8;
  shape.gap_in_session = Seconds(25);
  shape.opening_burst = 6;
  shape.mean_service = Millis(2'500);
  shape.class_shares = {0.1, 0.2, 0.5, 0.0, 0.2};
  shape.day_begin_hour = 7;
  shape.day_end_hour = 19;
  shape.cold_weight = 100;
  shape.idle_weight = 1;
  return shape;
}

TraceShape ManuscriptShape() {
  TraceShape shape;
  shape.name = "manuscripts";
  shape.backend = BackendName("checking");
  shape.runners = 9;
  shape.models = 20;
  shape.adapters = 60;
  shape.runner_memory_mb = 80'000;
  shape.model_mb = 28'000;
  shape.model_kv_mb = 10'000;
  shape.adapter_mb = 200;
  shape.sessions_per_day = 300;
  shape.calls_per_session = 12;
  shape.gap_in_session = Seconds(40);
  shape.opening_burst = 4;
  shape.mean_service = Millis(12'000);
  shape.class_shares = {0.05, 0.15, 0.1, 0.5, 0.2};
  shape.day_begin_hour = 8;
  shape.day_end_hour = 18;
  shape.cold_weight = 30;
  shape.idle_weight = 1;
  return shape;
}

std::string MakeFleetText(const TraceShape& shape, Millis keep_alive_max) {
  std::ostringstream text;
  text << "[fleet]\nname = " << shape.name << "\nshards = 1\n[defaults]\nmin_replicas = 1\n"
       << "max_replicas = 1\ncold_weight = " << shape.cold_weight
       << "\nidle_weight = " << shape.idle_weight << "\nkeep_alive_min_ms = 0\n"
       << "keep_alive_max_ms = " << keep_alive_max.count() << "\n[models " << shape.backend.value()
       << "]\n";
  for (int i = 0; i < shape.models; ++i) {
    text << ModelId(i).value() << " = 1 " << shape.model_mb << " " << shape.model_kv_mb << "\n";
  }
  for (int model = 0; model < shape.models; ++model) {
    text << "[adapters " << ModelId(model).value() << "]\n";
    for (int i = model; i < shape.adapters; i += shape.models) {
      text << AdapterId(i).value() << " = 1 " << shape.adapter_mb << "\n";
    }
  }
  return text.str();
}

std::vector<TraceCall> MakeTrace(const TraceShape& shape, int days, uint64_t seed) {
  return TraceBuilder(shape, seed).Build(days);
}

}  // namespace shallot::bench
