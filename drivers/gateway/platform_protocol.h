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

namespace shallot::gateway {

/// What the head of a runner's answer says besides its status.
struct AnswerFacts {
  /// The call that the runner answers; empty when it does not say.
  RequestId call;
  /// The runner states that it did not run the call.
  bool not_executed = false;
  /// The answer carries the runner's proof of origin.
  bool sealed = false;
  /// The runner that answered, if it says.
  RunnerId runner;
  struct Load {
    uint64_t running = 0;
    uint64_t waiting = 0;
    uint64_t slots = 0;
  };
  std::optional<Load> load;
};

/// Additions to a call that is sent to a runner.
struct CallEnvelope {
  RunnerId runner;
  Millis time_left{0};
  /// 0 is the most urgent, 9 the least.
  uint64_t urgency = 5;
  /// Streams go on after this event of the answer so far; empty: as the caller asked.
  std::string resume_after;
};

/// An item of the platform store, or its deletion.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
  bool deleted = false;
};

/// Items or changes, with the revision up to which they are known.
struct StoreBatch {
  std::vector<StoreItem> items;
  bool truncated = false;
  StoreRevision revision;
};

struct GrantedLease {
  LeaseId lease;
  Millis term{0};
};

/// A write of one key under the condition that its revision is `expected` (0: absent).
struct ConditionalWrite {
  std::string key;
  std::string value;
  StoreRevision expected;
  LeaseId lease;
};

/// The platform's names, formats and calls. Decides nothing. Every decoder returns a typed error
/// for input that does not have the expected form.
class PlatformProtocol {
 public:
  virtual ~PlatformProtocol() = default;

  // Callers and runners.
  virtual std::string ReadinessPath() const = 0;
  virtual Result<CallRequest> DecodeCall(const HttpHead& head) const = 0;
  /// The call as the runner gets it: the caller's head and body with the envelope's additions.
  virtual HttpMessage EncodeCall(const HttpMessage& call, const CallEnvelope& envelope) const = 0;
  virtual AnswerFacts DecodeAnswer(const HttpHead& head) const = 0;
  /// The head that the caller gets for a runner's answer.
  virtual HttpHead EncodeAnswer(const HttpHead& answer) const = 0;
  /// An answer of the gateway's own to a call.
  virtual HttpMessage OwnAnswer(int status, const RequestId& call, const std::string& reason,
                                std::optional<Millis> retry_after) const = 0;

  // Orders and reports.
  virtual HttpMessage ReportRequest(const RunnerId& runner) const = 0;
  virtual Result<RunnerReport> DecodeReport(const HttpMessage& answer) const = 0;
  virtual HttpMessage EncodeOrder(const Order& order, const InstanceId& holder,
                                  FencingNumber fence) const = 0;
  virtual OrderAnswer DecodeOrderAnswer(int status) const = 0;

  // Store.
  virtual std::string RoutesKey() const = 0;
  virtual std::string RunnersPrefix() const = 0;
  virtual std::string LeaderKey() const = 0;
  /// Prefix of the keys of running gateways.
  virtual std::string GatewaysPrefix() const = 0;
  virtual HttpMessage RangeRequest(const std::string& prefix, const std::string& after) const = 0;
  virtual HttpMessage WatchRequest(const std::string& prefix, StoreRevision after,
                                   Millis wait) const = 0;
  virtual HttpMessage WriteRequest(const ConditionalWrite& write) const = 0;
  virtual HttpMessage LeaseRequest(Millis term) const = 0;
  virtual HttpMessage RenewRequest(LeaseId lease) const = 0;
  virtual HttpMessage EndLeaseRequest(LeaseId lease) const = 0;
  virtual Result<StoreBatch> DecodeRange(const HttpMessage& answer) const = 0;
  virtual Result<StoreBatch> DecodeWatch(const HttpMessage& answer) const = 0;
  virtual Result<StoreRevision> DecodeWrite(const HttpMessage& answer) const = 0;
  virtual Result<GrantedLease> DecodeLease(const HttpMessage& answer) const = 0;
  virtual Status DecodeRenewal(const HttpMessage& answer) const = 0;

  virtual Result<FleetRoutes> DecodeRoutes(const std::string& value) const = 0;
  virtual Result<RunnerEntry> DecodeRunner(const RunnerId& id, const std::string& value) const = 0;
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PLATFORM_PROTOCOL_H_
