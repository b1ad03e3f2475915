#ifndef DRIVERS_ENGINE_HTTP_H_
#define DRIVERS_ENGINE_HTTP_H_

#include <string>
#include <vector>

#include "core/bounded_ring.h"
#include "drivers/http_call_runner.h"
#include "drivers/http_worker_pool.h"
#include "servers/backend_server.h"

namespace shallot {

/// Client of a model engine over HTTP. Callbacks are posted to a task ring and run on the thread of
/// the loop that drains it.
class EngineHttp final : public ModelEngine {
 public:
  /// `address` is "IP:port". `ring` must outlive this object.
  EngineHttp(const std::string& address, TaskRing* ring);

  void StartCall(const Call& call, AnswerSink* sink) override;
  void CancelCall(const CallId& call, CancelCallback done) override;
  void Load(const EngineOrder& order, DoneCallback done) override;
  void Unload(const EngineOrder& order, DoneCallback done) override;
  void FetchInventory(InventoryCallback done) override;
  void FetchLoadReport(LoadReportCallback done) override;
  void FetchCacheEvents(uint64_t since, CacheEventsCallback done) override;
  void SetRole(EngineRole role, FencingNumber fencing, DoneCallback done) override;
  void ExportKvCache(const CallId& call, KvCallback done) override;
  void ImportKvCache(const CallId& call, const std::string& data, DoneCallback done) override;

  /// Aborts the requests in progress and joins the threads; meanwhile another
  /// thread must drain the ring, because the threads wait until it has room for their callbacks.
  void Stop();

 private:
  void SendOrder(const std::string& path, const EngineOrder& order, DoneCallback done);

  TaskRing* ring_;
  HttpCallRunner calls_;
  /// Orders have their own threads: loads take seconds to minutes, and queries would have to wait
  /// for them.
  HttpWorkerPool orders_;
  HttpWorkerPool queries_;
};

/// Parse the responses to `GET /admin/inventory`, `/admin/load-report` and `/admin/cache-events`.
/// kInternal if malformed.
Result<EngineInventory> ParseInventory(const std::string& json);
Result<EngineLoadReport> ParseLoadReport(const std::string& json);
Result<std::vector<CacheEvent>> ParseCacheEvents(const std::string& json);

}  // namespace shallot

#endif  // DRIVERS_ENGINE_HTTP_H_
