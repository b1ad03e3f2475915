#ifndef SERVERS_INSTANCE_LIST_H_
#define SERVERS_INSTANCE_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "servers/messages.h"

namespace shallot {

/// An instance as the platform lists it.
struct InstanceRecord {
  InstanceId id;
  PeerRole role = PeerRole::kAgent;
  /// "IP:port" of the control port (agent) or peer port (router).
  std::string address;
  FailureDomain failure_domain;
  Region region;
  /// Runner and backend of an agent; empty for a router.
  RunnerId runner;
  BackendName backend;
  bool leaving = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// The platform's list of live and leaving instances. It lags: an instance can be gone and still
/// listed, or live and not yet listed. An instance that is no longer listed is gone for good.
class InstanceList {
 public:
  using FetchCallback = std::function<void(const Result<std::vector<InstanceRecord>>&)>;

  virtual ~InstanceList() = default;
  virtual void Fetch(FetchCallback done) = 0;
};

}  // namespace shallot

#endif  // SERVERS_INSTANCE_LIST_H_
