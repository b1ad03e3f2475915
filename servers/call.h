#ifndef SERVERS_CALL_H_
#define SERVERS_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace shallot {

/// Priority class of a call, in descending priority.
enum class CallClass { kPremium, kStatus, kInteractive, kManuscript, kBatch };
constexpr int kCallClassCount = 5;

/// Name of a class as used in settings, headers and metric labels, for example "premium".
const char* CallClassName(CallClass call_class);
/// Parses a class name; returns false when there is no such class.
bool ParseCallClass(const std::string& name, CallClass* call_class);

/// Final state of a call.
enum class OutcomeKind {
  kCompleted,
  kNotRun,   ///< The call provably did not run and will not run.
  kFailed,   ///< The call ran and failed.
  kUnknown,  ///< The call may or may not have run.
};

/// Name of an outcome as used in the outcome header, for example "not-run".
const char* OutcomeKindName(OutcomeKind kind);

/// Why a call was not run, failed or is unknown. Names are part of the caller interface.
enum class Reason {
  kNone,
  kQueueFull,
  kDeadline,  ///< It cannot be, or was not, served before its deadline.
  kNoMemory,  ///< No eligible runner has enough memory for the entry.
  kLoadFailed,
  kDraining,
  kNotGranted,  ///< The runner holds no slot of the entry.
  kUnknownEntry,
  kNoRunner,  ///< No live runner has a slot of the entry.
  kRetryBudget,
  kStoreUnavailable,  ///< An order could not be claimed.
  kKeyReused,         ///< The idempotency key belongs to another request.
  kInProgress,        ///< An order with the same key is still running.
  kClaimantLost,      ///< The runner that claimed the order is gone.
  kConnectionLost,
  kCancelled,
  kBackendError,
  kOverload,
  kInvalidRequest,
  kCrashesRunners,  ///< Calls with the same traits have crashed runners.
};

const char* ReasonName(Reason reason);

/// Final result of a call; each call gets exactly one.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kUnknown;
  Reason reason = Reason::kNone;
  /// Delay after which a retry is worthwhile; zero when unknown.
  Millis retry_after{0};
  /// HTTP status from the backend server; 0 when there was none.
  int http_status = 0;
  std::string content_type;
  /// Length of the whole answer in bytes; valid for kCompleted.
  uint64_t total_length = 0;
  /// Human-readable detail.
  std::string message;

  bool operator==(const Outcome&) const = default;
};

/// A caller's request, to be executed by a backend server.
struct Call {
  CallId id;
  Attempt attempt{1};
  RequestId request_id;
  /// Catalogue entry; empty for a call to a plain service.
  EntryId entry;
  /// Backend of a plain service; empty for a model call.
  BackendName service;
  CallClass call_class = CallClass::kInteractive;
  /// Time left until the deadline when the call is sent.
  Millis remaining{0};
  /// False for an order, which must run at most once.
  bool repeatable = true;
  IdempotencyKey idempotency_key;
  bool stream = false;
  std::string method;
  /// Path and query at the backend server.
  std::string path;
  std::string content_type;
  std::string body;
  /// Generation of the runner's slot as known to the router.
  Generation slot_generation;
  /// What a model call has in common with others, see CrashQuarantine.
  std::vector<CallTrait> traits = {};

  bool operator==(const Call&) const = default;
};

}  // namespace shallot

#endif  // SERVERS_CALL_H_
