#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "drivers/agent_settings.h"
#include "drivers/router_settings.h"

namespace shallot {
namespace {

const std::string kProcess = "[process]\nid = p1\nfailure_domain = regina\nregion = north\n";
const std::string kRouter =
    "[router]\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n"
    "admin_address = 127.0.0.1:3\nplatform_address = 127.0.0.1:4\n";
const std::string kAgent =
    "[agent]\ncontrol_address = 127.0.0.1:1\nadmin_address = 127.0.0.1:2\nrunner = w1\n"
    "backend = b\nplatform_address = 127.0.0.1:4\n";

IniDocument Parse(const std::string& text) { return ValueOf(ParseIni(text, "t.ini")); }

std::string RouterError(const std::string& text) {
  const auto settings = RouterSettingsBuilder(Parse(text)).Build();
  return IsOk(settings) ? "" : FormatError(ErrorOf(settings));
}

std::string AgentError(const std::string& text) {
  const auto settings = AgentSettingsBuilder(Parse(text)).Build();
  return IsOk(settings) ? "" : FormatError(ErrorOf(settings));
}

struct SettingsCase {
  const char* name;
  std::string text;
  const char* expected;
};

// Guards against settings that are accepted although a section or key is invalid.
TEST_CASE("router settings are checked") {
  const std::string key(40, 'a');
  const std::vector<SettingsCase> cases = {
      {"valid", kProcess + kRouter, ""},
      {"no process", kRouter, "section [process] is missing"},
      {"no router", kProcess, "section [router] is missing"},
      {"unknown section", kProcess + kRouter + "[agent]\nx = 1\n", "section [agent] is unknown"},
      {"unknown key", kProcess + kRouter + "caller_thread = 5\n", "key \"caller_thread\""},
      {"threads", kProcess + kRouter + "caller_threads = 0\n", "key \"caller_threads\""},
      {"level", kProcess + "log_level = loud\n" + kRouter, "key \"log_level\""},
      {"format", kProcess + "log_format = xml\n" + kRouter, "key \"log_format\""},
      {"short key", kProcess + kRouter + "[keys]\nserver_secret = abc\n", "key \"server_secret\""},
      {"no key pair", kProcess + kRouter + "[keys]\nserver_public = " + key + "\n",
       "add client_public and client_secret"},
      {"not Z85", kProcess + kRouter + "[keys]\nserver_secret = " + std::string(40, '~') + "\n",
       "key \"server_secret\""},
      {"open port", kProcess + kRouter + "[keys]\nallowed_clients = " + key + "\n",
       "the port would accept every client"},
      {"no client", kProcess + kRouter + "[keys]\nserver_secret = " + key + "\n",
       "key \"allowed_clients\""},
      {"bad client",
       kProcess + kRouter + "[keys]\nserver_secret = " + key + "\nallowed_clients = " + key +
           ",x\n",
       "separated by spaces"},
  };
  for (const SettingsCase& test : cases) {
    CAPTURE(test.name);
    const std::string error = RouterError(test.text);
    if (*test.expected == '\0') {
      CHECK(error.empty());
    } else {
      CHECK(error.find(test.expected) != std::string::npos);
    }
  }
}

TEST_CASE("agent settings are checked") {
  const std::string engine = "engine_address = 127.0.0.1:5\n";
  const std::string service = "service_address = 127.0.0.1:6\n";
  const std::vector<SettingsCase> cases = {
      {"engine", kProcess + kAgent + engine, ""},
      {"service", kProcess + kAgent + service, ""},
      {"neither", kProcess + kAgent, "keep exactly one of engine_address and service_address"},
      {"both", kProcess + kAgent + engine + service, "keep exactly one"},
      {"bad engine", kProcess + kAgent + "engine_address = here\n", "is not an address"},
      {"concurrency", kProcess + kAgent + service + "service_concurrency = 0\n",
       "key \"service_concurrency\""},
      {"unknown section", kProcess + kAgent + engine + "[router]\nx = 1\n",
       "section [router] is unknown"},
  };
  for (const SettingsCase& test : cases) {
    CAPTURE(test.name);
    const std::string error = AgentError(test.text);
    if (*test.expected == '\0') {
      CHECK(error.empty());
    } else {
      CHECK(error.find(test.expected) != std::string::npos);
    }
  }
}

// Guards against keys that are lost or swapped between the settings file and the hub.
TEST_CASE("all keys of a settings file are read") {
  // Z85 uses characters that mark comments, sections and separators in INI files.
  const auto key = [](char c) { return std::string(14, c) + "#=[].-:+^!/*?&<>(){}@abc%$"; };
  const auto settings =
      RouterSettingsBuilder(Parse(kProcess + kRouter + "[keys]\nserver_secret = " + key('a') +
                                  "\nserver_public = " + key('b') + "\nclient_public = " +
                                  key('c') + "\nclient_secret = " + key('d') +
                                  "\nallowed_clients = " + key('c') + "  " + key('e') + "\n"))
          .Build();
  REQUIRE(IsOk(settings));
  const CurveKeys& keys = ValueOf(settings).keys;
  CHECK(keys.server_secret == key('a'));
  CHECK(keys.server_public == key('b'));
  CHECK(keys.client_public == key('c'));
  CHECK(keys.client_secret == key('d'));
  CHECK(keys.allowed_clients == std::vector<std::string>{key('c'), key('e')});
}

TEST_CASE("builders replace addresses and keep the rest") {
  const auto router = RouterSettingsBuilder(Parse(kProcess + kRouter + "caller_threads = 9\n"))
                          .WithCallerAddress("127.0.0.1:0")
                          .Build();
  REQUIRE(IsOk(router));
  CHECK(ValueOf(router).caller_address == "127.0.0.1:0");
  CHECK(ValueOf(router).peer_address == "127.0.0.1:2");
  CHECK(ValueOf(router).caller_threads == 9);
  CHECK(ValueOf(router).process.failure_domain == FailureDomain("regina"));
}

}  // namespace
}  // namespace shallot
