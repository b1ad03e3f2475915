#include "servers/gap_keep_alive.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "core/random.h"

namespace shallot {
namespace {

const EntryId kEntry{"m"};

struct Fixture {
  Fixture(double cold_weight, double idle_weight, const std::string& extra_defaults = "") {
    const std::string text =
        "[fleet]\nname = f\n[defaults]\ncold_weight = " + std::to_string(cold_weight) +
        "\nidle_weight = " + std::to_string(idle_weight) + "\n" + extra_defaults +
        "[models b]\nm = v1 1000 0\nn = v1 1000 0\n";
    const Result<FleetConfig> config = ParseFleetConfig(text, "t", ConfigRevision(1));
    if (!IsOk(config)) FAIL(FormatError(ErrorOf(config)));
    policy.SetConfig(std::make_shared<const FleetConfig>(ValueOf(config)));
    policy.SetColdStartTime(kEntry, Millis(10'000));
    policy.SetColdStartTime(EntryId("n"), Millis(10'000));
  }
  void RecordCalls(const EntryId& entry, const std::vector<int>& gap_seconds) {
    policy.OnCall(entry, now);
    for (const int gap : gap_seconds) {
      now += Seconds(gap);
      policy.OnCall(entry, now);
    }
  }
  double KeepSeconds(const EntryId& entry = kEntry) const {
    return static_cast<double>(policy.KeepAlive(entry).count()) / 1000;
  }

  GapKeepAlive policy;
  SteadyTime now{Seconds(1000)};
};

std::vector<int> Repeat(const std::vector<int>& pattern, int times) {
  std::vector<int> all;
  for (int i = 0; i < times; ++i) all.insert(all.end(), pattern.begin(), pattern.end());
  return all;
}

struct Case {
  const char* name;
  double cold_weight;
  double idle_weight;
  std::vector<int> gaps;
  double least;
  double most;
};

TEST_CASE("the keep-alive time depends on the gaps and the weights") {
  const std::vector<Case> cases = {
      {"short gaps: kept during them", 1, 1, Repeat({5}, 30), 5, 8},
      {"long gaps: unloaded at once", 1, 1, Repeat({600}, 30), 0, 0},
      {"long gaps, costly cold starts: kept", 100, 1, Repeat({600}, 30), 600, 900},
      {"short and long gaps: kept during the short ones", 1, 1, Repeat({3, 3, 3, 2000}, 20), 3, 5},
      {"idle time costs nothing: kept to the maximum", 1, 0, Repeat({600}, 30), 3600, 3600},
      {"gaps beyond the maximum: not kept", 1000, 1, Repeat({20000}, 30), 0, 0},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    Fixture f(test.cold_weight, test.idle_weight);
    f.RecordCalls(kEntry, test.gaps);
    CHECK(f.KeepSeconds() >= test.least);
    CHECK(f.KeepSeconds() <= test.most);
  }
}

TEST_CASE("the keep-alive time stays within the bounds of the policy") {
  const std::string bounds = "keep_alive_min_ms = 20000\nkeep_alive_max_ms = 60000\n";
  Fixture f(1, 1, bounds);
  CHECK(f.KeepSeconds() == 20);
  f.RecordCalls(kEntry, Repeat({600}, 30));
  CHECK(f.KeepSeconds() == 20);
  Fixture g(1000, 1, bounds);
  g.RecordCalls(kEntry, Repeat({50}, 30));
  CHECK(g.KeepSeconds() >= 50);
  CHECK(g.KeepSeconds() <= 60);
}

TEST_CASE("without gaps an entry is kept until its idle cost equals a cold start") {
  Fixture f(2, 1);
  CHECK(f.KeepSeconds() == 20);
}

// Guards against arbitrary keep-alive times for rarely used entries with few gaps of their own.
TEST_CASE("an entry with few gaps uses the gaps of all entries") {
  Fixture f(1, 1);
  f.RecordCalls(EntryId("n"), Repeat({4}, 50));
  CHECK(f.KeepSeconds() >= 4);
  CHECK(f.KeepSeconds() <= 6);
  f.RecordCalls(kEntry, Repeat({900}, 30));
  CHECK(f.KeepSeconds() == 0);
  CHECK(f.KeepSeconds(EntryId("n")) >= 4);
}

TEST_CASE("old gaps lose their influence") {
  Fixture f(1, 1);
  f.RecordCalls(kEntry, Repeat({900}, 100));
  CHECK(f.KeepSeconds() == 0);
  f.RecordCalls(kEntry, Repeat({4}, 150));
  CHECK(f.KeepSeconds() >= 4);
}

// Compares the histogram's expected cost with the decayed mean cost over the same gaps.
TEST_CASE("the expected cost agrees with a replay of the gaps") {
  Random random(5);
  GapHistogram histogram;
  std::vector<double> gaps;
  for (int i = 0; i < 2000; ++i) gaps.push_back(random.Exponential(120));
  for (const double gap : gaps) {
    histogram.Record(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)));
  }
  for (const double keep : {1.0, 30.0, 100.0, 250.0, 900.0}) {
    CAPTURE(keep);
    double expected = 0;
    double weight = 0;
    double decayed = 1;
    for (size_t i = gaps.size(); i-- > 0; decayed *= 0.98) {
      expected += decayed * (gaps[i] > keep ? 100 : 0);
      expected += decayed * std::min(gaps[i], keep);
      weight += decayed;
    }
    // The resolution of the histogram is half a bucket.
    CHECK(histogram.ExpectedCost(keep, 100, 1) == doctest::Approx(expected / weight).epsilon(0.2));
  }
}

}  // namespace
}  // namespace shallot
