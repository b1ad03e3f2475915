#include "drivers/engine_http.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/http_reply.h"

namespace shallot {
namespace {

using Json = nlohmann::json;

// Loading the largest checkpoint from a slow weight store takes minutes.
constexpr Millis kOrderTimeout{600'000};
constexpr Millis kQueryTimeout{3000};
constexpr size_t kOrderThreads = 16;
constexpr size_t kQueryThreads = 4;

template <class T>
using JsonReader = T (*)(const Json&);

/// Parses JSON; any malformed content becomes an error.
template <class T>
Result<T> Parse(const std::string& text, const char* what, JsonReader<T> reader) {
  try {
    return reader(Json::parse(text));
  } catch (const Json::exception& error) {
    return Error{ErrorKind::kInternal, std::string("malformed ") + what + ": " + error.what(),
                 "check the version of the engine"};
  }
}

LoadKind ReadKind(const Json& json) {
  return json.value("kind", "model") == "adapter" ? LoadKind::kAdapter : LoadKind::kModel;
}

EntryPresence ReadPresence(const Json& json) {
  const auto text = json.at("presence").get<std::string>();
  if (text == "loading") return EntryPresence::kLoading;
  if (text == "loaded") return EntryPresence::kLoaded;
  if (text == "unloading") return EntryPresence::kUnloading;
  if (text == "host-memory") return EntryPresence::kInHostMemory;
  if (text == "disk") return EntryPresence::kOnDisk;
  throw Json::other_error::create(501, "unknown presence \"" + text + "\"", &json);
}

EngineInventory ReadInventory(const Json& json) {
  EngineInventory inventory;
  inventory.memory_capacity = Bytes(json.at("memory_capacity").get<uint64_t>());
  inventory.concurrency = json.at("concurrency").get<uint64_t>();
  for (const Json& item : json.at("items")) {
    inventory.items.push_back({EntryId(item.at("entry").get<std::string>()), ReadKind(item),
                               item.value("version", ""),
                               Bytes(item.at("size_bytes").get<uint64_t>()), ReadPresence(item)});
  }
  return inventory;
}

EngineLoadReport ReadLoadReport(const Json& json) {
  return {json.at("running").get<uint64_t>(), json.at("waiting").get<uint64_t>(),
          Bytes(json.at("kv_cache_used").get<uint64_t>()),
          Millis(json.at("age_ms").get<int64_t>())};
}

std::vector<CacheEvent> ReadCacheEvents(const Json& json) {
  std::vector<CacheEvent> events;
  for (const Json& item : json) {
    events.push_back({item.at("sequence").get<uint64_t>(),
                      EntryId(item.at("entry").get<std::string>()),
                      item.at("prefix_hash").get<uint64_t>(), item.at("stored").get<bool>()});
  }
  return events;
}

/// Returns a function that converts a reply with JSON content using `parse`.
template <class T>
std::function<Result<T>(const Result<HttpReply>&)> ToParsed(
    Result<T> (*parse)(const std::string&)) {
  return [parse](const Result<HttpReply>& result) -> Result<T> {
    if (!IsOk(result)) return AsReadError(ErrorOf(result));
    if (ValueOf(result).status != 200) return AsReadError(StatusError(ValueOf(result), "query"));
    return parse(ValueOf(result).body);
  };
}

Status ToStatus(const Result<HttpReply>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const int status = ValueOf(result).status;
  if (status == 200 || status == 204) return OkStatus();
  return StatusError(ValueOf(result), "order", ErrorKind::kFenced);
}

Result<std::string> ToBody(const Result<HttpReply>& result) {
  if (!IsOk(result)) return AsReadError(ErrorOf(result));
  if (ValueOf(result).status != 200) return AsReadError(StatusError(ValueOf(result), "KV cache"));
  return ValueOf(result).body;
}

HttpRequest JsonPost(const std::string& path, const Json& json) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.content_type = "application/json";
  request.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return request;
}

HttpRequest GetRequest(const std::string& path) {
  HttpRequest request;
  request.path = path;
  return request;
}

const char* RoleName(EngineRole role) {
  if (role == EngineRole::kPrefill) return "prefill";
  return role == EngineRole::kDecode ? "decode" : "general";
}

}  // namespace

Result<EngineInventory> ParseInventory(const std::string& json) {
  return Parse<EngineInventory>(json, "inventory", ReadInventory);
}

Result<EngineLoadReport> ParseLoadReport(const std::string& json) {
  return Parse<EngineLoadReport>(json, "load report", ReadLoadReport);
}

Result<std::vector<CacheEvent>> ParseCacheEvents(const std::string& json) {
  return Parse<std::vector<CacheEvent>>(json, "cache events", ReadCacheEvents);
}

EngineHttp::EngineHttp(const std::string& address, TaskRing* ring)
    : ring_(ring),
      calls_({.address = address,
              .resume_path = "/streams",
              .cancel_path = "/streams",
              .not_started_status = 404},
             ring),
      orders_({.address = address, .max_threads = kOrderThreads}),
      queries_({.address = address, .max_threads = kQueryThreads}) {}

void EngineHttp::StartCall(const Call& call, AnswerSink* sink) {
  HttpRequest request;
  request.method = call.method.empty() ? "POST" : call.method;
  request.path = call.path;
  request.content_type = call.content_type.empty() ? "application/json" : call.content_type;
  request.body = call.body;
  request.headers = {{"X-Call-Id", call.id.value()},
                     {"X-Priority", std::to_string(static_cast<int>(call.call_class))},
                     {"X-Entry", call.entry.value()}};
  calls_.Start(call, request, sink);
}

void EngineHttp::CancelCall(const CallId& call, CancelCallback done) { calls_.Cancel(call, done); }

void EngineHttp::SendOrder(const std::string& path, const EngineOrder& order, DoneCallback done) {
  const Json json = {{"entry", order.entry.value()},
                     {"kind", order.kind == LoadKind::kAdapter ? "adapter" : "model"},
                     {"base", order.base.value()},
                     {"version", order.version},
                     {"size_bytes", order.size.value()},
                     {"fencing", order.fencing.value()}};
  ExchangeAsync<std::monostate>(&orders_, ring_, JsonPost(path, json), kOrderTimeout, ToStatus,
                                std::move(done));
}

void EngineHttp::Load(const EngineOrder& order, DoneCallback done) {
  SendOrder("/admin/load", order, std::move(done));
}

void EngineHttp::Unload(const EngineOrder& order, DoneCallback done) {
  SendOrder("/admin/unload", order, std::move(done));
}

void EngineHttp::FetchInventory(InventoryCallback done) {
  ExchangeAsync<EngineInventory>(&queries_, ring_, GetRequest("/admin/inventory"), kQueryTimeout,
                                 ToParsed(&ParseInventory), std::move(done));
}

void EngineHttp::FetchLoadReport(LoadReportCallback done) {
  ExchangeAsync<EngineLoadReport>(&queries_, ring_, GetRequest("/admin/load-report"), kQueryTimeout,
                                  ToParsed(&ParseLoadReport), std::move(done));
}

void EngineHttp::FetchCacheEvents(uint64_t since, CacheEventsCallback done) {
  ExchangeAsync<std::vector<CacheEvent>>(
      &queries_, ring_, GetRequest("/admin/cache-events?since=" + std::to_string(since)),
      kQueryTimeout, ToParsed(&ParseCacheEvents), std::move(done));
}

void EngineHttp::SetRole(EngineRole role, FencingNumber fencing, DoneCallback done) {
  const Json json = {{"role", RoleName(role)}, {"fencing", fencing.value()}};
  ExchangeAsync<std::monostate>(&orders_, ring_, JsonPost("/admin/role", json), kQueryTimeout,
                                ToStatus, std::move(done));
}

void EngineHttp::ExportKvCache(const CallId& call, KvCallback done) {
  ExchangeAsync<std::string>(&queries_, ring_, GetRequest("/admin/kv/" + EncodePath(call.value())),
                             kQueryTimeout, ToBody, std::move(done));
}

void EngineHttp::ImportKvCache(const CallId& call, const std::string& data, DoneCallback done) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/admin/kv/" + EncodePath(call.value());
  request.content_type = "application/octet-stream";
  request.body = data;
  ExchangeAsync<std::monostate>(&queries_, ring_, request, kQueryTimeout, ToStatus,
                                std::move(done));
}

void EngineHttp::Stop() {
  queries_.Stop();
  orders_.Stop();
  calls_.Stop();
}

}  // namespace shallot
