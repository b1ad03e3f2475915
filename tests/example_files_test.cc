#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/settings.h"
#include "servers/fleet_config.h"

namespace shallot {
namespace {

struct ExampleCase {
  const char* file;
  size_t models;
  size_t adapters;
  const char* backend;
  const char* service;
};

std::string ExamplePath(const std::string& file) {
  return std::string(SHALLOT_SOURCE_DIR) + "/examples/" + file;
}

FleetConfig LoadExample(const std::string& file) {
  const Result<IniDocument> document = LoadIni(ExamplePath(file));
  REQUIRE(IsOk(document));
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(ValueOf(document)), file, ConfigRevision(1));
  if (!IsOk(config)) FAIL(FormatError(ErrorOf(config)));
  return ValueOf(config);
}

// Guards against examples that the programs reject, or that lack a part of the catalogue.
TEST_CASE("the example fleets are valid and complete") {
  const std::vector<ExampleCase> cases = {
      {"fast-start.fleet.ini", 40, 80, "drafting", "orders"},
      {"low-idle.fleet.ini", 20, 60, "checking", "records"},
  };
  for (const ExampleCase& test : cases) {
    CAPTURE(test.file);
    const FleetConfig config = LoadExample(test.file);
    size_t models = 0;
    size_t adapters = 0;
    for (const auto& [id, entry] : config.entries) {
      ++(entry.kind == LoadKind::kModel ? models : adapters);
      CHECK(entry.backend == BackendName(test.backend));
    }
    CHECK(models == test.models);
    CHECK(adapters == test.adapters);
    REQUIRE(config.services.size() == 1);
    CHECK(config.services[0] == BackendName(test.service));
    for (const ConfigException& exception : config.exceptions) {
      CHECK_FALSE(exception.reason.empty());
      CHECK_FALSE(exception.author.empty());
    }
    CHECK_FALSE(config.exceptions.empty());
  }
}

// Guards against an example in which a print order may run twice after a lost connection.
TEST_CASE("in the example fleets orders are not repeatable and lookups are") {
  for (const char* file : {"fast-start.fleet.ini", "low-idle.fleet.ini"}) {
    CAPTURE(file);
    const FleetConfig config = LoadExample(file);
    REQUIRE(config.services.size() == 1);
    const ServiceRoute* place = config.FindRoute(config.services[0], "POST", "/orders");
    const ServiceRoute* lookup = config.FindRoute(config.services[0], "GET", "/orders/7");
    REQUIRE(place != nullptr);
    REQUIRE(lookup != nullptr);
    CHECK_FALSE(place->repeatable);
    CHECK(lookup->repeatable);
    CHECK(lookup->call_class == CallClass::kStatus);
  }
}

// Guards against examples in which both fleets weigh cold starts and idle time alike.
TEST_CASE("the example fleets weigh cold starts and idle time differently") {
  const FleetConfig fast_start = LoadExample("fast-start.fleet.ini");
  const FleetConfig low_idle = LoadExample("low-idle.fleet.ini");
  const EntryPolicy& fast = fast_start.FindEntry(EntryId("press-02"))->policy;
  const EntryPolicy& thrifty = low_idle.FindEntry(EntryId("codex-02"))->policy;
  CHECK(fast.cold_weight / fast.idle_weight > thrifty.cold_weight / thrifty.idle_weight);
  CHECK(fast_start.FindEntry(EntryId("press-01"))->policy.min_replicas == 2);
  CHECK(low_idle.FindEntry(EntryId("codex-03"))->policy.max_replicas == 3);
}

}  // namespace
}  // namespace shallot
