#include "tests/soak/call_ledger.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/hashing.h"

namespace shallot::soak {

using gateway::CallKind;

std::string CallLedger::PlainBody(const RequestId& id, const std::string& method,
                                  const std::string& target, const std::string& body) {
  return fmt::format("{} {} {} {:x}", id.value(), method, target, StableHash(body));
}

std::string CallLedger::EventText(const RequestId& id, uint64_t event) {
  return fmt::format("id: {}\ndata: {}-{}\n\n", event, id.value(), event);
}

bool CallLedger::IsRefusal(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

void CallLedger::AddViolation(const Record& record, const std::string& what) {
  std::string runs;
  for (const CallRun& run : record.runs) runs += " " + run.runner.value();
  violations_.push_back(fmt::format("call {} {} at gateway {}: {}; runs:{}", record.call.id.value(),
                                    record.call.target, record.call.gateway, what, runs));
}

void CallLedger::OnSent(const SentCall& call) { calls_[call.id].call = call; }

const SentCall* CallLedger::Find(const RequestId& id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second.call;
}

size_t CallLedger::Runs(const RequestId& id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? 0 : found->second.runs.size();
}

void CallLedger::OnRun(const RequestId& id, const CallRun& run) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    violations_.push_back("runner " + run.runner.value() + " ran the call " + id.value() +
                          " that no caller sent");
    return;
  }
  Record& record = found->second;
  record.runs.push_back(run);
  const SentCall& call = record.call;
  if (run.method != call.method || run.target != call.target || run.body != call.body ||
      run.model != call.model) {
    AddViolation(record, "a runner got another request than the caller sent");
  }
  if (record.runs.size() > 1 && !gateway::IsRepeatable(call.kind, call.resumable)) {
    AddViolation(record, "ran twice and is not repeatable");
  }
  if (record.runs.size() > call.max_attempts)
    AddViolation(record, "ran more often than max-attempts");
  if (record.result && record.result->end == CallEnd::kAnswered &&
      IsRefusal(record.result->status)) {
    AddViolation(record, "ran after it was refused");
  }
  if (run_listener_) run_listener_(call, run);
}

void CallLedger::OnRunEnded(const RequestId& id, const RunnerId& runner, SteadyTime at) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  for (CallRun& run : found->second.runs) {
    if (run.runner == runner && !run.ended) run.ended = at;
  }
}

void CallLedger::OnRunnerEnded(const RunnerId& runner, SteadyTime at) {
  for (auto& [id, record] : calls_) {
    for (CallRun& run : record.runs) {
      if (run.runner == runner && !run.ended) run.ended = at;
    }
  }
}

void CallLedger::CheckOverlaps(Millis allowed, const OverlapExcuse& excused) {
  for (const auto& [id, record] : calls_) {
    if (record.call.kind != CallKind::kStream) continue;
    for (size_t index = 1; index < record.runs.size(); ++index) {
      const CallRun& before = record.runs[index - 1];
      const CallRun& next = record.runs[index];
      if (!before.ended || before.runner == next.runner) continue;
      const SteadyTime until = next.at + Duration(allowed);
      if (*before.ended <= until || excused(record.call, before, next, until)) continue;
      AddViolation(
          record, fmt::format("goes on at {} while {} works on it for another {} ms",
                              next.runner.value(), before.runner.value(),
                              std::chrono::duration_cast<Millis>(*before.ended - next.at).count()));
    }
  }
}

void CallLedger::OnRunnerAnswer(const RequestId& id, int status) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) found->second.runner_statuses.insert(status);
}

void CallLedger::OnResult(const RequestId& id, const CallResult& result) {
  Record& record = calls_.at(id);
  if (record.result) {
    AddViolation(record, "got a second answer");
    return;
  }
  record.result = result;
  if (result.end != CallEnd::kAbandoned) ++ended_;
  if (result.end == CallEnd::kAnswered) CheckAnswer(record);
}

void CallLedger::CheckAnswer(const Record& record) {
  const CallResult& result = *record.result;
  if (IsRefusal(result.status)) {
    ++refused_;
    if (!record.runs.empty()) AddViolation(record, fmt::format("ran and got {}", result.status));
    if (!result.sealed) return;
  }
  if (result.sealed && !record.runner_statuses.contains(result.status)) {
    AddViolation(record, fmt::format("got a sealed {} that no runner gave", result.status));
  }
  if (result.status < 200 || result.status > 299) return;
  if (!result.sealed) {
    AddViolation(record, "got a success that no runner sealed");
    return;
  }
  ++completed_;
  const SentCall& call = record.call;
  if (result.is_stream) {
    CheckStream(record);
  } else if (result.body != PlainBody(call.id, call.method, call.target, call.body)) {
    AddViolation(record, "got another body than its runner gave: " + result.body);
  }
}

void CallLedger::CheckStream(const Record& record) {
  std::string expected;
  for (uint64_t event = 1; event <= kEvents; ++event) {
    expected += EventText(record.call.id, event);
  }
  if (record.result->body != expected) {
    AddViolation(record,
                 "got a stream with missing, repeated or foreign events: " + record.result->body);
  }
}

void CallLedger::OnArrival(const RequestId& id, const RunnerId& runner, const BackendName& backend,
                           SteadyTime at) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  arrivals_[backend].push_back({at, found->second.arrived});
  found->second.arrived = true;
  if (arrival_listener_) arrival_listener_(found->second.call, runner, at);
}

void CallLedger::OnTold(const RequestId& id, const RunnerId& runner, const Told& told) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && told_listener_) told_listener_(found->second.call, runner, told);
}

void CallLedger::CheckRepeats(double ratio, double slack, Millis window) {
  for (const auto& [backend, arrivals] : arrivals_) {
    size_t first = 0;
    double calls = 0;
    double repeats = 0;
    for (const Arrival& arrival : arrivals) {
      (arrival.repeat ? repeats : calls) += 1;
      for (; arrivals[first].at + Duration(window) < arrival.at; ++first) {
        (arrivals[first].repeat ? repeats : calls) -= 1;
      }
      if (repeats <= calls * ratio + slack) continue;
      violations_.push_back(fmt::format("backend {} got {} repeats of {} calls within {} ms",
                                        backend.value(), repeats, calls, window.count()));
      break;
    }
  }
}

}  // namespace shallot::soak
