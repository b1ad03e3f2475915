#include "servers/fleet_config.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot {
namespace {

const char* const kFleet = R"([fleet]
name = fast-start
shards = 4

[defaults]
max_replicas = 3
cold_weight = 5
adapter_size_mb = 20

[class batch]
deadline_ms = 3600000
queue_bound = 500
objective = 0.9

[models drafting]
llama-7b = v1 14000 2000
tiny = v3 10 5

[adapters llama-7b]
shop-1 = a1
shop-2 = a2 40

[service orders]

[route orders status]
method = GET
path = /orders

[route orders print]
method = POST
path = /orders
repeatable = false
class = premium

[exception shop-2-hot]
target = entry shop-2
reason = spring sale
author = kim
time = 2026-12-01T08:00:00Z
min_replicas = 2

[exception late-batch]
target = class batch
reason = end of quarter
queue_bound = 900
)";

FleetConfig MustParse(const std::string& text) {
  const Result<FleetConfig> config = ParseFleetConfig(text, "test", ConfigRevision(7));
  if (!IsOk(config)) FAIL(FormatError(ErrorOf(config)));
  return ValueOf(config);
}

std::string ParseError(const std::string& text) {
  const Result<FleetConfig> config = ParseFleetConfig(text, "test", ConfigRevision(7));
  return IsOk(config) ? "" : FormatError(ErrorOf(config));
}

TEST_CASE("defaults, sizes and exceptions resolve into the entries") {
  const FleetConfig config = MustParse(kFleet);
  CHECK(config.revision == ConfigRevision(7));
  CHECK(config.entries.size() == 4);
  const CatalogEntry* shop1 = config.FindEntry(EntryId("shop-1"));
  const CatalogEntry* shop2 = config.FindEntry(EntryId("shop-2"));
  const CatalogEntry* llama = config.FindEntry(EntryId("llama-7b"));
  REQUIRE(shop1 != nullptr);
  REQUIRE(shop2 != nullptr);
  REQUIRE(llama != nullptr);
  CHECK(config.FindEntry(EntryId("none")) == nullptr);
  CHECK(shop1->backend == BackendName("drafting"));
  CHECK(shop1->size == Bytes(20ULL << 20U));
  CHECK(shop2->size == Bytes(40ULL << 20U));
  CHECK(llama->kv_cache == Bytes(2000ULL << 20U));
  CHECK(llama->base == llama->id);
  CHECK(shop1->policy.min_replicas == 1);
  CHECK(shop2->policy.min_replicas == 2);
  CHECK(shop2->policy.max_replicas == 3);
  CHECK(shop2->policy.cold_weight == 5);
  CHECK(config.class_policy(CallClass::kBatch).queue_bound == 900);
  CHECK(config.class_policy(CallClass::kBatch).objective == 0.9);
  REQUIRE(config.exceptions.size() == 2);
  CHECK(config.exceptions[0].author == OperatorName("kim"));
  CHECK(config.services == std::vector<BackendName>{BackendName("orders")});
  CHECK(ShardOf(EntryId("llama-7b"), 4) == ShardOf(llama->base, 4));
}

struct RouteCase {
  const char* method;
  const char* path;
  /// Class of the route that matches; null when none does.
  const char* expected;
};

// Guards against an order that matches the route of a repeatable call.
TEST_CASE("a route is matched by service, method and whole path segments") {
  const FleetConfig config = MustParse(kFleet);
  const std::vector<RouteCase> cases = {
      {"GET", "/orders", "status"},         {"GET", "/orders/17?x=1", "status"},
      {"POST", "/orders?dry=1", "premium"}, {"POST", "/ordersheet", nullptr},
      {"DELETE", "/orders", nullptr},       {"GET", "/", nullptr},
  };
  for (const RouteCase& test : cases) {
    CAPTURE(test.method);
    CAPTURE(test.path);
    const ServiceRoute* route = config.FindRoute(BackendName("orders"), test.method, test.path);
    REQUIRE((route != nullptr) == (test.expected != nullptr));
    if (route == nullptr) continue;
    CHECK(std::string(CallClassName(route->call_class)) == test.expected);
    CHECK(route->repeatable == (route->method == "GET"));
  }
  CHECK(config.FindRoute(BackendName("other"), "GET", "/orders") == nullptr);
}

struct ErrorCase {
  const char* name;
  /// Appended to a valid configuration.
  const char* text;
  const char* expected;
};

// Guards against invalid configurations that are accepted, and against errors without a location.
TEST_CASE("an error names source, section, key and remedy") {
  const std::string head = "[fleet]\nname = f\n[models b]\nm = v1 10 5\n";
  const std::vector<ErrorCase> cases = {
      {"valid", "", ""},
      {"unknown section", "[modles b]\nx = 1\n",
       "test: section [modles b] is unknown; use fleet, defaults, class, models, adapters, "
       "service, route or exception"},
      {"unknown key", "[defaults]\nmin_replica = 1\n",
       "test: section [defaults], key \"min_replica\": is unknown"},
      {"min above max", "[defaults]\nmin_replicas = 4\n",
       "test: section [defaults], key \"min_replicas\": is above max_replicas"},
      {"keep-alive", "[defaults]\nkeep_alive_min_ms = 9\nkeep_alive_max_ms = 8\n",
       "test: section [defaults], key \"keep_alive_min_ms\": is above keep_alive_max_ms"},
      {"bad model", "[models c]\nx = v1 ten 5\n",
       "test: section [models c], key \"x\": \"v1 ten 5\" is not valid; write \"x = VERSION "
       "WEIGHTS_MB KV_MB\" with whole megabytes"},
      {"no size", "[adapters m]\nx = v1\n", "test: section [adapters m], key \"x\": has no size"},
      {"name used twice", "[adapters m]\nm = v1 5\n",
       "test: section [adapters m], key \"m\": names an entry that exists already"},
      {"base missing", "[adapters q]\nx = v1 5\n", "test: section [adapters q] names no model"},
      {"service missing", "[route desk a]\npath = /a\n",
       "test: section [route desk ...] names no service"},
      {"bad path", "[service desk]\n[route desk a]\npath = a\n",
       "test: section [route desk a], key \"path\": \"a\" is not valid; start it with \"/\""},
      {"no reason", "[exception e]\ntarget = entry m\nmin_replicas = 1\n",
       "test: section [exception e], key \"reason\": is missing"},
      {"target missing", "[exception e]\ntarget = entry q\nreason = r\nmin_replicas = 1\n",
       "test: section [exception e], key \"target\": \"entry q\" does not exist"},
      {"nothing overridden", "[exception e]\ntarget = entry m\nreason = r\n",
       "test: section [exception e], key \"target\": has no key to override"},
      {"overridden twice",
       "[exception e]\ntarget = entry m\nreason = r\nmin_replicas = 1\n"
       "[exception f]\ntarget = entry m\nreason = r\nmin_replicas = 2\n",
       "test: section [exception f], key \"min_replicas\": is overridden by two exceptions"},
      {"class", "[class slow]\nqueue_bound = 1\n", "test: section [class slow] names no class"},
  };
  for (const ErrorCase& test : cases) {
    CAPTURE(test.name);
    const std::string error = ParseError(head + test.text);
    CAPTURE(error);
    CHECK(error.substr(0, std::string(test.expected).size()) == test.expected);
    CHECK(error.empty() == std::string(test.expected).empty());
  }
}

}  // namespace
}  // namespace shallot
