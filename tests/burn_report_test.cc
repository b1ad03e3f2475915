#include "servers/burn_report.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

namespace shallot {
namespace {

constexpr size_t kStatus = static_cast<size_t>(CallClass::kStatus);

CallCounts StatusCounts(uint64_t good, uint64_t total) {
  CallCounts counts{};
  counts[kStatus] = {good, total};
  return counts;
}

BurnReport MakeReport(double objective = 0.99) {
  std::array<double, kCallClassCount> objectives{};
  objectives.fill(objective);
  return BurnReport(objectives);
}

std::vector<BurnRow> StatusRows(const BurnReport& report) {
  std::vector<BurnRow> rows = report.Rows();
  std::erase_if(rows, [](const BurnRow& row) { return row.call_class != CallClass::kStatus; });
  return rows;
}

}  // namespace

TEST_CASE("call counts are read by class and outcome") {
  const std::string metrics =
      "# TYPE shallot_router_calls_total counter\n"
      "shallot_router_calls_total{class=\"status\",outcome=\"completed\"} 7\n"
      "shallot_router_calls_total{class=\"status\",outcome=\"not-run\"} 2\n"
      "shallot_router_calls_total{class=\"batch\",outcome=\"completed\"} 5\n"
      "shallot_router_retries_total 3\n";
  const Result<CallCounts> counts = ParseCallCounts(metrics);
  REQUIRE(IsOk(counts));
  CHECK(ValueOf(counts)[kStatus] == ClassCounts{7, 9});
  CHECK(ValueOf(counts)[static_cast<size_t>(CallClass::kBatch)] == ClassCounts{5, 5});
}

// Guards against a report of zero burn for the metrics of another program.
TEST_CASE("metrics without call counters or with bad values are refused") {
  const std::vector<std::string> cases = {
      "", "shallot_agent_loads_total 4\n",
      "shallot_router_calls_total{class=\"nope\",outcome=\"completed\"} 7\n",
      "shallot_router_calls_total{class=\"status\",outcome=\"completed\"} x\n",
      "shallot_router_calls_total{class=\"status\",outcome=\"completed\"} 1.5\n"};
  for (const std::string& text : cases) {
    CAPTURE(text);
    const Result<CallCounts> counts = ParseCallCounts(text);
    REQUIRE_FALSE(IsOk(counts));
    CHECK(ErrorOf(counts).kind == ErrorKind::kInvalidArgument);
  }
}

TEST_CASE("burn is the share of bad calls over the share that the objective allows") {
  ManualClock clock;
  BurnReport report = MakeReport(0.99);
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(100, 100));
  clock.Advance(Seconds(60));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(198, 200));
  const std::vector<BurnRow> rows = StatusRows(report);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].window == Seconds(300));
  CHECK(rows[0].covered == Seconds(60));
  CHECK(rows[0].good == 98);
  CHECK(rows[0].bad == 2);
  CHECK(rows[0].burn == doctest::Approx(2.0));
}

// Guards against an unsigned underflow, which would show a huge number of calls.
TEST_CASE("a restarted router counts from zero") {
  ManualClock clock;
  BurnReport report = MakeReport();
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(1000, 1000));
  report.AddSample(clock.SteadyNow(), "b", StatusCounts(50, 50));
  clock.Advance(Seconds(10));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(9, 10));
  report.AddSample(clock.SteadyNow(), "b", StatusCounts(60, 60));
  const std::vector<BurnRow> rows = StatusRows(report);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].good == 19);
  CHECK(rows[0].bad == 1);
}

// Guards against counting calls from before a router's first sample as new ones.
TEST_CASE("a router that appears late adds only what it counts after its first sample") {
  ManualClock clock;
  BurnReport report = MakeReport();
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(0, 0));
  clock.Advance(Seconds(10));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(5, 5));
  report.AddSample(clock.SteadyNow(), "b", StatusCounts(100, 200));
  const std::vector<BurnRow> rows = StatusRows(report);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].good == 5);
  CHECK(rows[0].bad == 0);
}

TEST_CASE("longer windows appear as samples extend beyond the shorter ones") {
  ManualClock clock;
  BurnReport report = MakeReport(0.9);
  // One bad call in the first minute, then only good ones for two hours.
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(0, 0));
  clock.Advance(Seconds(60));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(9, 10));
  CHECK(StatusRows(report).size() == 1);
  for (uint64_t minute = 2; minute <= 120; ++minute) {
    clock.Advance(Seconds(60));
    report.AddSample(clock.SteadyNow(), "a", StatusCounts(10 * minute - 1, 10 * minute));
  }
  const std::vector<BurnRow> rows = StatusRows(report);
  REQUIRE(rows.size() == 3);
  CHECK(rows[0].covered == Seconds(300));
  CHECK(rows[0].bad == 0);
  CHECK(rows[1].covered == Seconds(3600));
  CHECK(rows[1].bad == 0);
  CHECK(rows[2].window == Seconds(6 * 3600));
  CHECK(rows[2].covered == Seconds(7200));
  CHECK(rows[2].bad == 1);
  CHECK(rows[2].burn == doctest::Approx(1.0 / 1200 / 0.1));
}

TEST_CASE("an objective of one allows no bad call") {
  ManualClock clock;
  BurnReport report = MakeReport(1.0);
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(0, 0));
  clock.Advance(Seconds(10));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(5, 5));
  CHECK(StatusRows(report)[0].burn == 0);
  clock.Advance(Seconds(10));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(5, 6));
  CHECK(std::isinf(StatusRows(report)[0].burn));
  CHECK(report.FormatJson().find("\"burn\":null") != std::string::npos);
}

TEST_CASE("text, CSV and plot name every class and a report without samples is empty") {
  ManualClock clock;
  BurnReport report = MakeReport();
  CHECK(report.Rows().empty());
  CHECK(report.FormatJson() == "[]");
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(0, 0));
  clock.Advance(Seconds(10));
  report.AddSample(clock.SteadyNow(), "a", StatusCounts(3, 4));
  const std::string script = report.FormatPlotScript("burn.dat", "burn.svg");
  for (int i = 0; i < kCallClassCount; ++i) {
    const std::string name = CallClassName(static_cast<CallClass>(i));
    CHECK(report.FormatText().find(name) != std::string::npos);
    CHECK(report.FormatPlotData().find("# " + name) != std::string::npos);
    CHECK(script.find("title '" + name + "'") != std::string::npos);
  }
  CHECK(report.FormatCsv().find("\n10,status,300,10,3,1,0.99,25.0000\n") != std::string::npos);
}

}  // namespace shallot
