#ifndef DRIVERS_GATEWAY_PLATFORM_PROTOCOL_H_
#define DRIVERS_GATEWAY_PLATFORM_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "drivers/gateway/http_message.h"
#include "servers/gateway/call_request.h"
#include "servers/gateway/fleet_routes.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/order_tracker.h"
#include "servers/gateway/store_position.h"

namespace shallot::gateway {

/// Information in the head of a runner's answer, apart from the status.
struct AnswerMetadata {
  /// Id of the answered call; empty when the answer has none.
  RequestId call;
  /// The runner states that it did not run the call.
  bool not_executed = false;
  /// The answer has the field that proves that it comes from the runner.
  bool sealed = false;
  /// The runner that answered; empty when the answer does not name it.
  RunnerId runner;
  struct Load {
    uint64_t running = 0;
    uint64_t waiting = 0;
    uint64_t slots = 0;
    /// Time that work currently takes at the runner over the time that it usually takes; absent if
    /// the runner does not state it.
    std::optional<double> pace;
  };
  /// Absent if the answer does not state it or it cannot be read.
  std::optional<Load> load;
  /// The answer states a load that cannot be read; all of it is ignored.
  bool load_unreadable = false;
  /// The runner is leaving: it takes no new calls.
  bool leaving = false;
  struct Closed {
    /// Absent if the field could not be read.
    std::optional<Millis> time;
  };
  /// The runner turned the call away and takes none for some time.
  std::optional<Closed> closed;
  /// Calls a second that the runner takes from all gateways together, if it names a limit.
  std::optional<double> calls_per_s;
};

/// What the gateway adds to a call that it sends to a runner.
struct CallEnvelope {
  RunnerId runner;
  Millis time_left{0};
  /// 0 is the most urgent, 9 the least.
  uint64_t urgency = 5;
  /// Id of the last event that was delivered; the stream resumes after it. If empty, the caller's
  /// own request applies.
  std::string resume_after;
  /// The configuration has teams: the caller's key and the team that it claims are not sent on.
  bool keys_required = false;
  /// The team that holds the caller's key; empty if none does.
  TeamName team;
};

/// An item of the platform store, or the deletion of one.
struct StoreItem {
  std::string key;
  std::string value;
  StorePosition position;
  /// When the key was created; it is created again after it was removed. Zero if not stated.
  StorePosition created;
  bool deleted = false;
};

/// A page of items or a list of changes, with the position up to which they are complete.
struct StoreBatch {
  std::vector<StoreItem> items;
  bool truncated = false;
  /// Some items could not be read and are missing.
  bool incomplete = false;
  StorePosition position;
};

struct GrantedLease {
  LeaseId lease;
  Millis term{0};
};

/// Compare-and-set of one key: takes effect only if the key's revision is `expected` (0: the key
/// does not exist).
struct ConditionalWrite {
  std::string key;
  std::string value;
  StoreRevision expected;
  LeaseId lease;
};

/// Encodes and decodes the messages of the platform. Makes no decisions. Decoders that return a
/// Result or Status report input of the wrong form as a typed error.
class PlatformProtocol {
 public:
  virtual ~PlatformProtocol() = default;

  // Callers and runners.
  virtual std::string ReadinessPath() const = 0;
  virtual Result<CallRequest> DecodeCall(const HttpHead& head) const = 0;
  /// The call as it is sent to the runner: the caller's head and body plus the envelope.
  virtual HttpMessage EncodeCall(const HttpMessage& call, const CallEnvelope& envelope) const = 0;
  virtual AnswerMetadata DecodeAnswer(const HttpHead& head) const = 0;
  /// The head that is sent to the caller for a runner's answer.
  virtual HttpHead EncodeAnswer(const HttpHead& answer) const = 0;
  /// An error answer to a call that the gateway itself generates.
  virtual HttpMessage ErrorAnswer(int status, const RequestId& call, const std::string& reason,
                                  std::optional<Millis> retry_after) const = 0;

  // Orders and reports.
  virtual HttpMessage ReportRequest(const RunnerId& runner) const = 0;
  virtual Result<RunnerReport> DecodeReport(const HttpMessage& answer) const = 0;
  virtual HttpMessage EncodeOrder(const Order& order, const InstanceId& holder,
                                  FencingNumber fence) const = 0;
  virtual OrderAnswer DecodeOrderAnswer(int status) const = 0;

  // Store.
  /// The era that an answer of the store names; absent if it names none.
  virtual std::optional<StoreEra> DecodeStoreEra(const HttpHead& answer) const = 0;
  /// False if the store answered that it does not serve calls now, or not this many.
  virtual bool StoreServes(const HttpHead& answer) const = 0;
  virtual std::string RoutesKey() const = 0;
  virtual std::string RunnersPrefix() const = 0;
  virtual std::string LeaderKey() const = 0;
  /// Prefix of the keys under which running gateways are registered.
  virtual std::string GatewaysPrefix() const = 0;
  /// Prefix of the keys with the findings of each gateway.
  virtual std::string FindingsPrefix() const = 0;
  virtual HttpMessage RangeRequest(const std::string& prefix, const std::string& after) const = 0;
  virtual HttpMessage WatchRequest(const std::string& prefix, StoreRevision after,
                                   Millis wait) const = 0;
  virtual HttpMessage WriteRequest(const ConditionalWrite& write) const = 0;
  virtual HttpMessage LeaseRequest(Millis term) const = 0;
  virtual HttpMessage RenewRequest(LeaseId lease) const = 0;
  virtual HttpMessage EndLeaseRequest(LeaseId lease) const = 0;
  virtual Result<StoreBatch> DecodeRange(const HttpMessage& answer) const = 0;
  virtual Result<StoreBatch> DecodeWatch(const HttpMessage& answer) const = 0;
  virtual Result<StorePosition> DecodeWrite(const HttpMessage& answer) const = 0;
  virtual Result<GrantedLease> DecodeLease(const HttpMessage& answer) const = 0;
  virtual Status DecodeRenewal(const HttpMessage& answer) const = 0;

  virtual Result<FleetRoutes> DecodeRoutes(const std::string& value) const = 0;
  virtual Result<RunnerEntry> DecodeRunner(const RunnerId& id, const std::string& value) const = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PLATFORM_PROTOCOL_H_
