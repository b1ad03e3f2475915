#include "core/invariant.h"

#include "core/log.h"

namespace shallot {
namespace {

constexpr std::array<const char*, static_cast<size_t>(Invariant::kCount)> kNames = {
    "replicas_within_decision",
    "memory_within_capacity",
    "no_silent_drop",
    "whole_answer",
    "not_run_did_not_run",
    "order_at_most_once",
    "no_new_work_while_leaving",
    "drain_cuts_nothing",
    "config_never_reverts"};

}  // namespace

const char* InvariantName(Invariant invariant) { return kNames[static_cast<size_t>(invariant)]; }

bool InvariantMonitor::Check(Invariant invariant, bool holds, std::string_view detail) {
  Counts& counts = counts_[static_cast<size_t>(invariant)];
  counts.checks.fetch_add(1, std::memory_order_relaxed);
  if (holds) return true;
  counts.violations.fetch_add(1, std::memory_order_relaxed);
  LogError("invariant",
           std::string(InvariantName(invariant)) + " violated: " + std::string(detail));
  return false;
}

uint64_t InvariantMonitor::checks(Invariant invariant) const {
  return counts_[static_cast<size_t>(invariant)].checks.load(std::memory_order_relaxed);
}

uint64_t InvariantMonitor::violations(Invariant invariant) const {
  return counts_[static_cast<size_t>(invariant)].violations.load(std::memory_order_relaxed);
}

uint64_t InvariantMonitor::TotalViolations() const {
  uint64_t total = 0;
  for (const Counts& counts : counts_) total += counts.violations.load(std::memory_order_relaxed);
  return total;
}

std::string InvariantMonitor::Render() const {
  std::string text = "# TYPE shallot_invariant_checks_total counter\n";
  for (size_t i = 0; i < counts_.size(); ++i) {
    text += std::string("shallot_invariant_checks_total{invariant=\"") + kNames[i] + "\"} " +
            std::to_string(counts_[i].checks.load(std::memory_order_relaxed)) + "\n";
  }
  text += "# TYPE shallot_invariant_violations_total counter\n";
  for (size_t i = 0; i < counts_.size(); ++i) {
    text += std::string("shallot_invariant_violations_total{invariant=\"") + kNames[i] + "\"} " +
            std::to_string(counts_[i].violations.load(std::memory_order_relaxed)) + "\n";
  }
  return text;
}

}  // namespace shallot
