#ifndef SERVERS_MESSAGES_H_
#define SERVERS_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/call.h"
#include "servers/crash_quarantine.h"
#include "servers/slot.h"

namespace shallot {

enum class PeerRole { kRouter, kAgent };

/// Load of a runner, or of a router (only `running` and `queued`).
struct LoadSummary {
  uint64_t running = 0;
  uint64_t queued = 0;
  /// Calls that the engine executes concurrently without slowing down; 0 when unknown.
  uint64_t concurrency = 0;
  /// Mean time from start to end of recent calls.
  Millis mean_service{0};
  Bytes memory_capacity;
  Bytes memory_reserved;
  std::vector<EntryId> loaded;
  /// Entries whose checkpoints are cached in host memory.
  std::vector<EntryId> cached_in_memory;
  /// Entries whose checkpoints are cached on disk.
  std::vector<EntryId> cached_on_disk;
  /// False while the engine does not answer.
  bool serving = true;

  bool operator==(const LoadSummary&) const = default;
};

/// First message in each direction on a connection.
struct Hello {
  InstanceId sender;
  Incarnation incarnation;
  PeerRole role = PeerRole::kRouter;
  /// Runner of an agent; empty for a router.
  RunnerId runner;
  FailureDomain failure_domain;
  ConfigRevision config_revision;
  bool draining = false;

  bool operator==(const Hello&) const = default;
};

/// Sent every 500 ms in both directions; an agent that starts to drain sends one immediately.
struct Heartbeat {
  uint64_t sequence = 0;
  ConfigRevision config_revision;
  bool draining = false;
  LoadSummary load;

  bool operator==(const Heartbeat&) const = default;
};

struct CallStart {
  Call call;
  bool operator==(const CallStart&) const = default;
};

struct CallCancel {
  CallId call;
  Attempt attempt;
  bool operator==(const CallCancel&) const = default;
};

/// Requests all frames from `offset` on, and the outcome, on the connection on which it arrives.
struct CallResume {
  CallId call;
  Attempt attempt;
  uint64_t offset = 0;
  bool operator==(const CallResume&) const = default;
};

struct CallFrame {
  CallId call;
  Attempt attempt;
  /// Position of the first byte of `payload` in the answer.
  uint64_t offset = 0;
  std::string payload;
  /// HTTP status of the backend server's answer, 0 when it sent none. This and `content_type` are
  /// set only in frames with offset 0.
  int http_status = 0;
  std::string content_type = {};
  bool operator==(const CallFrame&) const = default;
};

/// Follows the last frame. For kCompleted, `outcome.total_length` is the length of the answer.
struct CallOutcome {
  CallId call;
  Attempt attempt;
  Outcome outcome;
  bool operator==(const CallOutcome&) const = default;
};

/// Sent when the router has the outcome and the whole answer, or no longer waits for them; the
/// agent may discard the call.
struct CallAck {
  CallId call;
  Attempt attempt;
  bool operator==(const CallAck&) const = default;
};

/// All slots of one shard on the receiving runner. Replaces older grants of the shard.
struct SlotGrant {
  ShardId shard;
  StoreVersion version;
  /// Incarnation of the agent; the placement was certainly not read before this incarnation
  /// started.
  Incarnation incarnation;
  std::vector<Slot> slots;
  bool operator==(const SlotGrant&) const = default;
};

/// Reports that the runner has unloaded the entry and will not load it again under this generation.
struct SlotReleased {
  ShardId shard;
  EntryId entry;
  RunnerId runner;
  Generation generation;
  bool operator==(const SlotReleased&) const = default;
};

struct ConfigPull {
  ConfigRevision known;
  bool operator==(const ConfigPull&) const = default;
};

struct ConfigPush {
  ConfigRevision revision;
  /// Text of `config/head`.
  std::string head;
  /// Text of the snapshot that the head builds on; empty when the receiver already has it.
  std::string snapshot;
  bool operator==(const ConfigPush&) const = default;
};

enum class LoadKind { kModel, kAdapter };

struct LoadPermitRequest {
  uint64_t permit_id = 0;
  RunnerId runner;
  EntryId entry;
  LoadKind kind = LoadKind::kModel;
  /// Time left until the earliest deadline of the calls that wait for the load.
  Millis remaining{0};
  /// Incarnation of the requesting agent; permits of its earlier incarnations are void.
  Incarnation incarnation;
  /// Permits that the agent holds or requests, including this one. All its other permits are void,
  /// so that a lost LoadPermitReturn does not keep the load budget exhausted.
  std::vector<uint64_t> open_permits;
  bool operator==(const LoadPermitRequest&) const = default;
};

struct LoadPermit {
  uint64_t permit_id = 0;
  RunnerId runner;
  /// The permit expires by itself after this time.
  Millis valid_for{0};
  bool operator==(const LoadPermit&) const = default;
};

/// Returns a permit. If `incarnation` is set, returns all permits of earlier incarnations instead.
struct LoadPermitReturn {
  uint64_t permit_id = 0;
  RunnerId runner;
  Incarnation incarnation;
  bool operator==(const LoadPermitReturn&) const = default;
};

struct DrainOrder {
  std::string reason;
  Millis grace{0};
  bool operator==(const DrainOrder&) const = default;
};

/// What a process knows of calls that crash engines. Agents tell of their engine's crashes; routers
/// tell a router that has just connected which calls they refuse.
struct CrashNotice {
  InstanceId reporter;
  bool from_router = false;
  /// An agent's incarnation, and a number that rises with each of its notices.
  Incarnation incarnation;
  uint64_t sequence = 0;
  CrashFindings findings;
  bool operator==(const CrashNotice&) const = default;
};

/// Any message between processes of the system.
using Message =
    std::variant<Hello, Heartbeat, CallStart, CallCancel, CallResume, CallFrame, CallOutcome,
                 CallAck, SlotGrant, SlotReleased, ConfigPull, ConfigPush, LoadPermitRequest,
                 LoadPermit, LoadPermitReturn, DrainOrder, CrashNotice>;

}  // namespace shallot

#endif  // SERVERS_MESSAGES_H_
