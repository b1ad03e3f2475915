#include "drivers/gateway/crash_monitor.h"

#include <fmt/format.h>

#include "core/log.h"
#include "drivers/gateway/tcp_connection.h"

namespace shallot::gateway {

/// Checks once whether anything listens at a runner's address.
class CrashMonitor::Probe final : public TcpHandler {
 public:
  Probe(CrashMonitor* owner, const RunnerRun& crash, const std::string& address)
      : owner_(owner),
        crash_(crash),
        tcp_(&owner->context_->loop, this, address, kProbeTimeout),
        timer_(owner->context_->loop.After(kProbeTimeout, [this] {
          timer_ = TimerId();
          tcp_.Close(false);
        })) {}
  ~Probe() override { StopTimer(); }

  void OnConnected() override {
    StopTimer();
    owner_->OnReached(crash_);
    tcp_.Close(false);
  }
  void OnData(std::string_view /*bytes*/) override {}
  void OnEnd(bool /*reset*/) override {
    StopTimer();
    if (!tcp_.connected()) owner_->Confirm(crash_, "refused");
  }

 private:
  void StopTimer() {
    if (timer_ != TimerId()) owner_->context_->loop.Cancel(timer_);
    timer_ = TimerId();
  }

  CrashMonitor* owner_;
  RunnerRun crash_;
  TcpConnection tcp_;
  TimerId timer_;
};

CrashMonitor::CrashMonitor(GatewayContext* context) : context_(context) {}
CrashMonitor::~CrashMonitor() = default;

void CrashMonitor::OnCallLost(const LostCall& call) {
  const RunnerState* runner = context_->view.Find(call.crash.runner);
  // A runner that was leaving ended as planned.
  if (runner == nullptr || !runner->Usable()) return;
  const SteadyTime now = context_->loop.Now();
  const auto [found, is_new] = suspicions_.try_emplace(call.crash);
  Suspicion& suspicion = found->second;
  if (is_new) {
    suspicion.domain = runner->entry.domain;
    suspicion.address = runner->entry.address;
    suspicion.since = now;
  }
  // What was sent after the crash, on a connection that was still open, did not cause it.
  if (call.sent_at >= suspicion.since || suspicion.calls.size() >= kMaxCalls) return;
  suspicion.calls.push_back(call.traits);
  if (suspicion.confirmed) {
    Report(call.crash, suspicion);
  } else if (suspicion.probe == nullptr) {
    suspicion.probe = std::make_shared<Probe>(this, call.crash, suspicion.address);
  }
}

void CrashMonitor::OnReached(const RunnerRun& crash) {
  const auto found = suspicions_.find(crash);
  if (found != suspicions_.end()) found->second.reached = true;
}

void CrashMonitor::Confirm(const RunnerRun& crash, const char* evidence) {
  const auto found = suspicions_.find(crash);
  if (found == suspicions_.end() || found->second.confirmed) return;
  found->second.confirmed = true;
  LogInfo("crashes", fmt::format("event=runner-crashed runner={} born={} evidence={} calls={}",
                                 crash.runner.value(), crash.born.value(), evidence,
                                 found->second.calls.size()));
  context_->metrics->GetCounter("runner_crashes_total").Add();
  Report(crash, found->second);
}

void CrashMonitor::Report(const RunnerRun& crash, const Suspicion& suspicion) {
  context_->quarantine.OnCrash(crash, suspicion.domain, suspicion.calls, context_->loop.Now());
}

void CrashMonitor::Tick() {
  const SteadyTime now = context_->loop.Now();
  std::vector<RunnerRun> restarted;
  for (auto suspicion = suspicions_.begin(); suspicion != suspicions_.end();) {
    const RunnerRun& crash = suspicion->first;
    const RunnerState* runner = context_->view.Find(crash.runner);
    const bool left = runner == nullptr ? suspicion->second.reached : !runner->Usable();
    const bool planned = left && !suspicion->second.confirmed;
    if (planned || now - suspicion->second.since > Duration(kMemory)) {
      suspicion = suspicions_.erase(suspicion);
      continue;
    }
    if (runner == nullptr || runner->entry.born > crash.born) restarted.push_back(crash);
    ++suspicion;
  }
  for (const RunnerRun& crash : restarted) Confirm(crash, "restarted");
}

}  // namespace shallot::gateway
