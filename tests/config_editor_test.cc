#include "servers/config_editor.h"

#include <doctest/doctest.h>

#include <string>

#include "servers/config_replica.h"
#include "tests/fake_platform_store.h"

namespace shallot {
namespace {

const char* const kText =
    "[fleet]\nname = f\nshards = 2\n[defaults]\nmax_replicas = 9\n[models b]\nm = v1 10 5\n";
const ChangeNote kNote{OperatorName("kim"), "test", ConfigRevision(0)};

struct Fixture {
  ManualClock clock;
  FakePlatformStore store{&clock};
  ConfigEditor editor{&store, &clock, 1};
  ConfigEditor other{&store, &clock, 2};

  Result<ConfigRevision> Apply(const std::string& text, const ChangeNote& note = kNote) {
    Result<ConfigRevision> result = Error{};
    editor.ApplyText(text, note, [&](const auto& answer) { result = answer; });
    return result;
  }
  /// Sets the default of min_replicas.
  static Result<ConfigRevision> SetMin(ConfigEditor* by, uint64_t min_replicas) {
    Result<ConfigRevision> result = Error{};
    const SectionChange change{
        "defaults", false, {{"min_replicas", std::to_string(min_replicas)}, {"max_replicas", "9"}}};
    by->ApplySections({change}, kNote, [&](const auto& answer) { result = answer; });
    return result;
  }
  ConfigState State() {
    ConfigState state;
    editor.Read([&](const Result<ConfigState>& read) {
      REQUIRE(IsOk(read));
      state = ValueOf(read);
    });
    return state;
  }
};

TEST_CASE("an applied configuration is read back unchanged") {
  Fixture f;
  REQUIRE(f.Apply(kText) == Result<ConfigRevision>(ConfigRevision(1)));
  const ConfigState state = f.State();
  CHECK(state.head.revision == ConfigRevision(1));
  CHECK(DiffDocuments(state.document, ValueOf(ParseIni(kText, "t"))).empty());
  CHECK(f.Apply(kText) == Result<ConfigRevision>(ConfigRevision(1)));
  CHECK(state.head.changes[0].time == "2023-11-14T22:13:20Z");
}

TEST_CASE("a difference names sections and keys") {
  const IniDocument from = ValueOf(ParseIni("[a]\nx = 1\ny = 2\n[b]\nk = 1\n", "t"));
  const IniDocument to = ValueOf(ParseIni("[a]\nx = 1\ny = 3\n[c]\nz = 1\n", "t"));
  CHECK(FormatDiff(from, to) == "-[b]\n-k = 1\n [a]\n-y = 2\n+y = 3\n+[c]\n+z = 1\n");
  CHECK(FormatDiff(from, from).empty());
}

// Guards against an invalid configuration in the store, which no process could apply.
TEST_CASE("an invalid change is refused and changes nothing") {
  Fixture f;
  REQUIRE(IsOk(f.Apply(kText)));
  const StoreVersion before = f.store.Version("config/head");
  struct Case {
    const char* name;
    std::string text;
    ChangeNote note;
  };
  const std::vector<Case> cases = {
      {"unknown key", std::string(kText) + "[class batch]\nx = 1\n", kNote},
      {"no reason",
       std::string(kText) + "[class batch]\nqueue_bound = 1\n",
       {OperatorName("kim"), "", ConfigRevision(0)}},
      {"no author",
       std::string(kText) + "[class batch]\nqueue_bound = 1\n",
       {OperatorName(""), "r", ConfigRevision(0)}},
      {"shards", "[fleet]\nname = f\nshards = 3\n", kNote},
      {"not INI", "x = 1\n", kNote},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    const Result<ConfigRevision> result = f.Apply(test.text, test.note);
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result).kind == ErrorKind::kInvalidArgument);
    CHECK(f.store.Version("config/head") == before);
  }
}

// Guards against a concurrent change being overwritten.
TEST_CASE("a conflict names the revision that was committed first and its author") {
  Fixture f;
  REQUIRE(IsOk(f.Apply(kText)));
  f.store.BeforeWrite("config/head", [&] { REQUIRE(IsOk(Fixture::SetMin(&f.other, 2))); });
  const Result<ConfigRevision> result = Fixture::SetMin(&f.editor, 3);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kConflict);
  CHECK(ErrorOf(result).message == "revision 2 by kim was accepted first");
  CHECK(Fixture::SetMin(&f.editor, 3) == Result<ConfigRevision>(ConfigRevision(3)));
}

// Guards against a text based on an old revision that reverts newer changes.
TEST_CASE("a change against an old revision is a conflict") {
  Fixture f;
  REQUIRE(IsOk(f.Apply(kText)));
  REQUIRE(IsOk(Fixture::SetMin(&f.editor, 2)));
  const Result<ConfigRevision> result =
      f.Apply(std::string(kText) + "[class batch]\nqueue_bound = 1\n",
              {OperatorName("kim"), "test", ConfigRevision(1)});
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kConflict);
}

// Guards against a change that is reported as failed although it was accepted, and the reverse.
TEST_CASE("the outcome of a write with a lost response is determined by the change id") {
  Fixture f;
  REQUIRE(IsOk(f.Apply(kText)));
  f.store.LoseAnswers(1);
  CHECK(Fixture::SetMin(&f.editor, 2) == Result<ConfigRevision>(ConfigRevision(2)));
  f.store.LoseRequests(1);
  const Result<ConfigRevision> lost = Fixture::SetMin(&f.editor, 3);
  REQUIRE_FALSE(IsOk(lost));
  CHECK(ErrorOf(lost).kind == ErrorKind::kUnknownOutcome);
  CHECK(f.State().head.revision == ConfigRevision(2));
}

TEST_CASE("an outage changes nothing") {
  Fixture f;
  f.store.SetDown(true);
  const Result<ConfigRevision> result = f.Apply(kText);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kUnavailable);
}

// Guards against a head that grows without bound, and against a compaction that loses changes.
TEST_CASE("more than 64 changes are compacted into a snapshot") {
  Fixture f;
  InvariantMonitor invariants;
  ConfigReplica replica(&invariants);
  REQUIRE(IsOk(f.Apply(kText)));
  for (uint64_t i = 2; i <= 70; ++i) {
    if (i == 65) f.store.LoseAnswers(1);  // the response to the snapshot write
    REQUIRE(Fixture::SetMin(&f.editor, i % 9) == Result<ConfigRevision>(ConfigRevision(i)));
    const ConfigPush push{ConfigRevision(i), f.store.Value("config/head"),
                          i == 2 ? EmptySnapshot() : ""};
    REQUIRE(replica.Apply(push) == Result<bool>(true));
  }
  const ConfigState state = f.State();
  CHECK(state.head.snapshot == ConfigRevision(64));
  CHECK(state.head.changes.size() == 6);
  CHECK(f.store.Has("config/snapshot/64"));
  CHECK(state.document.Find("defaults")->values.at("min_replicas") == "7");
  CHECK(replica.snapshot() == f.store.Value("config/snapshot/64"));
  CHECK(invariants.TotalViolations() == 0);
}

// Guards against a change on top of a configuration that lost its snapshot: it would remove all
// other sections.
TEST_CASE("a missing snapshot is an error") {
  Fixture f;
  const ConfigHead head{ConfigRevision(5), ConfigRevision(5), ConfigRevision(0), {}};
  f.store.Put("config/head", FormatConfigHead(head));
  const Result<ConfigRevision> result = f.Apply(kText);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kInternal);
}

TEST_CASE("an exception is added with its reason and removed") {
  Fixture f;
  REQUIRE(IsOk(f.Apply(kText)));
  Result<ConfigRevision> result = Error{};
  const auto keep = [&](const Result<ConfigRevision>& answer) { result = answer; };
  f.editor.SetException("hot", "entry m", {{"min_replicas", "2"}}, kNote, keep);
  REQUIRE(IsOk(result));
  const Result<FleetConfig> config =
      ParseFleetConfig(FormatIni(f.State().document), "t", ConfigRevision(2));
  REQUIRE(IsOk(config));
  CHECK(ValueOf(config).exceptions.at(0).reason == "test");
  CHECK(ValueOf(config).FindEntry(EntryId("m"))->policy.min_replicas == 2);
  f.editor.RemoveException("hot", kNote, keep);
  REQUIRE(IsOk(result));
  CHECK(f.State().document.Find("exception hot") == nullptr);
  f.editor.RemoveException("hot", kNote, keep);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).kind == ErrorKind::kNotFound);
}

}  // namespace
}  // namespace shallot
