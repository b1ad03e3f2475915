#ifndef DRIVERS_GATEWAY_PEER_CHANNEL_H_
#define DRIVERS_GATEWAY_PEER_CHANNEL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "core/result.h"
#include "servers/gateway/crash_quarantine.h"
#include "servers/gateway/demand_aggregator.h"
#include "servers/gateway/fleet_view.h"
#include "servers/gateway/leader_election.h"

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
};

using PeerMessage = std::variant<DemandReport, RunnerNotice, FindingsReport>;

/// Messages between gateways over ZeroMQ: demand reports to the leader, notices from it, and
/// findings to all. They are soft state that newer messages replace, so a lost message is not sent
/// again.
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
std::string EncodeGatewayRecord(const InstanceId& gateway, const std::string& address);
Result<LeaderRecord> DecodeGatewayRecord(const std::string& value, StoreRevision revision);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PEER_CHANNEL_H_
