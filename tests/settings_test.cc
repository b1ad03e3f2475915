#include "core/settings.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot {
namespace {

struct SettingsCase {
  const char* name;
  const char* text;
  const char* expected;
};

/// Reads section [server] of the text; returns the error text, or "" when the settings are valid.
std::string CheckServerSection(const std::string& text) {
  const Result<IniDocument> document = ParseIni(text, "test.ini");
  if (!IsOk(document)) return FormatError(ErrorOf(document));
  SectionReader reader(ValueOf(document), "server");
  reader.GetAddress("address");
  reader.GetUint("threads", 4, 1, 64);
  reader.GetChoice("mode", "fast", {"fast", "safe"});
  const Status status = reader.Finish();
  return IsOk(status) ? "" : FormatError(ErrorOf(status));
}

// Guards against settings that are accepted although a key is misspelt or a value is out of range,
// and against errors that do not name the place and the remedy.
TEST_CASE("errors in settings name the file, section, key and remedy") {
  const std::vector<SettingsCase> cases = {
      {"valid", "[server]\naddress = 127.0.0.1:80\n", ""},
      {"missing section", "[other]\na = 1\n",
       "test.ini: section [server] is missing; add the section with its keys"},
      {"missing key", "[server]\nthreads = 2\n",
       "test.ini: section [server], key \"address\": is missing; add \"address = VALUE\""},
      {"unknown key", "[server]\naddress = 127.0.0.1:80\nthread = 2\n",
       "test.ini: section [server], key \"thread\": is unknown; remove it or use one of: address, "
       "threads, mode"},
      {"out of range", "[server]\naddress = 127.0.0.1:80\nthreads = 65\n",
       "test.ini: section [server], key \"threads\": \"65\" is not valid; use a whole number from "
       "1 "
       "to 64"},
      {"not an address", "[server]\naddress = localhost:80\n",
       "test.ini: section [server], key \"address\": \"localhost:80\" is not an address; use "
       "IP:port, for example 127.0.0.1:9000"},
      {"bad choice", "[server]\naddress = 127.0.0.1:80\nmode = slow\n",
       "test.ini: section [server], key \"mode\": \"slow\" is not valid; use one of: fast, safe"},
  };
  for (const SettingsCase& test : cases) {
    CAPTURE(test.name);
    CHECK(CheckServerSection(test.text) == test.expected);
  }
}

TEST_CASE("the error for a duplicate key names its line") {
  const Result<IniDocument> document = ParseIni("[a]\nx = 1\nx = 2\n", "test.ini");
  REQUIRE_FALSE(IsOk(document));
  CHECK(ErrorOf(document).message.find("test.ini line 3") == 0);
}

// Guards against dropping sections without keys, as Boost's parser does.
TEST_CASE("a section without keys is kept") {
  const Result<IniDocument> document = ParseIni("[service a]\n[b]\nx = 1\n[ c ]\n", "t");
  REQUIRE(IsOk(document));
  const std::vector<IniSection> expected = {{"service a", {}}, {"b", {{"x", "1"}}}, {"c", {}}};
  CHECK(ValueOf(document).sections == expected);
}

TEST_CASE("formatting and parsing again gives the same document") {
  const Result<IniDocument> first = ParseIni("[b]\ny = 2\nx = 1\n[a.b]\nk = v w\n", "t");
  REQUIRE(IsOk(first));
  const Result<IniDocument> second = ParseIni(FormatIni(ValueOf(first)), "t");
  REQUIRE(IsOk(second));
  CHECK(ValueOf(first).sections == ValueOf(second).sections);
}

}  // namespace
}  // namespace shallot
