#include "drivers/gateway/peer_codec.h"

#include <doctest/doctest.h>

#include "core/random.h"
#include "core/settings.h"
#include "drivers/gateway/policy_settings.h"
#include "servers/gateway/demand_aggregator.h"

namespace shallot::gateway {
namespace {

constexpr SteadyTime kStart{std::chrono::seconds(1000)};

EntryDemand Demand(uint64_t waiting) {
  EntryDemand demand;
  demand.backend = BackendName("engine");
  demand.model = ModelName("m");
  demand.adapter = AdapterName("a1");
  demand.waiting = waiting;
  demand.least_time_left = Millis(900);
  demand.in_flight = 4;
  demand.calls_per_s = 1.5;
  demand.prompt_tokens_per_s = 2'000;
  demand.since_last_call = Millis(70);
  demand.in_flight_at[RunnerId("i-1")] = 4;
  return demand;
}

// Guards against a field that is lost in messages between gateways.
TEST_CASE("gateway: peer messages are the same after encoding and decoding") {
  DemandReport report;
  report.paces[RunnerId("i-1")] = 1.25;
  report.gateway = InstanceId("front-1");
  report.address = "10.0.0.1:7380";
  report.entries.push_back(Demand(3));
  report.unreachable.insert(RunnerId("i-2"));
  const auto demand = DecodePeerMessage(EncodePeerMessage(report));
  REQUIRE(IsOk(demand));
  const auto& decoded = std::get<DemandReport>(ValueOf(demand));
  CHECK(decoded.paces == report.paces);
  CHECK(decoded.gateway == report.gateway);
  CHECK(decoded.address == report.address);
  CHECK(decoded.unreachable == report.unreachable);
  REQUIRE(decoded.entries.size() == 1);
  CHECK(decoded.entries[0].adapter == AdapterName("a1"));
  CHECK(decoded.entries[0].least_time_left == Millis(900));
  CHECK(decoded.entries[0].in_flight_at == report.entries[0].in_flight_at);

  RunnerNotice notice;
  notice.runner = RunnerId("i-1");
  notice.report.born = RunnerStartTime(5);
  notice.report.sequence = OrderSequence(6);
  notice.report.order_under_way = true;
  notice.report.holdings.models[ModelName("m")].insert(AdapterName("a1"));
  notice.report.holdings.loading_adapters[ModelName("m")].insert(AdapterName("a2"));
  notice.report.holdings.in_memory.insert(ModelName("n"));
  notice.report.holdings.on_disk.insert(ModelName("o"));
  const auto read = DecodePeerMessage(EncodePeerMessage(notice));
  REQUIRE(IsOk(read));
  const auto& copy = std::get<RunnerNotice>(ValueOf(read));
  CHECK(copy.report.holdings == notice.report.holdings);
  CHECK(copy.report.sequence == notice.report.sequence);
  CHECK(copy.report.order_under_way);

  const RunnerRun run{RunnerId("i-1"), RunnerStartTime(5)};
  const auto asked = DecodePeerMessage(
      EncodePeerMessage(PermitRequest{InstanceId("front-1"), "10.0.0.1:7380", 7, {{run, 1.6, 2}}}));
  REQUIRE(IsOk(asked));
  const auto& request = std::get<PermitRequest>(ValueOf(asked));
  CHECK(request.address == "10.0.0.1:7380");
  CHECK(request.number == 7);
  REQUIRE(request.wishes.size() == 1);
  CHECK(request.wishes[0].run == run);
  CHECK(request.wishes[0].calls_per_s == 1.6);
  CHECK(request.wishes[0].calls == 2);
  const auto issued =
      DecodePeerMessage(EncodePeerMessage(PermitResponse{7, {{run, 1, Millis(600)}}}));
  REQUIRE(IsOk(issued));
  const auto& response = std::get<PermitResponse>(ValueOf(issued));
  CHECK(response.number == 7);
  REQUIRE(response.permits.size() == 1);
  CHECK(response.permits[0].run == run);
  CHECK(response.permits[0].calls == 1);
  CHECK(response.permits[0].next == Millis(600));
  const auto proof_asked =
      DecodePeerMessage(EncodePeerMessage(ProofRequest{InstanceId("front-1"), "10.0.0.1:7", 8}));
  REQUIRE(IsOk(proof_asked));
  CHECK(std::get<ProofRequest>(ValueOf(proof_asked)).gateway == InstanceId("front-1"));
  CHECK(std::get<ProofRequest>(ValueOf(proof_asked)).address == "10.0.0.1:7");
  CHECK(std::get<ProofRequest>(ValueOf(proof_asked)).number == 8);
  // An age that no clock reaches is none, and no proof differs from one of age 0.
  using Age = std::optional<Millis>;
  for (const auto& [sent, received] : std::vector<std::pair<Age, Age>>{
           {Millis(0), Millis(0)}, {Millis(250), Millis(250)}, {{}, {}}, {Millis::max(), {}}}) {
    const auto proof = DecodePeerMessage(EncodePeerMessage(
        ProofResponse{InstanceId("front-2"), "10.0.0.2:7", 8, FleetVersion(5), sent}));
    REQUIRE(IsOk(proof));
    const auto& answer = std::get<ProofResponse>(ValueOf(proof));
    CHECK(answer.gateway == InstanceId("front-2"));
    CHECK(answer.address == "10.0.0.2:7");
    CHECK(answer.number == 8);
    CHECK(answer.version == FleetVersion(5));
    CHECK(answer.age == received);
  }
  const TeamName team("t");
  const QuotaAsk quota_ask{InstanceId("front-1"),
                           "10.0.0.1:7380",
                           7,
                           6,
                           BootTime(Millis(90)),
                           Millis(8),
                           Millis(5),
                           21,
                           true,
                           {{team, {200, 9'200}, 400, 30}}};
  const auto ask = DecodePeerMessage(EncodePeerMessage(quota_ask));
  REQUIRE(IsOk(ask));
  CHECK(std::get<QuotaAsk>(ValueOf(ask)) == quota_ask);
  const QuotaGrant quota_grant{InstanceId("front-2"),
                               7,
                               BootTime(Millis(95)),
                               21,
                               {{team, 200, -40, 10, 29'000, 58'000, 9}}};
  const auto grant = DecodePeerMessage(EncodePeerMessage(quota_grant));
  REQUIRE(IsOk(grant));
  CHECK(std::get<QuotaGrant>(ValueOf(grant)) == quota_grant);
  const auto needed = DecodePeerMessage(EncodePeerMessage(MemoryRequest{
      InstanceId("front-1"), "10.0.0.1:7380", 8, {{run, 9'200, {50'000, 1}, 243'171}}}));
  REQUIRE(IsOk(needed));
  const auto& memory = std::get<MemoryRequest>(ValueOf(needed));
  CHECK(memory.address == "10.0.0.1:7380");
  CHECK(memory.number == 8);
  REQUIRE(memory.asks.size() == 1);
  CHECK(memory.asks[0].run == run);
  CHECK(memory.asks[0].held == 9'200);
  CHECK(memory.asks[0].capacity == 243'171);
  CHECK(memory.asks[0].calls == std::vector<uint64_t>{50'000, 1});
  const auto granted =
      DecodePeerMessage(EncodePeerMessage(MemoryResponse{8, {{run, 59'201, 100, true}}}));
  REQUIRE(IsOk(granted));
  const auto& grants = std::get<MemoryResponse>(ValueOf(granted)).grants;
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].run == run);
  CHECK(grants[0].limit == 59'201);
  CHECK(grants[0].free == 100);
  CHECK(grants[0].scarce);
  const auto found = DecodeFindings(EncodeFindings({InstanceId("front-1"), {}, {{run, 1.6}}}));
  REQUIRE(IsOk(found));
  CHECK(ValueOf(found).limits == std::vector<LimitFinding>{{run, 1.6}});
  CHECK_FALSE(IsOk(DecodePeerMessage("\xff\xff")));
  CHECK_FALSE(IsOk(DecodePeerMessage("")));
}

// Guards against a caller whose model name is no UTF-8 text, which made the leader reject all
// reports of that gateway's demand.
TEST_CASE("gateway: demand for any name that a caller can send is encoded and decoded") {
  DemandReport report;
  report.gateway = InstanceId("front-1");
  EntryDemand& entry = report.entries.emplace_back();
  entry.model = ModelName("m\xff");
  entry.adapter = AdapterName("a\xfe");
  const auto decoded = DecodePeerMessage(EncodePeerMessage(report));
  REQUIRE(IsOk(decoded));
  CHECK(std::get<DemandReport>(ValueOf(decoded)).entries[0].model == ModelName("m\xff"));
  CHECK(std::get<DemandReport>(ValueOf(decoded)).entries[0].adapter == AdapterName("a\xfe"));
}

TEST_CASE("gateway: gateway records are encoded and decoded") {
  GatewaySettings settings;
  settings.instance = InstanceId("front-1");
  settings.peer_address = "10.0.0.1:7";
  settings.cpu_share = 0.25;
  constexpr StorePosition kPosition{StoreEra(2), StoreRevision(9)};
  const auto record = DecodeGatewayRecord(EncodeGatewayRecord(settings), kPosition);
  REQUIRE(IsOk(record));
  CHECK(ValueOf(record) == LeaderRecord{InstanceId("front-1"), "10.0.0.1:7", kPosition, 0.25});
  CHECK_FALSE(IsOk(DecodeGatewayRecord("", kPosition)));
}

// Guards against counting the demand of a gateway that no longer reports, and against counting
// demand twice.
TEST_CASE("gateway: the demand board sums the newest report of each live gateway") {
  DemandAggregator board;
  const DemandMeter::Key key{BackendName("engine"), ModelName("m"), AdapterName("a1")};
  for (const char* gateway : {"front-1", "front-2"}) {
    DemandReport report;
    report.gateway = InstanceId(gateway);
    report.entries.push_back(Demand(1));
    board.Apply(report, kStart);
    report.entries[0].waiting = 2;
    board.Apply(report, kStart);
  }
  CHECK(board.Totals(kStart).at(key).waiting == 4);
  CHECK(board.Totals(kStart).at(key).InFlightAt(RunnerId("i-1")) == 8);
  CHECK(board.Totals(kStart + DemandAggregator::kMaxReportAge + Millis(1)).empty());
}

// Guards against demand that differs at the leader because reports list only what changed, when
// calls for many models come, wait and end at several gateways and some reports are complete.
TEST_CASE("gateway: reports of changes add up to the same demand as complete reports") {
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Random random(seed);
    constexpr int kGateways = 5;
    constexpr int kModels = 8;
    std::vector<DemandMeter> meters(kGateways);
    std::vector<DemandMeter> full_meters(kGateways);
    DemandAggregator changes;
    DemandAggregator complete;
    SteadyTime now = kStart;
    for (int round = 0; round < 400; ++round) {
      now += Millis(50);
      const size_t gateway = random.Below(kGateways);
      const DemandMeter::Key key{BackendName("engine"),
                                 ModelName("m" + std::to_string(random.Below(kModels))),
                                 AdapterName()};
      const RunnerId runner("i-" + std::to_string(random.Below(3)));
      for (DemandMeter* meter : {&meters[gateway], &full_meters[gateway]}) {
        meter->OnCall(key, 100, now);
        meter->OnSent(key, runner);
        if (round % 3 == 0) meter->OnEnded(key, runner);
      }
      DemandReport report;
      report.gateway = InstanceId("front-" + std::to_string(gateway));
      report.changes_only = round % 40 >= kGateways;
      report.entries =
          report.changes_only ? meters[gateway].Changes({}, now) : meters[gateway].Snapshot(now);
      changes.Apply(report, now);
      report.changes_only = false;
      report.entries = full_meters[gateway].Snapshot(now);
      complete.Apply(report, now);
      const auto& expected = complete.Totals(now);
      const auto& totals = changes.Totals(now);
      if (round < 60) continue;
      REQUIRE(totals.size() == expected.size());
      for (const auto& [entry, total] : expected) {
        CHECK(totals.at(entry).in_flight == total.in_flight);
        CHECK(totals.at(entry).in_flight_at == total.in_flight_at);
        CHECK(totals.at(entry).calls_per_s == doctest::Approx(total.calls_per_s).epsilon(0.02));
      }
    }
  }
}

// Guards against notices that do not reach a gateway whose calls need them.
TEST_CASE("gateway: gateways with calls for a model are known") {
  DemandAggregator board;
  struct Case {
    const char* gateway;
    uint64_t waiting;
    uint64_t in_flight;
    int64_t since_ms;
  };
  for (const Case& test : {Case{"waits", 1, 0, 90'000}, Case{"runs", 0, 1, 90'000},
                           Case{"called", 0, 0, 100}, Case{"idle", 0, 0, 90'000}}) {
    DemandReport report;
    report.gateway = InstanceId(test.gateway);
    EntryDemand demand = Demand(test.waiting);
    demand.in_flight = test.in_flight;
    demand.since_last_call = Millis(test.since_ms);
    report.entries.push_back(demand);
    board.Apply(report, kStart);
  }
  CHECK(board.GatewaysUsing(BackendName("engine"), ModelName("m"), Millis(5'000), kStart) ==
        std::set<InstanceId>{InstanceId("waits"), InstanceId("runs"), InstanceId("called")});
  CHECK(board.GatewaysUsing(BackendName("engine"), ModelName("n"), Millis(5'000), kStart).empty());
}

// Guards against treating runners as lost because one gateway is cut off from all of them.
TEST_CASE("gateway: a runner is unreachable only if several gateways report it") {
  DemandAggregator board;
  for (int number = 0; number < 6; ++number) {
    DemandReport report;
    report.gateway = InstanceId("front-" + std::to_string(number));
    if (number == 0) report.unreachable = {RunnerId("i-1"), RunnerId("i-2")};
    if (number == 1) report.unreachable = {RunnerId("i-2")};
    board.Apply(report, kStart);
  }
  CHECK(board.Unreachable(kStart) == std::set<RunnerId>{RunnerId("i-2")});
}

TEST_CASE("gateway: the demand meter counts calls and drops idle entries") {
  DemandMeter meter;
  const DemandMeter::Key key{BackendName("engine"), ModelName("m"), AdapterName()};
  SteadyTime now = kStart;
  for (int call = 0; call < 200; ++call) {
    meter.OnCall(key, 100, now);
    now += Millis(100);
  }
  meter.OnSent(key, RunnerId("i-1"));
  auto snapshot = meter.Snapshot(now);
  REQUIRE(snapshot.size() == 1);
  CHECK(snapshot[0].calls_per_s == doctest::Approx(10).epsilon(0.1));
  CHECK(snapshot[0].prompt_tokens_per_s == doctest::Approx(1'000).epsilon(0.1));
  CHECK(snapshot[0].in_flight_at.at(RunnerId("i-1")) == 1);
  now += DemandMeter::kEntryTimeout * 2;
  CHECK_MESSAGE(meter.Snapshot(now).size() == 1, "a call is still in flight");
  meter.OnEnded(key, RunnerId("i-1"));
  CHECK(meter.Snapshot(now).empty());
}

// Guards against a misspelled key or an invalid value in the policy that is silently ignored.
TEST_CASE("gateway: the policy file is validated") {
  struct Case {
    const char* text;
    bool valid;
  };
  for (const Case& test :
       {Case{"[policy]\nmax_replicas = 3\n", true}, Case{"", true},
        Case{"[policy]\nmax_replica = 3\n", false}, Case{"[policy]\nsilent_share = 7\n", false},
        Case{"[other]\nx = 1\n", false}}) {
    CAPTURE(std::string(test.text));
    const auto document = ParseIni(test.text, "gateway.ini");
    REQUIRE(IsOk(document));
    const auto policy = ReadGatewayPolicy(ValueOf(document), GatewayPolicy());
    CHECK(IsOk(policy) == test.valid);
  }
}

}  // namespace
}  // namespace shallot::gateway
