#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/crash_quarantine.h"
#include "tests/gateway_findings_exchange.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};
constexpr Millis kTick{50};
constexpr Seconds kSoundOnly{3};
constexpr Seconds kLength{14};
/// The platform's rules: deadly calls may reach runners for this long after the fifth crash, and
/// three may later. Sound calls are served again after twice that time.
constexpr Seconds kStable{3};
constexpr size_t kAllowedLate = 3;
constexpr size_t kFirstParts = 4;
constexpr size_t kDomains = 5;
constexpr int kOtherCalls = 6;

struct FleetSize {
  const char* name;
  size_t gateways;
  FindingsExchange::Delays delays;
  /// Sound calls and deadly calls for each tick, in all.
  size_t sound;
  double deadly;
};

/// Gateways that each see a small part of the calls, and read each other's findings with a delay.
class GatewayFleet {
 public:
  GatewayFleet(const FleetSize& size, uint64_t seed)
      : size_(size), random_(seed), gateways_(size.gateways, size.delays, &random_) {}

  void Play() {
    while (now_ < kStart + kLength) {
      for (size_t call = 0; call < size_.sound; ++call) SendSound();
      if (now_ > kStart + kSoundOnly && random_.Unit() < size_.deadly) SendDeadly();
      gateways_.Advance(now_);
      now_ += kTick;
    }
  }

  size_t late_arrivals() const { return late_; }
  /// Sound calls that were refused although the time to learn is over.
  size_t sound_refused() const { return sound_refused_; }
  uint64_t publications() const { return gateways_.publications(); }
  size_t crashes() const { return crashes_; }

 private:
  std::vector<CallTrait> AnyCall() {
    return {CallTrait("s" + std::to_string(++sessions_)),
            CallTrait("f" + std::to_string(random_.Below(kFirstParts))), CallTrait("model")};
  }

  void SendSound() {
    CrashQuarantine& gateway = gateways_.Any();
    const auto call = AnyCall();
    if (!gateway.Match(call, now_)) {
      gateway.OnAnswerBegun(call, now_);
    } else if (fifth_crash_ && now_ > *fifth_crash_ + kStable * 2) {
      ++sound_refused_;
    }
  }

  /// Its runner crashes, and with it the sound calls that other gateways wait for.
  void SendDeadly() {
    CrashQuarantine& gateway = gateways_.Any();
    auto call = AnyCall();
    call.emplace_back("dead");
    if (gateway.Match(call, now_)) return;
    if (fifth_crash_ && now_ > *fifth_crash_ + kStable) ++late_;
    const RunnerRun crash{RunnerId("r" + std::to_string(++crashes_)), RunnerStartTime(1)};
    if (crashes_ == 5) fifth_crash_ = now_;
    const FailureDomain domain("d" + std::to_string(random_.Below(kDomains)));
    gateway.OnCrash(crash, domain, {call}, now_);
    for (int other = 0; other < kOtherCalls; ++other) {
      gateways_.Any().OnCrash(crash, domain, {AnyCall()}, now_);
    }
  }

  FleetSize size_;
  Random random_;
  SteadyTime now_ = kStart;
  FindingsExchange gateways_;
  std::optional<SteadyTime> fifth_crash_;
  size_t crashes_ = 0;
  size_t sessions_ = 0;
  size_t late_ = 0;
  size_t sound_refused_ = 0;
};

// Guards against sound calls that are refused because most gateways have not seen them answered,
// and against findings that take too long in a large fleet.
TEST_CASE("gateway: fleets of any size refuse deadly calls and no sound ones") {
  for (const FleetSize& size :
       {FleetSize{"6 gateways", 6, {CrashQuarantine::kSettleDirect, 100, 60}, 3, 0.2},
        FleetSize{"23 gateways", 23, {CrashQuarantine::kSettleDirect, 100, 60}, 6, 0.5},
        FleetSize{"100 gateways", 100, {CrashQuarantine::kSettleByStore, 400, 900}, 10, 1.0},
        FleetSize{"100 gateways with few calls each",
                  100,
                  {CrashQuarantine::kSettleByStore, 400, 900},
                  2,
                  1.0}}) {
    for (const uint64_t seed : {1, 2}) {
      CAPTURE(std::string(size.name));
      CAPTURE(seed);
      GatewayFleet fleet(size, seed);
      fleet.Play();
      CHECK(fleet.crashes() >= 2);
      CHECK(fleet.late_arrivals() <= kAllowedLate);
      CHECK(fleet.sound_refused() == 0);
      CHECK(fleet.publications() <= size.gateways * fleet.crashes());
    }
  }
}

}  // namespace
}  // namespace shallot::gateway
