#ifndef TESTS_SOAK_SOAK_CALLER_H_
#define TESTS_SOAK_SOAK_CALLER_H_

#include <cstddef>
#include <optional>
#include <string>

#include "drivers/gateway/http_client.h"
#include "tests/soak/call_checker.h"
#include "tests/soak/soak_fleet.h"

namespace shallot::soak {

/// One caller: sends a call, waits for its end, pauses, sends the next. It stays with a gateway
/// until the connection closes or fails, the gateway answers 503, or it picks another at random.
class SoakCaller final : public gateway::ExchangeHandler {
 public:
  SoakCaller(SoakFleet* fleet, CallChecker* checker, size_t number);
  ~SoakCaller() override;

  void Start() { ScheduleNext(kMeanPause); }
  /// Sends no further calls; one in progress goes on.
  void Finish() { finished_ = true; }
  bool finished() const { return finished_; }
  bool busy() const { return exchange_.has_value(); }

  gateway::HeadVerdict OnHead(const gateway::HttpHead& head) override;
  void OnBody(std::string data) override { result_.body += data; }
  void OnComplete() override;
  void OnFailure(gateway::ExchangeFailure failure, const std::string& detail) override;

 private:
  /// Mean pause between calls, exponentially distributed.
  static constexpr Millis kMeanPause{120};

  void ScheduleNext(Millis pause);
  void Send();
  SentCall MakeCall();
  void Abandon();
  void EndWithoutAnswer();
  void End(CallEnd end);
  void StopTimers();

  SoakFleet* fleet_;
  CallChecker* checker_;
  size_t number_;
  gateway::HttpClient client_;
  std::optional<size_t> gateway_;
  /// When each gateway's last answer arrived.
  std::map<size_t, SteadyTime> answered_at_;
  std::optional<gateway::ExchangeId> exchange_;
  SentCall call_;
  CallResult result_;
  Millis retry_after_{0};
  gateway::TimerId abandon_timer_;
  gateway::TimerId no_answer_timer_;
  gateway::TimerId next_timer_;
  uint64_t calls_ = 0;
  bool finished_ = false;
  bool server_closes_ = false;
};

}  // namespace shallot::soak

#endif  // TESTS_SOAK_SOAK_CALLER_H_
