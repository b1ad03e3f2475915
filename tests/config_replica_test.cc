#include "servers/config_replica.h"

#include <doctest/doctest.h>

#include <string>

#include "servers/config_head.h"

namespace shallot {
namespace {

ConfigChange MakeChange(uint64_t revision, const std::string& id, SectionChange section) {
  return {ConfigRevision(revision), id,     OperatorName("kim"),
          "2026-12-01T08:00:00Z",   "test", {std::move(section)}};
}

ConfigHead FirstHead() {
  ConfigHead head{ConfigRevision(1), ConfigRevision(0), ConfigRevision(0), {}};
  head.changes.push_back(MakeChange(1, "c1", {"fleet", false, {{"name", "f"}}}));
  return head;
}

/// Adds a change that sets the default of min_replicas.
void AddChange(ConfigHead* head, uint64_t min_replicas, const std::string& id) {
  head->revision = head->revision.Next();
  head->changes.push_back(
      MakeChange(head->revision.value(), id,
                 {"defaults",
                  false,
                  {{"min_replicas", std::to_string(min_replicas)}, {"max_replicas", "9"}}}));
}

ConfigPush Push(const ConfigHead& head, const std::string& snapshot) {
  return {head.revision, FormatConfigHead(head), snapshot};
}

TEST_CASE("a head is the same after formatting and parsing") {
  ConfigHead head = FirstHead();
  AddChange(&head, 2, "c2");
  head.changes.back().sections.push_back({"class batch", true, {}});
  const Result<ConfigHead> parsed = ParseConfigHead(FormatConfigHead(head));
  REQUIRE(IsOk(parsed));
  CHECK(ValueOf(parsed) == head);
}

// Guards against a head with a missing change that is accepted as complete.
TEST_CASE("a head with a missing change is refused") {
  ConfigHead head = FirstHead();
  AddChange(&head, 2, "c2");
  head.changes.erase(head.changes.begin());
  CHECK_FALSE(IsOk(ParseConfigHead(FormatConfigHead(head))));
  CHECK_FALSE(IsOk(ParseConfigHead("{}")));
  CHECK_FALSE(IsOk(ParseConfigHead("not json")));
}

TEST_CASE("a replica takes newer revisions only") {
  InvariantMonitor invariants;
  ConfigReplica replica(&invariants);
  const ConfigHead first = FirstHead();
  ConfigHead second = first;
  AddChange(&second, 2, "c2");
  REQUIRE(replica.Apply(Push(second, EmptySnapshot())) == Result<bool>(true));
  CHECK(replica.revision() == ConfigRevision(2));
  CHECK(replica.Apply(Push(first, EmptySnapshot())) == Result<bool>(false));
  CHECK(replica.Apply(Push(second, "")) == Result<bool>(false));
  CHECK(replica.revision() == ConfigRevision(2));
  CHECK(invariants.TotalViolations() == 0);
}

// Guards against an invalid configuration that replaces the one in force.
TEST_CASE("a configuration that cannot be parsed leaves the old one in force") {
  InvariantMonitor invariants;
  ConfigReplica replica(&invariants);
  ConfigHead head = FirstHead();
  REQUIRE(IsOk(replica.Apply(Push(head, EmptySnapshot()))));
  AddChange(&head, 99, "c2");
  const Result<bool> applied = replica.Apply(Push(head, ""));
  REQUIRE_FALSE(IsOk(applied));
  CHECK(ErrorOf(applied).kind == ErrorKind::kInvalidArgument);
  CHECK(replica.revision() == ConfigRevision(1));
}

// Guards against two accepted changes with the same revision that go unnoticed.
TEST_CASE("a different change with the same revision is an invariant violation") {
  InvariantMonitor invariants;
  ConfigReplica replica(&invariants);
  ConfigHead head = FirstHead();
  ConfigHead other = head;
  other.changes.back().id = "c9";
  REQUIRE(IsOk(replica.Apply(Push(head, EmptySnapshot()))));
  CHECK(replica.Apply(Push(other, EmptySnapshot())) == Result<bool>(false));
  CHECK(invariants.violations(Invariant::kConfigNeverReverts) == 1);
}

// Guards against sending up to 64 known changes with every new one to the 12 runners of a router.
TEST_CASE("a peer is sent only the changes that it lacks") {
  InvariantMonitor invariants;
  ConfigReplica source(&invariants);
  ConfigReplica peer(&invariants);
  ConfigReplica behind(&invariants);
  ConfigHead head = FirstHead();
  REQUIRE(IsOk(source.Apply(Push(head, EmptySnapshot()))));
  REQUIRE(IsOk(behind.Apply(source.MakePush(ConfigRevision(0)))));
  for (uint64_t i = 2; i <= 40; ++i) AddChange(&head, i % 9, "c" + std::to_string(i));
  REQUIRE(IsOk(source.Apply(Push(head, ""))));
  REQUIRE(IsOk(peer.Apply(source.MakePush(ConfigRevision(0)))));
  AddChange(&head, 3, "c41");
  REQUIRE(IsOk(source.Apply(Push(head, ""))));

  const ConfigPush push = source.MakePush(ConfigRevision(40));
  CHECK(push.snapshot.empty());
  CHECK(push.head.size() * 10 < source.head().size());
  CHECK(peer.Apply(push) == Result<bool>(true));
  CHECK(peer.head() == source.head());
  const Result<bool> gap = behind.Apply(push);
  REQUIRE_FALSE(IsOk(gap));
  CHECK(ErrorOf(gap).kind == ErrorKind::kNotFound);
  CHECK(behind.Apply(source.MakePush(ConfigRevision(1))) == Result<bool>(true));
  CHECK(behind.head() == source.head());
  CHECK(invariants.TotalViolations() == 0);
}

// Guards against the transfer of the complete text to each peer after each new snapshot.
TEST_CASE("a replica builds the next snapshot from its own state") {
  InvariantMonitor invariants;
  ConfigReplica source(&invariants);
  ConfigReplica peer(&invariants);
  ConfigReplica fresh(&invariants);
  ConfigHead head = FirstHead();
  AddChange(&head, 2, "c2");
  REQUIRE(IsOk(source.Apply(Push(head, EmptySnapshot()))));
  REQUIRE(IsOk(peer.Apply(source.MakePush(ConfigRevision(0)))));

  const Result<IniDocument> document = BuildDocument(head, EmptySnapshot(), ConfigRevision(2));
  REQUIRE(IsOk(document));
  ConfigHead folded{ConfigRevision(2), ConfigRevision(2), ConfigRevision(0), {}};
  AddChange(&folded, 3, "c3");
  REQUIRE(source.Apply(Push(folded, FormatIni(ValueOf(document)))) == Result<bool>(true));

  const ConfigPush small = source.MakePush(ConfigRevision(2));
  CHECK(small.snapshot.empty());
  CHECK(peer.Apply(small) == Result<bool>(true));
  CHECK(peer.current()->fleet_name == "f");
  CHECK(peer.snapshot() == source.snapshot());

  const Result<bool> lacking = fresh.Apply(small);
  REQUIRE_FALSE(IsOk(lacking));
  CHECK(ErrorOf(lacking).kind == ErrorKind::kNotFound);
  CHECK(fresh.Apply(source.MakePush(ConfigRevision(0))) == Result<bool>(true));
  CHECK(fresh.revision() == ConfigRevision(3));
}

}  // namespace
}  // namespace shallot
