#ifndef DRIVERS_GATEWAY_PEER_CHANNEL_H_
#define DRIVERS_GATEWAY_PEER_CHANNEL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/result.h"
#include "drivers/gateway/gateway_settings.h"
#include "servers/crash_quarantine.h"
#include "servers/gateway/demand_aggregator.h"
#include "servers/gateway/findings_order.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/leader_election.h"
#include "servers/gateway/memory/runner_memory.h"
#include "servers/gateway/quota/quota_messages.h"
#include "servers/gateway/runner_limits.h"

namespace shallot::gateway {

/// A runner's report as the placement leader read it, sent to all gateways.
struct RunnerNotice {
  RunnerId runner;
  RunnerReport report;
  /// Fencing number of the leader that sent it.
  FencingNumber fence;
};

/// One gateway's findings, sent to all gateways and written to its key in the store.
struct FindingsReport {
  InstanceId gateway;
  CrashFindings crashes;
  std::vector<LimitFinding> limits;
  FindingsNumber number = {};
};

/// A gateway's request for permits, sent to the placement leader.
struct PermitRequest {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts the response.
  std::string address;
  /// Echoed in the response.
  uint64_t number = 0;
  std::vector<PermitWish> wishes;
};

/// The leader's response to a PermitRequest.
struct PermitResponse {
  uint64_t number = 0;
  std::vector<Permits> permits;
};

/// The version of the configuration that a gateway has in force; 0 if it has none.
struct ConfigVersion {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts the response.
  std::string address;
  FleetVersion version;
};

/// A gateway's configuration, sent to one that has an older version.
struct ConfigCopy {
  InstanceId gateway;
  /// "IP:port" under which the store lists the gateway.
  std::string address;
  /// As the operators wrote it.
  std::string value;
};

/// A gateway's request for another one's proof that its configuration is the latest.
struct ProofRequest {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts the response.
  std::string address;
  /// Echoed in the response.
  uint64_t number = 0;
};

struct ProofResponse {
  InstanceId gateway;
  /// "IP:port" under which the store lists the gateway.
  std::string address;
  uint64_t number = 0;
  /// The version in force; 0 if there is none.
  FleetVersion version;
  /// Age of the proof, rounded up; absent if there is none.
  std::optional<Millis> age;
};

/// A gateway's request for memory of runners, sent to the placement leader.
struct MemoryRequest {
  InstanceId gateway;
  /// "IP:port" where the gateway accepts the response.
  std::string address;
  /// Echoed in the response.
  uint64_t number = 0;
  std::vector<MemoryAsk> asks;
};

/// The leader's response to a MemoryRequest.
struct MemoryResponse {
  uint64_t number = 0;
  std::vector<MemoryGrant> grants;
};

using PeerMessage =
    std::variant<DemandReport, RunnerNotice, FindingsReport, PermitRequest, PermitResponse,
                 ConfigVersion, ConfigCopy, ProofRequest, ProofResponse, QuotaAsk, QuotaGrant,
                 MemoryRequest, MemoryResponse>;

/// Messages between gateways over ZeroMQ: demand reports and permit requests to the leader, notices
/// and permits from it, findings to all, configurations and the age of their proofs, requests for
/// tokens of quotas and the responses of quota issuers. They are soft state that newer messages
/// replace, so a lost message is not sent again.
class PeerChannel {
 public:
  PeerChannel();
  ~PeerChannel();
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  /// Listens on "IP:port".
  Status Open(const std::string& address);
  /// Sends without blocking. Returns false when the peer's queue is full or sending fails.
  bool Send(const std::string& address, const PeerMessage& message);
  /// Closes outgoing connections to addresses that are not in `keep`.
  void CloseAllExcept(const std::set<std::string>& keep);
  /// Passes at most `limit` received messages to `handle`, without blocking.
  void Receive(size_t limit, const std::function<void(const PeerMessage&)>& handle);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Encodes the value of a gateway's key, or of the leader's key, in the platform store.
std::string EncodeGatewayRecord(const GatewaySettings& settings);
Result<LeaderRecord> DecodeGatewayRecord(const std::string& value, StorePosition position);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PEER_CHANNEL_H_
