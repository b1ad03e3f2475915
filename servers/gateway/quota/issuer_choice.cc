#include "servers/gateway/quota/issuer_choice.h"

#include <algorithm>

#include "core/hashing.h"

namespace shallot::gateway {

void GatewayCount::OnListed(uint64_t count, BootTime now) {
  while (!listed_.empty() && listed_.back().first <= count) listed_.pop_back();
  listed_.emplace_back(count, now);
  while (now - listed_.front().second > kMemory) listed_.pop_front();
}

void IssuerChoice::SetCandidates(const std::set<InstanceId>& candidates) {
  if (candidates == candidates_) return;
  candidates_ = candidates;
  order_.assign(candidates.begin(), candidates.end());
  std::sort(order_.begin(), order_.end(), [](const InstanceId& a, const InstanceId& b) {
    return std::pair(StableHash(a.value()), a) < std::pair(StableHash(b.value()), b);
  });
  std::erase_if(states_, [&](const auto& entry) { return !candidates.contains(entry.first); });
  for (const InstanceId& candidate : candidates) {
    if (candidate != self_) states_.try_emplace(candidate);
  }
}

void IssuerChoice::NoteSilence(BootTime now) {
  // While this gateway was suspended, no response could be read.
  const bool suspended = now - looked_at_ > Duration(kResponseTime) / 2;
  looked_at_ = now;
  for (auto& [name, candidate] : states_) {
    if (!candidate.unanswered_since) continue;
    if (suspended) candidate.unanswered_since = now;
    if (now - *candidate.unanswered_since <= kResponseTime) continue;
    candidate.state = State::kSilent;
    candidate.silent_at = now;
    candidate.responses = 0;
    candidate.unanswered_since.reset();
  }
}

bool IssuerChoice::Usable(const Candidate& candidate) const {
  return candidate.state == State::kResponds && candidate.responses >= kResponsesToReturn;
}

const InstanceId& IssuerChoice::Current(BootTime now) {
  NoteSilence(now);
  const bool keep = !current_.empty() && current_ != self_ && states_.contains(current_) &&
                    states_[current_].state != State::kSilent;
  const InstanceId* responds = nullptr;
  size_t silent = 0;
  for (const InstanceId& name : order_) {
    if (name == self_) {
      if (!keep && responds != nullptr) break;
      return current_ = self_;
    }
    Candidate& candidate = states_[name];
    if (name == current_ && keep) return current_;
    if (Usable(candidate)) return current_ = name;
    if (candidate.state == State::kResponds && responds == nullptr) responds = &name;
    if (candidate.state == State::kSilent) ++silent;
    // At the start, the first candidates are asked without knowing whether they respond.
    if (candidate.state == State::kUnknown && !keep && responds == nullptr &&
        silent < kProbesAtOnce) {
      return current_ = name;
    }
  }
  return current_ = responds != nullptr ? *responds : self_;
}

std::vector<InstanceId> IssuerChoice::TakeProbes(BootTime now) {
  std::vector<InstanceId> probes;
  if (now - probed_at_ < kProbePause) return probes;
  const auto found = states_.find(current_);
  const bool doubted =
      found == states_.end() ||
      (found->second.unanswered_since && now - *found->second.unanswered_since > kDoubtTime);
  std::vector<std::pair<BootTime, InstanceId>> due;
  for (const InstanceId& name : order_) {
    if (name == self_ || (name == current_ && !doubted)) break;
    Candidate& candidate = states_[name];
    if (name == current_ || now - candidate.probed_at < kProbeInterval) continue;
    due.emplace_back(candidate.probed_at, name);
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  if (due.size() > kProbesAtOnce) due.resize(kProbesAtOnce);
  for (const auto& [at, name] : due) {
    states_[name].probed_at = now;
    OnAsked(name, now);
    probes.push_back(name);
  }
  if (!probes.empty()) probed_at_ = now;
  return probes;
}

void IssuerChoice::OnAsked(const InstanceId& issuer, BootTime now) {
  const auto found = states_.find(issuer);
  if (found == states_.end() || found->second.unanswered_since) return;
  found->second.unanswered_since = now;
}

void IssuerChoice::OnAnswered(const InstanceId& issuer, BootTime asked_at) {
  const auto found = states_.find(issuer);
  if (found == states_.end()) return;
  Candidate& candidate = found->second;
  // The response to an earlier request says nothing about the candidate now.
  if (candidate.state == State::kSilent && asked_at < candidate.silent_at) return;
  if (candidate.state == State::kUnknown) candidate.responses = kResponsesToReturn;
  candidate.state = State::kResponds;
  ++candidate.responses;
  candidate.unanswered_since.reset();
}

}  // namespace shallot::gateway
