#ifndef SERVERS_BACKEND_SERVER_H_
#define SERVERS_BACKEND_SERVER_H_

#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "servers/call.h"
#include "servers/messages.h"

namespace shallot {

/// How the execution of a call at a backend server ended.
enum class ExecutionEnd {
  kCompleted,
  kNotStarted,  ///< The backend server provably never received the call.
  kFailed,      ///< The backend server answered with an error, or the call was cancelled.
  kUnknown,     ///< The connection broke after the call was sent and could not be resumed.
};

/// Receives the answer of one call. Called on the thread of the core that started the call.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// Called once, before any data.
  virtual void OnBegin(int http_status, const std::string& content_type) = 0;
  /// The next bytes of the answer, in order and without gaps.
  virtual void OnData(const std::string& payload) = 0;
  /// Called once, as the last callback.
  virtual void OnEnd(ExecutionEnd end, const std::string& message) = 0;
};

/// Result of a cancellation at a backend server.
enum class CancelResult { kStopped, kAlreadyEnded, kNotFound };

/// Runs calls on one backend server: a model engine or a plain service. No method blocks; callbacks
/// run on the thread of the core that called.
class BackendServer {
 public:
  using CancelCallback = std::function<void(const Result<CancelResult>&)>;

  virtual ~BackendServer() = default;
  /// Starts the call. `sink` must live until its OnEnd, which always comes.
  virtual void StartCall(const Call& call, AnswerSink* sink) = 0;
  /// Cancels a call that was started; its sink still gets OnEnd.
  virtual void CancelCall(const CallId& call, CancelCallback done) = 0;
};

/// An order to load or unload a catalogue entry.
struct EngineOrder {
  EntryId entry;
  LoadKind kind = LoadKind::kModel;
  /// Base model of an adapter; empty for a model.
  EntryId base;
  std::string version;
  Bytes size;
  FencingNumber fencing;
};

/// Where, or in which transition, a checkpoint is at an engine.
enum class EntryPresence { kLoading, kLoaded, kUnloading, kInHostMemory, kOnDisk };

struct InventoryItem {
  EntryId entry;
  LoadKind kind = LoadKind::kModel;
  std::string version;
  Bytes size;
  EntryPresence presence = EntryPresence::kLoaded;
};

/// Current contents of an engine, without lag.
struct EngineInventory {
  Bytes memory_capacity;
  std::vector<InventoryItem> items;
  /// Calls that the engine executes concurrently without slowing down.
  uint64_t concurrency = 0;
};

/// Load as reported by the engine, with a lag.
struct EngineLoadReport {
  uint64_t running = 0;
  uint64_t waiting = 0;
  Bytes kv_cache_used;
  /// Age of the report.
  Millis age{0};
};

/// A prompt prefix entered or left the cache of an engine. Events arrive late and may be missing.
struct CacheEvent {
  uint64_t sequence = 0;
  EntryId entry;
  uint64_t prefix_hash = 0;
  bool stored = true;
};

enum class EngineRole { kGeneral, kPrefill, kDecode };

/// A model engine. Errors of orders: kFenced, kResourceExhausted (no memory), kNotFound,
/// kUnavailable (not executed), kUnknownOutcome (to be resolved by reading the inventory).
class ModelEngine : public BackendServer {
 public:
  using DoneCallback = std::function<void(const Status&)>;
  using InventoryCallback = std::function<void(const Result<EngineInventory>&)>;
  using LoadReportCallback = std::function<void(const Result<EngineLoadReport>&)>;
  using CacheEventsCallback = std::function<void(const Result<std::vector<CacheEvent>>&)>;
  using KvCallback = std::function<void(const Result<std::string>&)>;

  virtual void Load(const EngineOrder& order, DoneCallback done) = 0;
  virtual void Unload(const EngineOrder& order, DoneCallback done) = 0;
  virtual void FetchInventory(InventoryCallback done) = 0;
  virtual void FetchLoadReport(LoadReportCallback done) = 0;
  /// Fetches the events after sequence number `since`.
  virtual void FetchCacheEvents(uint64_t since, CacheEventsCallback done) = 0;
  virtual void SetRole(EngineRole role, FencingNumber fencing, DoneCallback done) = 0;
  /// KV cache of a call as opaque bytes, for a resume on another engine.
  virtual void ExportKvCache(const CallId& call, KvCallback done) = 0;
  virtual void ImportKvCache(const CallId& call, const std::string& data, DoneCallback done) = 0;
};

/// A backend server that is not a model engine.
class PlainService : public BackendServer {};

}  // namespace shallot

#endif  // SERVERS_BACKEND_SERVER_H_
