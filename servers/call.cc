#include "servers/call.h"

#include <array>

namespace shallot {
namespace {

constexpr std::array<const char*, kCallClassCount> kClassNames = {
    "premium", "status", "interactive", "manuscript", "batch"};
constexpr std::array<const char*, 4> kOutcomeNames = {"completed", "not-run", "failed", "unknown"};
constexpr std::array<const char*, 20> kReasonNames = {
    "none",          "queue-full",    "deadline",          "no-memory",
    "load-failed",   "draining",      "not-granted",       "unknown-entry",
    "no-runner",     "retry-budget",  "store-unavailable", "key-reused",
    "in-progress",   "claimant-lost", "connection-lost",   "cancelled",
    "backend-error", "overload",      "invalid-request",   "crashes-runners"};

}  // namespace

const char* CallClassName(CallClass call_class) {
  return kClassNames[static_cast<size_t>(call_class)];
}

bool ParseCallClass(const std::string& name, CallClass* call_class) {
  for (size_t i = 0; i < kClassNames.size(); ++i) {
    if (name != kClassNames[i]) continue;
    *call_class = static_cast<CallClass>(i);
    return true;
  }
  return false;
}

const char* OutcomeKindName(OutcomeKind kind) { return kOutcomeNames[static_cast<size_t>(kind)]; }

const char* ReasonName(Reason reason) { return kReasonNames[static_cast<size_t>(reason)]; }

}  // namespace shallot
