#include "drivers/platform_http.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/http_reply.h"

namespace shallot {
namespace {

constexpr Millis kTimeout{5000};
// The service responds to a watch after up to 20 s.
constexpr Millis kWatchTimeout{30'000};
constexpr size_t kRequestThreads = 4;
constexpr size_t kWatchThreads = 32;

uint64_t VersionOf(const HttpReply& reply) {
  return std::strtoull(reply.Header("X-Version").c_str(), nullptr, 10);
}

Result<VersionedValue> ToValue(const Result<HttpReply>& result) {
  if (!IsOk(result)) return AsReadError(ErrorOf(result));
  const HttpReply& reply = ValueOf(result);
  if (reply.status == 404) return VersionedValue{};
  if (reply.status != 200) return AsReadError(StatusError(reply, "read"));
  return VersionedValue{StoreVersion(VersionOf(reply)), reply.body};
}

Result<StoreVersion> ToVersion(const Result<HttpReply>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const HttpReply& reply = ValueOf(result);
  if (reply.status == 200) return StoreVersion(VersionOf(reply));
  if (reply.status != 409) return StatusError(reply, "write");
  return Error{ErrorKind::kConflict,
               "the value is already at version " + std::to_string(VersionOf(reply)),
               "read the value again before the next write"};
}

Result<LeaseGrant> ToLease(const Result<HttpReply>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const HttpReply& reply = ValueOf(result);
  if (reply.status != 200) return StatusError(reply, "lease");
  try {
    const nlohmann::json json = nlohmann::json::parse(reply.body);
    return LeaseGrant{FencingNumber(json.at("fencing").get<uint64_t>()),
                      Millis(json.at("ttl_ms").get<int64_t>())};
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorKind::kUnknownOutcome, std::string("malformed lease: ") + error.what(), ""};
  }
}

Status ToStatus(const Result<HttpReply>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const int status = ValueOf(result).status;
  if (status == 200 || status == 204) return OkStatus();
  return StatusError(ValueOf(result), "release of the lease");
}

Result<std::vector<InstanceRecord>> ToInstances(const Result<HttpReply>& result) {
  if (!IsOk(result)) return AsReadError(ErrorOf(result));
  if (ValueOf(result).status != 200) return AsReadError(StatusError(ValueOf(result), "instances"));
  return ParseInstances(ValueOf(result).body);
}

HttpRequest KeyRequest(const std::string& method, const std::string& folder, const StoreKey& key,
                       const std::string& query = {}) {
  HttpRequest request;
  request.method = method;
  request.path = folder + EncodePath(key.value()) + query;
  return request;
}

InstanceRecord ToInstance(const nlohmann::json& json) {
  InstanceRecord record;
  record.id = InstanceId(json.at("id").get<std::string>());
  record.role =
      json.at("role").get<std::string>() == "router" ? PeerRole::kRouter : PeerRole::kAgent;
  record.address = json.at("address").get<std::string>();
  record.failure_domain = FailureDomain(json.value("failure_domain", ""));
  record.region = Region(json.value("region", ""));
  record.runner = RunnerId(json.value("runner", ""));
  record.backend = BackendName(json.value("backend", ""));
  record.leaving = json.value("leaving", false);
  return record;
}

}  // namespace

Result<std::vector<InstanceRecord>> ParseInstances(const std::string& json) {
  try {
    std::vector<InstanceRecord> records;
    for (const nlohmann::json& item : nlohmann::json::parse(json)) {
      records.push_back(ToInstance(item));
    }
    return records;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorKind::kInternal, std::string("malformed instance list: ") + error.what(),
                 "check the version of the platform"};
  }
}

PlatformHttp::PlatformHttp(const std::string& address, TaskRing* ring)
    : ring_(ring),
      requests_({.address = address, .max_threads = kRequestThreads}),
      watches_({.address = address, .max_threads = kWatchThreads}) {}

PlatformHttp::~PlatformHttp() = default;

void PlatformHttp::Get(const StoreKey& key, GetCallback done) {
  ExchangeAsync<VersionedValue>(&requests_, ring_, KeyRequest("GET", "/kv/", key), kTimeout,
                                ToValue, std::move(done));
}

void PlatformHttp::CompareAndSwap(const StoreKey& key, StoreVersion expected,
                                  const std::string& value, Millis ttl, PutCallback done) {
  std::string query = "?expected=" + std::to_string(expected.value());
  if (ttl.count() > 0) query += "&ttl_ms=" + std::to_string(ttl.count());
  HttpRequest request = KeyRequest("PUT", "/kv/", key, query);
  request.content_type = "application/octet-stream";
  request.body = value;
  ExchangeAsync<StoreVersion>(&requests_, ring_, request, kTimeout, ToVersion, std::move(done));
}

void PlatformHttp::Watch(const StoreKey& key, StoreVersion known, GetCallback done) {
  const std::string query = "?watch=" + std::to_string(known.value());
  ExchangeAsync<VersionedValue>(&watches_, ring_, KeyRequest("GET", "/kv/", key, query),
                                kWatchTimeout, ToValue, std::move(done));
}

void PlatformHttp::AcquireLease(const StoreKey& key, const InstanceId& holder, Millis ttl,
                                LeaseCallback done) {
  const std::string query =
      "?holder=" + EncodeQuery(holder.value()) + "&ttl_ms=" + std::to_string(ttl.count());
  ExchangeAsync<LeaseGrant>(&requests_, ring_, KeyRequest("POST", "/lease/", key, query), kTimeout,
                            ToLease, std::move(done));
}

void PlatformHttp::ReleaseLease(const StoreKey& key, const InstanceId& holder, DoneCallback done) {
  const std::string query = "?holder=" + EncodeQuery(holder.value());
  ExchangeAsync<std::monostate>(&requests_, ring_, KeyRequest("DELETE", "/lease/", key, query),
                                kTimeout, ToStatus, std::move(done));
}

void PlatformHttp::Fetch(FetchCallback done) {
  HttpRequest request;
  request.path = "/instances";
  ExchangeAsync<std::vector<InstanceRecord>>(&requests_, ring_, request, kTimeout, ToInstances,
                                             std::move(done));
}

void PlatformHttp::Stop() {
  watches_.Stop();
  requests_.Stop();
}

}  // namespace shallot
