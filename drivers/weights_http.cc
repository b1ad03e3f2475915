#include "drivers/weights_http.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/http_reply.h"

namespace shallot {
namespace {

constexpr Millis kTimeout{5000};

Result<WeightStoreStatus> ToStatus(const Result<HttpReply>& result) {
  if (!IsOk(result)) return AsReadError(ErrorOf(result));
  if (ValueOf(result).status != 200) return AsReadError(StatusError(ValueOf(result), "status"));
  try {
    const nlohmann::json json = nlohmann::json::parse(ValueOf(result).body);
    return WeightStoreStatus{json.at("model_loads").get<uint64_t>(),
                             json.at("adapter_loads").get<uint64_t>(),
                             Millis(json.at("per_gigabyte_ms").get<int64_t>())};
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorKind::kInternal, std::string("malformed status: ") + error.what(),
                 "check the version of the weight store"};
  }
}

}  // namespace

WeightsHttp::WeightsHttp(const std::string& address, TaskRing* ring)
    : ring_(ring), requests_({.address = address, .max_threads = 1, .max_queue = 16}) {}

void WeightsHttp::FetchStatus(StatusCallback done) {
  HttpRequest request;
  request.path = "/status";
  ExchangeAsync<WeightStoreStatus>(&requests_, ring_, request, kTimeout, ToStatus, std::move(done));
}

void WeightsHttp::Stop() { requests_.Stop(); }

}  // namespace shallot
