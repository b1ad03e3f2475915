#include "servers/call_explanation.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace shallot {
namespace {

struct ExplanationCase {
  const char* name;
  /// Each has the form "SECOND PROCESS TEXT"; Stamped() makes a log line of it.
  std::vector<std::string> lines;
  size_t expected_timeline_lines;
  std::vector<std::string> expected_causes;
};

std::string Stamped(const std::string& line) {
  const size_t second_end = line.find(' ');
  const size_t process_end = line.find(' ', second_end + 1);
  return line.substr(second_end + 1, process_end - second_end - 1) +
         " 2026-12-04T10:00:" + line.substr(0, second_end) + "Z info " +
         line.substr(process_end + 1);
}

// Guards against a timeline without the lines of other processes that affected the call, or with
// lines of other calls, and against causes that are missing or that the lines do not show.
TEST_CASE("a call's timeline and causes are derived from the logs of several processes") {
  const std::vector<ExplanationCase> cases = {
      {"completed",
       {"01.000 g1 call: event=send runner=i-1 model=m request=r1",
        "01.100 g1 call: event=end outcome=completed status=200 request=r1",
        "01.050 g1 call: event=send runner=i-1 model=m request=r2"},
       2,
       {}},
      {"no leader during an outage",
       {"00.500 g2 placement: event=leadership-gained fence=3",
        "01.000 g2 placement: event=leadership-lost fence=3",
        "02.000 g1 call: event=wait model=m source=memory predicted_ms=900 left_ms=1500 request=r1",
        "03.200 g1 call: event=no-wait model=m source=memory predicted_ms=900 left_ms=300 "
        "request=r1",
        "03.200 g1 call: event=end outcome=refused status=503 request=r1"},
       5,
       {"No gateway led placement while the call waited, so nothing was loaded.",
        "No runner held m, and the load from memory (900 ms) did not fit the 300 ms that the call "
        "had left."}},
      {"the model was being unloaded",
       {"00.500 g2 placement: event=leadership-gained fence=3",
        "01.000 g1 call: event=send runner=i-1 model=m request=r1",
        "01.050 g2 placement: event=order-sent runner=i-1 op=unload model=m adapter= fence=3",
        "01.300 g1 call: event=attempt-failed runner=i-1 failure=not-executed after_ms=300 "
        "reason=\"status 503\" request=r1",
        "01.300 g1 call: event=next-step step=refuse budget=no request=r1",
        "01.300 g1 call: event=end outcome=refused status=503 request=r1"},
       6,
       {"An attempt at i-1 failed (not-executed) after 300 ms: m was being unloaded there.",
        "The retry budget was used up, so the call was not sent again."}},
      {"arrived at two gateways",
       {"01.000 g1 call: event=send runner=i-1 attempt=1 after=none caller=10.0.0.1:5 request=r1",
        "01.200 g2 call: event=send runner=i-2 attempt=1 after=none caller=10.0.0.1:6 request=r1",
        "01.300 g1 call: event=send runner=i-3 attempt=2 after=silent caller=10.0.0.1:5 request=r1",
        "01.400 g1 call: event=end outcome=completed status=200 request=r1"},
       4,
       {"The call arrived 2 times (g1 from 10.0.0.1:5, g2 from 10.0.0.1:6): its caller or a proxy "
        "sent it again."}},
      {"arrived again at one gateway",
       {"01.000 g1 call: event=send runner=i-1 attempt=1 after=none caller=10.0.0.1:5 request=r1",
        "01.200 g1 call: event=arrived-again first=sent caller=10.0.0.1:6 request=r1",
        "01.200 g1 call: event=end outcome=failed status=502 request=r1"},
       3,
       {"g1 did not send the call again: another arrival of it was sent before."}},
      {"refused without proof",
       {"01.000 g1 call: event=send runner=i-1 request=r1",
        "01.020 g1 call: event=attempt-failed runner=i-1 failure=unproven-refusal after_ms=20 "
        "reason=\"status 503\" request=r1",
        "01.020 g1 call: event=end outcome=failed status=502 request=r1"},
       3,
       {"An attempt at i-1 failed (unproven-refusal) after 20 ms: it did not state that it has not "
        "run the call."}},
      {"the runner was leaving",
       {"01.000 g1 runners: event=runner-draining runner=i-1",
        "01.100 g1 call: event=send runner=i-1 request=r1",
        "01.300 g1 call: event=attempt-failed runner=i-1 failure=lost-answer after_ms=200 "
        "request=r1",
        "01.300 g1 call: event=end outcome=failed status=502 request=r1"},
       4,
       {"An attempt at i-1 failed (lost-answer) after 200 ms: the runner was leaving."}},
      {"a notice was missed",
       {"00.500 g2 placement: event=leadership-gained fence=3",
        "01.000 g1 call: event=wait model=m source=disk predicted_ms=900 left_ms=5000 request=r1",
        "01.900 g2 placement: event=order-settled runner=i-1 op=load model=m",
        "02.500 g1 call: event=wait model=m source=disk predicted_ms=900 left_ms=3500 request=r1",
        "06.000 g1 call: event=end outcome=refused status=503 request=r1"},
       5,
       {"The call waited although i-1 had loaded m: g1 had not heard of it."}},
      {"the process was killed",
       {"01.000 g1 call: event=send runner=i-1 request=r1",
        "01.500 g1 daemon: event=start instance=g1"},
       2,
       {"The call has no end: g1 ended without a planned stop."}},
      {"its runner crashed",
       {"01.000 g1 call: event=send runner=i-1 request=r1",
        "01.300 g1 call: event=attempt-failed runner=i-1 failure=lost-answer after_ms=300 "
        "request=r1",
        "01.302 g1 crashes: event=runner-crashed runner=i-1 born=5 evidence=refused calls=2",
        "01.303 g2 crashes: event=runner-crashed runner=i-1 born=5 evidence=refused calls=1",
        "01.310 g1 call: event=end outcome=failed status=502 request=r1"},
       4,
       {"An attempt at i-1 failed (lost-answer) after 300 ms.",
        "i-1 crashed and lost 2 calls of g1 whose answers had not begun."}},
      {"such calls crash runners",
       {"01.000 g1 crashes: event=quarantine traits=part:ab reason=crashes crashes=2",
        "01.100 g1 crashes: event=quarantine traits=part:cd reason=crashes crashes=4",
        "40.000 g1 call: event=end outcome=refused status=503 reason=\"calls with part:ab crash "
        "runners\" request=r1"},
       1,
       {"Calls with part:ab were refused because such calls crash runners (2 crashes known)."}},
      {"its runner was limited",
       {"01.000 g1 call: event=wait-for-permit runner=i-1 model=m predicted_ms=900 left_ms=5000 "
        "request=r1",
        "02.000 g1 call: event=send runner=i-1 request=r1",
        "02.100 g1 call: event=end outcome=completed status=200 request=r1"},
       3,
       {"The call waited for a permit of i-1, which limits its calls (900 ms predicted)."}},
      {"the store was unreachable",
       {"00.100 g1 placement: event=leadership-gained fence=3",
        "00.500 g1 store: cannot follow : no answer in time; try again",
        "01.000 g1 call: event=wait model=m source=disk predicted_ms=900 left_ms=5000 request=r1",
        "02.000 g1 call: event=end outcome=completed status=200 request=r1"},
       4,
       {"g1 could not reach the platform's store."}},
  };
  for (const ExplanationCase& test : cases) {
    CAPTURE(std::string(test.name));
    CallExplanationBuilder builder{RequestId("r1")};
    for (const std::string& line : test.lines) {
      auto parsed = ParseLogLine(Stamped(line), "file");
      REQUIRE(parsed);
      builder.Add(std::move(*parsed));
    }
    const auto explanation = builder.Build();
    REQUIRE(explanation);
    CHECK(explanation->timeline.size() == test.expected_timeline_lines);
    CHECK(explanation->causes == test.expected_causes);
  }
}

struct LineCase {
  const char* name;
  const char* line;
  bool expected;
  const char* process;
};

// Guards against rejecting a line because a log collector put words in front of it, against
// accepting a malformed line, and against splitting a quoted value.
TEST_CASE("log lines are parsed despite a log collector's words, malformed ones are rejected") {
  const std::vector<LineCase> cases = {
      {"as written", "2026-12-04T10:00:01.250Z info call: event=send runner=i-1", true, "file"},
      {"collected", "  -9.94 g-2 2026-12-04T10:00:01.250Z info call: event=send", true, "g-2"},
      {"no time", "info call: event=send", false, ""},
      {"no part", "2026-12-04T10:00:01.250Z info something", false, ""},
      {"not a date", "2026-99-04T10:00:01.250Z info call: event=send", false, ""},
      {"empty", "", false, ""},
  };
  for (const LineCase& test : cases) {
    CAPTURE(std::string(test.name));
    const auto parsed = ParseLogLine(test.line, "file");
    REQUIRE(parsed.has_value() == test.expected);
    if (!parsed) continue;
    CHECK(parsed->process == InstanceId(test.process));
    CHECK(parsed->Event() == "send");
  }
  const auto quoted = ParseLogLine(
      "2026-12-04T10:00:01.250Z info call: event=end reason=\"not loaded; a=b\" status=503", "f");
  REQUIRE(quoted);
  CHECK(quoted->Field("reason") == "not loaded; a=b");
  CHECK(quoted->Field("status") == "503");
  CHECK(quoted->Field("absent").empty());
}

// Guards against an empty explanation, instead of none, for a call id that no process logged.
TEST_CASE("a call that no log line names has no explanation") {
  CallExplanationBuilder builder{RequestId("r1")};
  CHECK_FALSE(builder.Build());
}

}  // namespace
}  // namespace shallot
