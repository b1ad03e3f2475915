#include "servers/gateway/memory/runner_memory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shallot::gateway {
namespace {

/// Weight of the newest call in the mean size of calls.
constexpr double kMeanWeight = 0.1;
/// Without the issuer, a gateway whose equal share is smaller than a call sends single calls up to
/// this share of a runner's memory while the others use at most `kOthersShare` of it.
constexpr double kSingleCallShare = 0.25;
constexpr double kOthersShare = 0.5;

uint64_t Usable(uint64_t capacity) {
  return static_cast<uint64_t>(static_cast<double>(capacity) * RunnerMemory::kUsableShare);
}

uint64_t Less(uint64_t from, uint64_t amount) { return from - std::min(from, amount); }

}  // namespace

const RunnerMemory::Runner* RunnerMemory::Find(const RunnerRun& run) const {
  const auto found = runners_.find(run.runner);
  return found == runners_.end() || found->second.born != run.born ? nullptr : &found->second;
}

RunnerMemory::Runner* RunnerMemory::Get(const RunnerRun& run) {
  Runner& runner = runners_[run.runner];
  if (runner.born != run.born) {
    runner = Runner();
    runner.born = run.born;
  }
  return &runner;
}

bool RunnerMemory::Governed(SteadyTime now) const {
  return issuer_known_ &&
         (!unanswered_since_ || now - *unanswered_since_ <= Duration(kResponseTime));
}

bool RunnerMemory::HasRoom(const RunnerRun& run, uint64_t capacity, uint64_t tokens,
                           SteadyTime now) const {
  if (capacity == 0 || tokens == 0) return true;
  const Runner* runner = Find(run);
  if (!Governed(now)) return HasRoomUngoverned(runner, capacity, tokens, now);
  if (runner == nullptr || now >= runner->limit_until) return false;
  return runner->held + tokens <= runner->limit;
}

bool RunnerMemory::HasRoomUngoverned(const Runner* runner, uint64_t capacity, uint64_t tokens,
                                     SteadyTime now) const {
  const uint64_t usable = Usable(capacity);
  const uint64_t held = runner == nullptr ? 0 : runner->held;
  const bool reported = runner != nullptr && runner->reported_at &&
                        now - *runner->reported_at <= Duration(kReportLifetime);
  const uint64_t others = reported ? runner->others : 0;
  if (others + held + tokens > usable) return false;
  if (held + tokens <= usable / std::max<uint64_t>(gateways_, 1)) return true;
  const auto share = [usable](double part) {
    return static_cast<uint64_t>(static_cast<double>(usable) * part);
  };
  return reported && held == 0 && tokens <= share(kSingleCallShare) &&
         others <= share(kOthersShare);
}

uint64_t RunnerMemory::ExpectedFree(const RunnerRun& run, uint64_t capacity) const {
  const Runner* runner = Find(run);
  // A call that asked one runner asks no other one until the response: both might grant it memory.
  if (runner != nullptr && runner->pending && runner->asked_for_calls) return 2 * capacity;
  if (runner == nullptr || !runner->answered) return capacity;
  return Less(runner->free, runner->wanted);
}

void RunnerMemory::OnSent(const RunnerRun& run, uint64_t tokens) {
  mean_tokens_ += kMeanWeight * (static_cast<double>(tokens) - mean_tokens_);
  Runner* runner = Get(run);
  runner->held += tokens;
  ++runner->calls;
}

void RunnerMemory::OnEnded(const RunnerRun& run, uint64_t tokens) {
  const auto found = runners_.find(run.runner);
  if (found == runners_.end() || found->second.born != run.born) return;
  found->second.held = Less(found->second.held, tokens);
  found->second.calls = Less(found->second.calls, 1);
}

void RunnerMemory::OnReport(const RunnerRun& run, uint64_t used_tokens, uint64_t waiting,
                            SteadyTime now) {
  if (!runners_.contains(run.runner) && runners_.size() >= kMaxRunners) return;
  Runner* runner = Get(run);
  const double queued = static_cast<double>(waiting) * mean_tokens_;
  runner->others = Less(used_tokens + static_cast<uint64_t>(queued), runner->held);
  runner->reported_at = now;
}

void RunnerMemory::OnLoad(const RunnerRun& run, uint64_t calls, SteadyTime now) {
  Runner* runner = Get(run);
  const double others = static_cast<double>(Less(calls, runner->calls)) * mean_tokens_;
  runner->others = static_cast<uint64_t>(others);
  runner->reported_at = now;
}

void RunnerMemory::Want(const RunnerRun& run, uint64_t tokens) {
  Runner* runner = Get(run);
  runner->wanted += tokens;
  if (runner->waiting.size() < MemoryAsk::kMaxCalls) runner->waiting.push_back(tokens);
}

std::vector<MemoryAsk> RunnerMemory::TakeAsks(uint64_t number, SteadyTime now) {
  std::vector<MemoryAsk> asks;
  const bool confirms = now - confirmed_at_ >= Duration(kBatchInterval);
  if (confirms) confirmed_at_ = now;
  for (auto entry = runners_.begin(); entry != runners_.end();) {
    Runner& runner = entry->second;
    runner.wanted = 0;
    std::vector<uint64_t> calls = std::exchange(runner.waiting, {});
    const bool valid = now < runner.limit_until;
    const bool idle =
        runner.held == 0 && calls.empty() && !runner.pending && !runner.asked_for_calls;
    // The last request has returned everything, or the grant has run out.
    if (idle && (runner.limit == 0 || !valid)) {
      const bool reported =
          runner.reported_at && now - *runner.reported_at <= Duration(kReportLifetime);
      entry = reported ? std::next(entry) : runners_.erase(entry);
      continue;
    }
    const Duration since = now - runner.asked_at;
    const bool surplus = valid && runner.limit > runner.held;
    const bool lacking = !calls.empty();
    const bool confirm = confirms && since >= Duration(kConfirmInterval - kBatchInterval);
    const bool returns = surplus && runner.scarce && since >= Duration(kScarceReturnInterval);
    // Until it is withdrawn, the issuer keeps memory for a wish.
    const bool withdrawn = calls.empty() && runner.asked_for_calls;
    const bool due = runner.pending ? since >= Duration(kRepeatTime)
                                    : lacking || withdrawn || returns || confirm;
    if (due) {
      runner.asked_for_calls = !calls.empty();
      asks.push_back({{entry->first, runner.born}, runner.held, std::move(calls), 0});
      runner.limit = runner.held;
      runner.limit_until = std::max(runner.limit_until, now + Duration(kRepeatTime));
      runner.asked_number = number;
      runner.asked_at = now;
      runner.pending = true;
    }
    ++entry;
  }
  if (!asks.empty() && !unanswered_since_) unanswered_since_ = now;
  return asks;
}

void RunnerMemory::OnGrants(uint64_t number, const std::vector<MemoryGrant>& grants,
                            SteadyTime now) {
  unanswered_since_.reset();
  for (const MemoryGrant& grant : grants) {
    const auto found = runners_.find(grant.run.runner);
    if (found == runners_.end() || found->second.born != grant.run.born) continue;
    Runner& runner = found->second;
    // The response to an earlier request was computed from what was held then.
    if (!runner.pending || runner.asked_number != number) continue;
    if (now - runner.asked_at >= Duration(kGrantLifetime)) continue;
    runner.pending = false;
    runner.limit = grant.limit;
    runner.limit_until = runner.asked_at + Duration(kGrantLifetime);
    runner.free = grant.free;
    runner.scarce = grant.scarce;
    runner.answered = true;
  }
}

uint64_t RunnerMemory::held(const RunnerId& runner) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.held;
}

uint64_t RunnerMemory::held_total() const {
  uint64_t total = 0;
  for (const auto& [id, runner] : runners_) total += runner.held;
  return total;
}

void MemoryIssuer::Start(SteadyTime now) {
  ledgers_.clear();
  started_at_ = now;
}

bool MemoryIssuer::Waits(const Member& member, SteadyTime now) {
  return member.unmet_since && now - member.asked_at <= Duration(kWishLifetime);
}

uint64_t MemoryIssuer::Reserved(const Ledger& ledger, const InstanceId& gateway, SteadyTime now) {
  const Member* first = nullptr;
  const InstanceId* first_name = nullptr;
  for (const auto& [name, member] : ledger.members) {
    if (!Waits(member, now) || now - *member.unmet_since < Duration(kTurnTime)) continue;
    if (first != nullptr && *member.unmet_since >= *first->unmet_since) continue;
    first = &member;
    first_name = &name;
  }
  return first == nullptr || *first_name == gateway ? 0 : first->least;
}

MemoryGrant MemoryIssuer::Issue(const InstanceId& gateway, const MemoryAsk& ask, uint64_t capacity,
                                SteadyTime now) {
  Ledger& ledger = ledgers_[ask.run];
  std::erase_if(ledger.members, [now](const auto& member) {
    return now - member.second.asked_at > Duration(kMemberTime);
  });
  if (ledger.total > 0) capacity = std::min(capacity, ledger.total);
  Member& self = ledger.members[gateway];
  self.tokens = ask.held;
  self.least = ask.calls.empty() ? 0 : *std::min_element(ask.calls.begin(), ask.calls.end());
  self.asked_at = now;
  if (now - started_at_ < Duration(kSettleTime)) return {ask.run, ask.held, 0, true};
  uint64_t used = Granted(ask.run);
  // A call that needs more than the usable part gets the whole memory when it is alone.
  const bool alone = used == 0 && self.least > Usable(capacity);
  const bool new_leader = now - started_at_ < Duration(kUnknownTime);
  const uint64_t most = new_leader
                            ? static_cast<uint64_t>(static_cast<double>(capacity) * kNewLeaderShare)
                            : Usable(capacity);
  const uint64_t usable = alone ? capacity : most;
  if (ledger.reported_at && now - *ledger.reported_at <= Duration(kReportLifetime)) {
    used = std::max(used + ledger.unknown, ledger.reported);
  }
  const uint64_t free = Less(usable, used);
  const uint64_t available = Less(free, Reserved(ledger, gateway, now));
  uint64_t granted = 0;
  bool all = true;
  for (const uint64_t tokens : ask.calls) {
    const bool fits = tokens <= Less(available, granted);
    if (fits) granted += tokens;
    all = all && fits;
  }
  if (ask.calls.empty() || granted > 0) {
    self.unmet_since.reset();
  } else if (!self.unmet_since) {
    self.unmet_since = now;
  }
  // With room to spare, the next calls need not wait for a request.
  const uint64_t rest = Less(std::min(available, Less(most, used)), granted);
  const bool active = ask.held > 0 || !ask.calls.empty();
  const uint64_t spare = !all || !active ? 0 : rest / (2 * std::max<uint64_t>(gateways_, 1));
  self.tokens += granted + spare;
  const bool scarce = std::any_of(ledger.members.begin(), ledger.members.end(),
                                  [now](const auto& member) { return Waits(member.second, now); });
  return {ask.run, self.tokens, Less(free, granted + spare), scarce};
}

void MemoryIssuer::OnReport(const RunnerRun& run, uint64_t used_tokens, uint64_t total_tokens,
                            SteadyTime now) {
  Ledger& ledger = ledgers_[run];
  ledger.reported = used_tokens;
  ledger.total = total_tokens;
  ledger.reported_at = now;
  ledger.granted_before.push_back(Granted(run));
  if (ledger.granted_before.size() > kReportLag) ledger.granted_before.pop_front();
  const uint64_t granted =
      *std::min_element(ledger.granted_before.begin(), ledger.granted_before.end());
  const bool new_leader = now - started_at_ < Duration(kUnknownTime);
  const auto expected = static_cast<uint64_t>(static_cast<double>(used_tokens) * kOutputReserve);
  ledger.unknown = new_leader ? Less(expected, granted) : 0;
  // Earlier runs of the runner have ended.
  std::erase_if(ledgers_, [&run](const auto& entry) {
    return entry.first.runner == run.runner && entry.first.born < run.born;
  });
}

void MemoryIssuer::Retain(const std::function<bool(const RunnerRun&)>& may_exist, SteadyTime now) {
  std::erase_if(ledgers_, [&](const auto& entry) {
    const Ledger& ledger = entry.second;
    const bool asked =
        std::any_of(ledger.members.begin(), ledger.members.end(), [now](const auto& member) {
          return now - member.second.asked_at <= Duration(kMemberTime);
        });
    const bool reported =
        ledger.reported_at && now - *ledger.reported_at <= Duration(kReportLifetime);
    return !may_exist(entry.first) || (!asked && !reported);
  });
}

uint64_t MemoryIssuer::Granted(const RunnerRun& run) const {
  const auto found = ledgers_.find(run);
  if (found == ledgers_.end()) return 0;
  uint64_t granted = 0;
  for (const auto& [name, member] : found->second.members) granted += member.tokens;
  return granted;
}

}  // namespace shallot::gateway
