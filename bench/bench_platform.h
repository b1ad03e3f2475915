#ifndef BENCH_BENCH_PLATFORM_H_
#define BENCH_BENCH_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "drivers/http_server.h"

namespace shallot::bench {

/// In-memory stand-in for the platform's HTTP interface, for benchmarks that run whole daemons. It
/// grants every lease.
class BenchPlatform {
 public:
  BenchPlatform();
  ~BenchPlatform();
  BenchPlatform(const BenchPlatform&) = delete;
  BenchPlatform& operator=(const BenchPlatform&) = delete;

  /// Starts listening on a free loopback port.
  Status Start();
  /// Listening address as "IP:port"; valid after Start().
  std::string address() const;
  /// Sets the JSON text that `GET /instances` returns; an empty list by default.
  void SetInstances(const std::string& json);

 private:
  struct Value {
    uint64_t version = 0;
    std::string text;
  };

  void Handle(HttpExchange& exchange);
  void Read(HttpExchange& exchange, const std::string& key, const std::string& query);
  void Write(HttpExchange& exchange, const std::string& key, const std::string& query);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Value> values_;
  std::string instances_ = "[]";
  bool stopping_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace shallot::bench

#endif  // BENCH_BENCH_PLATFORM_H_
