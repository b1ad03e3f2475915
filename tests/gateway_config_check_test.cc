#include "servers/gateway/config_check.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_codec.h"

namespace shallot::gateway {
namespace {

/// A configuration without findings; each key contains "secret".
constexpr const char* kSound = R"({"version":3,"routes":[
{"name":"r1","hostname":"h.example","path-prefix":"/a/","kind":"idempotent","timeout-ms":900,
"target-latency-ms":100,"service":"s"},
{"name":"r2","hostname":"h.example","path-prefix":"/a/b/","kind":"stream","timeout-ms":900,
"target-latency-ms":100,"resumable":true,"service":"e"}],
"services":[{"name":"s","max-conns":5},{"name":"e","engine":{"slots":8,"weights-mb":100,
"models":[{"name":"m1","weights-mb":60}]}}],
"tenants":[{"name":"t1","api-keys":["secret-1","secret-2"],"rate-per-s":5,"burst":10},
{"name":"t2","api-keys":["secret-3"],"rate-per-s":5,"burst":400,"unit":"tokens",
"plain-tokens":200}]})";

using Replacements = std::vector<std::pair<std::string, std::string>>;

/// kSound with the first occurrence of each first text replaced by the second.
FleetRoutes Changed(const Replacements& replacements) {
  std::string text = kSound;
  for (const auto& [from, to] : replacements) {
    REQUIRE(text.find(from) != std::string::npos);
    text.replace(text.find(from), from.size(), to);
  }
  const auto fleet = platform::PlatformCodec().DecodeRoutes(text);
  REQUIRE(IsOk(fleet));
  return ValueOf(fleet);
}

std::string Text(const ConfigFinding& finding) {
  return std::string(FindingSeverityName(finding.severity)) + ": " + finding.place + ": " +
         finding.problem;
}

// Guards against a fault of a configuration that is only seen when its calls fail.
TEST_CASE("config check: finds what can't take effect as written") {
  struct Case {
    Replacements replacements;
    const char* finding;
  };
  for (const Case& test : std::vector<Case>{
           {{{"/a/b/", "/a/"}}, "error: route r2: never matches: route r1 before it"},
           {{{"h.example", "H.example"}, {"/a/b/", "/a/"}}, "error: route r2: never matches"},
           {{{"h.example", "h.example:80"}}, "error: route r1: never matches: calls are matched"},
           {{{"\"/a/\"", "\"a/\""}}, "error: route r1: never matches: prefix \"a/\""},
           {{{"\"/a/\"", "\"/a\""}}, "warning: route r1: prefix \"/a\" does not end"},
           {{{"\"timeout-ms\":900", "\"timeout-ms\":99"}},
            "error: route r1: its time-out of 99 ms is below its target latency of 100 ms"},
           {{{"\"timeout-ms\":900,\n\"target-latency-ms\":100,", ""}},
            "warning: route r1: has neither a target latency nor a time-out"},
           {{{"\"stream\"", "\"idempotent\""}}, "warning: route r2: is resumable but no stream"},
           {{{"\"service\":\"s\"", "\"service\":\"x\""}}, "warning: route r1: its backend x is"},
           {{{"\"service\":\"s\"", "\"traffic-split\":[{\"service\":\"s\",\"weight\":0}]"}},
            "warning: route r1: all its backends have weight 0"},
           {{{"\"r2\"", "\"r1\""}}, "warning: route r1: has the name of a route before it"},
           {{{"\"weights-mb\":60", "\"weights-mb\":101"}},
            "error: backend e: model m1 of 101 MB exceeds the 100 MB"},
           {{{"\"burst\":10", "\"burst\":0.5"}}, "error: team t1: its burst of 0.5 is below the 1"},
           {{{"\"burst\":400", "\"burst\":199"}}, "error: team t2: its burst of 199 is below"},
           {{{",\"burst\":10", ""}}, "warning: team t1: has a rate but no burst"},
           {{{"\"rate-per-s\":5,", ""}}, "warning: team t1: has a burst but no rate"},
           {{{",\n\"plain-tokens\":200", ""}}, "warning: team t2: calls that do not state"},
           {{{"\"secret-3\"", ""}}, "warning: team t2: has no key of its own"},
           {{{"\"secret-3\"", "\"secret-3\",\"secret-1\""}},
            "error: team t2: has a key of team t1"}}) {
    CAPTURE(std::string(test.finding));
    const std::vector<ConfigFinding> findings = CheckConfig(Changed(test.replacements));
    REQUIRE(findings.size() == 1);
    CAPTURE(Text(findings[0]));
    CHECK(Text(findings[0]).starts_with(test.finding));
    CHECK_FALSE(findings[0].remedy.empty());
    CHECK(HasErrors(findings) == std::string(test.finding).starts_with("error"));
    CHECK((findings[0].problem + findings[0].remedy).find("secret") == std::string::npos);
  }
}

// Guards against findings about a sound configuration, which operators would learn to ignore.
TEST_CASE("config check: a sound configuration has no findings") {
  CHECK(CheckConfig(Changed({})).empty());
  // A longer prefix takes its calls wherever it is listed, and hosts are apart.
  CHECK(CheckConfig(Changed({{"\"/a/\"", "\"/a/b/c/\""}})).empty());
  CHECK(CheckConfig(Changed({{"h.example", "i.example"}, {"/a/b/", "/a/"}})).empty());
}

// Guards against lists that are empty by mistake.
TEST_CASE("config check: names empty lists of routes and teams") {
  const auto fleet = platform::PlatformCodec().DecodeRoutes(R"({"version":1,"tenants":[]})");
  REQUIRE(IsOk(fleet));
  const std::vector<ConfigFinding> findings = CheckConfig(ValueOf(fleet));
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].place == "routes");
  CHECK(findings[1].place == "teams");
}

std::string Text(const ConfigDifference& difference) {
  std::string text = std::string(ConfigChangeKindName(difference.kind)) + " " + difference.place;
  for (const FieldChange& field : difference.fields) {
    text += "; " + field.field + ": " + field.from + " -> " + field.to;
  }
  return text;
}

// Guards against a change that operators did not intend and do not see, and against keys in what
// they see.
TEST_CASE("config check: shows what changes, and keys as numbers only") {
  struct Case {
    Replacements replacements;
    std::vector<std::string> differences;
  };
  for (
      const Case& test : std::vector<Case>{
          {{{"\"version\":3", "\"version\":4"}}, {}},
          {{{"\"timeout-ms\":900", "\"timeout-ms\":800"}, {"\"target-latency-ms\":100", "\"x\":1"}},
           {"changed route r1; time-out: 900 ms -> 800 ms; target latency: 100 ms -> 800 ms"}},
          {{{"\"r1\"", "\"r9\""}}, {"added route r9", "removed route r1"}},
          {{{"\"service\":\"s\"", "\"traffic-split\":[{\"service\":\"s\",\"weight\":3}]"}},
           {"changed route r1; backends: s x 1 -> s x 3"}},
          {{{"\"max-conns\":5", "\"max-conns\":6"}}, {"changed backend s; connections: 5 -> 6"}},
          {{{"\"m1\",\"weights-mb\":60", "\"m2\",\"weights-mb\":60"}},
           {"changed backend e; model m2: none -> 60 MB, 0 adapters of 0 MB, loads in 0 ms, 0 ms "
            "and 0 ms; model m1: 60 MB, 0 adapters of 0 MB, loads in 0 ms, 0 ms and 0 ms -> none"}},
          {{{"\"secret-2\"", "\"secret-4\",\"secret-5\""}, {"\"burst\":10", "\"burst\":20"}},
           {"changed team t1; burst: 10 -> 20; keys: 2 -> 3 (2 added, 1 removed)"}},
          {{{"\"t2\"", "\"t3\""}}, {"added team t3", "removed team t2"}},
          {{{"\"version\":3", "\"version\":3,\"limits\":{\"max-body-bytes\":9}"}},
           {"changed limits; body: 4194304 bytes -> 9 bytes"}}}) {
    std::vector<std::string> differences;
    for (const ConfigDifference& each : CompareConfigs(Changed({}), Changed(test.replacements))) {
      differences.push_back(Text(each));
      CAPTURE(Text(each));
      CHECK(Text(each).find("secret") == std::string::npos);
    }
    CHECK(differences == test.differences);
  }
}

// Guards against a configuration that is sent and then ignored because of its version.
TEST_CASE("config check: another configuration needs a higher version") {
  const Replacements change{{"\"burst\":10", "\"burst\":20"}};
  for (const auto& [version, accepted] : {std::pair("2", false), {"3", false}, {"4", true}}) {
    CAPTURE(std::string(version));
    Replacements replacements = change;
    replacements.emplace_back("\"version\":3", std::string("\"version\":") + version);
    CHECK(HasErrors(CheckReplacement(Changed({}), Changed(replacements))) != accepted);
  }
  CHECK(CheckReplacement(Changed({}), Changed({})).empty());
}

// Guards against an error that does not tell which entry of a long list it is about.
TEST_CASE("config check: errors of the decoder name the entry") {
  struct Case {
    const char* from;
    const char* to;
    const char* place;
  };
  for (const Case& test :
       {Case{"\"r2\",\"hostname\":\"h.example\"", "\"r2\"", "route 2 (r2) has no string in"},
        Case{"\"name\":\"r2\",", "", "route 2 has no string in field name"},
        Case{"\"name\":\"s\",", "", "service 1 has no string in field name"},
        Case{"\"weights-mb\":60", "\"weights-mb\":\"x\"",
             "service 2 (e), engine, model 1 (m1) has"},
        Case{"\"burst\":400", "\"burst\":-1", "tenant 2 (t2) has a negative quota"}}) {
    std::string text = kSound;
    text.replace(text.find(test.from), std::string(test.from).size(), test.to);
    const auto fleet = platform::PlatformCodec().DecodeRoutes(text);
    REQUIRE_FALSE(IsOk(fleet));
    CAPTURE(ErrorOf(fleet).message);
    CHECK(ErrorOf(fleet).message.starts_with(test.place));
  }
}

}  // namespace
}  // namespace shallot::gateway
