#include "bench/bench_platform.h"

#include <chrono>
#include <cstdlib>

namespace shallot::bench {
namespace {

constexpr Seconds kWatchTimeout{20};

/// Number after `name=` in a query string; 0 when it is absent.
uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const size_t at = query.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

BenchPlatform::BenchPlatform()
    : server_(
          std::make_unique<HttpServer>(HttpServerOptions{.address = "127.0.0.1:0", .threads = 64},
                                       [this](HttpExchange& exchange) { Handle(exchange); })) {}

BenchPlatform::~BenchPlatform() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  server_->Stop();
}

Status BenchPlatform::Start() { return server_->Start(); }

std::string BenchPlatform::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void BenchPlatform::SetInstances(const std::string& json) {
  const std::scoped_lock lock(mutex_);
  instances_ = json;
}

void BenchPlatform::Handle(HttpExchange& exchange) {
  const std::string& target = exchange.target();
  const size_t query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string query = query_start == std::string::npos ? "" : target.substr(query_start + 1);
  if (path == "/instances") {
    const std::scoped_lock lock(mutex_);
    exchange.SendWhole(200, "application/json", instances_);
  } else if (path.starts_with("/lease/")) {
    exchange.SendWhole(
        200, "application/json",
        "{\"fencing\":1,\"ttl_ms\":" + std::to_string(QueryNumber(query, "ttl_ms")) + "}");
  } else if (exchange.method() == "PUT") {
    Write(exchange, path, query);
  } else {
    Read(exchange, path, query);
  }
}

void BenchPlatform::Read(HttpExchange& exchange, const std::string& key, const std::string& query) {
  std::unique_lock lock(mutex_);
  if (query.starts_with("watch=")) {
    const uint64_t known_version = QueryNumber(query, "watch");
    changed_.wait_for(lock, kWatchTimeout,
                      [&] { return stopping_ || values_[key].version != known_version; });
  }
  const Value value = values_[key];
  lock.unlock();
  exchange.SetHeader("X-Version", std::to_string(value.version));
  exchange.SendWhole(value.version == 0 ? 404 : 200, "application/octet-stream", value.text);
}

void BenchPlatform::Write(HttpExchange& exchange, const std::string& key,
                          const std::string& query) {
  constexpr size_t kMaxValueBytes = 1U << 20U;
  Result<std::string> body = exchange.ReadBody(kMaxValueBytes);
  if (!IsOk(body)) return;
  std::unique_lock lock(mutex_);
  Value& value = values_[key];
  const bool version_matches = value.version == QueryNumber(query, "expected");
  if (version_matches) {
    ++value.version;
    value.text = ValueOf(std::move(body));
    changed_.notify_all();
  }
  const uint64_t version = value.version;
  lock.unlock();
  exchange.SetHeader("X-Version", std::to_string(version));
  exchange.SendWhole(version_matches ? 200 : 409, "text/plain", "");
}

}  // namespace shallot::bench
